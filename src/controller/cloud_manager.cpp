#include "controller/cloud_manager.h"

#include <algorithm>
#include <utility>

#include "controller/inventory.h"
#include "controller/membership.h"

namespace shunttrail::controller {
namespace {
/// Interval between two reads of the machine types; their prices change.
constexpr double kTypesIntervalS = 60;
/// Interval between two collections of the shards' requests. Requests made in between are grouped.
constexpr double kCollectIntervalS = 0.4;
/// Shortest interval between two reads of the machine list.
constexpr double kMinListIntervalS = 6;
/// Share of this node's cloud calls that may be spent on reading the list.
constexpr double kListCallShare = 0.2;
/// Number of machines on one page of the list.
constexpr double kListPageMachines = 500;
/// A list lags by up to this many times the settings' lag (PROTOCOL, GET /rentals).
constexpr double kMaxListLags = 2;
/// Added, in seconds, to the greatest age of a list, for the error of the wall clocks that recorded
/// the times of the rentals.
constexpr double kListAgeMarginS = 2;
/// Time for which a machine must be listed without an inventory record before it is adopted.
constexpr double kAdoptAfterS = 20;
/// Time for which heartbeats of a deleted machine are refused.
constexpr double kDeletionRetentionS = 600;
/// Largest number of machines deleted by one call; the others are deleted by later calls. Deleting
/// 4,000 machines at once takes 40 calls.
constexpr std::size_t kMaxDeletions = 100;
}  // namespace

CloudManager::CloudManager(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop),
      components_(components),
      client_(loop, components.settings),
      missing_machines_(kMaxListLags * components.settings.list_lag_s + kListAgeMarginS) {
  components_.state_store->listen(
      reply<Changes>([this](const Changes& changes) { on_changes(*changes); }));
}

void CloudManager::on_changes(const std::vector<state::Change>& changes) {
  for (const auto& change : changes) {
    if (change.kind == state::Change::machine_set) on_machine_set(change.name);
    if (change.kind == state::Change::machine_deleted) on_machine_deleted(change.name);
  }
}

// The cloud must list a recorded machine even if no list that this process has read contains it:
// the machine may have left the cloud before the process started.
void CloudManager::on_machine_set(const std::string& name) {
  const wire::MachineRecord* machine = components_.state_store->cache().machine(name);
  if (!machine) return;
  const double age_s = machine->rented_at > 0 ? loop_.wall_now() - machine->rented_at : 0;
  missing_machines_.rented(name, loop_.now() - std::max(0.0, age_s));
}

// A machine that has left the inventory is deleted, whichever node deleted it. Recording this keeps
// a late copy of one of its heartbeats from having it adopted again.
void CloudManager::on_machine_deleted(const std::string& name) {
  if (components_.state_store->cache().machine(name)) return;
  deleted_at_[name] = loop_.now();
  missing_machines_.deleted(name);
}

const std::string* CloudManager::address(const std::string& machine) const {
  auto known = known_machines_.find(machine);
  return known == known_machines_.end() ? nullptr : &known->second.address;
}

double CloudManager::rented_at(const std::string& machine) const {
  auto known = known_machines_.find(machine);
  return known == known_machines_.end() ? 0 : known->second.rented_at;
}

void CloudManager::unknown_machine_reported(std::string machine, std::string address) {
  post([this, machine = std::move(machine), address = std::move(address)] {
    known_machines_[machine].address = address;
  });
}

void CloudManager::tick() {
  post([this] {
    const double now = loop_.now();
    if (catalogue_.empty() || now - types_loaded_at_ > kTypesIntervalS) load_types();
    if (now >= next_collect_at_) collect_requests();
    if (now > next_list_at_ && !is_listing_ && components_.state_store->loaded()) start_list();
  });
}

void CloudManager::load_types() {
  if (is_loading_types_) return;
  is_loading_types_ = true;
  using Types = std::vector<wire::MachineType>;
  client_.types(reply<Types>([this](const Types& types) {
    is_loading_types_ = false;
    if (types.empty()) return;
    types_loaded_at_ = loop_.now();
    catalogue_.load(types, components_.settings);
    components_.membership->reconsider_leadership();
  }));
}

// ---- rents and returns

// Sends at most one deletion call at a time, for one shard. Machines to return that come up
// meanwhile are grouped into the next call. The rate limit on calls is tight: with one call for
// each machine, hundreds of machines would be billed while their deletions wait.
void CloudManager::collect_requests() {
  next_collect_at_ = loop_.now() + kCollectIntervalS;
  forget_old_deletions();
  // A rental request's name contains the process id, so that no name is ever used twice. Without an
  // id nothing can be rented.
  if (!components_.membership->process_id()) return;
  const int shard_to_return = is_deleting_ ? -1 : next_shard_to_return();
  if (shard_to_return >= 0) {
    is_deleting_ = true;
    next_shard_to_return_ = shard_to_return + 1;
  }
  for (int shard = 0; shard < components_.settings.shards(); ++shard) {
    ShardController& controller = components_.shard_controller(shard);
    if (!controller.scheduler()) continue;
    const bool with_returns = shard == shard_to_return;
    using Requests = ShardController::CloudRequests;
    controller.cloud_requests(with_returns,
                              reply<Requests>([this, shard, with_returns](Requests requests) {
                                execute(shard, std::move(requests), with_returns);
                              }));
  }
}

// Returns the next shard, in rotation, that this node leads; -1 if there is none.
int CloudManager::next_shard_to_return() const {
  const int shards = components_.settings.shards();
  for (int i = 0; i < shards; ++i) {
    const int shard = (next_shard_to_return_ + i) % shards;
    if (components_.shard_controller(shard).scheduler()) return shard;
  }
  return -1;
}

void CloudManager::forget_old_deletions() {
  const double now = loop_.now();
  std::erase_if(deleted_at_,
                [&](const auto& removed) { return now - removed.second > kDeletionRetentionS; });
}

void CloudManager::execute(int shard, ShardController::CloudRequests requests, bool with_returns) {
  if (with_returns) {
    if (requests.machines_to_return.empty())
      is_deleting_ = false;
    else
      return_machines(shard, requests.opened_under, std::move(requests.machines_to_return));
  }
  for (const auto& request : requests.scale_out) rent(shard, requests.opened_under, request);
}

void CloudManager::rent(int shard, std::uint64_t opened_under,
                        const scheduler::ScaleOutRequest& request) {
  // The process id, which no other process has, and a counter make the name unique.
  const std::string name = "c-" + std::to_string(components_.membership->process_id()) + "-" +
                           std::to_string(++rent_requests_);
  const std::string& type = catalogue_.types[request.tier / 2].spec.name;
  const bool is_spot = request.tier % 2;
  client_.rent(
      name, type, components_.settings.zones[request.zone], is_spot,
      static_cast<int>(request.machines.size()),
      reply<cloud::RentResult>([this, shard, opened_under, request](cloud::RentResult result) {
        ShardController& controller = components_.shard_controller(shard);
        if (result.kind == cloud::RentResult::rented)
          controller.rented(opened_under, request, std::move(result.machines));
        else
          controller.rent_refused(opened_under, request,
                                  result.kind == cloud::RentResult::no_capacity);
      }));
}

void CloudManager::return_machines(int shard, std::uint64_t opened_under,
                                   std::vector<std::string> machines) {
  if (machines.size() > kMaxDeletions) {
    components_.shard_controller(shard).deleted(
        opened_under, {machines.begin() + kMaxDeletions, machines.end()}, false);
    machines.resize(kMaxDeletions);
  }
  client_.remove(machines, reply<bool>([this, shard, opened_under, machines](bool is_deleted) {
                   on_deleted(shard, opened_under, machines, is_deleted);
                 }));
}

void CloudManager::on_deleted(int shard, std::uint64_t opened_under,
                              const std::vector<std::string>& machines, bool is_deleted) {
  is_deleting_ = false;
  if (is_deleted) {
    // The machines are gone, even if another node leads the shard by now.
    for (const auto& name : machines) {
      deleted_at_[name] = loop_.now();
      components_.inventory->drop(name);
    }
  }
  components_.shard_controller(shard).deleted(opened_under, machines, is_deleted);
}

// ---- the list

// Every node reads the list to check its own machines. The node that leads the first shard also
// adopts listed machines that have no inventory record.
void CloudManager::start_list() {
  missing_machines_.list_started(loop_.now());
  read_list_page("");
}

void CloudManager::read_list_page(const std::string& after) {
  is_listing_ = true;
  client_.list(after, reply<bool, wire::MachineList>([this](bool is_read, wire::MachineList page) {
                 if (!is_read) {
                   is_listing_ = false;
                   next_list_at_ = loop_.now() + kMinListIntervalS;
                   return;
                 }
                 for (const auto& machine : page.machines) on_listed(machine);
                 if (page.more) return read_list_page(page.machines.back().name);
                 finish_list();
               }));
}

void CloudManager::on_listed(const wire::ListedMachine& machine) {
  missing_machines_.listed(machine.name);
  known_machines_[machine.name] = {machine.addr, loop_.wall_now() - machine.age_s};
  if (const auto* record = components_.state_store->cache().machine(machine.name))
    on_listed_recorded(machine, record->shard);
  else
    on_listed_unrecorded(machine);
}

void CloudManager::on_listed_recorded(const wire::ListedMachine& machine, int shard) {
  unrecorded_since_.erase(machine.name);
  if (shard >= components_.settings.shards()) return;
  ShardController& controller = components_.shard_controller(shard);
  if (!controller.scheduler()) return;
  controller.set_machine_address(machine.name, machine.addr);
  if (machine.state == "failed") controller.machine_failed(machine.name, false);
}

void CloudManager::on_listed_unrecorded(const wire::ListedMachine& machine) {
  const bool leads_first_shard = components_.shard_controller(0).scheduler() != nullptr;
  if (!leads_first_shard || was_recently_deleted(machine.name)) return;
  const double now = loop_.now();
  const double since = unrecorded_since_.try_emplace(machine.name, now).first->second;
  if (now - since > kAdoptAfterS)
    components_.inventory->adopt_orphan(
        {machine.name, machine.type, machine.zone, machine.spot, 0, 0, 0});
}

void CloudManager::finish_list() {
  report_missing();
  is_listing_ = false;
  next_list_at_ = loop_.now() + list_interval();
}

// Reports the machines that have left the cloud. Those that the inventory holds are reported after
// each list until they have left the inventory: a shard's leader may have changed since the last
// report, or may not have taken the machine as lost yet.
void CloudManager::report_missing() {
  for (const std::string& name : missing_machines_.list_finished()) {
    for (const auto& controller : components_.shard_controllers)
      controller->machine_failed(name, true);
    unrecorded_since_.erase(name);
    known_machines_.erase(name);
    if (!components_.state_store->cache().machine(name)) missing_machines_.deleted(name);
  }
}

// Returns the interval between two reads of the list, in seconds. Long lists are read less often,
// since each page takes one call.
double CloudManager::list_interval() const {
  const double pages = 1 + static_cast<double>(missing_machines_.list_size()) / kListPageMachines;
  const double calls_per_s =
      components_.settings.cloud_rps / components_.settings.shards() * kListCallShare;
  return std::max(kMinListIntervalS, pages / calls_per_s);
}

}  // namespace shunttrail::controller
