#include "wire/record_codec.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <unordered_map>

#include "wire/fields.h"
#include "wire/job_spec_json.h"

namespace shunttrail::wire {
namespace {

/// Maximum index of a shard in a record.
constexpr std::uint64_t kMaxShard = 1000;
/// Number of fields of one machine in an inventory page: type, zone, spot, shard, token.
constexpr std::size_t kMachineFields = 5;
/// Count of numbers that store one placement: position of the machine's name in the page, task
/// index, and attempt minus the page's lowest attempt.
constexpr std::size_t kPlacementFields = 3;

/// Returns the ids without their common prefix, joined by spaces. This keeps the record small: the
/// state service limits the size of a value.
std::string dependencies_text(const std::vector<std::string>& ids) {
  std::string out;
  for (const std::string& id : ids) {
    if (!out.empty()) out += ' ';
    out += id.substr(kJobIdPrefix.size());
  }
  return out;
}

std::vector<std::string> dependencies_from_json(const json& joined) {
  if (!joined.is_string()) throw Malformed::wrong_type("needs", "a string");
  std::vector<std::string> out;
  std::istringstream in(joined.get<std::string>());
  for (std::string digits; in >> digits;) {
    out.push_back(std::string(kJobIdPrefix) + digits);
    if (!valid_job_id(out.back()))
      throw Malformed::bad_value("needs", "holds a bad id", "job ids without their prefix");
  }
  return out;
}

json intervals_to_json(const Intervals& intervals) {
  json out = json::array();
  for (const auto& [first, last] : intervals) {
    out.push_back(first);
    out.push_back(last);
  }
  return out;
}

Intervals intervals_from_json(const json& numbers) {
  constexpr const char* kExpected = "pairs of task indices in order";
  if (!numbers.is_array() || numbers.size() % 2)
    throw Malformed::bad_value("an interval", "is bad", kExpected);
  Intervals out;
  for (std::size_t i = 0; i < numbers.size(); i += 2) {
    const std::uint64_t first = as_whole(numbers[i], "d");
    const std::uint64_t last = as_whole(numbers[i + 1], "d");
    if (first > last || last > kMaxTasks)
      throw Malformed::bad_value("an interval", "is bad", kExpected);
    out.emplace_back(static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last));
  }
  return out;
}

/// Machine type that the record of a delegated job lists instead of the job's own types. No cloud
/// offers it, so builds that do not support delegations start none of the job's tasks.
constexpr const char* kDelegatedType = "-delegated-";

json delegation_to_json(const JobSpec& spec, const Delegation& delegation) {
  json out = {{"to", delegation.shard}, {"tasks", intervals_to_json(delegation.tasks)}};
  if (delegation.is_closed) out["closed"] = 1;
  if (spec.types) out["types"] = *spec.types;
  if (delegation.zone) out["zone"] = *delegation.zone;
  return out;
}

/// Reads the delegation and restores the job's own machine types in `spec`.
Delegation delegation_from_json(const json& j, JobSpec& spec) {
  Delegation delegation;
  const std::uint64_t shard = whole(j, "to");
  if (shard > kMaxShard) throw Malformed::out_of_range("to", "0 to " + std::to_string(kMaxShard));
  delegation.shard = static_cast<int>(shard);
  delegation.is_closed = find(j, "closed") != nullptr;
  delegation.tasks = intervals_from_json(list(j, "tasks"));
  if (const json* zone = find(j, "zone")) delegation.zone = as_text(*zone, "zone");
  for (const auto& [first, last] : delegation.tasks)
    if (last >= spec.tasks) throw Malformed::bad_value("tasks", "is bad", "tasks of the job");
  const json* types = find(j, "types");
  spec.types = types ? std::optional(texts(*types, "types")) : std::nullopt;
  return delegation;
}

/// Reads the job's delegation, if any. One that cannot be decoded could name any task, so it is
/// marked as unreadable: the job stays known, and its tasks wait.
void read_delegation(const json& j, JobRecord& record) {
  const json* delegation = find(j, "delegation");
  if (!delegation) return;
  try {
    record.delegation = delegation_from_json(*delegation, record.spec);
  } catch (const Malformed&) {
    record.delegation = Delegation{};
    record.delegation->is_readable = false;
  }
}

json job_record_to_json(const JobRecord& record) {
  json j = job_spec_to_json(record.spec);
  j["at"] = record.submitted_at;
  if (record.ready_at > 0) j["ready"] = record.ready_at;
  if (!record.spec.dependencies.empty()) j["needs"] = dependencies_text(record.spec.dependencies);
  if (record.delegation) {
    j["delegation"] = delegation_to_json(record.spec, *record.delegation);
    j["stock_types"] = {kDelegatedType};
  }
  if (!record.tag.empty()) j["w"] = record.tag;
  return j;
}

/// Rounds a time of day down to whole seconds, which takes fewer digits.
void round_down(json& time) { time = static_cast<std::uint64_t>(time.get<double>()); }

}  // namespace

