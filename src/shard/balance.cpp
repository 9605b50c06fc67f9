#include "shard/balance.h"

#include <algorithm>
#include <cmath>

namespace shunttrail::shard {

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

namespace {
constexpr double kWorthIt = 1.1;  // in machines: what is beyond the goals on both sides, with a
                                  // little more than a whole one, so that none goes to and fro
constexpr double kLeast = 1e-6;   // of a machine: less is nothing
}  // namespace

std::vector<int> transfers(const std::vector<Load>& loads, int from) {
  const std::size_t n = loads.size();
  const std::vector<double> goal = targets(loads);
  std::vector<double> spare, wanted;
  double lack = 0, excess = 0;
  for (std::size_t k = 0; k < n; ++k) {
    spare.push_back(std::max(0.0, loads[k].capacity - goal[k]));
    wanted.push_back(std::max(0.0, goal[k] - loads[k].capacity));
    excess += spare[k];
    lack += wanted[k];
  }
  // By giver and receiver. All leaders work all of it out alike, since they know the same loads.
  std::vector<std::vector<int>> out(n, std::vector<int>(n, 0));
  auto left = [&](std::size_t g) {
    double c = loads[g].capacity;
    for (int given : out[g]) c -= given;
    return c;
  };
  // Nobody who has work gives the last one.
  auto can_give = [&](std::size_t g) { return loads[g].demand <= 0 || left(g) >= 2; };
  auto give = [&](std::size_t g, std::size_t to) {
    ++out[g][to];
    spare[g] -= 1;
    wanted[to] -= 1;
  };
  // Givers share what is lacking, in proportion to what they have to spare.
  const std::vector<double> spare_at_first = spare, wanted_at_first = wanted;
  for (std::size_t g = 0; g < n; ++g)
    for (std::size_t to = 0; to < n && lack > 0 && excess > 0; ++to) {
      const double share = wanted_at_first[to] * spare_at_first[g] / std::max(excess, lack);
      for (int i = 0; i < static_cast<int>(share) && can_give(g); ++i) give(g, to);
    }
  auto none = [&](std::size_t k) {
    double c = loads[k].capacity;
    for (std::size_t g = 0; g < n; ++g) c += out[g][k];
    return loads[k].demand > 0 && c <= 0;
  };
  for (;;) {
    std::size_t g = n, to = n;
    auto wants = [&](std::size_t k) { return none(k) ? std::max(wanted[k], kWorthIt) : wanted[k]; };
    for (std::size_t k = 0; k < n; ++k) {
      if (spare[k] > kLeast && can_give(k) && (g == n || spare[k] > spare[g])) g = k;
      if (wants(k) > kLeast && (to == n || wants(k) > wants(to))) to = k;
    }
    if (g == n || to == n || spare[g] + wants(to) <= kWorthIt) break;
    give(g, to);
  }
  return out[static_cast<std::size_t>(from)];
}

}  // namespace shunttrail::shard
