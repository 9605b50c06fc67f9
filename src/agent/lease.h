// The lease under which the agent's tasks run. The controllers' answers extend it.
#pragma once
#include <algorithm>

namespace shunttrail::agent {

/// A lease with a fixed duration. All times are in seconds of CLOCK_BOOTTIME.
class Lease {
 public:
  Lease(double lease_s, double began_at) : lease_s_(lease_s), until_(began_at + lease_s) {}

  /// Returns the lease that an earlier process of the agent has left.
  [[nodiscard]] static Lease resumed(double lease_s, double until) {
    Lease lease(lease_s, 0);
    lease.until_ = until;
    return lease;
  }

  /// Extends the lease after an answer. The extension counts from when the request was sent
  /// (PROTOCOL, "Workers -> controller nodes").
  void extend(double sent_at) { until_ = std::max(until_, sent_at + lease_s_); }
  [[nodiscard]] bool has_expired(double now) const { return now > until_; }
  [[nodiscard]] double until() const { return until_; }

 private:
  double lease_s_;
  double until_;
};

}  // namespace shunttrail::agent