std::string encode_record(const JobRecord& record) { return job_record_to_json(record).dump(); }

std::string encode_record_within(const JobRecord& record, std::size_t max_bytes) {
  json j = job_record_to_json(record);
  std::string value = j.dump();
  if (value.size() <= max_bytes) return value;
  round_down(j["at"]);
  if (const auto ready = j.find("ready"); ready != j.end()) round_down(*ready);
  value = j.dump();
  if (value.size() <= max_bytes) return value;
  j.erase("ready");
  return j.dump();
}

JobRecord decode_job_record(const Event& event) {
  return decode_event_value(event, [](const json& j) {
    JobRecord record;
    record.spec = job_spec_from_json(j);
    record.submitted_at = as_number(required(j, "at"), "at", 0, kMaxTimeOfDayS);
    if (const json* ready = find(j, "ready"))
      record.ready_at = as_number(*ready, "ready", 0, kMaxTimeOfDayS);
    if (const json* needs = find(j, "needs")) {
      std::vector<std::string> ids = dependencies_from_json(*needs);
      auto& all = record.spec.dependencies;
      all.insert(all.end(), std::make_move_iterator(ids.begin()),
                 std::make_move_iterator(ids.end()));
    }
    read_delegation(j, record);
    record.tag = text_or(j, "w", "");
    return record;
  });
}

namespace {

/// Returns the times at which machines were rented: the earliest time of day in whole seconds, and
/// a list with each machine's offset from it in seconds, in the order of the names in `machines`.
/// The offset is null if the time is not known.
json rent_times_to_json(const InventoryPageRecord& record, const json& machines) {
  std::map<std::string, double> rented_at;
  double earliest = 0;
  for (const MachineRecord& machine : record.machines) {
    rented_at[machine.name] = machine.rented_at;
    if (machine.rented_at > 0 && (earliest == 0 || machine.rented_at < earliest))
      earliest = machine.rented_at;
  }
  const auto base = static_cast<std::uint64_t>(earliest);
  json after_base = json::array();
  for (auto it = machines.begin(); it != machines.end(); ++it) {
    const double time = rented_at[it.key()];
    if (time > 0)
      after_base.push_back(static_cast<std::uint64_t>(time) - base);
    else
      after_base.push_back(nullptr);
  }
  return {base, std::move(after_base)};
}

void read_rent_times(const json& rent_times, std::vector<MachineRecord>& machines) {
  if (!rent_times.is_array() || rent_times.size() != 2 || !rent_times[1].is_array() ||
      rent_times[1].size() != machines.size())
    throw Malformed::bad_value("t", "is bad", "a time and a list as long as m");
  const std::uint64_t base = as_whole(rent_times[0], "t");
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const json& after_base = rent_times[1][i];
    if (!after_base.is_null())
      machines[i].rented_at = static_cast<double>(base + as_whole(after_base, "t"));
  }
}

