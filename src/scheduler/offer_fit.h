// Computes how many of a job's tasks fit the capacity that other shards offer (docs/delegation.md).
// Performs no I/O.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "scheduler/machine_catalogue.h"
#include "scheduler/room_offer.h"

namespace shunttrail::scheduler {

/// The number of tasks of one job that fit the offers of one shard together.
struct OfferFit {
  int shard = -1;  ///< -1 if no task fits any offer
  std::size_t tasks = 0;
  /// The zone in which the tasks have to run, if the job has rules about zones.
  std::optional<int> zone{};
};

/// The offers of all other shards, minus the capacity already taken from them.
class Offers {
 public:
  Offers(const config::Settings& settings, const MachineCatalogue& catalogue,
         std::vector<RoomOffer> offers)
      : settings_(settings), catalogue_(catalogue), offers_(std::move(offers)) {}

  [[nodiscard]] bool empty() const { return offers_.empty(); }
  /// Returns the shard where most of the `wanted` tasks of the job fit. With `only_shard`,
  /// considers only that shard.
  [[nodiscard]] OfferFit best_fit(const jobs::Job& job, std::size_t wanted,
                                  std::optional<int> only_shard = std::nullopt) const;
  /// Subtracts the capacity that the tasks need.
  void take(const jobs::Job& job, const OfferFit& fit);
  /// Removes the shard's offers after they have been used, since they are then out of date.
  void drop_shard(int shard);

 private:
  [[nodiscard]] bool accepts(const RoomOffer& offer, const jobs::Job& job) const;
  [[nodiscard]] OfferFit fit(const jobs::Job& job, int shard, std::size_t wanted) const;
  [[nodiscard]] std::vector<std::size_t> zone_limits(const jobs::Job& job) const;
  /// Returns the number of tasks that fit, and subtracts their capacity from `offers`.
  /// `max_per_zone` is indexed by zone.
  std::size_t fill(std::vector<RoomOffer>& offers, const jobs::Job& job, int shard,
                   std::size_t wanted, const std::vector<std::size_t>& max_per_zone) const;

  const config::Settings& settings_;
  const MachineCatalogue& catalogue_;
  std::vector<RoomOffer> offers_;
};

}  // namespace shunttrail::scheduler
