#include "state/state_cache.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace shunttrail::state {

std::string node_key(const std::string& node) { return "st/n/" + node; }
std::string leader_key(int shard) { return "st/o/" + std::to_string(shard); }
std::string job_key(const std::string& id) { return "st/j/" + id; }
std::string waiting_key(const std::string& id) { return "st/w/" + id; }
std::string inventory_key(int page) { return "st/m/" + std::to_string(page); }
int inventory_page(const std::string& machine) {
  // Numbers of up to 8 digits make 3.1 million pages at the most, which lie before those of the
  // other names, and all lie before the first further part (kPart).
  constexpr int kPage = 32, kOdd = 1 << 24;
  auto digits = machine.find_last_not_of("0123456789") + 1;
  if (digits < machine.size() && machine.size() - digits < 9)
    return std::atoi(machine.c_str() + digits) / kPage;
  int sum = 0;
  for (char c : machine) sum = (sum * 31 + static_cast<unsigned char>(c)) % 64;
  return kOdd + sum;
}
constexpr int kPart = 1 << 26;  // beyond every page's number
int inventory_part(int page, int part) { return page + part * kPart; }
int inventory_base(int part) { return part % kPart; }
std::string placement_page_key(int shard, int page) {
  return "st/a/" + std::to_string(shard) + "/" + std::to_string(page);
}
std::string job_result_key(const std::string& id) { return kJobResults + id; }

StateCache::StateCache(const config::Settings& s)
    : settings_(s), placement_pages_(s.shards()), leaders_(s.shards()) {
  schema_.members.resize(static_cast<std::size_t>(s.shards()));
}

std::uint64_t StateCache::mod_revision(const std::string& key) const {
  auto it = revisions_.find(key);
  return it == revisions_.end() ? 0 : it->second;
}
const JobEntry* StateCache::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}
const JobEntry* StateCache::waiting(const std::string& id) const {
  auto it = waiting_.find(id);
  return it == waiting_.end() ? nullptr : &it->second;
}
const wire::MachineRecord* StateCache::machine(const std::string& name) const {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}
std::vector<wire::MachineRecord> StateCache::inventory(int page) const {
  std::vector<wire::MachineRecord> out;
  if (auto it = pages_.find(page); it != pages_.end())
    for (const auto& name : it->second) out.push_back(machines_.at(name));
  return out;
}

void StateCache::for_each_job_placements(
    const std::string& id, const std::function<void(const wire::JobPlacements&)>& f) const {
  auto known = pages_of_job_.find(id);
  if (known == pages_of_job_.end()) return;
  for (const auto& [shard, page] : known->second)
    for (const auto& g : placement_pages_[static_cast<std::size_t>(shard)].at(page).jobs)
      if (g.job == id) {
        f(g);
        break;
      }
}
void StateCache::put_placement_page(int shard, int page,
                                    std::optional<wire::PlacementPageRecord> r) {
  auto& all = placement_pages_[static_cast<std::size_t>(shard)];
  const std::pair at(shard, page);
  if (auto old = all.find(page); old != all.end()) {
    for (const auto& g : old->second.jobs)
      if (auto of = pages_of_job_.find(g.job); of != pages_of_job_.end()) {
        of->second.erase(at);
        if (of->second.empty()) pages_of_job_.erase(of);
      }
    all.erase(old);
  }
  if (!r) return;
  for (const auto& g : r->jobs) pages_of_job_[g.job].insert(at);
  all.emplace(page, std::move(*r));
}
std::map<std::uint32_t, Intervals> StateCache::done(const std::string& id) const {
  std::map<std::uint32_t, Intervals> out;
  for_each_job_placements(id, [&](const wire::JobPlacements& g) {
    for (const auto& [c, list] : g.done) out[c].insert(out[c].end(), list.begin(), list.end());
  });
  return out;
}
StateCache::Progress StateCache::progress(const JobEntry& j, std::uint32_t chunk_size) const {
  const std::string& id = j.record.spec.id;
  std::vector<bool> known(j.record.spec.tasks, false);  // done, or counted as placed
  Progress out;
  auto count = [&](std::uint64_t task, std::uint64_t& n) {
    if (task >= known.size() || known[task]) return;
    known[task] = true;
    ++n;
  };
  for (const auto& [c, list] : done(id))
    for (auto [a, b] : list)
      for (std::uint64_t i = a; i <= b; ++i) count(std::uint64_t{c} * chunk_size + i, out.done);
  for_each_job_placements(id, [&](const wire::JobPlacements& g) {
    for (const auto& p : g.placements) count(p.task, out.placed);
  });
  return out;
}

