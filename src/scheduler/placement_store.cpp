#include "scheduler/placement_store.h"

#include <algorithm>
#include <map>
#include <set>

namespace shunt::fleet {

using jobs::JobPtr;

namespace {
// Of a shard. A start's cost is what its sheet still holds beside it: with few sheets nearly all
// that runs is written again and again, and at the large size they are full, so that starts queue
// for the little room that three of them have left.
constexpr std::size_t kSheets = 256;
constexpr double kDoneWait = 3.0;          // results wait so long for starts to share a change with
constexpr std::size_t kSheetBytes = 5800;  // never longer, though values may be
constexpr std::size_t kSheetsPerTxn = 3;
constexpr std::size_t kSheetsMost = 512;
constexpr std::size_t kFinalsPerTxn = 4;

std::size_t digits(std::uint64_t n) {
  std::size_t d = 1;
  while (n >= 10) n /= 10, ++d;
  return d;
}
}  // namespace

Sheets::Sheets(Common& common, Machines& machines, Placements& placements)
    : common_(common), machines_(machines), placements_(placements), sheets_(kSheets) {}

void Sheets::inherit(int sheet, const wire::SheetRecord& r, double now) {
  if (sheet < 0) return;
  if (static_cast<std::size_t>(sheet) >= sheets_.size())
    sheets_.resize(static_cast<std::size_t>(sheet) + 1);
  Sheet& mine = sheets_[static_cast<std::size_t>(sheet)];
  for (const auto& g : r.jobs) {
    JobPtr j;
    if (auto it = common_.jobs.find(g.job); it != common_.jobs.end()) {
      j = it->second;
      for (const auto& [c, list] : g.done) {
        mine.done.emplace_back(j, c);
        // Older copies stay behind where a chunk has moved on. The largest is the newest, since
        // what is done stays so; with another one taken for it, the newest would be dropped.
        std::uint64_t tasks = 0;
        for (auto [a, b] : list) tasks += b - a + 1;
        auto [known, fresh] = largest_.try_emplace({g.job, c}, tasks);
        if (!fresh && known->second >= tasks) continue;
        known->second = tasks;
        j->done_sheet[c] = sheet;
      }
    } else {
      // The job is over, but its tasks may still be there: they count until proven gone.
      wire::JobRecord stub;
      stub.spec.id = g.job;
      stub.spec.tasks = 1;
      stub.spec.cpus = g.cpus;
      stub.spec.gpus = g.gpus;
      stub.spec.mem_gb = g.mem_gb;
      j = std::make_shared<jobs::Job>(stub, g.team, 0,
                                      static_cast<int>(common_.settings.zones.size()), now, 0);
      j->gone = true;
      j->pending.clear();
    }
    for (const auto& at : g.places) {
      // A machine that the roster does not hold under this shard has been deleted, or was empty
      // when it moved away: nothing of ours can be on it.
      Machine* m = machines_.find(at.machine);
      if (!m) continue;
      mine.held.push_back({m->number, j, at.task, at.attempt});
      placements_.inherit(*m, mine.held.back(), now);
    }
  }
}

// What is proven gone, or is written elsewhere by now, need not be carried on.
void Sheets::prune() {
  for (std::size_t i = 0; i < sheets_.size(); ++i) {
    std::erase_if(sheets_[i].held, [&](const Held& h) {
      const Placement* p = placements_.find(h);
      return !p || p->released;
    });
    std::erase_if(sheets_[i].done, [&](const auto& d) {
      return d.first->gone || d.first->done_sheet[d.second] != static_cast<int>(i);
    });
  }
}

// Writes a sheet anew: what it holds and still matters, and as many of the starts and results as
// it has room for. Its length is counted from above. False if there was room for nothing.
bool Sheets::fill(int index, const state::World& w, const state::Room& size,
                  std::vector<Held>& starts, Chunks& dirty, const std::string& tag, wire::Txn& t,
                  Out& out) {
  Sheet& sheet = sheets_[static_cast<std::size_t>(index)];
  const std::size_t limit = std::min(kSheetBytes, size.value_bytes) - 64;
  const std::size_t max_guards = size.guards - 2;
  wire::SheetRecord r;
  r.tag = tag;
  Out::Write write;
  write.sheet = index;
  std::size_t bytes = 48 + tag.size();
  std::map<std::string, std::size_t> groups;  // by job: a job that is over may have several stubs
  std::set<int> machines;
  std::uint64_t base = placements_.token() << 20;
  for (const Held& h : sheet.held) base = std::min(base, h.attempt);

  auto header = [&](const JobPtr& j) -> std::size_t {
    if (groups.contains(j->spec.id)) return 0;
    return 96 + j->spec.id.size() +
           (j->team >= 0 ? common_.settings.teams[j->team].name.size() : 0);
  };
  auto group = [&](const JobPtr& j) -> wire::SheetJob& {
    auto [it, fresh] = groups.try_emplace(j->spec.id, r.jobs.size());
    if (fresh)
      r.jobs.push_back({j->spec.id, j->team, j->spec.cpus, j->spec.gpus, j->spec.mem_gb, {}, {}});
    return r.jobs[it->second];
  };
  auto place_bytes = [&](const Held& h) {
    std::size_t n = 6 + digits(h.task) + digits(h.attempt - base) + header(h.job);
    if (!machines.contains(h.machine)) n += machines_.at(h.machine)->name.size() + 3;
    return n;
  };
  auto put = [&](const Held& h) {
    group(h.job).places.push_back({machines_.at(h.machine)->name, h.task, h.attempt});
    machines.insert(h.machine);
  };
  auto done_bytes = [&](const JobPtr& j, std::uint32_t c) {
    return 16 + 8 * wire::intervals(j->chunk(c)).size() + header(j);
  };
  auto put_done = [&](const JobPtr& j, std::uint32_t c) {
    auto bits = j->chunk(c);
    group(j).done.emplace_back(c, wire::intervals(bits));
    write.done.emplace_back(j, c, std::move(bits));
  };

  for (const Held& h : sheet.held) {
    bytes += place_bytes(h);
    put(h);
  }
  for (const auto& [j, c] : sheet.done) {
    bytes += done_bytes(j, c);
    put_done(j, c);
  }
  // Written when values could be larger. It stays as it is, so that no placement is unrecorded for
  // a moment, until enough of what it holds is over; results that it holds and that have grown
  // since go to another sheet.
  if (bytes > limit) return false;
  const std::string key = state::sheet_key(common_.shard, index);
  bool added = false;
  std::size_t taken = 0;
  for (; taken < starts.size(); ++taken) {
    const Held& h = starts[taken];
    std::size_t more = place_bytes(h);
    if (bytes + more > limit) break;
    std::string jk = state::job_key(h.job->spec.id);
    bool guarded =
        std::any_of(t.guards.begin(), t.guards.end(), [&](const auto& g) { return g.first == jk; });
    if (!guarded) {
      if (t.guards.size() + 2 > max_guards) break;
      t.guards.emplace_back(jk, w.stamp(jk));
    }
    bytes += more;
    put(h);
    write.starts.push_back(h);
    added = true;
  }
  starts.erase(starts.begin(), starts.begin() + static_cast<long>(taken));
  std::erase_if(dirty, [&](const auto& d) {
    auto at_sheet = d.first->done_sheet.find(d.second);
    // Written just now, with what the sheet held already.
    bool here = at_sheet != d.first->done_sheet.end() && at_sheet->second == index;
    if (!here) {
      std::size_t more = done_bytes(d.first, d.second);
      if (bytes + more > limit) return false;
      bytes += more;
      put_done(d.first, d.second);
    }
    added = true;
    return true;
  });
  if (!added) return false;
  t.guards.emplace_back(key, w.stamp(key));
  t.ops.push_back({key,
                   wire::encode_record(r,
                                       [&](int team) {
                                         return team >= 0 ? common_.settings.teams[team].name
                                                          : std::string("-");
                                       }),
                   0});
  for (const Held& h : write.starts) placements_.find(h)->phase = Phase::committing;
  out.writes.push_back(std::move(write));
  return true;
}

std::optional<wire::Txn> Sheets::next(const state::World& w, const state::Room& size,
                                      const std::string& tag, double now) {
  if (out_) return std::nullopt;
  wire::Txn t;
  Out out;
  const std::size_t ops = size.ops;
  // Ends of jobs leave a change to the sheets where there is one to leave.
  const std::size_t final_ops = ops > 2 ? 3 : 2;
  // Every key written is guarded by its own stamp, so that a transaction that is applied late,
  // or a second time, cannot be: and by the owner's, so that nobody else's is overwritten.
  t.guards.emplace_back(state::owner_key(common_.shard), placements_.token());

  Chunks dirty;
  bool due = false;
  for (auto& [id, j] : common_.jobs) {
    if (j->complete()) {
      if (!w.job(id)) continue;
      if (out.finals.size() >= kFinalsPerTxn || t.ops.size() + final_ops > ops) continue;
      wire::FinalRecord f;
      f.tasks = j->spec.tasks;
      f.team = j->spec.team;
      f.tag = tag;
      const std::string jk = state::job_key(id);
      t.guards.emplace_back(jk, w.stamp(jk));
      t.guards.emplace_back(state::final_key(id), 0);
      t.ops.push_back({jk, std::nullopt, 0});
      t.ops.push_back({state::final_key(id), wire::encode_record(f), 0});
      out.finals.push_back(id);
      continue;
    }
    if (j->dirty_chunks.empty() || !w.job(id)) continue;
    due |= now - j->dirty_since > kDoneWait;
    for (std::uint32_t c : j->dirty_chunks) dirty.emplace_back(j, c);
  }
  std::vector<Held> starts = planned(w);
  if (!starts.empty() || due) {
    // The emptiest sheets first, by what still matters: counted with what does not, the sheets
    // written least would seem the fullest, and starts would queue for the others.
    prune();
    std::vector<std::size_t> order(sheets_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    auto load = [&](std::size_t i) { return sheets_[i].held.size() + 4 * sheets_[i].done.size(); };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return load(a) < load(b); });
    std::size_t used = 0;
    for (std::size_t i : order) {
      // Results ride along with starts; only those that have waited take changes of their own.
      if (used >= kSheetsPerTxn || t.ops.size() >= ops) break;
      if (starts.empty() && (dirty.empty() || (used && !due))) break;
      used += fill(static_cast<int>(i), w, size, starts, dirty, tag, t, out);
    }
    // All full, or too long for what a value may hold by now: one more.
    if (!used && t.ops.size() < ops && (!starts.empty() || !dirty.empty()) &&
        sheets_.size() < kSheetsMost) {
      sheets_.emplace_back();
      fill(static_cast<int>(sheets_.size()) - 1, w, size, starts, dirty, tag, t, out);
    }
  }
  if (t.ops.empty()) return std::nullopt;
  ++common_.count.commits;
  out_ = std::move(out);
  return t;
}

