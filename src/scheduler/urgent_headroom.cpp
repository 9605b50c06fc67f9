#include "scheduler/urgent_headroom.h"

#include <algorithm>
#include <tuple>

namespace shunttrail::scheduler {

using jobs::JobPtr;
using jobs::Resources;

namespace {
constexpr double kGap = 1;               // between two looks
constexpr double kLate = 180;            // urgent jobs that came since are counted
constexpr double kMost = 0.02;           // of the shard's vcpus are kept free
constexpr std::int64_t kTasksOnOne = 4;  // that a machine keeps room for
}  // namespace

JobPtr UrgentHeadroom::largest_urgent_job(double now) const {
  JobPtr best;
  auto size = [](const JobPtr& j) { return j->need.cpus * j->spec.tasks; };
  for (const auto& [id, j] : context_.jobs)
    if (j->priority_band() < jobs::Job::kGuaranteed && now - j->since < kLate &&
        (!best || size(j) > size(best)))
      best = j;
  return best;
}

void UrgentHeadroom::update(double now) {
  if (now < updated_at_ + kGap) return;
  updated_at_ = now;
  const JobPtr like = largest_urgent_job(now);
  std::int64_t all = 0;
  std::vector<std::vector<Machine*>> by_zone(context_.settings.zones.size());
  for (const auto& [n, m] : machines_.all()) {
    m->reserved = {};
    if (!m->accepts_work(now) || !m->in_inventory || m->type < 0 || m->zone < 0) continue;
    all += context_.catalogue.types[static_cast<std::size_t>(m->type)].room.cpus;
    if (like && machines_.type_ok(*like, m->type, m->spot))
      by_zone[static_cast<std::size_t>(m->zone)].push_back(m.get());
  }
  if (!like || like->need.cpus <= 0) return;
  std::int64_t left =
      std::min<std::int64_t>(like->need.cpus * like->spec.tasks,
                             static_cast<std::int64_t>(kMost * static_cast<double>(all)));
  // Where there is room already, and most images are: zone by zone in turn, since jobs are spread.
  auto kept = [&](const Machine& m) {
    Resources k;
    const Resources full = context_.catalogue.types[static_cast<std::size_t>(m.type)].room;
    for (std::int64_t i = 0; i < kTasksOnOne && k.cpus + like->need.cpus <= left; ++i) {
      if (!(k + k + like->need + like->need).fits(full)) break;  // half a machine at the most
      k += like->need;
    }
    return k;
  };
  auto rank = [&](const Machine* m) {
    return std::tuple(like->need.fits(machines_.room(*m)), m->images.size());
  };
  for (auto& z : by_zone)
    std::stable_sort(z.begin(), z.end(),
                     [&](const Machine* a, const Machine* b) { return rank(a) > rank(b); });
  bool more = true;
  for (std::size_t i = 0; more && left >= like->need.cpus; ++i) {
    more = false;
    for (auto& z : by_zone) {
      if (i >= z.size() || left < like->need.cpus) continue;
      more = true;
      z[i]->reserved = kept(*z[i]);
      left -= z[i]->reserved.cpus;
    }
  }
}

}  // namespace shunttrail::scheduler
