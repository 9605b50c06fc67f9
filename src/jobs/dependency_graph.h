/// @file
/// The graph of jobs that wait for others: which are ready, which will never run because a job
/// that they need was cancelled, and how urgent each job is for the sake of those that need it.
/// It is kept up to date change by change. Free of I/O: what the state service holds is read from
/// the cache, and job results are handed in.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "state/limits.h"
#include "state/state_cache.h"

namespace shunttrail::jobs {

/// A job's own priority and due time, or those of a job that needs it where they are more urgent.
struct EffectivePriority {
  wire::Priority priority = wire::Priority::idle;
  /// Time of day in seconds by which it should be done, so that jobs that need it can be in time.
  double due = std::numeric_limits<double>::infinity();
  friend bool operator==(const EffectivePriority&, const EffectivePriority&) = default;
};

/// The graph. It holds the waiting jobs and those that they need.
class DependencyGraph {
 public:
  /// `cache` has to outlive the graph.
  explicit DependencyGraph(const state::StateCache& cache) : cache_(cache) {}

  /// The key of this job was set or deleted. The cache has the new state already.
  void key_changed(const std::string& id);
  /// The job's result was read. Only that proves how a job has ended; that its key is gone does
  /// not.
  void job_ended(const std::string& id, bool cancelled);
  [[nodiscard]] bool contains(const std::string& id) const { return index_.contains(id); }

  /// Jobs whose result has to be read: they have no key, and a waiting job needs them.
  [[nodiscard]] const std::set<std::string>& unread() const { return unread_; }
  /// Waiting jobs that need no job any more: the results of all say that they are done.
  [[nodiscard]] const std::set<std::string>& ready() const { return ready_; }
  /// Waiting jobs that need a cancelled one, directly or through others. They never run.
  [[nodiscard]] const std::set<std::string>& doomed() const { return doomed_; }

  /// What users are told of a waiting job; unread: a result has to be read first.
  enum class DependencyState { queued, cancelled, unread };
  /// A waiting job's state. Jobs whose result has to be read are appended to `missing`.
  DependencyState state_of(const std::string& id,
                           std::vector<std::string>* missing = nullptr) const;

  /// A job's priority for its own sake, by its record, or that of a job that needs it.
  [[nodiscard]] EffectivePriority effective_priority(const std::string& id,
                                                     const wire::JobRecord& own) const;
  /// Jobs whose effective priority has changed since the last call.
  std::vector<std::string> take_changed();

 private:
  struct Node {
    std::string id;
    /// absent: it has no key, and its result has not been read.
    enum Kind { absent, waiting, live, done, cancelled } kind = absent;
    bool doomed = false;
    std::size_t unfinished = 0;     ///< dependencies that are not known to be done
    std::vector<int> dependencies;  ///< nodes of the jobs that it needs
    std::vector<int> dependents;    ///< nodes of the waiting jobs that need it
    EffectivePriority own;
    EffectivePriority effective;
    double estimate_s = 0;  ///< its estimated run time
  };
  Node& at(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  [[nodiscard]] const Node& at(int node) const { return nodes_[static_cast<std::size_t>(node)]; }
  /// Finds a job's node, or makes one with the kind that the cache gives.
  int find_or_add_node(const std::string& id);
  int allocate_node();
  /// Frees a node that does not wait and that no waiting job needs.
  void drop_if_unused(int node);
  void set_kind(int node, Node::Kind kind);
  /// Connects a waiting job with the jobs that it needs.
  void attach(int node, const wire::JobRecord& record);
  /// Disconnects a job from the jobs that it needs.
  void detach(int node);
  /// Dooms a job and all waiting jobs that need it.
  void mark_doomed(int first);
  /// Passes a job's urgency on to the jobs that it needs, through all levels.
  void propagate(int first);
  /// Computes a node's effective priority anew; false: it is the same.
  bool update_effective(int node);
  [[nodiscard]] EffectivePriority compute_effective(const Node& job) const;
  static EffectivePriority own_priority(const wire::JobRecord& record);

  const state::StateCache& cache_;
  std::unordered_map<std::string, int> index_;  ///< node by job
  std::deque<Node> nodes_;
  std::vector<int> free_nodes_;
  std::set<std::string> unread_;
  std::set<std::string> ready_;
  std::set<std::string> doomed_;
  std::set<std::string> changed_;
};

/// A transaction that ends the waiting of jobs.
struct StateTransitions {
  wire::Transaction txn;
  /// The results that it writes, by job.
  std::vector<std::pair<std::string, wire::JobResultRecord>> results;
};
/// Builds the transaction: jobs that are `ready` move to the key of jobs that may start; otherwise
/// doomed jobs get a result, as users are told already. The preconditions hold the waiting keys, so
/// that a late or repeated copy undoes nothing.
/// `limits`: of the transaction; `wall_now`: time of day in seconds; `tag`: names the transaction;
/// `is_led_here`: whether this node leads the job's shard.
[[nodiscard]] StateTransitions state_transitions(
    const state::StateCache& cache, const DependencyGraph& graph, bool ready,
    const state::TransactionLimits& limits, double wall_now, const std::string& tag,
    const std::function<bool(const std::string&)>& is_led_here);

}  // namespace shunttrail::jobs
