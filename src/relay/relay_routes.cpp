#include "relay/relay_routes.h"

namespace shunttrail::relay {
namespace {
// A worker that cannot reach the owner gives up after 4 s and tries the next node 1 s later, which
// may be another one first.
constexpr double kBack = 13;  // it has come back from where it was sent
constexpr double kHome = 7;   // it has not: the owner has taken it
constexpr double kFirstTrial = 3, kMostGap = 16;
constexpr double kQuiet = 2;      // the owner is not asked again so soon after no answer
constexpr double kCannot = 60;    // an older build may be replaced
constexpr double kUnused = 30;    // nobody has come by it
constexpr double kForgetGap = 5;  // between two looks at what is remembered for nothing
}  // namespace

void RelayRoutes::forget(double now) {
  if (now < forgotten_at_ + kForgetGap) return;
  forgotten_at_ = now;
  std::erase_if(sent_, [&](const auto& s) { return now - s.second.at > kBack; });
  std::erase_if(open_, [&](const auto& d) { return now - d.second.used_at > kUnused; });
}

Decision RelayRoutes::decide(const std::string& machine, Order order, int zone, int owner,
                             double now) {
  forget(now);
  if (auto c = unavailable_until_.find(owner); c != unavailable_until_.end() && now < c->second)
    return Decision::redirect;
  auto quiet = silent_until_.find(owner);
  const Decision pass =
      quiet != silent_until_.end() && now < quiet->second ? Decision::refuse : Decision::relay;
  auto at = open_.find({owner, zone});
  if (at == open_.end()) {
    auto was = sent_.find(machine);
    if (was == sent_.end() || was->second.owner != owner || now - was->second.at > kBack) {
      sent_[machine] = {owner, now, order};
      return Decision::redirect;
    }
    if (order <= was->second.order) return Decision::redirect;  // a copy
    sent_.erase(was);
    open_[{owner, zone}] = {now, now + kFirstTrial, kFirstTrial, {}, {}, 0, now};
    return pass;
  }
  Route& d = at->second;
  d.used_at = now;
  if (!d.probing.empty()) {
    if (machine == d.probing && order <= d.probe_order) return pass;  // a copy
    if (machine == d.probing) {
      // Back again: still cut.
      d.probing.clear();
      d.probe_interval = d.probe_interval * 2 < kMostGap ? d.probe_interval * 2 : kMostGap;
      d.probe_at = now + d.probe_interval;
      return pass;
    }
    if (now - d.sent_at <= kHome) return pass;
    open_.erase(at);  // it stayed there: all go home
    return Decision::redirect;
  }
  if (now < d.probe_at || pass == Decision::refuse) return pass;
  d.probing = machine;
  d.probe_order = order;
  d.sent_at = now;
  return Decision::redirect;
}

void RelayRoutes::relayed(int owner, bool answered, double now) {
  if (answered)
    silent_until_.erase(owner);
  else
    silent_until_[owner] = now + kQuiet;
}

void RelayRoutes::unavailable(int owner, double now) {
  unavailable_until_[owner] = now + kCannot;
  std::erase_if(open_, [&](const auto& d) { return d.first.first == owner; });
}

}  // namespace shunttrail::relay
