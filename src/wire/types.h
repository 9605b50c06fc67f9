/// @file
/// The contents of messages and stored records as C++ types. Only the codecs know the names on the
/// wire.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/stored_value.h"

namespace shunttrail::wire {

/// Priority of a job, the most urgent first.
enum class Priority : std::uint8_t { critical, high, standard, idle };
/// Number of priorities.
inline constexpr int kPriorities = 4;

/// A job as its user described it.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  std::string image;
  /// True if the job's tasks run until the job is cancelled.
  bool service = false;
  /// True if the job's tasks run all at once or not at all. In all else a gang is a batch job.
  bool gang = false;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;  ///< number of tasks
  double cpus = 0;          ///< virtual CPUs of each task
  double gpus = 0;          ///< GPUs of each task
  double mem_gb = 0;        ///< memory of each task
  double image_gb = 0;      ///< size of the image
  /// Names of the machine types that the tasks may run on; absent: any type.
  std::optional<std::vector<std::string>> types;
  /// Zone in which the tasks have to run; absent: any zone.
  std::optional<std::string> zone;
  bool same_zone = false;      ///< all tasks have to run in one zone
  bool anti_affinity = false;  ///< at most half of the tasks may run in one zone
  bool spot = false;           ///< the tasks may run on spot machines
  double estimate_s = 0;       ///< expected run time of a task
  double checkpoint_s = 0;     ///< time between a task's checkpoints
  double save_s = 0;           ///< time that a task needs to save a checkpoint when it is stopped
  /// Time from submission until the job should be done; absent: no deadline.
  std::optional<double> deadline_s;
  /// Ids of the jobs that have to be done before any task of this job starts.
  std::vector<std::string> dependencies;
};

/// State of a job as it is reported to users.
enum class JobState { queued, running, done, cancelled };

/// Identifies one task of a job.
struct TaskId {
  std::string job;
  std::uint32_t index = 0;  ///< index of the task in its job, from 0
};

/// State of a task on a worker.
enum class TaskState : std::uint8_t { fetching, running, saving, exited };
/// Reason for which a task has exited; `none` for a task that has not exited.
enum class ExitReason : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,  ///< the machine's disk is nearly full
  busy,     ///< an earlier attempt of the task is still on the machine
  unknown,  ///< the worker does not know the task
};

/// Status of one task in a heartbeat.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitReason exit_reason = ExitReason::none;
  bool checkpointed = false;  ///< true if the task was stopped and its progress was saved
};

/// A worker's periodic report on its machine and tasks.
struct Heartbeat {
  std::string machine;  ///< name of the machine
  std::string addr;     ///< host:port of the worker
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  ///< number of the worker's process; a restart has a higher one
  std::uint64_t sequence = 0;     ///< number of the heartbeat in its incarnation
  std::uint64_t token = 0;  ///< highest fencing token that the worker has seen (PROTOCOL, Tokens)
  std::optional<double> notice_s;  ///< seconds until the cloud takes the machine back
  std::vector<TaskStatus> tasks;
};

/// An instruction to a worker about one task.
struct Command {
  /// `acknowledge`: the exit has been received, and the worker may forget the task.
  enum class Op : std::uint8_t { start, stop, acknowledge };
  Op op = Op::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;  ///< for `stop`: time that the task has to save its progress
};

/// A machine type that can be rented from the cloud.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double mem_gb = 0;
  double price = 0;       ///< price of an hour
  double spot_price = 0;  ///< price of an hour as a spot machine
  double boot_s = 0;      ///< time from renting to the first heartbeat
  std::vector<std::string> zones;
  double cache_gb = 0;  ///< capacity of the image cache; 0: unknown
};

/// A rented machine in the cloud's list.
struct ListedMachine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  std::string state;
  bool spot = false;
  double age_s = 0;  ///< time since the machine was rented
};
/// A page of the cloud's list of rented machines.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;  ///< another page follows; false if the page is empty
};

