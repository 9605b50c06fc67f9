// Until when the agent's tasks may run: the lease, as the controllers' answers extend it.
#pragma once
#include <algorithm>

namespace shunttrail::agent {

/// The end of the lease. All times are of CLOCK_BOOTTIME, in seconds.
class Lease {
 public:
  Lease(double lease_s, double began_at) : lease_s_(lease_s), until_(began_at + lease_s) {}

  /// A lease that an earlier process of the agent has left.
  [[nodiscard]] static Lease resumed(double lease_s, double until) {
    Lease lease(lease_s, 0);
    lease.until_ = until;
    return lease;
  }

  /// An answer counts from when its request was sent (PROTOCOL, "Workers -> controller nodes").
  void answered(double sent_at) { until_ = std::max(until_, sent_at + lease_s_); }
  [[nodiscard]] bool over(double now) const { return now > until_; }
  [[nodiscard]] double until() const { return until_; }

 private:
  double lease_s_;
  double until_;
};

}  // namespace shunttrail::agent
