#include "relay/relay_routes.h"

#include <algorithm>

namespace shunttrail::relay {
namespace {

// A worker that cannot reach the leader gives up after 4 s and tries the next node 1 s later, which
// may be another one first.

/// A machine that comes within this time after a redirect has come back.
constexpr double kComesBackWithinS = 13;
/// A probe that has not come back after this time has reached the leader.
constexpr double kProbeStaysAwayS = 7;
constexpr double kFirstProbeIntervalS = 3;
constexpr double kMaxProbeIntervalS = 16;
/// A leader that has not answered is not asked again for this long.
constexpr double kSilenceS = 2;
/// A leader of an older build may be replaced in this time.
constexpr double kUnavailableS = 60;
/// A route that no heartbeat has used for this long is closed.
constexpr double kUnusedRouteS = 30;
constexpr double kForgetIntervalS = 5;

/// Whether the time noted for a leader has not come yet.
bool is_before(const std::map<int, double>& until, int leader, double now) {
  const auto entry = until.find(leader);
  return entry != until.end() && now < entry->second;
}

}  // namespace

void RelayRoutes::forget_old(double now) {
  if (now < forgotten_at_ + kForgetIntervalS) return;
  forgotten_at_ = now;
  std::erase_if(redirected_,
                [&](const auto& entry) { return now - entry.second.at > kComesBackWithinS; });
  std::erase_if(open_,
                [&](const auto& entry) { return now - entry.second.used_at > kUnusedRouteS; });
}

Decision RelayRoutes::decide(const std::string& machine, Order order, int zone, int leader,
                             double now) {
  forget_old(now);
  if (is_before(unavailable_until_, leader, now)) return Decision::redirect;
  const Decision pass_on =
      is_before(silent_until_, leader, now) ? Decision::refuse : Decision::relay;
  const auto known = open_.find({leader, zone});
  if (known == open_.end()) return decide_without_route(machine, order, zone, leader, pass_on, now);
  Route& route = known->second;
  route.used_at = now;
  if (!route.probing.empty()) return decide_while_probing(machine, order, known, pass_on, now);
  if (now < route.probe_at || pass_on == Decision::refuse) return pass_on;
  route.probing = machine;
  route.probe_order = order;
  route.sent_at = now;
  return Decision::redirect;
}

Decision RelayRoutes::decide_without_route(const std::string& machine, Order order, int zone,
                                           int leader, Decision pass_on, double now) {
  const auto last = redirected_.find(machine);
  if (last == redirected_.end() || last->second.leader != leader ||
      now - last->second.at > kComesBackWithinS) {
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
  open_[{leader, zone}] = route;
  return pass_on;
}

Decision RelayRoutes::decide_while_probing(const std::string& machine, Order order,
                                           std::map<std::pair<int, int>, Route>::iterator known,
                                           Decision pass_on, double now) {
  Route& route = known->second;
  if (machine == route.probing) {
    const bool is_copy = order <= route.probe_order;
    if (is_copy) return pass_on;
    // It has come back: the link is still cut.
    route.probing.clear();
    route.probe_interval = std::min(route.probe_interval * 2, kMaxProbeIntervalS);
    route.probe_at = now + route.probe_interval;
    return pass_on;
  }
  if (now - route.sent_at <= kProbeStaysAwayS) return pass_on;
  // It has stayed with the leader: all workers are redirected again.
  open_.erase(known);
  return Decision::redirect;
}

void RelayRoutes::relayed(int leader, bool answered, double now) {
  if (answered)
    silent_until_.erase(leader);
  else
    silent_until_[leader] = now + kSilenceS;
}

void RelayRoutes::unavailable(int leader, double now) {
  unavailable_until_[leader] = now + kUnavailableS;
  std::erase_if(open_, [&](const auto& entry) { return entry.first.first == leader; });
}

}  // namespace shunttrail::relay
