// What a worker knows and decides: its incarnation, the highest token, the attempts it holds and
// what each command does to them. No I/O: the agent writes a changed book to its record before it
// acts on the effects, and reports only what the record holds. Source of every rule: PROTOCOL,
// "Workers
// -> controller nodes".
#pragma once
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace shunttrail::agent {

struct Key {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  friend auto operator<=>(const Key&, const Key&) = default;
  wire::TaskId task() const { return {job, index}; }
};

struct Resources {
  double cpus = 0, gpus = 0, mem_gb = 0;
  friend bool operator==(const Resources&, const Resources&) = default;
};

// How far an attempt is. Each step is on record before what it stands for begins, so that after a
// kill the record names a step that is over or has just begun, never one that is behind.
enum class Phase : std::uint8_t {
  accepted,  // there is no process and never was one
  launched,  // there may be one
  ended,   // there is none any more; its result or checkpoint is being put into the artifact store
  exited,  // as reported
};

struct Attempt {
  Phase phase = Phase::accepted;
  bool stopping = false;  // told to stop
  bool saving = false;    // and allowed to save first
  wire::ExitReason exit_reason = wire::ExitReason::none;
  bool checkpointed = false;
  Resources needs;     // once its description is known
  double save_s = 0;   // time it needs to save
  bool saves = false;  // it has checkpoints
  friend bool operator==(const Attempt&, const Attempt&) = default;
};

// What has to be done once the changed book is on record.
struct Effect {
  enum class Kind { fetch, abandon, save, kill, drop };
  Kind kind;
  Key key;
  double grace_s = 0;  // of save
};

class AttemptTable {
 public:
  std::uint64_t incarnation = 1, token = 0;
  // Every message's `seq` is below this; it is on record before the first of a block is used.
  std::uint64_t reserved = 0;
  std::map<Key, Attempt> attempts;
  // The highest attempt of each task that was forgotten in this incarnation, oldest first and
  // bounded. A start that comes after its own reap would run the task once more for nobody.
  std::deque<std::pair<std::string, std::uint64_t>> acknowledged;

  // Whether an answer with this token may be acted on at all.
  bool accepts(std::optional<std::uint64_t> t) const { return t && *t >= token; }
  // The commands in order; `refused` gets a line for each that could not mean anything.
  std::vector<Effect> execute(const std::vector<wire::Command>& commands,
                              std::vector<std::string>* refused = nullptr);

  // The description has come: whether the machine has room for it beside what it holds.
  // If not, the attempt is exited.
  bool described(const Key& k, const Resources& needs, bool saves, double save_s,
                 const Resources& machine);
  void launched(const Key& k);
  // Its processes are gone.
  void ended(const Key& k, wire::ExitReason why, bool kept);
  // Nothing more has to be done for it: what is reported from now on.
  void exited(const Key& k, wire::ExitReason why, bool kept = false);
  // The lease has run out: every task is forgotten. The caller has seen to it that all are gone.
  void next_incarnation();

  std::vector<wire::TaskStatus> tasks() const;
  friend bool operator==(const AttemptTable&, const AttemptTable&) = default;

 private:
  void start(const Key& k, std::vector<Effect>& out, std::vector<std::string>* refused);
  void stop(const Key& k, double grace_s, std::vector<Effect>& out);
  void acknowledge(const Key& k, std::vector<Effect>& out);
  Attempt* find(const Key& k);
};

// When the lease ends, by answers that count. All times are of CLOCK_BOOTTIME, in seconds.
class Lease {
 public:
  Lease(double lease_s, double began) : lease_s_(lease_s), until_(began + lease_s) {}
  static Lease resumed(double lease_s, double until) {
    Lease l(lease_s, 0);
    l.until_ = until;
    return l;
  }
  void answered(double sent) { until_ = std::max(until_, sent + lease_s_); }
  bool over(double now) const { return now > until_; }
  double until() const { return until_; }

 private:
  double lease_s_, until_;
};

}  // namespace shunttrail::agent
