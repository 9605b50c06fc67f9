/// Final records of ended jobs, as far as they have been read, and the state transitions of jobs
/// that wait for their dependencies.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "controller/tag_sequence.h"
#include "jobs/dependency_graph.h"
#include "jobs/result_cache.h"
#include "jobs/result_lookup.h"
#include "jobs/result_reader.h"
#include "jobs/state_transitions.h"

namespace shunttrail::controller {

/// Reads final records, caches the latest ones, and moves waiting jobs to the ready or the
/// cancelled state through the state service. Any controller may move a job, but the leader of its
/// shard has precedence. Callbacks are reply addresses (actor::Actor::reply).
class JobResults : public actor::Actor {
 public:
  JobResults(actor::Loop& loop, ControllerComponents& components);
  /// Reads final records and commits transitions that are due. Must be called at short, regular
  /// intervals.
  void tick();

  /// Returns the job's final record, or null if it is not cached, whether or not one is stored.
  [[nodiscard]] const wire::JobResultRecord* cached_result(const std::string& id) const;
  [[nodiscard]] const jobs::DependencyGraph& dependencies() const { return dependencies_; }
  /// Returns the number of jobs that this node has made ready.
  [[nodiscard]] std::uint64_t made_ready() const {
    return ready_writer_.transitioned_jobs + oversized_writer_.transitioned_jobs;
  }
  /// Returns the number of jobs that this node has cancelled because a job that they depend on was
  /// cancelled.
  [[nodiscard]] std::uint64_t cancelled_with_dependencies() const {
    return cancelled_writer_.transitioned_jobs;
  }

  /// States of waiting jobs. If one of them is `unread`, `missing` holds the jobs whose final
  /// records have to be read first.
  struct DependencyStates {
    std::vector<jobs::DependencyGraph::DependencyState> of;  ///< In the order of the requested ids.
    std::vector<std::string> missing;
  };
  /// Calls `then` with the states of these jobs after all changes that the cache holds at the time
  /// of the call.
  void dependency_states(std::vector<std::string> ids, std::function<void(DependencyStates)> then);
  /// Caches a final record that this node has written.
  void result_written(std::string id, wire::JobResultRecord result);

  /// Looks up one final record, in the cache or by a read. A record that is found need not be
  /// cached any more when `then` runs.
  void lookup(std::string id, std::function<void(jobs::ResultLookup)> then);
  /// Looks up several final records concurrently.
  void lookup_all(std::vector<std::string> ids, std::function<void(jobs::ResultLookups)> then);

 private:
  enum class Transition { to_ready, to_cancelled };
  /// Delay after a transition that was not applied.
  static constexpr double kTransitionRetryDelayS = 0.3;
  /// Delay between two searches for a ready job whose record is above the known limits, unless the
  /// last one that was found has become ready: its transaction will probably be rejected, and takes
  /// a part of the write rate.
  static constexpr double kOversizedRetryDelayS = 10;
  /// The commits of one kind of transition, of which at most one is in flight.
  struct TransitionWriter {
    double retry_delay_s = kTransitionRetryDelayS;
    bool is_in_flight = false;
    double retry_at = 0;
    std::uint64_t transitioned_jobs = 0;
    [[nodiscard]] bool is_due(double now) const { return !is_in_flight && now >= retry_at; }
  };
  void on_changes(const std::vector<state::Change>& changes);
  void on_waiting_set(const std::string& id);
  void cache_result(const std::string& id, const wire::JobResultRecord& result);
  void read(const std::string& id, jobs::ResultReader::Callback then);
  void send_reads();
  void on_read_response(const jobs::ResultReader::Read& read, const net::Result& response);
  std::vector<jobs::ResultReader::StoredResult> cache_requested(
      const std::vector<wire::Event>& items);
  [[nodiscard]] std::optional<wire::JobResultRecord> cache_requested(const wire::Event& item,
                                                                     const std::string& id);
  void send_effective_priorities();
  void schedule_advance();
  void advance();
  void read_dependencies();
  void write_transition(Transition transition);
  void write_oversized_start();
  void commit(TransitionWriter& writer, jobs::StateTransitions transitions,
              state::RequestPriority priority);
  void forget_completed_transitions();
  bool may_transition(const std::string& id);

  ControllerComponents& components_;
  jobs::DependencyGraph dependencies_;
  jobs::ResultCache results_;
  jobs::ResultReader reader_;
  std::set<std::string> read_ahead_ids_;  ///< Jobs whose final records are being read ahead.
  /// Waiting jobs for which a transition is due, and since when (loop time).
  std::unordered_map<std::string, double> transition_due_since_;
  TransitionWriter ready_writer_;
  TransitionWriter cancelled_writer_;
  TransitionWriter oversized_writer_{kOversizedRetryDelayS};
  std::string last_oversized_id_;  ///< The job that `oversized_writer_` has tried last.
  double next_read_at_ = 0;
  TagSequence tags_;
  bool is_advance_scheduled_ = false;
  actor::Timer advance_timer_;
};

}  // namespace shunttrail::controller
