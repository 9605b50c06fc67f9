#include "shard/balance.h"

#include <algorithm>
#include <cmath>

namespace shunt::shard {

std::vector<double> targets(const std::vector<Load>& loads) {
  double all = 0, entitled = 0, demand = 0;
  for (const Load& l : loads) all += l.capacity, entitled += l.entitled, demand += l.demand;
  std::vector<double> out;
  for (const Load& l : loads) {
    if (demand <= all)
      out.push_back(l.demand);
    else if (entitled >= all)
      out.push_back(entitled > 0 ? l.entitled * all / entitled : 0);
    else
      out.push_back(l.entitled + (all - entitled) * (l.demand - l.entitled) / (demand - entitled));
  }
  return out;
}

std::vector<int> gifts(const std::vector<Load>& loads, int from) {
  std::vector<int> out(loads.size(), 0);
  std::vector<double> goal = targets(loads);
  double lack = 0, excess = 0;
  for (std::size_t k = 0; k < loads.size(); ++k) {
    lack += std::max(0.0, goal[k] - loads[k].capacity);
    excess += std::max(0.0, loads[k].capacity - goal[k]);
  }
  double mine =
      loads[static_cast<std::size_t>(from)].capacity - goal[static_cast<std::size_t>(from)];
  if (mine <= 0 || lack <= 0) return out;
  // Givers share what is lacking, in proportion to what they have to spare.
  for (std::size_t k = 0; k < loads.size(); ++k)
    out[k] = static_cast<int>(
        std::floor(std::max(0.0, goal[k] - loads[k].capacity) * mine / std::max(excess, lack)));
  return out;
}

}  // namespace shunt::shard