MachineRecord machine_from_json(const std::string& name, const json& fields) {
  if (!fields.is_array() || fields.size() != kMachineFields)
    throw Malformed::bad_value("a machine", "is bad", "type, zone, spot, shard and token");
  const std::uint64_t shard = as_whole(fields[3], "shard");
  if (shard > kMaxShard)
    throw Malformed::out_of_range("a shard", "0 to " + std::to_string(kMaxShard));
  MachineRecord machine;
  machine.name = name;
  machine.type = as_text(fields[0], "type");
  machine.zone = as_text(fields[1], "zone");
  machine.spot = as_whole(fields[2], "spot") != 0;
  machine.shard = static_cast<int>(shard);
  machine.token = as_whole(fields[4], "token");
  return machine;
}

}  // namespace

std::string encode_record(const InventoryPageRecord& record) {
  json machines = json::object();
  for (const MachineRecord& machine : record.machines)
    machines[machine.name] = json::array(
        {machine.type, machine.zone, machine.spot ? 1 : 0, machine.shard, machine.token});
  json out = {{"w", record.tag}};
  if (record.form >= 1) out["t"] = rent_times_to_json(record, machines);
  out["m"] = std::move(machines);
  return out.dump();
}

InventoryPageRecord decode_inventory_page(const Event& event) {
  return decode_event_value(event, [](const json& j) {
    InventoryPageRecord record;
    record.tag = text_or(j, "w", "");
    const json& machines = required(j, "m");
    if (!machines.is_object()) throw Malformed::wrong_type("m", "an object");
    for (auto it = machines.begin(); it != machines.end(); ++it)
      record.machines.push_back(machine_from_json(it.key(), it.value()));
    if (const json* rent_times = find(j, "t")) {
      record.form = 1;
      read_rent_times(*rent_times, record.machines);
    }
    return record;
  });
}

namespace {

/// The machine names of a placement page, each once, in order of their first use. Placements refer
/// to a machine by its position here.
class MachineNames {
 public:
  std::size_t position(const std::string& machine) {
    const auto [it, is_new] = positions_.try_emplace(machine, positions_.size());
    if (is_new) names_.push_back(machine);
    return it->second;
  }
  json take() { return std::move(names_); }

 private:
  json names_ = json::array();
  std::unordered_map<std::string, std::size_t> positions_;
};

/// Returns the lowest attempt of a page; 0 if the page has no placements. The page stores attempts
/// as offsets from it.
std::uint64_t lowest_attempt(const PlacementPageRecord& record) {
  std::optional<std::uint64_t> lowest;
  for (const JobPlacements& job : record.jobs)
    for (const auto& placement : job.placements)
      lowest = lowest ? std::min(*lowest, placement.attempt) : placement.attempt;
  return lowest.value_or(0);
}

json job_placements_to_json(const JobPlacements& job, std::uint64_t base, const TeamName& team_name,
                            MachineNames& machines) {
  json placements = json::array();
  for (const auto& placement : job.placements) {
    placements.push_back(machines.position(placement.machine));
    placements.push_back(placement.task);
    placements.push_back(placement.attempt - base);
  }
  json done = json::object();
  for (const auto& [chunk, finished] : job.done)
    done[std::to_string(chunk)] = intervals_to_json(finished);
  json out = {{"t", team_name(job.team)}, {"c", job.cpus}, {"g", job.gpus}, {"m", job.mem_gb}};
  if (!placements.empty()) out["l"] = std::move(placements);
  if (!done.empty()) out["d"] = std::move(done);
  return out;
}

std::vector<JobPlacements::PersistedPlacement> placements_from_json(const json& numbers,
                                                                    const json& machines,
                                                                    std::uint64_t base) {
  if (!numbers.is_array() || numbers.size() % kPlacementFields)
    throw Malformed::bad_value("l", "is bad", "three numbers for each placement");
  std::vector<JobPlacements::PersistedPlacement> out;
  for (std::size_t i = 0; i < numbers.size(); i += kPlacementFields) {
    const std::uint64_t position = as_whole(numbers[i], "l");
    const std::uint64_t task = as_whole(numbers[i + 1], "l");
    if (position >= machines.size() || task > kMaxTasks)
      throw Malformed::bad_value("a placement", "is bad", "a position in m and a task index");
    out.push_back({as_text(machines[position], "m"), static_cast<std::uint32_t>(task),
                   base + as_whole(numbers[i + 2], "l")});
  }
  return out;
}

std::vector<std::pair<std::uint32_t, Intervals>> done_from_json(const json& chunks) {
  if (!chunks.is_object()) throw Malformed::wrong_type("d", "an object");
  std::vector<std::pair<std::uint32_t, Intervals>> out;
  for (auto it = chunks.begin(); it != chunks.end(); ++it) {
    Intervals finished = intervals_from_json(it.value());
    const auto chunk = static_cast<std::uint32_t>(std::strtoul(it.key().c_str(), nullptr, 10));
    out.emplace_back(chunk, std::move(finished));
  }
  return out;
}

JobPlacements job_placements_from_json(const std::string& id, const json& j, const json& machines,
                                       std::uint64_t base, const TeamIndex& team_index) {
  JobPlacements job;
  job.job = id;
  job.team = team_index(text(j, "t"));
  job.cpus = number(j, "c", 0);
  job.gpus = number(j, "g", 0);
  job.mem_gb = number(j, "m", 0);
  if (const json* numbers = find(j, "l"))
    job.placements = placements_from_json(*numbers, machines, base);
  if (const json* chunks = find(j, "d")) job.done = done_from_json(*chunks);
  return job;
}

}  // namespace