void StateCache::apply(const wire::Event& e, std::vector<Change>& changes) {
  auto known = revisions_.find(e.key);
  if (known != revisions_.end() && known->second >= e.mod_revision) return;
  auto tomb = tombstones_.find(e.key);
  if (tomb != tombstones_.end() && tomb->second >= e.mod_revision) return;
  if (e.mod_revision <= revision_) return;
  if (e.set()) {
    tombstones_.erase(e.key);
    revisions_[e.key] = e.mod_revision;
    set(e, changes);
  } else {
    tombstones_[e.key] = e.mod_revision;
    revisions_.erase(e.key);
    drop(e.key, changes);
  }
}

void StateCache::advance(std::uint64_t revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  std::erase_if(tombstones_, [&](const auto& t) { return t.second <= revision; });
}

void StateCache::replace(std::uint64_t revision, const std::vector<wire::Event>& items,
                         std::vector<Change>& changes) {
  if (revision < revision_) return;
  std::set<std::string> here;
  for (const auto& e : items) {
    here.insert(e.key);
    // Dropped by a commit that was answered while the pages were read: its page is older news.
    if (auto tomb = tombstones_.find(e.key);
        tomb != tombstones_.end() && tomb->second >= e.mod_revision)
      continue;
    if (mod_revision(e.key) < e.mod_revision) {
      revisions_[e.key] = e.mod_revision;
      set(e, changes);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [k, s] : revisions_)
    if (!here.contains(k) && s <= revision) gone.push_back(k);
  for (const auto& k : gone) {
    revisions_.erase(k);
    drop(k, changes);
  }
  advance(revision);
}

void StateCache::set(const wire::Event& e, std::vector<Change>& changes) {
  if (e.key.size() < 6) return;
  std::string rest = e.key.substr(5);
  try {
    switch (e.key[3]) {
      case 'j': {
        jobs_[rest] = {wire::decode_job_record(e), e.mod_revision};
        changes.push_back({Change::job_set, rest, -1});
        break;
      }
      case 'w':
        waiting_[rest] = {wire::decode_job_record(e), e.mod_revision};
        changes.push_back({Change::waiting_set, rest, -1});
        break;
      case 'm': {
        const int page = std::atoi(rest.c_str());
        wire::InventoryPageRecord r = wire::decode_inventory_page(e);
        for (auto& pages : pages_by_form_) pages.erase(page);
        pages_by_form_[static_cast<std::size_t>(r.form)].insert(page);
        inventory(page, std::move(r.machines), changes);
        break;
      }
      case 'l':
        schema_set(e);
        changes.push_back({Change::schema_version, rest, -1});
        break;
      case 'a': {
        auto slash = rest.find('/');
        int shard = std::atoi(rest.c_str());
        if (slash == std::string::npos || shard < 0 || shard >= settings_.shards()) break;
        put_placement_page(shard, std::atoi(rest.c_str() + slash + 1),
                           wire::decode_placement_page(
                               e, [&](const std::string& t) { return settings_.team_index(t); }));
        break;
      }
      case 'o': {
        int shard = std::atoi(rest.c_str());
        if (shard < 0 || shard >= settings_.shards()) break;
        auto r = wire::decode_leader_record(e);
        leaders_[shard] = {settings_.node_index(r.node), r.tag, e.mod_revision};
        changes.push_back({Change::leader, rest, shard});
        break;
      }
      case 'n': {
        int n = settings_.node_index(rest);
        if (n < 0) break;
        schema_.members[static_cast<std::size_t>(n)] = {e.mod_revision, schema::decode_member(e)};
        changes.push_back({Change::node, rest, n});
        break;
      }
      default:
        break;
    }
  } catch (const wire::Malformed&) {
    // A value nobody here wrote. The key's revision is kept, its meaning is not guessed.
    ++malformed_;
  }
}

void StateCache::drop(const std::string& key, std::vector<Change>& changes) {
  if (key.size() < 6) return;
  std::string rest = key.substr(5);
  switch (key[3]) {
    case 'j':
      if (jobs_.erase(rest)) changes.push_back({Change::job_gone, rest, -1});
      break;
    case 'w':
      if (waiting_.erase(rest)) changes.push_back({Change::waiting_gone, rest, -1});
      break;
    case 'm':
      for (auto& pages : pages_by_form_) pages.erase(std::atoi(rest.c_str()));
      inventory(std::atoi(rest.c_str()), {}, changes);
      break;
    case 'l':
      schema_gone(key);
      changes.push_back({Change::schema_version, rest, -1});
      break;
    case 'a': {
      auto slash = rest.find('/');
      int shard = std::atoi(rest.c_str());
      if (slash == std::string::npos || shard < 0 || shard >= settings_.shards()) break;
      put_placement_page(shard, std::atoi(rest.c_str() + slash + 1), std::nullopt);
      break;
    }
    case 'o': {
      int shard = std::atoi(rest.c_str());
      if (shard < 0 || shard >= settings_.shards()) break;
      leaders_[shard] = {};
      changes.push_back({Change::leader, rest, shard});
      break;
    }
    case 'n': {
      int n = settings_.node_index(rest);
      if (n < 0) break;
      schema_.members[static_cast<std::size_t>(n)] = {};
      changes.push_back({Change::node, rest, n});
      break;
    }
    default:
      break;
  }
}

int StateCache::inventory_form() const {
  return schema::FeatureGate(schema_).on(schema::Feature::machine_ages) ? 1 : 0;
}
double StateCache::converted() const {
  const auto right = static_cast<double>(inventory_pages(inventory_form()).size());
  const auto wrong = static_cast<double>(inventory_to_convert().size());
  return right + wrong > 0 ? right / (right + wrong) : 1;
}

// A record that cannot be read is not passed over as other garbage is: it may say that nothing that
// stands can be read rightly by this build.
void StateCache::schema_set(const wire::Event& e) {
  if (e.key == schema::kActiveKey) {
    schema_.mod_revision = e.mod_revision;
    schema_.unreadable.clear();
    try {
      schema_.record = schema::decode_record(e);
    } catch (const wire::Malformed& x) {
      schema_.unreadable = x.what();
      ++malformed_;
    }
  } else if (e.key == schema::kOrdersKey) {
    schema_.orders_revision = e.mod_revision;
    schema_.orders_unreadable = false;
    try {
      schema_.orders = schema::decode_orders(e);
    } catch (const wire::Malformed&) {
      schema_.orders_unreadable = true;
      ++malformed_;
    }
  }
}
void StateCache::schema_gone(const std::string& key) {
  if (key == schema::kActiveKey) {
    schema_.record = {};
    schema_.mod_revision = 0;
    schema_.unreadable.clear();
  } else if (key == schema::kOrdersKey) {
    schema_.orders = {};
    schema_.orders_revision = 0;
    schema_.orders_unreadable = false;
  }
}

// A page of the inventory as it is now: only what differs is news.
void StateCache::inventory(int page, std::vector<wire::MachineRecord> now,
                           std::vector<Change>& changes) {
  std::vector<std::string> names;
  for (auto& m : now) {
    names.push_back(m.name);
    page_of_[m.name] = page;
    auto [it, fresh] = machines_.try_emplace(m.name);
    if (!fresh && it->second == m) continue;
    it->second = std::move(m);
    changes.push_back({Change::machine_set, it->first, it->second.shard});
  }
  std::sort(names.begin(), names.end());
  for (const auto& old : pages_[page])
    if (!std::binary_search(names.begin(), names.end(), old)) {
      // It may have moved to another part of its page.
      auto at = page_of_.find(old);
      if (at == page_of_.end() || at->second != page) continue;
      page_of_.erase(at);
      machines_.erase(old);
      changes.push_back({Change::machine_gone, old, -1});
    }
  pages_[page] = std::move(names);
}

}  // namespace shunttrail::state
