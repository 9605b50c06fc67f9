// How jobs ended, as far as it has been read, and jobs that await others: their way from waiting to
// ready, or to cancelled, through the state service. Any controller may move one; its shard's owner
// does so first.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "jobs/dependency_graph.h"
#include "jobs/result_reader.h"

namespace shunttrail::controller {

class JobResults : public actor::Actor {
 public:
  JobResults(actor::Loop& loop, ControllerComponents& parts);
  void tick();

  // None: not known here.
  const wire::JobResultRecord* final(const std::string& id) const;
  const jobs::DependencyGraph& dependencies() const { return dependencies_; }
  std::uint64_t made_ready() const { return ready_writer_.moved; }
  std::uint64_t ended_with_others() const { return cancelled_writer_.moved; }

  // What waiting jobs are called, after every change that the cache holds by now; where that cannot
  // be told, the final records that have to be read first are in `missing`.
  struct DependencyStates {
    std::vector<jobs::DependencyGraph::DependencyState> of;
    std::vector<std::string> missing;
  };
  void dependency_states(std::vector<std::string> ids, std::function<void(DependencyStates)> then);
  // A final record that this node has written.
  void result_written(std::string id, wire::JobResultRecord f);
  // Whatever is found is known before `then` is told.
  using LookupResult = jobs::Found;
  void lookup(std::string id, std::function<void(LookupResult)> then);
  // All of them at the same time; `then` learns whether all were answered, found or not.
  void lookup_all(std::vector<std::string> ids, std::function<void(bool)> then);

 private:
  struct TransitionWriter {
    bool in_flight = false;
    double not_before = 0;
    std::uint64_t moved = 0;
  };
  void changed(const std::vector<state::Change>& changes);
  void remember(const std::string& id, const wire::JobResultRecord& f);
  void read(const std::string& id, std::function<void(LookupResult)> then);
  void read_next();
  void read_answered(const jobs::ResultReader::Read& ask, const net::Result& r);
  void send_effective_priorities();
  void schedule_advance();
  void advance();
  void move_waiting(bool ready);
  bool may_move(const std::string& id);

  ControllerComponents& components_;
  jobs::DependencyGraph dependencies_;
  std::unordered_map<std::string, wire::JobResultRecord> results_;
  std::deque<std::string> results_by_age_;
  jobs::ResultReader reader_;
  std::set<std::string> reading_;                       // final records on their way
  std::unordered_map<std::string, double> move_since_;  // waiting jobs to be moved, since when
  TransitionWriter ready_writer_, cancelled_writer_;
  double read_after_ = 0;
  std::uint64_t tags_ = 0;
  bool advance_armed_ = false;
  actor::Timer advance_timer_;
};

}  // namespace shunttrail::controller
