// A worker's state and decisions: its incarnation, the highest token, its attempts, and the effect
// of each command on them. The table does no I/O. The agent writes a changed table to its journal
// before it acts on the effects, and reports only journaled state. Source of every rule: PROTOCOL,
// "Workers -> controller nodes".
#pragma once
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/types.h"

namespace shunttrail::agent {

/// One attempt of a task.
struct Key {
  std::string job;
  std::uint32_t index = 0;  ///< the task's index in its job
  std::uint64_t attempt = 0;
  friend auto operator<=>(const Key&, const Key&) = default;
  [[nodiscard]] wire::TaskId task() const { return {job, index}; }
};

/// The resources of a machine, or those that a task needs.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double mem_gb = 0;
  friend bool operator==(const Resources&, const Resources&) = default;
};

/// The progress of an attempt. The journal holds each phase before the work of that phase begins.
/// After a crash it therefore names a phase whose work has just begun or is finished, never an
/// earlier one. Values are stored: they must not change.
enum class Phase : std::uint8_t {
  accepted,  ///< no process has been started
  launched,  ///< a process may exist
  ended,   ///< no process is left; its result or checkpoint is being uploaded to the artifact store
  exited,  ///< finished, with the exit reason that heartbeats report
};

struct Attempt {
  Phase phase = Phase::accepted;
  bool stopping = false;  ///< a stop was requested
  bool saving = false;    ///< a stop was requested, and the task may save a checkpoint first
  wire::ExitReason exit_reason = wire::ExitReason::none;
  bool checkpointed = false;
  Resources needs;     ///< zero until the job description is known
  double save_s = 0;   ///< time that the task needs to save a checkpoint
  bool saves = false;  ///< the task writes checkpoints
  friend bool operator==(const Attempt&, const Attempt&) = default;
};

/// An action that the agent takes after the changed table is in the journal.
struct Effect {
  enum class Kind {
    fetch,    ///< prepare the new attempt
    abandon,  ///< stop preparing the attempt, or uploading what it has left
    save,     ///< stop the task, which may save a checkpoint within the grace
    kill,     ///< stop the task at once
    drop,     ///< remove the attempt's files
  };
  Kind kind;
  Key key;
  double grace_s = 0;  ///< time to save a checkpoint; only for `save`
};

class AttemptTable {
 public:
  std::uint64_t incarnation = 1;
  std::uint64_t token = 0;  ///< the highest fencing token received so far
  /// The upper bound of the sequence numbers that messages may use. The journal holds it before the
  /// first number of a block is used.
  std::uint64_t reserved = 0;
  std::map<Key, Attempt> attempts;
  /// The highest acknowledged attempt of each task in this incarnation, oldest first and bounded.
  /// Without it, a start that is delivered after the acknowledgement of its own attempt would run
  /// the task once more for nothing.
  std::deque<std::pair<std::string, std::uint64_t>> acknowledged;

  /// Returns whether a message with this token may be acted on.
  [[nodiscard]] bool accepts(std::optional<std::uint64_t> offered) const {
    return offered && *offered >= token;
  }
  /// Executes the commands in order. Appends a line to `refused` for each command that is obsolete.
  std::vector<Effect> execute(const std::vector<wire::Command>& commands,
                              std::vector<std::string>* refused = nullptr);

  /// Records the needs from the job description. Returns false if the attempt is not in the table,
  /// or if the machine's free capacity is too small; in the latter case the attempt has exited with
  /// `no_room`.
  bool described(const Key& key, const Resources& needs, bool saves, double save_s,
                 const Resources& machine);
  void launched(const Key& key);
  /// Records that all processes of the attempt have ended.
  void ended(const Key& key, wire::ExitReason reason, bool checkpointed);
  /// Records the final outcome, which heartbeats report from now on.
  void exited(const Key& key, wire::ExitReason reason, bool checkpointed = false);
  /// Begins the next incarnation after the lease has expired, and drops every attempt. The caller
  /// has ended all processes before.
  void next_incarnation();

  /// Returns the attempts in the form that heartbeats report.
  [[nodiscard]] std::vector<wire::TaskStatus> tasks() const;
  friend bool operator==(const AttemptTable&, const AttemptTable&) = default;

 private:
  void start(const Key& key, std::vector<Effect>& effects, std::vector<std::string>* refused);
  void stop(const Key& key, double grace_s, std::vector<Effect>& effects);
  void acknowledge(const Key& key, std::vector<Effect>& effects);
  void set_exit(const Key& key, Phase phase, wire::ExitReason reason, bool checkpointed);
  [[nodiscard]] std::optional<std::uint64_t> highest_acknowledged(const Key& key) const;
  [[nodiscard]] Resources total_with(const Key& key, const Resources& needs) const;
  [[nodiscard]] Attempt* find(const Key& key);
};

}  // namespace shunttrail::agent
