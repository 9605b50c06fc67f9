/// @file
/// What the interfaces and the stored records say, in the program's own terms. The names on the
/// wire are in the codecs alone.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shunttrail::wire {

/// How urgent a job is, the most urgent first.
enum class Priority : std::uint8_t { critical, high, standard, idle };
/// The number of priorities.
inline constexpr int kPriorities = 4;

/// A job as its user described it.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  std::string image;
  /// Its tasks run until the job is cancelled.
  bool service = false;
  /// Its tasks run together or not at all; otherwise a gang is like any batch job.
  bool gang = false;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;  ///< their number
  double cpus = 0;          ///< virtual CPUs of each task
  double gpus = 0;          ///< GPUs of each task
  double mem_gb = 0;        ///< memory of each task
  double image_gb = 0;      ///< the image's size
  /// Names of the machine types that its tasks may run on; absent: any.
  std::optional<std::vector<std::string>> types;
  /// The zone that its tasks have to run in; absent: any.
  std::optional<std::string> zone;
  bool same_zone = false;      ///< all its tasks run in one zone
  bool anti_affinity = false;  ///< at most half of its tasks run in one zone
  bool spot = false;           ///< its tasks may run on spot machines
  double estimate_s = 0;       ///< a task's expected run time
  double checkpoint_s = 0;     ///< time between a task's checkpoints
  double save_s = 0;           ///< time that a task takes to save its progress
  /// Time from submission until it should be done; absent: none.
  std::optional<double> deadline_s;
  /// Ids of the jobs that have to be done before any task of this one starts.
  std::vector<std::string> dependencies;
};

/// A job's state as users are told.
enum class JobState { queued, running, done, cancelled };

/// Names one task of a job.
struct TaskId {
  std::string job;
  std::uint32_t index = 0;  ///< from 0
};

/// What a worker does with a task.
enum class TaskState : std::uint8_t { fetching, running, saving, exited };
/// Why a task has exited; `none` for one that has not.
enum class ExitReason : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,  ///< the machine's disk is nearly full
  busy,     ///< the task's place is still in use by an earlier attempt
  unknown,  ///< the worker does not know the task
};

/// One task of a heartbeat.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitReason exit_reason = ExitReason::none;
  bool checkpointed = false;  ///< stopped, and its progress was saved
};

/// What a worker reports of its machine and tasks.
struct Heartbeat {
  std::string machine;  ///< its name
  std::string addr;     ///< host:port of the worker
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;   ///< of the worker's process: a restart has a higher one
  std::uint64_t sequence = 0;      ///< of the heartbeat in its incarnation
  std::uint64_t token = 0;         ///< the highest that the worker has seen (PROTOCOL, Tokens)
  std::optional<double> notice_s;  ///< seconds until the cloud takes the machine back
  std::vector<TaskStatus> tasks;
};

/// What a worker is told to do with one task.
struct Command {
  /// `acknowledge`: the exit was heard, and the worker may forget the task.
  enum class Op : std::uint8_t { start, stop, acknowledge };
  Op op = Op::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;  ///< stop: time to save its progress
};

/// A type of machine that the cloud rents out.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double mem_gb = 0;
  double price = 0;       ///< for an hour
  double spot_price = 0;  ///< for an hour of a spot machine
  double boot_s = 0;      ///< from renting to the first heartbeat
  std::vector<std::string> zones;
  double cache_gb = 0;  ///< room for images; 0: unknown
};

/// A rented machine in the cloud's list.
struct ListedMachine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  std::string state;
  bool spot = false;
  double age_s = 0;  ///< since it was rented
};
/// A page of the cloud's list.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;  ///< another page follows
};

