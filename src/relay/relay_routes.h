// Links between workers and controllers that are cut while others stand: a worker that was sent to
// its shard's owner and comes back has not reached it. Then this node passes reports on to the
// owner by itself, until a worker that is sent there on trial stays away. Free of I/O. Nothing
// rests on what is concluded here: a report passed on is a report, and a wrong guess costs time
// only.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shunttrail::relay {

enum class Decision {
  redirect,  // 421 naming the owner
  relay,     // passed on to the owner; its answer goes back in the same exchange
  refuse     // the owner has just not answered either: the worker tries another node
};

class RelayRoutes {
 public:
  // A report of a machine in this zone has come here, whose shard node `owner` owns. Times in
  // seconds.
  // `order`: the report's incarnation and sequence. A copy that comes late shows nothing: only a
  // report that is newer than the one that was sent away tells that its worker has come back.
  using Order = std::pair<std::uint64_t, std::uint64_t>;
  Decision decide(const std::string& machine, Order order, int zone, int owner, double now);
  // Whether the owner answered what was passed on.
  void relayed(int owner, bool answered, double now);
  // It speaks no version of the relay that this node knows.
  void unavailable(int owner, double now);
  struct Route {
    double since = 0;
    double probe_at = 0;        // when the next worker is sent to the owner on trial
    double probe_interval = 0;  // between two trials that fail
    std::string probing;
    Order probe_order{};  // the report that was sent there
    double sent_at = 0;
    double used_at = 0;
  };
  // By owner and zone, those in use.
  const std::map<std::pair<int, int>, Route>& open() const { return open_; }
  std::size_t remembered() const { return sent_.size(); }

 private:
  struct Sent {
    int owner = -1;
    double at = 0;
    Order order{};
  };
  void forget(double now);

  std::map<std::string, Sent> sent_;  // by machine: where it was sent lately
  std::map<std::pair<int, int>, Route> open_;
  std::map<int, double> silent_until_;  // by owner: it does not answer us either
  std::map<int, double> unavailable_until_;
  double forgotten_at_ = 0;
};

}  // namespace shunttrail::relay
