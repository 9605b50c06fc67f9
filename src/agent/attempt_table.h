// What a worker knows and decides: its incarnation, the highest token, the attempts it holds, and
// what each command does to them. No I/O: the agent writes a changed table to its journal before it
// acts on the effects, and reports only what the journal holds. Source of every rule: PROTOCOL,
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
  std::uint32_t index = 0;  ///< of the task in its job
  std::uint64_t attempt = 0;
  friend auto operator<=>(const Key&, const Key&) = default;
  [[nodiscard]] wire::TaskId task() const { return {job, index}; }
};

/// What a task needs, or a machine has.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double mem_gb = 0;
  friend bool operator==(const Resources&, const Resources&) = default;
};

/// How far an attempt is. Each phase is in the journal before what it stands for begins, so that
/// after a kill the journal names a phase that is over or has just begun, never an earlier one.
/// Values are stored: they must not change.
enum class Phase : std::uint8_t {
  accepted,  ///< there is no process and never was one
  launched,  ///< there may be one
  ended,   ///< there is none any more; its result or checkpoint is on its way to the artifact store
  exited,  ///< as reported
};

struct Attempt {
  Phase phase = Phase::accepted;
  bool stopping = false;  ///< told to stop
  bool saving = false;    ///< and allowed to save a checkpoint first
  wire::ExitReason exit_reason = wire::ExitReason::none;
  bool checkpointed = false;
  Resources needs;     ///< once its description is known
  double save_s = 0;   ///< time it needs to save a checkpoint
  bool saves = false;  ///< it has checkpoints
  friend bool operator==(const Attempt&, const Attempt&) = default;
};

/// What has to be done once the changed table is in the journal.
struct Effect {
  enum class Kind {
    fetch,    ///< prepare the new attempt
    abandon,  ///< stop storing what the attempt has left
    save,     ///< stop the task, which may save a checkpoint within the grace
    kill,     ///< stop the task at once
    drop,     ///< remove the attempt's files
  };
  Kind kind;
  Key key;
  double grace_s = 0;  ///< of `save`
};

class AttemptTable {
 public:
  std::uint64_t incarnation = 1;
  std::uint64_t token = 0;  ///< the highest that was seen
  /// Every message's sequence number is at most this; it is in the journal before the first of a
  /// block is used.
  std::uint64_t reserved = 0;
  std::map<Key, Attempt> attempts;
  /// The highest acknowledged attempt of each task in this incarnation, oldest first and bounded. A
  /// start that comes after its own acknowledgement would run the task once more for nobody.
  std::deque<std::pair<std::string, std::uint64_t>> acknowledged;

  /// Whether an answer with this token may be acted on at all.
  [[nodiscard]] bool accepts(std::optional<std::uint64_t> offered) const {
    return offered && *offered >= token;
  }
  /// Executes the commands in order; `refused` gets a line for each that could not mean anything.
  std::vector<Effect> execute(const std::vector<wire::Command>& commands,
                              std::vector<std::string>* refused = nullptr);

  /// The description has come. False: the machine has no room for it beside what it holds, and the
  /// attempt has exited.
  bool described(const Key& key, const Resources& needs, bool saves, double save_s,
                 const Resources& machine);
  void launched(const Key& key);
  /// Its processes are gone.
  void ended(const Key& key, wire::ExitReason reason, bool checkpointed);
  /// Nothing more has to be done for it: what is reported from now on.
  void exited(const Key& key, wire::ExitReason reason, bool checkpointed = false);
  /// The lease has run out: every task is forgotten. The caller has ended all processes.
  void next_incarnation();

  /// The attempts as heartbeats tell them.
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
