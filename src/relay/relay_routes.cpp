#include "relay/relay_routes.h"

namespace shunt::links {
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

void Detours::forget(double now) {
  if (now < forgotten_at_ + kForgetGap) return;
  forgotten_at_ = now;
  std::erase_if(sent_, [&](const auto& s) { return now - s.second.at > kBack; });
  std::erase_if(open_, [&](const auto& d) { return now - d.second.used_at > kUnused; });
}

Way Detours::way(const std::string& machine, Order order, int zone, int owner, double now) {
  forget(now);
  if (auto c = cannot_until_.find(owner); c != cannot_until_.end() && now < c->second)
    return Way::redirect;
  auto quiet = quiet_until_.find(owner);
  const Way pass = quiet != quiet_until_.end() && now < quiet->second ? Way::refuse : Way::relay;
  auto at = open_.find({owner, zone});
  if (at == open_.end()) {
    auto was = sent_.find(machine);
    if (was == sent_.end() || was->second.owner != owner || now - was->second.at > kBack) {
      sent_[machine] = {owner, now, order};
      return Way::redirect;
    }
    if (order <= was->second.order) return Way::redirect;  // a copy
    sent_.erase(was);
    open_[{owner, zone}] = {now, now + kFirstTrial, kFirstTrial, {}, {}, 0, now};
    return pass;
  }
  Detour& d = at->second;
  d.used_at = now;
  if (!d.on_trial.empty()) {
    if (machine == d.on_trial && order <= d.trial_order) return pass;  // a copy
    if (machine == d.on_trial) {
      // Back again: still cut.
      d.on_trial.clear();
      d.gap = d.gap * 2 < kMostGap ? d.gap * 2 : kMostGap;
      d.trial_at = now + d.gap;
      return pass;
    }
    if (now - d.sent_at <= kHome) return pass;
    open_.erase(at);  // it stayed there: all go home
    return Way::redirect;
  }
  if (now < d.trial_at || pass == Way::refuse) return pass;
  d.on_trial = machine;
  d.trial_order = order;
  d.sent_at = now;
  return Way::redirect;
}

void Detours::passed(int owner, bool answered, double now) {
  if (answered)
    quiet_until_.erase(owner);
  else
    quiet_until_[owner] = now + kQuiet;
}

void Detours::cannot(int owner, double now) {
  cannot_until_[owner] = now + kCannot;
  std::erase_if(open_, [&](const auto& d) { return d.first.first == owner; });
}

}  // namespace shunt::links
