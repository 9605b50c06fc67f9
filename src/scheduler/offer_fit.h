// How many of a job's tasks find room in what other shards offer (docs/delegation.md). Free of I/O.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "scheduler/machine_catalogue.h"
#include "scheduler/room_offer.h"

namespace shunttrail::scheduler {

/// Tasks of one job that the offers of one shard hold together.
struct OfferFit {
  int shard = -1;  ///< -1: no offer holds any
  std::size_t tasks = 0;
  std::optional<int> zone{};  ///< the tasks have to run there, by the job's rules about zones
};

/// The offers of all other shards, less what has been taken of them.
class Offers {
 public:
  Offers(const config::Settings& settings, const MachineCatalogue& catalogue,
         std::vector<RoomOffer> offers)
      : settings_(settings), catalogue_(catalogue), offers_(std::move(offers)) {}

  [[nodiscard]] bool empty() const { return offers_.empty(); }
  /// Where most of the `wanted` tasks of the job fit.
  /// `only_shard`: no other one is looked at.
  [[nodiscard]] OfferFit best_fit(const jobs::Job& job, std::size_t wanted,
                                  std::optional<int> only_shard = std::nullopt) const;
  /// Takes the room that the tasks need.
  void take(const jobs::Job& job, const OfferFit& fit);
  /// The shard's offers have been used, and say nothing more.
  void drop_shard(int shard);

 private:
  [[nodiscard]] bool accepts(const RoomOffer& offer, const jobs::Job& job) const;
  [[nodiscard]] OfferFit fit(const jobs::Job& job, int shard, std::size_t wanted) const;
  [[nodiscard]] std::vector<std::size_t> zone_limits(const jobs::Job& job) const;
  /// Tasks that find room, which is taken out of `offers`. `max_per_zone`: by zone.
  std::size_t fill(std::vector<RoomOffer>& offers, const jobs::Job& job, int shard,
                   std::size_t wanted, const std::vector<std::size_t>& max_per_zone) const;

  const config::Settings& settings_;
  const MachineCatalogue& catalogue_;
  std::vector<RoomOffer> offers_;
};

}  // namespace shunttrail::scheduler
