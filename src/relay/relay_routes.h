/// @file
/// Decides where heartbeats go while links between workers and controllers are cut (docs/relay.md).
/// A worker that was redirected to its shard's leader and comes back has not reached it. Then this
/// node relays heartbeats to the leader, until a worker that is redirected as a probe stays away.
/// Free of I/O. Nothing depends on the conclusions being right: a relayed heartbeat is a heartbeat,
/// and a wrong guess costs only time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shunttrail::relay {

/// What to do with a heartbeat whose shard another node leads.
enum class Decision {
  redirect,  ///< answer 421 with the leader's name
  relay,     ///< pass it on to the leader, whose answer goes back in the same exchange
  refuse     ///< the leader has just not answered this node either: the worker tries another one
};

/// The routes by which this node relays. Times are seconds of the steady clock.
class RelayRoutes {
 public:
  /// A heartbeat's incarnation and sequence. Only one that is newer than the one that was
  /// redirected shows that its worker has come back; a copy that comes late shows nothing.
  using Order = std::pair<std::uint64_t, std::uint64_t>;
  /// Decides about a heartbeat of a machine in this zone, whose shard the node `leader` leads.
  Decision decide(const std::string& machine, Order order, int zone, int leader, double now);
  /// A relayed heartbeat was answered by `leader`, or was not.
  void record_response(int leader, bool answered, double now);
  /// `leader` speaks no version of the relay that this node knows.
  void record_unsupported(int leader, double now);

  /// A route from a zone's workers to a leader, in use.
  struct Route {
    double since = 0;
    double probe_at = 0;         ///< when the next worker is redirected as a probe
    double probe_interval = 0;   ///< between two probes that fail
    std::string probed_machine;  ///< the machine redirected as a probe; empty: none
    Order probe_order{};         ///< of the heartbeat that was redirected
    double probe_sent_at = 0;    ///< when it was redirected
    double used_at = 0;          ///< when the last heartbeat came by
  };
  /// All routes, by leader and zone.
  [[nodiscard]] const std::map<std::pair<int, int>, Route>& routes() const { return routes_; }
  /// How many redirected machines are remembered.
  [[nodiscard]] std::size_t redirected_count() const { return redirected_.size(); }

 private:
  struct Redirected {
    int leader = -1;
    double at = 0;
    Order order{};
  };
  void remove_expired(double now);
  /// Without a route: redirects, or opens one if the machine has come back.
  Decision decide_without_route(const std::string& machine, Order order, int zone, int leader,
                                Decision relay_or_refuse, double now);
  /// While a probe is under way: whether it has failed, or has succeeded.
  Decision decide_while_probing(const std::string& machine, Order order,
                                std::map<std::pair<int, int>, Route>::iterator known,
                                Decision relay_or_refuse, double now);

  std::map<std::string, Redirected> redirected_;  ///< by machine: the last redirect
  std::map<std::pair<int, int>, Route> routes_;
  std::map<int, double> unresponsive_until_;  ///< by leader: it does not answer this node either
  std::map<int, double> unsupported_until_;   ///< by leader: it cannot relay
  double last_expiry_at_ = 0;
};

}  // namespace shunttrail::relay
