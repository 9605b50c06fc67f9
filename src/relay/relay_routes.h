/// @file
/// Decides how to handle heartbeats while links between workers and controllers are cut
/// (docs/relay.md). A worker that was redirected to its shard's leader and returns to this node has
/// not reached the leader. This node then relays the heartbeats of that zone, until a worker that
/// is redirected as a probe does not return. Free of I/O. Safety does not depend on these
/// conclusions: a relayed heartbeat has the same effect as a direct one, and a wrong guess only
/// costs time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shunttrail::relay {

/// How to handle a heartbeat of a machine whose shard another node leads.
enum class Decision {
  redirect,  ///< answer 421 with the leader's name
  relay,     ///< forward it to the leader, whose response goes back in the same exchange
  refuse     ///< the leader has just not responded to this node: the worker tries another node
};

/// The routes over which this node relays heartbeats. Times are seconds of the steady clock.
class RelayRoutes {
 public:
  /// A heartbeat's incarnation and sequence number. Only a heartbeat newer than the redirected one
  /// shows that its worker has returned; a delayed copy proves nothing.
  using Order = std::pair<std::uint64_t, std::uint64_t>;
  /// Decides how to handle a heartbeat of a machine in this zone, whose shard the node `leader`
  /// leads.
  Decision decide(const std::string& machine, Order order, int zone, int leader, double now);
  /// Records whether `leader` responded to a relayed heartbeat.
  void record_response(int leader, bool answered, double now);
  /// Records that `leader` does not support the version of relayed heartbeats that this node sends.
  void record_unsupported(int leader, double now);

  /// An open route from the workers of a zone to a leader.
  struct Route {
    double since = 0;
    double probe_at = 0;         ///< when the next worker is redirected as a probe
    double probe_interval = 0;   ///< the wait after a failed probe
    std::string probed_machine;  ///< the machine redirected as a probe; empty: none
    Order probe_order{};         ///< order of the probe's heartbeat that was redirected
    double probe_sent_at = 0;    ///< when the probe was redirected
    double used_at = 0;          ///< when the last heartbeat used the route
  };
  /// Returns all open routes, by leader and zone.
  [[nodiscard]] const std::map<std::pair<int, int>, Route>& routes() const { return routes_; }
  /// Returns the number of machines whose last redirect is stored.
  [[nodiscard]] std::size_t redirected_count() const { return redirected_.size(); }

 private:
  struct Redirected {
    int leader = -1;
    double at = 0;
    Order order{};
  };
  void remove_expired(double now);
  /// Decides without a route: redirects the worker, or opens a route if the worker has returned.
  Decision decide_without_route(const std::string& machine, Order order, int zone, int leader,
                                Decision relay_or_refuse, double now);
  /// Decides while a probe is in flight, and records whether the probe has failed or succeeded.
  Decision decide_while_probing(const std::string& machine, Order order,
                                std::map<std::pair<int, int>, Route>::iterator known,
                                Decision relay_or_refuse, double now);

  std::map<std::string, Redirected> redirected_;  ///< by machine: the last redirect
  std::map<std::pair<int, int>, Route> routes_;
  std::map<int, double> unresponsive_until_;  ///< by leader: it did not respond to this node
  std::map<int, double> unsupported_until_;   ///< by leader: its build does not support relaying
  double last_expiry_at_ = 0;
};

}  // namespace shunttrail::relay
