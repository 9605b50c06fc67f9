// What crosses the interfaces, in the field's terms. Wire names live in codec.cpp alone.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shunttrail::wire {

enum class Priority : std::uint8_t { critical, high, standard, idle };
inline constexpr int kPriorities = 4;

struct JobSpec {
  std::string id, job_class, team, image;
  // A gang's tasks run together or not at all; the rest of an array's rules hold for it.
  bool service = false, gang = false;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;
  double cpus = 0, gpus = 0, mem_gb = 0, image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool same_zone = false, anti_affinity = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string>
      dependencies;  // jobs that have to be done before any task of this one starts
};

enum class JobState { queued, running, done, cancelled };

struct TaskId {
  std::string job;
  std::uint32_t index = 0;
};

enum class TaskState : std::uint8_t { fetching, running, saving, exited };
enum class ExitReason : std::uint8_t { none, done, stopped, error, no_room, busy, unknown };

struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitReason exit_reason = ExitReason::none;
  bool checkpointed = false;  // stopped, and its progress was saved
};

struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, sequence = 0, token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Op : std::uint8_t { start, stop, acknowledge };
  Op op = Op::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, mem_gb = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
  double cache_gb = 0;  // for images; 0: not told
};

struct ListedMachine {
  std::string name, addr, type, zone, state;
  bool spot = false;
  double age_s = 0;
};
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};

// One change of a key: a value, or none for a drop. The value is JSON text, or, where it came
// within a larger answer, what the codec has parsed already.
struct Event {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t mod_revision = 0;
  std::shared_ptr<const void> parsed = nullptr;
  bool set() const { return value.has_value() || parsed; }
};
struct WatchAnswer {
  std::uint64_t revision = 0;
  std::vector<Event> events;
};
struct KeyPage {
  std::uint64_t revision = 0;
  std::vector<Event> items;
  bool more = false;
};

struct Transaction {
  struct Op {
    std::string key;
    std::optional<std::string> value;  // none: drop
    std::uint64_t lease = 0;           // 0: not attached
  };
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  std::vector<Op> ops;
};

// What the state service keeps for a live job, a machine, and the owner of a shard.
struct JobRecord {
  JobSpec spec;
  double submitted_at = 0;  // time of day, seconds
  double ready_at = 0;      // when the last job that it awaited was known to be done; 0: none was
};
// A machine and the shard that it belongs to.
struct MachineRecord {
  std::string name, type, zone;
  bool spot = false;
  int shard = 0;
  std::uint64_t token = 0;  // of the owner that wrote it: the worker may have seen it
  double rented_at = 0;     // time of day, seconds; 0: not known
  friend bool operator==(const MachineRecord&, const MachineRecord&) = default;
};
// Many machines share a key: a fleet's start must not cost a change a machine.
struct InventoryPageRecord {
  std::string tag;  // names the transaction that wrote it
  std::vector<MachineRecord> machines;
  int form = 0;  // the state level whose form it has: 0, or 1 (it tells when machines were rented)
};
// Where a job's tasks may run, and which of its tasks are done, as [first,last] by chunk.
using Intervals = std::vector<std::pair<std::uint32_t, std::uint32_t>>;
struct JobPlacements {
  struct PersistedPlacement {
    std::string machine;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
  };
  std::string job;
  int team = -1;  // dense index by name at the door
  double cpus = 0, gpus = 0, mem_gb = 0;
  std::vector<PersistedPlacement> placements;
  std::vector<std::pair<std::uint32_t, Intervals>> done;
};
// A placement page holds placements on many machines, so that many starts share one change.
struct PlacementPageRecord {
  std::string tag;
  std::vector<JobPlacements> jobs;
};
struct JobResultRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;
  std::string team, tag;
  bool service = false;  // not told by versions that knew no job that awaits others
};
struct LeaderRecord {
  std::string node;
  std::string tag;
};

}  // namespace shunttrail::wire
