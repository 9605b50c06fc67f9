/// How jobs ended, as far as it has been read, and the transitions of jobs that wait for others.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "controller/tag_sequence.h"
#include "jobs/dependency_graph.h"
#include "jobs/result_reader.h"

namespace shunttrail::controller {

/// Reads final records, keeps the latest ones, and moves waiting jobs on to ready or to cancelled
/// through the state service. Any controller may move a job; its shard's leader does so first.
/// Callbacks are reply addresses (actor::Actor::reply).
class JobResults : public actor::Actor {
 public:
  JobResults(actor::Loop& loop, ControllerComponents& components);
  /// To be called at short, regular intervals.
  void tick();

  /// The job's final record; null: not known here, whether or not there is one.
  [[nodiscard]] const wire::JobResultRecord* cached_result(const std::string& id) const;
  [[nodiscard]] const jobs::DependencyGraph& dependencies() const { return dependencies_; }
  /// Jobs that this node has made ready.
  [[nodiscard]] std::uint64_t made_ready() const { return ready_writer_.transitioned_jobs; }
  /// Jobs that this node has cancelled with a job that they depend on.
  [[nodiscard]] std::uint64_t cancelled_with_dependencies() const {
    return cancelled_writer_.transitioned_jobs;
  }

  /// The states of waiting jobs. Where one is unread, `missing` has the jobs whose final records
  /// have to be read first.
  struct DependencyStates {
    std::vector<jobs::DependencyGraph::DependencyState> of;  ///< In the order of the ids asked for.
    std::vector<std::string> missing;
  };
  /// The states after every change that the cache holds by now.
  void dependency_states(std::vector<std::string> ids, std::function<void(DependencyStates)> then);
  /// This node has written a final record.
  void result_written(std::string id, wire::JobResultRecord result);

  using LookupResult = jobs::Found;
  /// Reads one final record. What is found is known (`cached_result`) before `then` is told.
  void lookup(std::string id, std::function<void(LookupResult)> then);
  /// Reads several at the same time; `then` is told whether all reads succeeded, found or not.
  void lookup_all(std::vector<std::string> ids, std::function<void(bool)> then);

 private:
  enum class Transition { to_ready, to_cancelled };
  /// The commits of one kind of transition: one in flight at most.
  struct TransitionWriter {
    bool is_in_flight = false;
    double retry_at = 0;
    std::uint64_t transitioned_jobs = 0;
  };
  void on_changes(const std::vector<state::Change>& changes);
  void on_waiting_set(const std::string& id);
  void cache_result(const std::string& id, const wire::JobResultRecord& result);
  void read(const std::string& id, std::function<void(LookupResult)> then);
  void send_reads();
  void on_read_response(const jobs::ResultReader::Read& read, const net::Result& response);
  std::vector<std::string> cache_range(const wire::KeyPage& page);
  void send_effective_priorities();
  void schedule_advance();
  void advance();
  void read_dependencies();
  void write_transition(Transition transition);
  void forget_completed_transitions();
  bool may_transition(const std::string& id);

  ControllerComponents& components_;
  jobs::DependencyGraph dependencies_;
  std::unordered_map<std::string, wire::JobResultRecord> results_;
  std::deque<std::string> result_ids_by_age_;
  jobs::ResultReader reader_;
  std::set<std::string> read_ahead_ids_;  ///< Jobs whose final records are read ahead.
  /// Waiting jobs that have to be moved, and since when (loop time).
  std::unordered_map<std::string, double> transition_due_since_;
  TransitionWriter ready_writer_;
  TransitionWriter cancelled_writer_;
  double next_read_at_ = 0;
  TagSequence tags_;
  bool is_advance_scheduled_ = false;
  actor::Timer advance_timer_;
};

}  // namespace shunttrail::controller
