/// @file
/// The graph of waiting jobs and the jobs that they depend on. It tells which waiting jobs are
/// ready, which can never run because a dependency was cancelled, and the effective priority that
/// each job inherits from its dependents. The graph is updated incrementally. Free of I/O: stored
/// state is read from the cache, and the caller passes in job results.
#pragma once
#include <cstdint>
#include <deque>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "state/state_cache.h"

namespace shunttrail::jobs {

/// A job's priority and due time, raised to those of its dependents where they are more urgent.
struct EffectivePriority {
  wire::Priority priority = wire::Priority::idle;
  /// The time of day, in seconds, by which the job must be done for its dependents to be in time.
  double due = std::numeric_limits<double>::infinity();
  friend bool operator==(const EffectivePriority&, const EffectivePriority&) = default;
};

/// The dependency graph. It holds the waiting jobs and their dependencies.
class DependencyGraph {
 public:
  /// `cache` has to outlive the graph.
  explicit DependencyGraph(const state::StateCache& cache) : cache_(cache) {}

  /// Updates the graph after the key of this job was set or deleted. The cache must already hold
  /// the new state.
  void key_changed(const std::string& id);
  /// Records a job's result. Only the result proves how a job ended; a deleted key alone does not.
  void job_ended(const std::string& id, bool cancelled);
  [[nodiscard]] bool contains(const std::string& id) const { return index_.contains(id); }

  /// Returns the jobs whose results must be read: they have no key, and a waiting job depends on
  /// them.
  [[nodiscard]] const std::set<std::string>& unread() const { return unread_; }
  /// Returns the waiting jobs whose dependencies are all done, as shown by their results.
  [[nodiscard]] const std::set<std::string>& ready() const { return ready_; }
  /// Returns the waiting jobs with a cancelled dependency, direct or indirect. They never run.
  [[nodiscard]] const std::set<std::string>& doomed() const { return doomed_; }

  /// The state that users see for a waiting job; unread: the result of a dependency must be read
  /// first.
  enum class DependencyState { queued, cancelled, unread };
  /// Returns a waiting job's state. Appends the dependencies whose results must be read to
  /// `missing`.
  DependencyState state_of(const std::string& id,
                           std::vector<std::string>* missing = nullptr) const;

  /// Returns a job's effective priority; for a job that is not in the graph, that of its record
  /// `own`.
  [[nodiscard]] EffectivePriority effective_priority(const std::string& id,
                                                     const wire::JobRecord& own) const;
  /// Returns the jobs whose effective priority has changed since the last call, and resets the
  /// list.
  std::vector<std::string> take_changed();

 private:
  struct Node {
    std::string id;
    /// absent: the job has no key, and its result has not been read.
    enum Kind { absent, waiting, live, done, cancelled } kind = absent;
    bool doomed = false;
    std::size_t unfinished = 0;     ///< dependencies that are not known to be done
    std::vector<int> dependencies;  ///< node indexes of the job's dependencies
    std::vector<int> dependents;    ///< node indexes of the waiting jobs that depend on it
    EffectivePriority own;
    EffectivePriority effective;
    double estimate_s = 0;  ///< the estimated run time
  };
  Node& at(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  [[nodiscard]] const Node& at(int node) const { return nodes_[static_cast<std::size_t>(node)]; }
  /// Returns the index of a job's node. Creates a missing node with the kind that the cache shows.
  int find_or_add_node(const std::string& id);
  int allocate_node();
  /// Frees a node that is not waiting and has no dependents.
  void drop_if_unused(int node);
  void set_kind(int node, Node::Kind kind);
  /// Adds the edges from a waiting job to its dependencies.
  void attach(int node, const wire::JobRecord& record);
  /// Removes the edges from a job to its dependencies.
  void detach(int node);
  /// Marks a job, and all waiting jobs that depend on it, as unable ever to run.
  void mark_doomed(int first);
  /// Updates the effective priorities of all direct and indirect dependencies of a job.
  void propagate(int first);
  /// Recomputes a node's effective priority. Returns false if it has not changed.
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

}  // namespace shunttrail::jobs
