// Renting and returning machines: orders that the chain makes, the requests to the cloud that they
// are grouped into, and the machines that are given back. Free of I/O.
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

/// Machines to rent, all of one tier in one zone.
struct ScaleOutRequest {
  int tier = 0, zone = 0;
  /// Ordered machines, by number.
  std::vector<int> machines;
};

/// Orders machines, and bounds orders where the cloud has refused lately.
class Rentals {
 public:
  Rentals(ShardContext& context, Machines& machines) : context_(context), machines_(machines) {}

  /// The zone to rent a machine of the tier in for one more of the job's tasks: of those where the
  /// cloud may have one, that with the fewest machines. -1: none.
  [[nodiscard]] int pick_zone(const jobs::Job& job, int tier, double now) const;
  /// Orders a machine.
  Machine& order(int tier, int zone, double now);
  /// Requests for what has been ordered since. `rejected`: orders where the cloud has just refused.
  [[nodiscard]] std::vector<ScaleOutRequest> scale_out_requests(double now,
                                                                std::vector<Machine*>& rejected);
  /// The cloud has rented machines for the request. Returns the numbers of orders that came to
  /// nothing.
  [[nodiscard]] std::vector<int> rented(const ScaleOutRequest& request,
                                        const std::vector<std::string>& names, double now);
  /// The request's machines from index `from` on were not rented; `no_capacity`: since the cloud
  /// has none. Returns their numbers.
  [[nodiscard]] std::vector<int> refused(const ScaleOutRequest& request, std::size_t from,
                                         bool no_capacity, double now);

  /// Names of machines to give back. Handed out once, unless return_failed follows.
  [[nodiscard]] std::vector<std::string> machines_to_return();
  void return_failed(const std::string& name);

 private:
  using TierAndZone = std::pair<int, int>;

  bool refused_lately(int tier, int zone, double now) const;
  Machine& ordered_or_new_machine(const ScaleOutRequest& request, std::size_t index);

  ShardContext& context_;
  Machines& machines_;
  std::map<TierAndZone, double> refused_until_;  // steady time, seconds
  std::set<TierAndZone> requesting_;             // a request is on its way
  // How many may be ordered at a time, where the cloud has refused lately.
  std::map<TierAndZone, std::size_t> order_limits_;
};

}  // namespace shunttrail::scheduler
