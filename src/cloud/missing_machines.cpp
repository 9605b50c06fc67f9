#include "cloud/missing_machines.h"

#include <algorithm>

namespace shunttrail::cloud {
namespace {
/// Number of consecutive lists that must lack a machine before it counts as gone.
constexpr int kMissingListsUntilGone = 2;
}  // namespace

void MissingMachines::rented(const std::string& machine, double at) {
  RentedMachine& known = rented_.try_emplace(machine, RentedMachine{at}).first->second;
  known.rented_at = std::min(known.rented_at, at);
}

void MissingMachines::deleted(const std::string& machine) { rented_.erase(machine); }

void MissingMachines::list_started(double now) {
  list_started_at_ = now;
  listed_.clear();
}

void MissingMachines::listed(const std::string& machine) {
  listed_.insert(machine);
  rented(machine, list_started_at_);
}

bool MissingMachines::is_missing(const std::string& name, const RentedMachine& machine) const {
  return machine.rented_at + max_list_age_s_ < list_started_at_ && !listed_.contains(name);
}

std::vector<std::string> MissingMachines::list_finished() {
  std::vector<std::string> gone;
  for (auto& [name, machine] : rented_) {
    machine.missing_lists = is_missing(name, machine) ? machine.missing_lists + 1 : 0;
    if (machine.missing_lists >= kMissingListsUntilGone) gone.push_back(name);
  }
  std::sort(gone.begin(), gone.end());  // the order of a hash table differs between builds
  return gone;
}

}  // namespace shunttrail::cloud
