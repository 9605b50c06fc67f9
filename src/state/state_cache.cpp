#include "state/state_cache.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace shunttrail::state {

namespace {

/// Returns the number that a key's name begins with.
int number_in(const std::string& name) { return std::atoi(name.c_str()); }

}  // namespace

StateCache::StateCache(const config::Settings& settings)
    : settings_(settings),
      placement_pages_(settings.shards()),
      foreign_pages_(settings.shards()),
      leaders_(settings.shards()) {
  schema_.members.resize(static_cast<std::size_t>(settings.shards()));
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
LiveJob StateCache::live_job(const std::string& id) const {
  if (const JobEntry* entry = job(id)) return {LiveJob::Kind::ready, entry};
  if (const JobEntry* entry = waiting(id)) return {LiveJob::Kind::waiting, entry};
  const bool has_key = mod_revision(job_key(id)) > 0 || mod_revision(waiting_key(id)) > 0;
  return {has_key ? LiveJob::Kind::unreadable : LiveJob::Kind::none, nullptr};
}
const wire::MachineRecord* StateCache::machine(const std::string& name) const {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}
std::vector<wire::MachineRecord> StateCache::inventory(int page) const {
  std::vector<wire::MachineRecord> out;
  if (auto it = machines_by_page_.find(page); it != machines_by_page_.end())
    for (const auto& name : it->second) out.push_back(machines_.at(name));
  return out;
}

void StateCache::for_each_job_placements(
    const std::string& id, std::optional<int> only_shard,
    const std::function<void(const wire::JobPlacements&)>& visit) const {
  const auto known = pages_of_job_.find(id);
  if (known == pages_of_job_.end()) return;
  for (const auto& [shard, page] : known->second) {
    if (only_shard && shard != *only_shard) continue;
    const auto& jobs = placement_pages_[static_cast<std::size_t>(shard)].at(page).jobs;
    const auto job = std::find_if(jobs.begin(), jobs.end(),
                                  [&](const wire::JobPlacements& j) { return j.job == id; });
    if (job != jobs.end()) visit(*job);
  }
}

std::map<std::uint32_t, Intervals> StateCache::done_in(const std::string& id,
                                                       std::optional<int> shard) const {
  std::map<std::uint32_t, Intervals> out;
  for_each_job_placements(id, shard, [&](const wire::JobPlacements& job) {
    for (const auto& [chunk, finished] : job.done)
      out[chunk].insert(out[chunk].end(), finished.begin(), finished.end());
  });
  return out;
}

std::map<std::uint32_t, Intervals> StateCache::done(const std::string& id) const {
  return done_in(id, std::nullopt);
}

std::map<std::uint32_t, Intervals> StateCache::done(const std::string& id, int shard) const {
  return done_in(id, shard);
}

std::vector<bool> StateCache::placed(const std::string& id, int shard, std::uint32_t tasks) const {
  std::vector<bool> out(tasks, false);
  for_each_job_placements(id, shard, [&](const wire::JobPlacements& job) {
    for (const auto& placement : job.placements)
      if (placement.task < tasks) out[placement.task] = true;
  });
  return out;
}

StateCache::Progress StateCache::progress(const JobEntry& job, std::uint32_t chunk_size) const {
  const std::string& id = job.record.spec.id;
  std::vector<bool> is_counted(job.record.spec.tasks, false);
  const auto count = [&](std::uint64_t task, std::uint64_t& counter) {
    if (task >= is_counted.size() || is_counted[task]) return;
    is_counted[task] = true;
    ++counter;
  };
  Progress out;
  // Done tasks come first, since a placement of a done task is not counted.
  for (const auto& [chunk, finished] : done(id))
    for (const auto& [first, last] : finished)
      for (std::uint64_t i = first; i <= last; ++i)
        count(std::uint64_t{chunk} * chunk_size + i, out.done);
  for_each_job_placements(id, std::nullopt, [&](const wire::JobPlacements& placements) {
    for (const auto& placement : placements.placements) count(placement.task, out.placed);
  });
  return out;
}

bool StateCache::is_deleted_since(const wire::Event& event) const {
  const auto deleted = tombstones_.find(event.key);
  return deleted != tombstones_.end() && deleted->second >= event.mod_revision;
}

void StateCache::apply(const wire::Event& event, std::vector<Change>& changes) {
  const auto known = revisions_.find(event.key);
  if (known != revisions_.end() && known->second >= event.mod_revision) return;
  if (is_deleted_since(event)) return;
  if (event.mod_revision <= revision_) return;
  if (event.set()) {
    tombstones_.erase(event.key);
    revisions_[event.key] = event.mod_revision;
    set(event, changes);
  } else {
    tombstones_[event.key] = event.mod_revision;
    revisions_.erase(event.key);
    drop(event.key, changes);
  }
}

void StateCache::advance(std::uint64_t revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  std::erase_if(tombstones_, [&](const auto& t) { return t.second <= revision; });
  const std::size_t ended = std::erase_if(
      ended_delegated_, [&](const auto& job) { return !tombstones_.contains(job_key(job.first)); });
  if (ended > 0) ++delegation_changes_;
}

void StateCache::replace(std::uint64_t revision, const std::vector<wire::Event>& items,
                         std::vector<Change>& changes) {
  if (revision < revision_) return;
  std::set<std::string> present;
  for (const wire::Event& item : items) {
    present.insert(item.key);
    // A commit answered while the pages were read has deleted the key: the page is older.
    if (is_deleted_since(item)) continue;
    if (mod_revision(item.key) < item.mod_revision) {
      revisions_[item.key] = item.mod_revision;
      set(item, changes);
    }
  }
  std::vector<std::string> deleted;
  for (const auto& [key, key_revision] : revisions_)
    if (!present.contains(key) && key_revision <= revision) deleted.push_back(key);
  for (const std::string& key : deleted) {
    revisions_.erase(key);
    drop(key, changes);
  }
  advance(revision);
}

std::optional<int> StateCache::shard_in(const std::string& name) const {
  const int shard = number_in(name);
  if (shard < 0 || shard >= settings_.shards()) return std::nullopt;
  return shard;
}

std::optional<StateCache::PlacementPageName> StateCache::placement_page_in(
    const std::string& name) const {
  const auto slash = name.find('/');
  const std::optional<int> shard = shard_in(name);
  if (slash == std::string::npos || !shard) return std::nullopt;
  return PlacementPageName{*shard, number_in(name.substr(slash + 1))};
}

void StateCache::set(const wire::Event& event, std::vector<Change>& changes) {
  const std::optional<ParsedKey> key = parse_key(event.key);
  if (!key) return;
  try {
    set_parsed(*key, event, changes);
  } catch (const wire::Malformed&) {
    // No controller wrote this value. The key's revision is recorded, but its contents are ignored.
    ++malformed_;
  }
}

void StateCache::set_parsed(const ParsedKey& key, const wire::Event& event,
                            std::vector<Change>& changes) {
  const std::string& name = key.name;
  switch (key.kind) {
    case KeyKind::job:
      set_job(name, event);
      changes.push_back({Change::job_set, name, -1});
      break;
    case KeyKind::waiting_job:
      waiting_[name] = {wire::decode_job_record(event), event.mod_revision};
      changes.push_back({Change::waiting_set, name, -1});
      break;
    case KeyKind::inventory_page:
      set_inventory_page(number_in(name), event, changes);
      break;
    case KeyKind::schema:
      set_schema(event);
      changes.push_back({Change::schema_version, name, -1});
      break;
    case KeyKind::placement_page:
      set_placement_page(name, event);
      break;
    case KeyKind::leader:
      set_leader(name, event, changes);
      break;
    case KeyKind::node:
      set_node(name, {event.mod_revision, schema::decode_member(event)}, changes);
      break;
    case KeyKind::unknown:
      break;
  }
}

void StateCache::drop(const std::string& full_key, std::vector<Change>& changes) {
  const std::optional<ParsedKey> key = parse_key(full_key);
  if (!key) return;
  const std::string& name = key->name;
  switch (key->kind) {
    case KeyKind::job:
      if (!jobs_.contains(name)) break;
      drop_job(name, full_key);
      changes.push_back({Change::job_deleted, name, -1});
      break;
    case KeyKind::waiting_job:
      if (waiting_.erase(name)) changes.push_back({Change::waiting_deleted, name, -1});
      break;
    case KeyKind::inventory_page:
      for (auto& pages : pages_by_form_) pages.erase(number_in(name));
      replace_inventory(number_in(name), {}, changes);
      break;
    case KeyKind::schema:
      drop_schema(full_key);
      changes.push_back({Change::schema_version, name, -1});
      break;
    case KeyKind::placement_page:
      if (const auto page = placement_page_in(name)) drop_placement_page(*page);
      break;
    case KeyKind::leader:
      if (const auto shard = shard_in(name)) {
        leaders_[static_cast<std::size_t>(*shard)] = {};
        changes.push_back({Change::leader, name, *shard});
      }
      break;
    case KeyKind::node:
      set_node(name, {}, changes);
      break;
    case KeyKind::unknown:
      break;
  }
}

void StateCache::set_inventory_page(int page, const wire::Event& event,
                                    std::vector<Change>& changes) {
  wire::InventoryPageRecord record = wire::decode_inventory_page(event);
  for (auto& pages : pages_by_form_) pages.erase(page);
  pages_by_form_[static_cast<std::size_t>(record.form)].insert(page);
  replace_inventory(page, std::move(record.machines), changes);
}

void StateCache::set_job(const std::string& id, const wire::Event& event) {
  JobEntry entry{wire::decode_job_record(event), event.mod_revision};
  const std::optional<wire::Delegation>& delegation = entry.record.delegation;
  if (delegation && !delegation->is_readable) ++malformed_;
  const bool was_delegated = delegation ? !delegated_.insert(id).second : delegated_.erase(id) > 0;
  if (delegation || was_delegated) ++delegation_changes_;
  jobs_[id] = std::move(entry);
}

void StateCache::drop_job(const std::string& id, const std::string& key) {
  const auto job = jobs_.find(id);
  if (delegated_.erase(id) > 0) {
    ++delegation_changes_;
    if (tombstones_.contains(key)) ended_delegated_[id] = std::move(job->second);
  }
  jobs_.erase(job);
}

bool StateCache::has_surplus_delegations() const {
  return !delegated_.empty() && !schema::FeatureGate(schema_).on(schema::Feature::delegation);
}

// Indexes only entries of teams of other shards.
void StateCache::index_foreign(const PlacementPageName& name, const wire::PlacementPageRecord& page,
                               bool is_added) {
  for (const wire::JobPlacements& job : page.jobs) {
    if (job.team < 0) continue;
    const auto team = static_cast<std::size_t>(job.team);
    if (team >= settings_.team_shard.size() || settings_.team_shard[team] == name.shard) continue;
    ++delegation_changes_;
    auto& pages = foreign_pages_[static_cast<std::size_t>(settings_.team_shard[team])];
    if (is_added)
      pages.insert({name.shard, name.page});
    else
      pages.erase({name.shard, name.page});
  }
}

void StateCache::set_placement_page(const std::string& name, const wire::Event& event) {
  const std::optional<PlacementPageName> page = placement_page_in(name);
  if (!page) return;
  wire::PlacementPageRecord record = wire::decode_placement_page(
      event, [this](const std::string& team) { return settings_.team_index(team); });
  drop_placement_page(*page);
  const std::pair at(page->shard, page->page);
  for (const auto& job : record.jobs) pages_of_job_[job.job].insert(at);
  index_foreign(*page, record, true);
  placement_pages_[static_cast<std::size_t>(page->shard)].emplace(page->page, std::move(record));
}

void StateCache::drop_placement_page(const PlacementPageName& name) {
  auto& pages = placement_pages_[static_cast<std::size_t>(name.shard)];
  const auto page = pages.find(name.page);
  if (page == pages.end()) return;
  index_foreign(name, page->second, false);
  for (const auto& job : page->second.jobs) {
    const auto known = pages_of_job_.find(job.job);
    if (known == pages_of_job_.end()) continue;
    known->second.erase({name.shard, name.page});
    if (known->second.empty()) pages_of_job_.erase(known);
  }
  pages.erase(page);
}

void StateCache::set_leader(const std::string& name, const wire::Event& event,
                            std::vector<Change>& changes) {
  const std::optional<int> shard = shard_in(name);
  if (!shard) return;
  const wire::LeaderRecord record = wire::decode_leader_record(event);
  leaders_[static_cast<std::size_t>(*shard)] = {settings_.node_index(record.node), record.tag,
                                                event.mod_revision};
  changes.push_back({Change::leader, name, *shard});
}

void StateCache::set_node(const std::string& name, const schema::StoredView::Member& member,
                          std::vector<Change>& changes) {
  const int node = settings_.node_index(name);
  if (node < 0) return;
  schema_.members[static_cast<std::size_t>(node)] = member;
  changes.push_back({Change::node, name, node});
}

int StateCache::inventory_form() const {
  return schema::FeatureGate(schema_).on(schema::Feature::machine_ages) ? 1 : 0;
}
double StateCache::converted() const {
  const auto current = static_cast<double>(inventory_pages(inventory_form()).size());
  const auto outdated = static_cast<double>(inventory_to_convert().size());
  return current + outdated > 0 ? current / (current + outdated) : 1;
}

// Unlike other malformed values, an unreadable schema record is reported: it may mean that this
// build cannot read the stored state correctly.
void StateCache::set_schema(const wire::Event& event) {
  if (event.key == schema::kActiveKey) {
    schema_.mod_revision = event.mod_revision;
    schema_.unreadable.clear();
    try {
      schema_.record = schema::decode_record(event);
    } catch (const wire::Malformed& error) {
      schema_.unreadable = error.what();
      ++malformed_;
    }
  } else if (event.key == schema::kOrdersKey) {
    schema_.orders_revision = event.mod_revision;
    schema_.orders_unreadable = false;
    try {
      schema_.orders = schema::decode_orders(event);
    } catch (const wire::Malformed&) {
      schema_.orders_unreadable = true;
      ++malformed_;
    }
  }
}
void StateCache::drop_schema(const std::string& key) {
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

void StateCache::replace_inventory(int page, std::vector<wire::MachineRecord> machines,
                                   std::vector<Change>& changes) {
  std::vector<std::string> names;
  for (wire::MachineRecord& machine : machines) {
    names.push_back(machine.name);
    page_by_machine_[machine.name] = page;
    auto [known, is_new] = machines_.try_emplace(machine.name);
    if (!is_new && known->second == machine) continue;
    known->second = std::move(machine);
    changes.push_back({Change::machine_set, known->first, known->second.shard});
  }
  std::sort(names.begin(), names.end());
  for (const std::string& old_name : machines_by_page_[page]) {
    if (std::binary_search(names.begin(), names.end(), old_name)) continue;
    // The machine may have moved to another part of its page.
    const auto current_page = page_by_machine_.find(old_name);
    if (current_page == page_by_machine_.end() || current_page->second != page) continue;
    page_by_machine_.erase(current_page);
    machines_.erase(old_name);
    changes.push_back({Change::machine_deleted, old_name, -1});
  }
  machines_by_page_[page] = std::move(names);
}

}  // namespace shunttrail::state
