#include "scheduler/offer_fit.h"

#include <algorithm>
#include <set>

#include "jobs/delegation.h"

namespace shunttrail::scheduler {

using jobs::Job;

bool Offers::accepts(const RoomOffer& offer, const Job& job) const {
  return catalogue_.accepts(2 * offer.type + (offer.spot ? 1 : 0), job.spec, job.need);
}

std::size_t Offers::fill(std::vector<RoomOffer>& offers, const Job& job, int shard,
                         std::size_t wanted, const std::vector<std::size_t>& max_per_zone) const {
  std::vector<std::size_t> in_zone(max_per_zone.size(), 0);
  std::size_t filled = 0;
  for (RoomOffer& offer : offers) {
    if (offer.shard != shard || !accepts(offer, job)) continue;
    const auto zone = static_cast<std::size_t>(offer.zone);
    while (filled < wanted && in_zone[zone] < max_per_zone[zone] && job.need.fits(offer.room)) {
      offer.room -= job.need;
      ++in_zone[zone];
      ++filled;
    }
  }
  return filled;
}

// Returns, by zone, how many tasks the job's own rules allow there.
std::vector<std::size_t> Offers::zone_limits(const Job& job) const {
  std::vector<std::size_t> limits;
  for (std::size_t zone = 0; zone < settings_.zones.size(); ++zone) {
    const bool is_allowed = !job.spec.zone || *job.spec.zone == settings_.zones[zone];
    limits.push_back(is_allowed ? job.tasks_allowed_in_zone(static_cast<int>(zone)) : 0);
  }
  return limits;
}

OfferFit Offers::fit(const Job& job, int shard, std::size_t wanted) const {
  const std::vector<std::size_t> limits = zone_limits(job);
  const bool one_zone = jobs::has_zone_rules(job.spec) && !(job.spec.gang && !job.spec.same_zone);
  if (!one_zone) {
    std::vector<RoomOffer> offers = offers_;
    return {shard, fill(offers, job, shard, wanted, limits)};
  }
  OfferFit best{shard, 0};
  for (std::size_t zone = 0; zone < limits.size(); ++zone) {
    std::vector<std::size_t> only(limits.size(), 0);
    only[zone] = limits[zone];
    std::vector<RoomOffer> offers = offers_;
    const std::size_t tasks = fill(offers, job, shard, wanted, only);
    if (tasks > best.tasks) best = {shard, tasks, static_cast<int>(zone)};
  }
  return best;
}

OfferFit Offers::best_fit(const Job& job, std::size_t wanted, std::optional<int> only_shard) const {
  std::set<int> shards;
  for (const RoomOffer& offer : offers_) {
    if (only_shard && offer.shard != *only_shard) continue;
    if (job.need.fits(offer.room) && accepts(offer, job)) shards.insert(offer.shard);
  }
  OfferFit best;
  for (const int shard : shards) {
    const OfferFit found = fit(job, shard, wanted);
    if (found.tasks > best.tasks) best = found;
  }
  return best;
}

void Offers::take(const Job& job, const OfferFit& fit) {
  std::vector<std::size_t> limits(settings_.zones.size(), job.spec.tasks);
  if (fit.zone) {
    limits.assign(limits.size(), 0);
    limits[static_cast<std::size_t>(*fit.zone)] = fit.tasks;
  }
  fill(offers_, job, fit.shard, fit.tasks, limits);
}

void Offers::drop_shard(int shard) {
  std::erase_if(offers_, [&](const RoomOffer& offer) { return offer.shard == shard; });
}

}  // namespace shunttrail::scheduler
