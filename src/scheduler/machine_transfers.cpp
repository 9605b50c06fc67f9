#include "scheduler/machine_transfers.h"

#include <algorithm>
#include <tuple>

namespace shunttrail::scheduler {

namespace {
/// Amounts that differ by less are treated as equal.
constexpr double kAmountTolerance = 1e-9;
}  // namespace

double MachineTransfers::units(const Machine& machine) const {
  return context_.catalogue.units(machine.type);
}

double MachineTransfers::transferring() const {
  double sum = 0;
  for (const auto& [number, machine] : machines_.all())
    if (machine->transfer_to >= 0 && machine->type >= 0) sum += units(*machine);
  return sum;
}

double MachineTransfers::capacity() const {
  double sum = 0;
  for (const auto& [number, machine] : machines_.all())
    if (machine->type >= 0 && !machine->leaving && !machine->draining) sum += units(*machine);
  return sum;
}

// Removes the mark of a machine that the other shard no longer needs. Does nothing for an empty
// machine: the inventory may already be committing its transfer.
void MachineTransfers::cancel_transfer(Machine& machine) {
  if (machine.transfer_to < 0 || machine.lost || machine.return_requested) return;
  if (!machine.has_work()) return;
  machine.transfer_to = -1;
  machine.leaving = machine.is_faulty();
  context_.scheduling_due = true;
}

// Removes marks beyond the amount. Returns the amount that remains to be marked.
double MachineTransfers::trim_marked(const MachineTransfer& transfer) {
  double remaining = transfer.amount;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->transfer_to != transfer.to || machine->type < 0) continue;
    if (remaining < units(*machine)) cancel_transfer(*machine);
    if (machine->transfer_to == transfer.to) remaining -= units(*machine);
  }
  return remaining;
}

// Returns true if the machine may be marked. A machine with a replica is not marked: it would stay
// half empty for as long as the service runs.
bool MachineTransfers::can_be_transferred(const Machine& machine) {
  if (machine.state != Machine::up || !machine.in_inventory || machine.type < 0) return false;
  if (machine.leaving || machine.draining || machine.queue.reserved_for) return false;
  return !machine.has_replicas();
}

// Marks idle machines first, then the emptiest ones, which move as soon as their tasks have ended:
// work spread thinly across a surplus leaves hardly any machine idle. Among equals, machines that
// can take most of the other shard's waiting work are marked first.
std::vector<Machine*> MachineTransfers::transfer(const MachineTransfer& transfer) {
  double remaining = trim_marked(transfer);
  const auto usefulness = [&](const Machine& machine) {
    return transfer.usefulness_by_tier[static_cast<std::size_t>(machine.tier())];
  };
  const auto fits = [&](const Machine& machine) {
    return units(machine) <= remaining + kAmountTolerance;
  };
  std::vector<Machine*> candidates;
  for (const auto& [number, machine] : machines_.all())
    if (can_be_transferred(*machine) && fits(*machine) && usefulness(*machine) > 0)
      candidates.push_back(machine.get());
  const auto rank = [&](const Machine* machine) {
    return std::tuple(!machine->was_idle, machine->tasks.used.cpus, -usefulness(*machine));
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Machine* a, const Machine* b) { return rank(a) < rank(b); });
  std::vector<Machine*> marked;
  for (Machine* machine : candidates) {
    if (!fits(*machine)) continue;
    machine->leaving = true;
    machine->transfer_to = transfer.to;
    remaining -= units(*machine);
    marked.push_back(machine);
  }
  return marked;
}

bool MachineTransfers::is_ready_to_transfer(const Machine& machine) {
  return machine.transfer_to >= 0 && machine.in_inventory && machine.is_empty();
}

int MachineTransfers::transfer_target(const std::string& name) const {
  const Machine* machine = machines_.find(name);
  return machine && is_ready_to_transfer(*machine) ? machine->transfer_to : -1;
}

std::vector<InventoryChange> MachineTransfers::inventory_changes(
    std::uint64_t token, const IsRequested& is_requested) const {
  std::vector<InventoryChange> changes;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->name.empty() || machine->type < 0 || machine->zone < 0) continue;
    const bool is_transfer = is_ready_to_transfer(*machine);
    if (machine->in_inventory && !is_transfer) continue;
    const auto kind = is_transfer ? InventoryChange::transfer : InventoryChange::add;
    const int shard = is_transfer ? machine->transfer_to : context_.shard;
    if (is_requested(machine->name, kind, shard)) continue;
    const auto& type = context_.catalogue.types[static_cast<std::size_t>(machine->type)];
    const auto& zone = context_.settings.zones[static_cast<std::size_t>(machine->zone)];
    changes.push_back({kind,
                       {machine->name, type.spec.name, zone, machine->spot, shard, token, 0},
                       machine->rented_at});
  }
  return changes;
}

}  // namespace shunttrail::scheduler