// What is to be started, the more urgent first.
std::vector<Held> Sheets::planned(const state::World& w) const {
  std::vector<Held> starts;
  for (const auto& [n, m] : machines_.all()) {
    if (!m->rostered) continue;
    for (const Placement& p : m->placed.list)
      if (p.phase == Phase::planned && !p.released && !p.job->gone && w.job(p.job->spec.id))
        starts.push_back({n, p.job, p.task, p.attempt});
  }
  std::stable_sort(starts.begin(), starts.end(),
                   [](const Held& a, const Held& b) { return a.job->band() < b.job->band(); });
  return starts;
}

std::vector<std::string> Sheets::applied(double now) {
  if (!out_) return {};
  Out out = std::move(*out_);
  out_.reset();
  for (auto& write : out.writes) {
    Sheet& sheet = sheets_[static_cast<std::size_t>(write.sheet)];
    for (const Held& h : write.starts) {
      sheet.held.push_back(h);
      Placement* p = placements_.find(h);
      if (!p || p->phase != Phase::committing) continue;
      p->phase = Phase::committed;
      placements_.note_due(*machines_.at(h.machine));
    }
    for (auto& [j, c, bits] : write.done) {
      j->set_persisted(c, bits);
      j->dirty_since = now;
      auto [it, fresh] = j->done_sheet.try_emplace(c, write.sheet);
      if (!fresh && it->second == write.sheet) continue;
      it->second = write.sheet;
      sheet.done.emplace_back(j, c);
    }
  }
  return std::move(out.finals);
}

void Sheets::failed(double now) {
  if (!out_) return;
  ++common_.count.commit_failures;
  Out out = std::move(*out_);
  out_.reset();
  for (const auto& write : out.writes)
    for (const Held& h : write.starts) {
      Placement* p = placements_.find(h);
      if (p && p->phase == Phase::committing) placements_.undo(*machines_.at(h.machine), *p, now);
    }
}

}  // namespace shunt::fleet