std::string encode_record(const PlacementPageRecord& record, const TeamName& team_name) {
  const std::uint64_t base = lowest_attempt(record);
  MachineNames machines;
  json jobs = json::object();
  for (const JobPlacements& job : record.jobs)
    jobs[job.job] = job_placements_to_json(job, base, team_name, machines);
  return json{{"w", record.tag}, {"b", base}, {"m", machines.take()}, {"j", std::move(jobs)}}
      .dump();
}

PlacementPageRecord decode_placement_page(const Event& event, const TeamIndex& team_index) {
  return decode_event_value(event, [&](const json& j) {
    PlacementPageRecord record;
    record.tag = text_or(j, "w", "");
    const std::uint64_t base = whole(j, "b");
    const json& machines = list(j, "m");
    const json& jobs = required(j, "j");
    if (!jobs.is_object()) throw Malformed::wrong_type("j", "an object");
    for (auto it = jobs.begin(); it != jobs.end(); ++it)
      record.jobs.push_back(
          job_placements_from_json(it.key(), it.value(), machines, base, team_index));
    return record;
  });
}

std::string encode_record(const JobResultRecord& record) {
  json j = {{"s", record.cancelled ? "cancelled" : "done"},
            {"n", record.tasks},
            {"team", record.team},
            {"w", record.tag}};
  if (record.service) j["svc"] = 1;
  return j.dump();
}

JobResultRecord cancelled_record(const JobSpec& spec, const std::string& tag) {
  return {true, spec.tasks, spec.team, tag, spec.service};
}

JobResultRecord decode_job_result(const StoredValue& value) {
  return decode_value(value, [](const json& j) {
    JobResultRecord record;
    record.cancelled = text(j, "s") == "cancelled";
    record.tasks = static_cast<std::uint32_t>(whole(j, "n"));
    record.team = text_or(j, "team", "");
    record.tag = text_or(j, "w", "");
    record.service = find(j, "svc") != nullptr;
    return record;
  });
}

std::string encode_record(const LeaderRecord& record) {
  return json{{"node", record.node}, {"w", record.tag}}.dump();
}

LeaderRecord decode_leader_record(const Event& event) {
  return decode_event_value(event, [](const json& j) {
    return LeaderRecord{text(j, "node"), text_or(j, "w", "")};
  });
}

Intervals intervals(const std::vector<bool>& bits) {
  Intervals out;
  for (std::size_t first = 0; first < bits.size(); ++first) {
    if (!bits[first]) continue;
    std::size_t last = first;
    while (last + 1 < bits.size() && bits[last + 1]) ++last;
    out.emplace_back(static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last));
    first = last;
  }
  return out;
}

}  // namespace shunttrail::wire
