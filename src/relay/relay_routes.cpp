#include "relay/relay_routes.h"

#include <algorithm>

namespace shunttrail::relay {
namespace {

// A worker that cannot reach the leader times out after 4 s and tries the next node 1 s later. With
// three nodes, it may try the third node before this one.

/// A machine whose next heartbeat comes within this time of its redirect has returned.
constexpr double kReturnWindowS = 13;
/// A probed worker that has not returned after this time has reached the leader.
constexpr double kProbeSuccessS = 7;
constexpr double kFirstProbeIntervalS = 3;
constexpr double kMaxProbeIntervalS = 16;
/// How long an unresponsive leader gets no further heartbeats.
constexpr double kUnresponsiveS = 2;
/// How long a leader whose build does not support relaying gets no further heartbeats. An upgrade
/// may replace the build in this time.
constexpr double kUnsupportedS = 60;
/// A route that no heartbeat has used for this long is closed.
constexpr double kUnusedRouteS = 30;
constexpr double kExpiryIntervalS = 5;

/// Returns whether the time recorded for a leader is still in the future.
bool is_blocked(const std::map<int, double>& until, int leader, double now) {
  const auto entry = until.find(leader);
  return entry != until.end() && now < entry->second;
}

}  // namespace

void RelayRoutes::remove_expired(double now) {
  if (now < last_expiry_at_ + kExpiryIntervalS) return;
  last_expiry_at_ = now;
  std::erase_if(redirected_,
                [&](const auto& entry) { return now - entry.second.at > kReturnWindowS; });
  std::erase_if(routes_,
                [&](const auto& entry) { return now - entry.second.used_at > kUnusedRouteS; });
}

Decision RelayRoutes::decide(const std::string& machine, Order order, int zone, int leader,
                             double now) {
  remove_expired(now);
  if (is_blocked(unsupported_until_, leader, now)) return Decision::redirect;
  const Decision relay_or_refuse =
      is_blocked(unresponsive_until_, leader, now) ? Decision::refuse : Decision::relay;
  const auto known = routes_.find({leader, zone});
  if (known == routes_.end())
    return decide_without_route(machine, order, zone, leader, relay_or_refuse, now);
  Route& route = known->second;
  route.used_at = now;
  if (!route.probed_machine.empty())
    return decide_while_probing(machine, order, known, relay_or_refuse, now);
  if (now < route.probe_at || relay_or_refuse == Decision::refuse) return relay_or_refuse;
  route.probed_machine = machine;
  route.probe_order = order;
  route.probe_sent_at = now;
  return Decision::redirect;
}

Decision RelayRoutes::decide_without_route(const std::string& machine, Order order, int zone,
                                           int leader, Decision relay_or_refuse, double now) {
  const auto last = redirected_.find(machine);
  if (last == redirected_.end() || last->second.leader != leader ||
      now - last->second.at > kReturnWindowS) {
    redirected_[machine] = {leader, now, order};
    return Decision::redirect;
  }
  const bool is_copy = order <= last->second.order;
  if (is_copy) return Decision::redirect;
  redirected_.erase(last);
  Route route;
  route.since = now;
  route.probe_at = now + kFirstProbeIntervalS;
  route.probe_interval = kFirstProbeIntervalS;
  route.used_at = now;
  routes_[{leader, zone}] = route;
  return relay_or_refuse;
}

Decision RelayRoutes::decide_while_probing(const std::string& machine, Order order,
                                           std::map<std::pair<int, int>, Route>::iterator known,
                                           Decision relay_or_refuse, double now) {
  Route& route = known->second;
  if (machine == route.probed_machine) {
    const bool is_copy = order <= route.probe_order;
    if (is_copy) return relay_or_refuse;
    // The probed worker has returned: its link to the leader is still cut.
    route.probed_machine.clear();
    route.probe_interval = std::min(route.probe_interval * 2, kMaxProbeIntervalS);
    route.probe_at = now + route.probe_interval;
    return relay_or_refuse;
  }
  if (now - route.probe_sent_at <= kProbeSuccessS) return relay_or_refuse;
  // The probed worker has stayed with the leader: all workers are redirected again.
  routes_.erase(known);
  return Decision::redirect;
}

void RelayRoutes::record_response(int leader, bool answered, double now) {
  if (answered)
    unresponsive_until_.erase(leader);
  else
    unresponsive_until_[leader] = now + kUnresponsiveS;
}

void RelayRoutes::record_unsupported(int leader, double now) {
  unsupported_until_[leader] = now + kUnsupportedS;
  std::erase_if(routes_, [&](const auto& entry) { return entry.first.first == leader; });
}

}  // namespace shunttrail::relay
