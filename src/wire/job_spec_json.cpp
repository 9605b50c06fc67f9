#include "wire/job_spec_json.h"

#include <array>
#include <set>

#include "wire/user_codec.h"

namespace shunttrail::wire {
namespace {

/// Wire names of priorities, indexed by Priority.
constexpr std::array<const char*, kPriorities> kPriorityNames = {"critical", "high", "standard",
                                                                 "idle"};
/// Maximum number of machine types that one specification may list.
constexpr std::size_t kMaxMachineTypes = 1000;

const char* kind_name(const JobSpec& spec) {
  if (spec.service) return "service";
  return spec.gang ? "group" : "batch";
}

Priority parse_priority(const std::string& name) {
  for (int p = 0; p < kPriorities; ++p)
    if (name == kPriorityNames[p]) return static_cast<Priority>(p);
  throw Malformed::bad_value("precedence", "is unknown", "critical, high, standard or idle");
}

void read_identity(const json& j, JobSpec& spec) {
  spec.id = text(j, "uid");
  if (!valid_job_id(spec.id))
    throw Malformed::bad_value("uid", "is not a job id", "run- and 1 to 20 digits");
  spec.job_class = text(j, "consist");
  spec.team = text(j, "crew");
}

void read_kind(const json& j, JobSpec& spec) {
  const std::string kind = text(j, "haul");
  if (kind != "batch" && kind != "group" && kind != "service")
    throw Malformed::bad_value("haul", "is unknown", "batch, group or service");
  spec.service = kind == "service";
  spec.gang = kind == "group";
  spec.priority = parse_priority(text(j, "precedence"));
  const std::uint64_t tasks = whole(j, "cars");
  if (tasks < 1 || tasks > kMaxTasks)
    throw Malformed::out_of_range("cars", "1 to " + std::to_string(kMaxTasks));
  spec.tasks = static_cast<std::uint32_t>(tasks);
}

void read_resources(const json& j, JobSpec& spec) {
  spec.cpus = number(j, "vcpus", 0);
  spec.gpus = number(j, "cards", 0);
  spec.mem_gb = number(j, "mem_gb", 0);
  spec.image = text(j, "manifest");
  spec.image_gb = number(j, "size_gb", 0);
}

void read_constraints(const json& j, JobSpec& spec) {
  if (const json* types = find(j, "stock_types")) {
    if (!types->is_array() || types->size() > kMaxMachineTypes)
      throw Malformed::wrong_type("stock_types", "a list");
    spec.types = texts(*types, "stock_types");
  }
  if (const json* zone = find(j, "yard")) spec.zone = as_text(*zone, "yard");
  spec.same_zone = flag(j, "same_place");
  spec.anti_affinity = flag(j, "scatter");
  spec.spot = flag(j, "borrowed_stock");
}

void read_times(const json& j, JobSpec& spec) {
  spec.estimate_s = number(j, "run_s", 0);
  spec.checkpoint_s = number(j, "milepost_s", 0);
  spec.save_s = number(j, "couple_s", 0);
  if (const json* deadline = find(j, "due_s")) spec.deadline_s = as_number(*deadline, "due_s", 0);
}

/// Returns the ids in ascending order without duplicates.
std::vector<std::string> read_dependencies(const json& ids) {
  if (!ids.is_array()) throw Malformed::wrong_type("awaits", "a list");
  std::set<std::string> unique;
  for (const json& v : ids) {
    std::string id = as_text(v, "awaits");
    if (!valid_job_id(id))
      throw Malformed::bad_value("awaits", "holds what is not a job id", "job ids");
    unique.insert(std::move(id));
    if (unique.size() > kMaxDependencies)
      throw Malformed::bad_value("awaits", "names too many jobs",
                                 "at most " + std::to_string(kMaxDependencies) + " jobs");
  }
  return {unique.begin(), unique.end()};
}

}  // namespace

JobSpec job_spec_from_json(const json& j) {
  // The order decides which error is reported if several fields are invalid.
  JobSpec spec;
  read_identity(j, spec);
  read_kind(j, spec);
  read_resources(j, spec);
  read_constraints(j, spec);
  read_times(j, spec);
  if (const json* ids = find(j, "awaits")) spec.dependencies = read_dependencies(*ids);
  return spec;
}

json job_spec_to_json(const JobSpec& spec) {
  json j = {{"uid", spec.id},
            {"consist", spec.job_class},
            {"crew", spec.team},
            {"haul", kind_name(spec)},
            {"precedence", kPriorityNames[static_cast<int>(spec.priority)]},
            {"cars", spec.tasks},
            {"vcpus", spec.cpus},
            {"cards", spec.gpus},
            {"mem_gb", spec.mem_gb},
            {"manifest", spec.image},
            {"size_gb", spec.image_gb},
            {"same_place", spec.same_zone},
            {"scatter", spec.anti_affinity},
            {"borrowed_stock", spec.spot},
            {"run_s", spec.estimate_s},
            {"milepost_s", spec.checkpoint_s},
            {"couple_s", spec.save_s}};
  if (spec.types) j["stock_types"] = *spec.types;
  if (spec.zone) j["yard"] = *spec.zone;
  if (spec.deadline_s) j["due_s"] = *spec.deadline_s;
  return j;
}

}  // namespace shunttrail::wire
