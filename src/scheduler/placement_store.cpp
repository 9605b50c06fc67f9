#include "scheduler/placement_store.h"

#include <algorithm>
#include <map>
#include <set>

namespace shunttrail::scheduler {

using jobs::JobPtr;

namespace {
// Of a shard, to begin with. A start's cost is what its placement page still holds beside it: with
// few placement pages nearly all that runs is written again and again, and at the large size they
// are full, so that starts queue for the little room that three of them have left.
constexpr std::size_t kSheets = 256;
// Of a shard, at the most: bounds the placements that may exist at a time. A placement takes about
// 30 bytes (task, attempt, name of the machine), and 150 where its job has no other one in the
// placement page. For the 256,000 placements of 4,000 machines of 64 vcpus, all in one shard, that
// is 2,000 placement pages of 4 KiB, or 10,000 where each task is a job of its own; of values of 1
// KiB, the least that they may shrink to, 9,000 and 43,000. Placement pages are added one by one as
// the others are full. A build with a smaller limit reads and rewrites whatever number it finds.
constexpr std::size_t kSheetsMost = 49152;
constexpr double kDoneWait = 3.0;          // results wait so long for starts to share a change with
constexpr std::size_t kSheetBytes = 5800;  // never longer, though values may be
// Of one transaction, whatever the fleet's size: what does not fit goes with the next one, and how
// many there are a second is up to the state service's rates. 4 ends of jobs are 12 changes, as
// many as a transaction takes.
constexpr std::size_t kSheetsPerTxn = 3;
constexpr std::size_t kFinalsPerTxn = 4;

std::size_t digits(std::uint64_t n) {
  std::size_t d = 1;
  while (n >= 10) n /= 10, ++d;
  return d;
}
}  // namespace

PlacementStore::PlacementStore(ShardContext& common, Machines& machines, Placements& placements)
    : context_(common), machines_(machines), placements_(placements), pages_(kSheets) {}

void PlacementStore::recover_page(int page, const wire::PlacementPageRecord& r, double now) {
  if (page < 0) return;
  if (static_cast<std::size_t>(page) >= pages_.size())
    pages_.resize(static_cast<std::size_t>(page) + 1);
  PlacementPage& mine = pages_[static_cast<std::size_t>(page)];
  for (const auto& g : r.jobs) {
    JobPtr j;
    if (auto it = context_.jobs.find(g.job); it != context_.jobs.end()) {
      j = it->second;
      for (const auto& [c, list] : g.done) {
        mine.done.emplace_back(j, c);
        // Older copies stay behind where a chunk has moved on. The largest is the newest, since
        // what is done stays so; with another one taken for it, the newest would be dropped.
        std::uint64_t tasks = 0;
        for (auto [a, b] : list) tasks += b - a + 1;
        auto [known, fresh] = largest_recovered_.try_emplace({g.job, c}, tasks);
        if (!fresh && known->second >= tasks) continue;
        known->second = tasks;
        j->done_page[c] = page;
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
                                      static_cast<int>(context_.settings.zones.size()), now, 0);
      j->over = true;
      j->pending.clear();
    }
    for (const auto& at : g.placements) {
      // A machine that the inventory does not hold under this shard has been deleted, or was empty
      // when it moved away: nothing of ours can be on it.
      Machine* m = machines_.find(at.machine);
      if (!m) continue;
      mine.placements.push_back({m->number, j, at.task, at.attempt});
      placements_.recover_placement(*m, mine.placements.back(), now);
    }
  }
}

// What is proven gone, or is written elsewhere by now, need not be carried on.
void PlacementStore::prune() {
  for (std::size_t i = 0; i < pages_.size(); ++i) {
    std::erase_if(pages_[i].placements, [&](const PersistedPlacement& h) {
      const Placement* p = placements_.find(h);
      return !p || p->released;
    });
    std::erase_if(pages_[i].done, [&](const auto& d) {
      return d.first->over || d.first->done_page[d.second] != static_cast<int>(i);
    });
  }
}

// Writes a placement page anew: what it holds and still matters, and as many of the starts and
// results as it has room for. Its length is counted from above. False if there was room for
// nothing.
bool PlacementStore::fill_page(int index, const state::StateCache& w,
                               const state::TransactionLimits& size,
                               std::vector<PersistedPlacement>& starts, Chunks& dirty,
                               const std::string& tag, wire::Transaction& t,
                               PendingTransaction& out) {
  PlacementPage& page = pages_[static_cast<std::size_t>(index)];
  const std::size_t limit = std::min(kSheetBytes, size.value_bytes) - 64;
  const std::size_t max_guards = size.preconditions - 2;
  wire::PlacementPageRecord r;
  r.tag = tag;
  PendingTransaction::Write write;
  write.page = index;
  std::size_t bytes = 48 + tag.size();
  std::map<std::string, std::size_t> groups;  // by job: a job that is over may have several stubs
  std::set<int> machines;
  std::uint64_t base = placements_.token() << 20;
  for (const PersistedPlacement& h : page.placements) base = std::min(base, h.attempt);

  auto header = [&](const JobPtr& j) -> std::size_t {
    if (groups.contains(j->spec.id)) return 0;
    return 96 + j->spec.id.size() +
           (j->team >= 0 ? context_.settings.teams[j->team].name.size() : 0);
  };
  auto group = [&](const JobPtr& j) -> wire::JobPlacements& {
    auto [it, fresh] = groups.try_emplace(j->spec.id, r.jobs.size());
    if (fresh)
      r.jobs.push_back({j->spec.id, j->team, j->spec.cpus, j->spec.gpus, j->spec.mem_gb, {}, {}});
    return r.jobs[it->second];
  };
  auto place_bytes = [&](const PersistedPlacement& h) {
    std::size_t n = 6 + digits(h.task) + digits(h.attempt - base) + header(h.job);
    if (!machines.contains(h.machine)) n += machines_.at(h.machine)->name.size() + 3;
    return n;
  };
  auto put = [&](const PersistedPlacement& h) {
    group(h.job).placements.push_back({machines_.at(h.machine)->name, h.task, h.attempt});
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

  for (const PersistedPlacement& h : page.placements) {
    bytes += place_bytes(h);
    put(h);
  }
  for (const auto& [j, c] : page.done) {
    bytes += done_bytes(j, c);
    put_done(j, c);
  }
  // Written when values could be larger. It stays as it is, so that no placement is unrecorded for
  // a moment, until enough of what it holds is over; results that it holds and that have grown
  // since go to another placement page.
  if (bytes > limit) return false;
  const std::string key = state::placement_page_key(context_.shard, index);
  bool added = false;
  std::size_t taken = 0;
  for (; taken < starts.size(); ++taken) {
    const PersistedPlacement& h = starts[taken];
    std::size_t more = place_bytes(h);
    if (bytes + more > limit) break;
    std::string jk = state::job_key(h.job->spec.id);
    bool guarded = std::any_of(t.preconditions.begin(), t.preconditions.end(),
                               [&](const auto& g) { return g.first == jk; });
    if (!guarded) {
      if (t.preconditions.size() + 2 > max_guards) break;
      t.preconditions.emplace_back(jk, w.mod_revision(jk));
    }
    bytes += more;
    put(h);
    write.starts.push_back(h);
    added = true;
  }
  starts.erase(starts.begin(), starts.begin() + static_cast<long>(taken));
  std::erase_if(dirty, [&](const auto& d) {
    auto at_sheet = d.first->done_page.find(d.second);
    // Written just now, with what the placement page held already.
    bool here = at_sheet != d.first->done_page.end() && at_sheet->second == index;
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
  t.preconditions.emplace_back(key, w.mod_revision(key));
  t.ops.push_back({key,
                   wire::encode_record(r,
                                       [&](int team) {
                                         return team >= 0 ? context_.settings.teams[team].name
                                                          : std::string("-");
                                       }),
                   0});
  for (const PersistedPlacement& h : write.starts) placements_.find(h)->phase = Phase::committing;
  out.writes.push_back(std::move(write));
  return true;
}

std::optional<wire::Transaction> PlacementStore::next_transaction(
    const state::StateCache& w, const state::TransactionLimits& size, const std::string& tag,
    double now) {
  if (pending_) return std::nullopt;
  wire::Transaction t;
  PendingTransaction out;
  const std::size_t ops = size.ops;
  // Ends of jobs leave a change to the placement pages where there is one to leave.
  const std::size_t final_ops = ops > 2 ? 3 : 2;
  // Every key written is conditional on its own revision, so that a transaction that is applied
  // late, or a second time, cannot be: and by the owner's, so that nobody else's is overwritten.
  t.preconditions.emplace_back(state::leader_key(context_.shard), placements_.token());

  Chunks dirty;
  bool due = false;
  for (auto& [id, j] : context_.jobs) {
    if (j->complete()) {
      if (!w.job(id)) continue;
      if (out.ended_jobs.size() >= kFinalsPerTxn || t.ops.size() + final_ops > ops) continue;
      wire::JobResultRecord f;
      f.tasks = j->spec.tasks;
      f.team = j->spec.team;
      f.tag = tag;
      const std::string jk = state::job_key(id);
      t.preconditions.emplace_back(jk, w.mod_revision(jk));
      t.preconditions.emplace_back(state::job_result_key(id), 0);
      t.ops.push_back({jk, std::nullopt, 0});
      t.ops.push_back({state::job_result_key(id), wire::encode_record(f), 0});
      out.ended_jobs.push_back(id);
      continue;
    }
    if (j->dirty_chunks.empty() || !w.job(id)) continue;
    due |= now - j->dirty_since > kDoneWait;
    for (std::uint32_t c : j->dirty_chunks) dirty.emplace_back(j, c);
  }
  std::vector<PersistedPlacement> starts = planned(w);
  if (!starts.empty() || due) {
    // The emptiest placement pages first, by what still matters: counted with what does not, the
    // placement pages written least would seem the fullest, and starts would queue for the others.
    prune();
    std::vector<std::size_t> order(pages_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    auto load = [&](std::size_t i) {
      return pages_[i].placements.size() + 4 * pages_[i].done.size();
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return load(a) < load(b); });
    std::size_t used = 0;
    for (std::size_t i : order) {
      // Results ride along with starts; only those that have waited take changes of their own.
      if (used >= kSheetsPerTxn || t.ops.size() >= ops) break;
      if (starts.empty() && (dirty.empty() || (used && !due))) break;
      used += fill_page(static_cast<int>(i), w, size, starts, dirty, tag, t, out);
    }
    // All full, or too long for what a value may hold by now: one more.
    if (!used && t.ops.size() < ops && (!starts.empty() || !dirty.empty()) &&
        pages_.size() < kSheetsMost) {
      pages_.emplace_back();
      fill_page(static_cast<int>(pages_.size()) - 1, w, size, starts, dirty, tag, t, out);
    }
  }
  if (t.ops.empty()) return std::nullopt;
  ++context_.counters.commits;
  pending_ = std::move(out);
  return t;
}

// What is to be started, the more urgent first.
std::vector<PersistedPlacement> PlacementStore::planned(const state::StateCache& w) const {
  std::vector<PersistedPlacement> starts;
  for (const auto& [n, m] : machines_.all()) {
    if (!m->in_inventory) continue;
    for (const Placement& p : m->tasks.placements)
      if (p.phase == Phase::planned && !p.released && !p.job->over && w.job(p.job->spec.id))
        starts.push_back({n, p.job, p.task, p.attempt});
  }
  std::stable_sort(starts.begin(), starts.end(),
                   [](const PersistedPlacement& a, const PersistedPlacement& b) {
                     return a.job->priority_band() < b.job->priority_band();
                   });
  return starts;
}

std::vector<std::string> PlacementStore::transaction_applied(double now) {
  if (!pending_) return {};
  PendingTransaction out = std::move(*pending_);
  pending_.reset();
  for (auto& write : out.writes) {
    PlacementPage& page = pages_[static_cast<std::size_t>(write.page)];
    for (const PersistedPlacement& h : write.starts) {
      page.placements.push_back(h);
      Placement* p = placements_.find(h);
      if (!p || p->phase != Phase::committing) continue;
      p->phase = Phase::committed;
      placements_.note_direct_due(*machines_.at(h.machine));
    }
    for (auto& [j, c, bits] : write.done) {
      j->set_persisted(c, bits);
      j->dirty_since = now;
      auto [it, fresh] = j->done_page.try_emplace(c, write.page);
      if (!fresh && it->second == write.page) continue;
      it->second = write.page;
      page.done.emplace_back(j, c);
    }
  }
  return std::move(out.ended_jobs);
}

void PlacementStore::transaction_failed(double now) {
  if (!pending_) return;
  ++context_.counters.commit_failures;
  PendingTransaction out = std::move(*pending_);
  pending_.reset();
  for (const auto& write : out.writes)
    for (const PersistedPlacement& h : write.starts) {
      Placement* p = placements_.find(h);
      if (p && p->phase == Phase::committing) placements_.undo(*machines_.at(h.machine), *p, now);
    }
}

}  // namespace shunttrail::scheduler
