#include "scheduler/machine_catalogue.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Resources;

void MachineCatalogue::load(const std::vector<wire::MachineType>& list, const config::Settings& s) {
  // Indices of types stay as they were: machines refer to them.
  for (const auto& t : list) {
    int i = type_index(t.name);
    if (i < 0) {
      i = static_cast<int>(types.size());
      types.emplace_back();
    }
    Type& mine = types[i];
    mine.spec = t;
    mine.room = Resources::of(t.cpus, t.gpus, t.mem_gb);
    mine.in_zone.assign(s.zones.size(), false);
    for (const auto& z : t.zones)
      if (int k = s.zone_index(z); k >= 0) mine.in_zone[k] = true;
  }
  tier_order.clear();
  for (std::size_t i = 0; i < types.size() * 2; ++i) tier_order.push_back(static_cast<int>(i));
  std::stable_sort(tier_order.begin(), tier_order.end(),
                   [&](int a, int b) { return rate(a) < rate(b); });
  base_rate = tier_order.empty() ? 0 : rate(tier_order.front());
}
int MachineCatalogue::type_index(const std::string& name) const {
  for (std::size_t i = 0; i < types.size(); ++i)
    if (types[i].spec.name == name) return static_cast<int>(i);
  return -1;
}
bool MachineCatalogue::accepts(int tier, const wire::JobSpec& job, const Resources& need) const {
  if (tier % 2 && !job.spot) return false;
  const Type& t = types[static_cast<std::size_t>(tier / 2)];
  if (job.types && std::find(job.types->begin(), job.types->end(), t.spec.name) == job.types->end())
    return false;
  return need.fits(t.room);
}
double MachineCatalogue::units(int type) const {
  const auto one = static_cast<double>(types.front().room.cpus);
  return one > 0 ? static_cast<double>(types[static_cast<std::size_t>(type)].room.cpus) / one : 1;
}
double MachineCatalogue::rate(int tier) const {
  const auto& t = types[tier / 2].spec;
  return (tier % 2 ? t.spot_price : t.price) / 3600.0;
}

}  // namespace shunttrail::scheduler
