#include "scheduler/machines.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::Resources;

namespace {
/// Number of images that a machine's cache is assumed to hold if the size of the cache is unknown.
constexpr std::size_t kDefaultCachedImages = 8;
}  // namespace

// ---- the table

Machine* Machines::find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : at(found->second);
}

Machine* Machines::at(int number) const {
  const auto index = static_cast<std::size_t>(number);
  return index < by_number_.size() ? by_number_[index] : nullptr;
}

Machine& Machines::add(int tier, int zone) {
  auto added = std::make_unique<Machine>();
  Machine& machine = *added;
  machine.number = next_number_++;
  machine.type = tier / 2;
  machine.spot = tier % 2;
  machine.zone = zone;
  all_.emplace_back(machine.number, std::move(added));
  by_number_.resize(static_cast<std::size_t>(next_number_), nullptr);
  by_number_[static_cast<std::size_t>(machine.number)] = &machine;
  return machine;
}

void Machines::mark_booting(Machine& machine, const std::string& name, double now) {
  machine.name = name;
  machine.state = Machine::booting;
  machine.rented_at = machine.last_heartbeat = machine.last_response_at = now;
  by_name_[name] = machine.number;
}

bool Machines::add_recorded(const wire::MachineRecord& record, double now) {
  if (Machine* existing = find(record.name)) {
    existing->in_inventory = true;
    return false;
  }
  Machine& machine = add(0, context_.settings.zone_index(record.zone));
  machine.type = context_.catalogue.type_index(record.type);
  machine.spot = record.spot;
  machine.in_inventory = true;
  mark_booting(machine, record.name, now);
  // The type or zone is no longer known: the machine gets no new tasks, and is returned once its
  // tasks have ended.
  if (machine.type < 0 || machine.zone < 0) machine.leaving = true;
  return true;
}

void Machines::erase(int number) {
  const Machine* machine = at(number);
  if (!machine) return;
  if (!machine->name.empty()) by_name_.erase(machine->name);
  by_number_[static_cast<std::size_t>(number)] = nullptr;
  all_.erase(std::lower_bound(all_.begin(), all_.end(), number,
                              [](const auto& entry, int wanted) { return entry.first < wanted; }));
}

const MachineCatalogue::Type& Machines::type_of(const Machine& machine) const {
  return context_.catalogue.types[static_cast<std::size_t>(machine.type)];
}

// ---- capacity and constraints

Resources Machines::free_capacity(const Machine& machine) const {
  return machine.type < 0 ? Resources{} : type_of(machine).capacity - machine.tasks.used;
}

Resources Machines::free_capacity(const Machine& machine, int priority_band) const {
  const bool is_urgent = priority_band < Job::kGuaranteed;
  return is_urgent ? free_capacity(machine) : free_capacity(machine) - machine.reserved;
}

bool Machines::warm(const Machine& machine, int image) {
  return std::find(machine.images.begin(), machine.images.end(), image) != machine.images.end();
}

bool Machines::type_ok(const Job& job, int type, bool spot) const {
  return type >= 0 && context_.catalogue.accepts(2 * type + (spot ? 1 : 0), job.spec, job.need);
}

bool Machines::allows_zone(const Job& job, int zone) const {
  if (job.spec.zone && context_.settings.zone_index(*job.spec.zone) != zone) return false;
  return job.allows_zone(zone);
}

bool Machines::usable(const Machine& machine, const Job& job, double now) const {
  if (machine.leaving || machine.draining) return false;
  if (machine.avoid_until > now || machine.zone < 0) return false;
  return type_ok(job, machine.type, machine.spot) && allows_zone(job, machine.zone);
}

// ---- heartbeats and images

bool Machines::heartbeat_received(Machine& machine, const wire::Heartbeat& heartbeat,
                                  bool is_new_incarnation, double now) {
  machine.addr = heartbeat.addr;
  machine.last_heartbeat = now;
  if (machine.lost_responses < kLostResponsesBeforeSuspicion) machine.unanswered_probes = 0;
  if (machine.state != Machine::up) {
    machine.state = Machine::up;
    machine.idle_since = now;
    context_.scheduling_due = true;
  }
  if (is_new_incarnation) machine.images.clear();
  machine.notice_s = heartbeat.notice_s;
  if (!heartbeat.notice_s || machine.draining) return false;
  machine.draining = true;
  return true;
}

// A machine caches the most recently used images, as many as its cache holds. If fewer were
// remembered here, tasks would be sent to machines that have to fetch an image although another
// machine has it.
void Machines::note_image(Machine& machine, int image) {
  std::vector<int>& images = machine.images;
  if (!images.empty() && images.back() == image) return;
  std::erase(images, image);
  images.push_back(image);
  const auto size_gb = [&](int cached) {
    return context_.image_gb[static_cast<std::size_t>(cached)];
  };
  const double cache_gb = machine.type < 0 ? 0 : type_of(machine).spec.cache_gb;
  const bool size_known = cache_gb > 0;
  const std::size_t min_images = size_known ? 1 : kDefaultCachedImages;
  double used_gb = 0;
  for (const int cached : images) used_gb += size_gb(cached);
  while (images.size() > min_images && (!size_known || used_gb > cache_gb)) {
    used_gb -= size_gb(images.front());
    images.erase(images.begin());
  }
}

// ---- the wait before an idle machine is returned

chain::IdleWait& Machines::idle_wait(int tier) {
  const config::Tuning& tuning = context_.tuning;
  return idle_waits_.try_emplace(tier, tuning.idle_start_s, tuning.lambda, tuning.idle_cap)
      .first->second;
}

void Machines::reused(const Machine& machine, double now) {
  if (!machine.was_idle) return;
  idle_wait(machine.tier()).record_reuse(now - machine.idle_since, type_of(machine).spec.boot_s);
}

void Machines::rented_again(int tier, double now) {
  const auto returned = last_returned_idle_at_.find(tier);
  if (returned == last_returned_idle_at_.end()) return;
  const auto& type = context_.catalogue.types[static_cast<std::size_t>(tier / 2)];
  idle_wait(tier).record_rental(now - returned->second, type.spec.boot_s);
  last_returned_idle_at_.erase(returned);
}

std::vector<double> Machines::idle_waits() const {
  std::vector<double> seconds;
  for (const auto& [tier, wait] : idle_waits_) seconds.push_back(wait.seconds(0));
  return seconds;
}

void Machines::return_idle(Machine& machine, double now) {
  if (!machine.was_idle || machine.leaving) return;
  const double wait_s = idle_wait(machine.tier()).seconds(type_of(machine).spec.boot_s);
  if (now - machine.idle_since <= wait_s) return;
  machine.leaving = true;
  last_returned_idle_at_[machine.tier()] = machine.idle_since;
  ++context_.counters.returns;
}

}  // namespace shunttrail::scheduler
