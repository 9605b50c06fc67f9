#include "scheduler/rentals.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;

namespace {
/// Time, in seconds, for which no machine is ordered in a tier and zone after the cloud had none.
constexpr double kRefusalPauseS = 15;
/// Maximum number of machines in one request, which the protocol defines. A tier and zone has one
/// request in flight at a time, so 4,000 machines take 80 requests; a controller makes about two
/// requests per second.
constexpr std::size_t kMaxMachinesPerRequest = 50;
/// Number of machines that may be on order at a time after a refusal, and the factor by which a
/// successful request raises that limit.
constexpr std::size_t kInitialOrderLimit = 2;
constexpr std::size_t kOrderLimitGrowth = 4;
}  // namespace

bool Rentals::refused_lately(int tier, int zone, double now) const {
  const auto until = refused_until_.find({tier, zone});
  return until != refused_until_.end() && until->second > now;
}

int Rentals::pick_zone(const Job& job, int tier, double now) const {
  const std::size_t zones = context_.settings.zones.size();
  const auto& type = context_.catalogue.types[static_cast<std::size_t>(tier / 2)];
  std::vector<int> machines(zones, 0);
  std::vector<std::size_t> ordered(zones, 0);
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->zone < 0) continue;
    const auto zone = static_cast<std::size_t>(machine->zone);
    ++machines[zone];
    if (machine->state == Machine::ordered && machine->tier() == tier) ++ordered[zone];
  }
  int best_zone = -1;
  for (std::size_t index = 0; index < zones; ++index) {
    const int zone = static_cast<int>(index);
    if (!type.in_zone[index] || !machines_.allows_zone(job, zone)) continue;
    if (refused_lately(tier, zone, now)) continue;
    // Limit the machines on order. Otherwise, hundreds of tasks would join orders that the cloud
    // then refuses, and would have walked the chain in vain.
    const auto limit = order_limits_.find({tier, zone});
    if (limit != order_limits_.end() && ordered[index] >= limit->second) continue;
    if (best_zone < 0 || machines[index] < machines[static_cast<std::size_t>(best_zone)])
      best_zone = zone;
  }
  return best_zone;
}

Machine& Rentals::order(int tier, int zone, double now) {
  Machine& machine = machines_.add(tier, zone);
  machine.rented_at = now;
  machines_.rented_again(tier, now);
  return machine;
}

std::vector<ScaleOutRequest> Rentals::scale_out_requests(double now,
                                                         std::vector<Machine*>& rejected) {
  std::map<TierAndZone, ScaleOutRequest> groups;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->state != Machine::ordered || machine->rent_requested) continue;
    const TierAndZone key{machine->tier(), machine->zone};
    // An order made while the cloud is known to have no capacity goes back to the chain.
    if (refused_lately(machine->tier(), machine->zone, now)) {
      rejected.push_back(machine.get());
      continue;
    }
    // Only one request for each tier and zone is in flight: later orders go into the next one,
    // since calls to the cloud are scarcer than machines.
    if (requesting_.contains(key)) continue;
    ScaleOutRequest& request = groups[key];
    if (request.machines.size() >= kMaxMachinesPerRequest) continue;
    request.tier = machine->tier();
    request.zone = machine->zone;
    request.machines.push_back(number);
  }
  std::vector<ScaleOutRequest> requests;
  for (auto& [key, request] : groups) {
    for (const int number : request.machines) machines_.at(number)->rent_requested = true;
    requesting_.insert(key);
    requests.push_back(std::move(request));
  }
  return requests;
}

// Returns the ordered machine at the index, or a new one if that has been removed.
Machine& Rentals::ordered_or_new_machine(const ScaleOutRequest& request, std::size_t index) {
  Machine* ordered =
      index < request.machines.size() ? machines_.at(request.machines[index]) : nullptr;
  return ordered ? *ordered : machines_.add(request.tier, request.zone);
}

std::vector<int> Rentals::rented(const ScaleOutRequest& request,
                                 const std::vector<std::string>& names, double now) {
  const TierAndZone key{request.tier, request.zone};
  requesting_.erase(key);
  if (const auto limit = order_limits_.find(key); limit != order_limits_.end()) {
    limit->second *= kOrderLimitGrowth;
    if (limit->second > kMaxMachinesPerRequest) order_limits_.erase(limit);
  }
  std::vector<int> unused;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (machines_.contains(names[i])) {
      // The machine sent a heartbeat, and was adopted, before the cloud's response arrived.
      const Machine* ordered =
          i < request.machines.size() ? machines_.at(request.machines[i]) : nullptr;
      if (ordered) unused.push_back(ordered->number);
      continue;
    }
    machines_.mark_booting(ordered_or_new_machine(request, i), names[i], now);
    ++context_.counters.rents;
  }
  if (names.size() < request.machines.size()) {
    const std::vector<int> unrented = refused(request, names.size(), true, now);
    unused.insert(unused.end(), unrented.begin(), unrented.end());
  }
  context_.scheduling_due = true;
  return unused;
}

std::vector<int> Rentals::refused(const ScaleOutRequest& request, std::size_t from,
                                  bool no_capacity, double now) {
  const TierAndZone key{request.tier, request.zone};
  requesting_.erase(key);
  if (no_capacity) {
    refused_until_[key] = now + kRefusalPauseS;
    order_limits_[key] = kInitialOrderLimit;
  }
  context_.counters.refused += request.machines.size() - from;
  context_.scheduling_due = true;
  return {request.machines.begin() + static_cast<long>(from), request.machines.end()};
}

std::vector<std::string> Rentals::machines_to_return() {
  std::vector<std::string> names;
  for (const auto& [number, machine] : machines_.all()) {
    if (!machine->leaving || machine->return_requested || machine->name.empty()) continue;
    if (machine->transfer_to >= 0 && !machine->lost) continue;
    // Wait for the tasks of a reachable machine to finish, but not for those of a lost one.
    if (machine->has_work() && !machine->lost) continue;
    machine->return_requested = true;
    names.push_back(machine->name);
  }
  return names;
}

void Rentals::return_failed(const std::string& name) {
  if (Machine* machine = machines_.find(name)) machine->return_requested = false;
}

}  // namespace shunttrail::scheduler
