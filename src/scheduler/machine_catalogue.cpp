#include "scheduler/machine_catalogue.h"

#include <algorithm>
#include <numeric>

namespace shunttrail::scheduler {

using jobs::Resources;

namespace {
constexpr double kSecondsPerHour = 3600;
}  // namespace

void MachineCatalogue::load(const std::vector<wire::MachineType>& list,
                            const config::Settings& settings) {
  for (const wire::MachineType& listed : list) {
    int index = type_index(listed.name);
    if (index < 0) {
      index = static_cast<int>(types.size());
      types.emplace_back();
    }
    Type& type = types[static_cast<std::size_t>(index)];
    type.spec = listed;
    type.capacity = Resources::of(listed.cpus, listed.gpus, listed.mem_gb);
    type.in_zone.assign(settings.zones.size(), false);
    for (const std::string& name : listed.zones)
      if (const int zone = settings.zone_index(name); zone >= 0)
        type.in_zone[static_cast<std::size_t>(zone)] = true;
  }
  tier_order.resize(types.size() * 2);
  std::iota(tier_order.begin(), tier_order.end(), 0);
  std::stable_sort(tier_order.begin(), tier_order.end(),
                   [&](int a, int b) { return rate(a) < rate(b); });
  base_rate = tier_order.empty() ? 0 : rate(tier_order.front());
}

int MachineCatalogue::type_index(const std::string& name) const {
  const auto found = std::find_if(types.begin(), types.end(),
                                  [&](const Type& type) { return type.spec.name == name; });
  return found == types.end() ? -1 : static_cast<int>(found - types.begin());
}

bool MachineCatalogue::accepts(int tier, const wire::JobSpec& job, const Resources& need) const {
  const bool is_spot = tier % 2;
  if (is_spot && !job.spot) return false;
  const Type& type = types[static_cast<std::size_t>(tier / 2)];
  if (job.types &&
      std::find(job.types->begin(), job.types->end(), type.spec.name) == job.types->end())
    return false;
  return need.fits(type.capacity);
}

double MachineCatalogue::units(int type) const {
  const auto first = static_cast<double>(types.front().capacity.cpus);
  if (first <= 0) return 1;
  return static_cast<double>(types[static_cast<std::size_t>(type)].capacity.cpus) / first;
}

double MachineCatalogue::rate(int tier) const {
  const wire::MachineType& type = types[static_cast<std::size_t>(tier / 2)].spec;
  const bool is_spot = tier % 2;
  return (is_spot ? type.spot_price : type.price) / kSecondsPerHour;
}

}  // namespace shunttrail::scheduler
