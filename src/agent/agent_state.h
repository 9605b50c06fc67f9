// What the agent may not forget: the attempt table, its journal and the lease.
#pragma once
#include <functional>
#include <string>

#include "agent/agent_journal.h"
#include "agent/agent_paths.h"
#include "agent/attempt_table.h"
#include "agent/lease_file.h"
#include "agent/processes.h"
#include "agent/settings.h"

namespace shunttrail::agent {

/// Keeps the attempt table, journal first, and the lease that its tasks run under. When the lease
/// is over, every task is ended and the next incarnation begins (docs/agent.md).
class AgentState {
 public:
  struct Listener {
    /// Something that heartbeats tell has changed.
    std::function<void()> changed;
    /// All attempts are forgotten; their processes are gone.
    std::function<void()> incarnation_ended;
  };

  /// Takes the agent's directory for this process. Throws std::system_error or JournalError, with
  /// nothing changed.
  AgentState(const Settings& settings, const AgentPaths& paths, AgentJournal::Step step,
             Listener listener);

  /// Takes up what the last process left: its incarnation goes on if its lease still holds. Throws
  /// JournalError or std::system_error, with nothing changed that the next start would miss.
  void recover();

  [[nodiscard]] const AttemptTable& attempts() const { return attempts_; }
  /// Makes `next` the attempt table, in the journal first. `step` names it for tests. False: the
  /// journal can't be written; nothing changed.
  [[nodiscard]] bool commit(AttemptTable next, const std::string& step);
  /// The number of the next message; 0: the journal can't be written, no message may be sent.
  [[nodiscard]] std::uint64_t next_sequence();

  /// Ends the incarnation if its lease is over. False: the lease is over and some of its tasks are
  /// still there; nothing may be sent.
  [[nodiscard]] bool check_lease();
  /// An answer has extended the lease; `sent_at` is when its request was sent, CLOCK_BOOTTIME.
  void renew_lease(double sent_at);

 private:
  void begin_first_incarnation(const std::string& boot);
  void resume(const std::string& boot);
  [[nodiscard]] bool end_incarnation();
  void remove_unknown_task_directories();

  const Settings& settings_;
  const AgentPaths& paths_;
  Listener listener_;
  Fd lock_;
  AgentJournal journal_;
  LeaseFile lease_file_;
  AttemptTable attempts_;
  Lease lease_;
  std::uint64_t sequence_ = 0;  // the last one that was used
  bool journal_failed_ = false;
};

}  // namespace shunttrail::agent