/// A key's value at a revision, or its deletion.
struct Event {
  std::string key;
  std::optional<StoredValue> value;  ///< absent: the key was deleted
  std::uint64_t mod_revision = 0;    ///< revision of the transaction that made the change
  /// Returns true if the key was set, false if it was deleted.
  [[nodiscard]] bool set() const { return value.has_value(); }
};
/// Response to a watch.
struct WatchAnswer {
  std::uint64_t revision = 0;  ///< all changes up to this revision have been reported
  std::vector<Event> events;   ///< in ascending order of their revisions
};
/// A page of keys.
struct KeyPage {
  std::uint64_t revision = 0;  ///< revision at which the page was read
  std::vector<Event> items;    ///< in ascending order of their keys
  bool more = false;           ///< another page follows; false if the page is empty
};

/// Changes that the state service applies atomically.
struct Transaction {
  /// A key's new value, or its deletion.
  struct Op {
    std::string key;
    std::optional<std::string> value;  ///< JSON text; absent: the key is deleted
    std::uint64_t lease = 0;           ///< the key is deleted when this lease ends; 0: no lease
  };
  /// The revision that each key must have for the transaction to be applied; 0: the key must not
  /// exist.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  std::vector<Op> ops;
};

/// Ranges of task indices as [first, last], ends included.
using Intervals = std::vector<std::pair<std::uint32_t, std::uint32_t>>;
/// Tasks of a job that a shard other than the team's may run (docs/delegation.md). Only the leader
/// of the team's shard writes a delegation.
struct Delegation {
  int shard = -1;          ///< the shard that may run the tasks
  bool is_closed = false;  ///< true if that shard may start no more of the tasks
  Intervals tasks;
  /// The only zone in which the delegated tasks may run, so that both shards together meet the
  /// job's zone constraints; absent: the job's own constraints apply.
  std::optional<std::string> zone{};
  /// False if the stored delegation could not be decoded. None of the job's tasks may start
  /// anywhere then.
  bool is_readable = true;
  friend bool operator==(const Delegation&, const Delegation&) = default;
};

/// Stored record of a job that has not ended.
struct JobRecord {
  JobSpec spec;
  double submitted_at = 0;  ///< time of day of the submission, in seconds since 1970
  /// Time of day, in seconds since 1970, at which the last dependency was known to be done; 0: the
  /// job has no dependencies.
  double ready_at = 0;
  std::optional<Delegation> delegation{};
  /// Name of the transaction that wrote the record; empty in the record that the submission wrote.
  std::string tag{};
};

/// Stored record of a rented machine and of the shard that it belongs to.
struct MachineRecord {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int shard = 0;
  std::uint64_t token =
      0;                 ///< fencing token of the leader that wrote it; the worker may have seen it
  double rented_at = 0;  ///< time of day in seconds since 1970; 0: not known
  friend bool operator==(const MachineRecord&, const MachineRecord&) = default;
};
/// Record of many machines under one key, so that starting a fleet does not take one change for
/// each machine.
struct InventoryPageRecord {
  std::string tag;  ///< name of the transaction that wrote it
  std::vector<MachineRecord> machines;
  int form = 0;  ///< 0, or 1 with the times at which machines were rented (schema::Feature)
};

/// Placements and finished tasks of one job, as far as one placement page holds them.
struct JobPlacements {
  /// One attempt of a task that may be running on a machine.
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
  /// Tasks that are done, by chunk; indices count from the chunk's first task.
  std::vector<std::pair<std::uint32_t, Intervals>> done;
};
/// Record of placements on many machines, so that many starts share one change.
struct PlacementPageRecord {
  std::string tag;  ///< name of the transaction that wrote it
  std::vector<JobPlacements> jobs;
};

/// Stored result of a job. It never changes.
struct JobResultRecord {
  bool cancelled = false;  ///< true: cancelled; false: done
  std::uint32_t tasks = 0;
  std::string team;
  std::string tag;       ///< name of the transaction that wrote it
  bool service = false;  ///< always false in records of versions that did not support dependencies
};
/// Stored record of the node that leads a shard.
struct LeaderRecord {
  std::string node;
  std::string tag;  ///< name of the transaction that wrote it
};

}  // namespace shunttrail::wire