/// A key's value at a revision, or its deletion.
struct Event {
  std::string key;
  /// The value as JSON text; absent for a deletion, and where `parsed` is there instead.
  std::optional<std::string> value;
  std::uint64_t mod_revision = 0;  ///< of the transaction that made the change
  /// The value as the codec has parsed it within a larger answer, which it keeps alive.
  std::shared_ptr<const void> parsed = nullptr;
  /// Whether there is a value: the key was set, not deleted.
  [[nodiscard]] bool set() const { return value.has_value() || parsed; }
};
/// The answer to a watch.
struct WatchAnswer {
  std::uint64_t revision = 0;  ///< all changes up to it have been told
  std::vector<Event> events;   ///< in order of their revisions
};
/// A page of keys.
struct KeyPage {
  std::uint64_t revision = 0;  ///< at which it was read
  std::vector<Event> items;    ///< in order of their keys
  bool more = false;           ///< another page follows
};

/// Changes that the state service applies all together or not at all.
struct Transaction {
  /// A key's new value, or its deletion.
  struct Op {
    std::string key;
    std::optional<std::string> value;  ///< JSON text; absent: the key is deleted
    std::uint64_t lease = 0;           ///< the key ends with this lease; 0: with none
  };
  /// Keys with the revision that each must have for the transaction to be applied; 0: the key must
  /// not exist.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  std::vector<Op> ops;
};

/// Task indices as [first, last], ends included.
using Intervals = std::vector<std::pair<std::uint32_t, std::uint32_t>>;
/// Tasks of a job that another shard than its team's may run (docs/delegation.md). Only the leader
/// of the team's shard writes it.
struct Delegation {
  int shard = -1;          ///< the shard that may run the tasks
  bool is_closed = false;  ///< none of the tasks starts there any more
  Intervals tasks;
  /// The only zone in which the tasks may run, so that both shards keep to what the job allows;
  /// absent: the job itself says.
  std::optional<std::string> zone{};
  /// False: what is stored could not be read. None of the job's tasks may start anywhere.
  bool is_readable = true;
  friend bool operator==(const Delegation&, const Delegation&) = default;
};

/// The record of a job that is not over.
struct JobRecord {
  JobSpec spec;
  double submitted_at = 0;  ///< time of day, seconds
  /// Time of day, seconds, when its last dependency was known to be done; 0: it had none.
  double ready_at = 0;
  std::optional<Delegation> delegation{};
  /// Names the transaction that wrote it; empty in the record of the submission.
  std::string tag{};
};

/// The record of a rented machine and of the shard that it belongs to.
struct MachineRecord {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int shard = 0;
  std::uint64_t token = 0;  ///< of the leader that wrote it: the worker may have seen it
  double rented_at = 0;     ///< time of day, seconds; 0: not known
  friend bool operator==(const MachineRecord&, const MachineRecord&) = default;
};
/// Many machines share a key, so that starting a fleet does not take a change for each machine.
struct InventoryPageRecord {
  std::string tag;  ///< names the transaction that wrote it
  std::vector<MachineRecord> machines;
  int form = 0;  ///< 0, or 1, which also tells when machines were rented (schema::Feature)
};

/// Where a job's tasks may run, and which of them are done, as one placement page has it.
struct JobPlacements {
  /// One attempt of a task that may run on a machine.
  struct PersistedPlacement {
    std::string machine;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
  };
  std::string job;
  int team = -1;  ///< index into the settings' teams; -1: they do not name it
  double cpus = 0;
  double gpus = 0;
  double mem_gb = 0;
  std::vector<PersistedPlacement> placements;
  /// Tasks that are done: by chunk, as indices from the chunk's first task.
  std::vector<std::pair<std::uint32_t, Intervals>> done;
};
/// Holds placements on many machines, so that many starts share one change.
struct PlacementPageRecord {
  std::string tag;  ///< names the transaction that wrote it
  std::vector<JobPlacements> jobs;
};

/// How a job has ended. It is final.
struct JobResultRecord {
  bool cancelled = false;  ///< otherwise it is done
  std::uint32_t tasks = 0;
  std::string team;
  std::string tag;       ///< names the transaction that wrote it
  bool service = false;  ///< not written by versions that knew no dependencies
};
/// Which node leads a shard.
struct LeaderRecord {
  std::string node;
  std::string tag;  ///< names the transaction that wrote it
};

}  // namespace shunttrail::wire
