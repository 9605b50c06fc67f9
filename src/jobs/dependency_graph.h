// Jobs that await others: which are ready, which are over because one before them was cancelled,
// and how urgent each job is for the sake of those that need it. Kept up by changes, by work lists.
// Free of I/O: what the state service holds is read from the cache, and final records are handed
// in.
#pragma once
#include <deque>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/limits.h"
#include "state/state_cache.h"

namespace shunttrail::jobs {

// A job's own priority and deadline, or those of a job that needs it.
struct EffectivePriority {
  wire::Priority priority = wire::Priority::idle;
  // Time of day by which it should be done, so that what needs it can be in time as well.
  double due = std::numeric_limits<double>::infinity();
  friend bool operator==(const EffectivePriority&, const EffectivePriority&) = default;
};

class DependencyGraph {
 public:
  explicit DependencyGraph(const state::StateCache& world) : cache_(world) {}

  // The key of this job has come or gone. The cache holds the new state already.
  void key_changed(const std::string& id);
  // What its final record says. Only that proves how a job has ended: a key that is gone does not.
  void job_ended(const std::string& id, bool cancelled);
  bool contains(const std::string& id) const { return index_.contains(id); }

  // Jobs whose final record has to be read: they are not live, and something awaits them.
  const std::set<std::string>& unread() const { return unread_; }
  // Waiting jobs, every awaited job of which has been read to be done.
  const std::set<std::string>& ready() const { return ready_; }
  // Waiting jobs below a cancelled one. They never started, and never will.
  const std::set<std::string>& doomed() const { return doomed_; }

  // What a waiting job is called. `unread`: some final record has to be read first, those are put
  // into `missing`.
  enum class DependencyState { queued, cancelled, unread };
  DependencyState state_of(const std::string& id,
                           std::vector<std::string>* missing = nullptr) const;

  EffectivePriority effective_priority(const std::string& id, const wire::JobRecord& own) const;
  // Jobs whose urgency has changed since the last call.
  std::vector<std::string> take_changed();

 private:
  struct Node {
    std::string id;
    enum Kind { absent, waiting, live, done, cancelled } kind = absent;
    bool doomed = false;
    std::size_t unfinished = 0;                 // awaited jobs that are not known to be done
    std::vector<int> dependencies, dependents;  // needed: by the waiting jobs that await it
    EffectivePriority own, effective;
    double run_s = 0;
  };
  Node& at(int n) { return nodes_[static_cast<std::size_t>(n)]; }
  const Node& at(int n) const { return nodes_[static_cast<std::size_t>(n)]; }
  int node(const std::string& id);  // found or made, with its kind as the cache has it
  void drop_if_unused(int n);
  void set_kind(int n, Node::Kind kind);
  void attach(int n, const wire::JobRecord& r);
  void detach(int n);
  void mark_doomed(int n);
  void propagate(int n);  // its urgency, to what it awaits, through all levels
  EffectivePriority compute_effective(const Node& n) const;
  static EffectivePriority own_of(const wire::JobRecord& r);

  const state::StateCache& cache_;
  std::unordered_map<std::string, int> index_;
  std::deque<Node> nodes_;
  std::vector<int> free_;
  std::set<std::string> unread_, ready_, doomed_, changed_;
};

// A transaction that moves waiting jobs on, and what it makes final. Ready: the record goes to
// where jobs that may start are kept. Below a cancelled one: its final record follows what polls
// say already. Guarded by what waits, so that a late or second copy undoes nothing.
struct StateTransitions {
  wire::Transaction txn;
  std::vector<std::pair<std::string, wire::JobResultRecord>> results;
};
StateTransitions state_transitions(const state::StateCache& world, const DependencyGraph& p,
                                   bool ready, const state::TransactionLimits& size,
                                   double wall_now, const std::string& tag,
                                   const std::function<bool(const std::string&)>& mine);

}  // namespace shunttrail::jobs
