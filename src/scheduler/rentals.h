// Renting and returning machines: collects the orders that the chain makes into requests to the
// cloud, and lists the machines to return. Performs no I/O.
#pragma once
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// A request to rent machines of one tier in one zone.
struct ScaleOutRequest {
  int tier = 0, zone = 0;
  /// Numbers of the ordered machines.
  std::vector<int> machines;
};

/// Orders machines, and limits the orders where the cloud has recently refused.
class Rentals {
 public:
  Rentals(ShardContext& context, Machines& machines) : context_(context), machines_(machines) {}

  /// Returns the zone in which to rent a machine of the tier for another task of the job: the one
  /// with the fewest machines among those where the cloud may have capacity. Returns -1 if there is
  /// none.
  [[nodiscard]] int pick_zone(const jobs::Job& job, int tier, double now) const;
  /// Adds an ordered machine of the tier in the zone.
  Machine& order(int tier, int zone, double now);
  /// Returns requests for the machines ordered since the last call. Adds to `rejected` the orders
  /// of a tier and zone where the cloud has recently refused.
  [[nodiscard]] std::vector<ScaleOutRequest> scale_out_requests(double now,
                                                                std::vector<Machine*>& rejected);
  /// Records that the cloud has rented machines for the request. Returns the numbers of the orders
  /// that were not used.
  [[nodiscard]] std::vector<int> rented(const ScaleOutRequest& request,
                                        const std::vector<std::string>& names, double now);
  /// Records that the request's machines from index `from` on were not rented. `no_capacity` is
  /// true if the cloud has none. Returns the numbers of these machines.
  [[nodiscard]] std::vector<int> refused(const ScaleOutRequest& request, std::size_t from,
                                         bool no_capacity, double now);

  /// Returns the names of machines to give back to the cloud. Each machine is returned by this
  /// function only once, unless return_failed() is called for it.
  [[nodiscard]] std::vector<std::string> machines_to_return();
  /// Records that returning the machine failed: machines_to_return() will return its name again.
  void return_failed(const std::string& name);

 private:
  using TierAndZone = std::pair<int, int>;

  bool refused_lately(int tier, int zone, double now) const;
  Machine& ordered_or_new_machine(const ScaleOutRequest& request, std::size_t index);

  ShardContext& context_;
  Machines& machines_;
  std::map<TierAndZone, double> refused_until_;  // steady time, seconds
  std::set<TierAndZone> requesting_;             // tiers and zones with a request in flight
  // Maximum number of machines ordered at a time, for tiers and zones where the cloud has refused.
  // Entries are removed after enough successful requests.
  std::map<TierAndZone, std::size_t> order_limits_;
};

}  // namespace shunttrail::scheduler
