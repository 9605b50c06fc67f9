// The agent's durable state: the attempt table, its journal and the lease.
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

/// Holds the attempt table and the lease under which the tasks run. Each change of the table is
/// written to the journal first. When the lease expires, the agent ends every task and begins its
/// next incarnation (docs/agent.md).
class AgentState {
 public:
  struct Listener {
    /// Called when the content of heartbeats has changed.
    std::function<void()> changed;
    /// Called when all attempts have been dropped from the table; their processes have ended.
    std::function<void()> incarnation_ended;
  };

  /// Locks the agent's directory for this process. Throws std::system_error or JournalError, with
  /// nothing changed.
  AgentState(const Settings& settings, const AgentPaths& paths, AgentJournal::Step step,
             Listener listener);

  /// Recovers the state that the previous process left. Its incarnation continues if its lease has
  /// not expired. Throws JournalError or std::system_error; a later start can then still recover
  /// everything.
  void recover();

  [[nodiscard]] const AttemptTable& attempts() const { return attempts_; }
  /// Writes `next` to the journal, then makes it the attempt table. `step` names the write for
  /// tests. Returns false, with nothing changed, if the journal cannot be written.
  [[nodiscard]] bool commit(AttemptTable next, const std::string& step);
  /// Returns the sequence number of the next message, or 0 if the journal cannot be written; then
  /// no message may be sent.
  [[nodiscard]] std::uint64_t next_sequence();

  /// Ends the incarnation if its lease has expired. Returns false if the lease has expired but a
  /// task could not be killed, or the next incarnation could not be journaled; then no message may
  /// be sent.
  [[nodiscard]] bool check_lease();
  /// Extends the lease after a controller's answer. `sent_at` is when the request was sent, in
  /// seconds of CLOCK_BOOTTIME.
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
  std::uint64_t sequence_ = 0;  // the last number that was used
  bool journal_failed_ = false;
};

}  // namespace shunttrail::agent
