#include "chain/bandit.h"

#include <algorithm>
#include <optional>

namespace shunttrail::chain {

std::uint8_t size_bucket(double share) {
  if (share <= 0.125) return 0;
  if (share <= 0.25) return 1;
  if (share <= 0.5) return 2;
  return 3;
}

std::uint8_t waiting_bucket(bool has_room, std::size_t waiting) {
  if (has_room && waiting == 0) return 0;
  if (waiting <= 1) return 1;
  if (waiting <= 3) return 2;
  if (waiting <= 7) return 3;
  return 4;
}

// Returns the mean of a bootstrap sample: as many costs as are recorded, drawn with replacement.
double Bandit::resampled_mean(const std::vector<float>& costs, Rng& rng) {
  std::uniform_int_distribution<std::size_t> draw(0, costs.size() - 1);
  double sum = 0;
  for (std::size_t i = 0; i < costs.size(); ++i) sum += costs[draw(rng)];
  return sum / static_cast<double>(costs.size());
}

Arm Bandit::choose(const Context& context, AllowedArms allowed, Rng& rng) const {
  const auto recorded = arms_.find(context.key());
  std::optional<Arm> best;
  double best_cost = 0;
  for (const Arm arm : {Arm::accept, Arm::pass, Arm::down}) {
    if (!allowed[index(arm)]) continue;
    if (recorded == arms_.end()) return arm;
    const std::vector<float>& costs = recorded->second[index(arm)].costs;
    if (costs.empty()) return arm;
    const double cost = resampled_mean(costs, rng);
    if (best && !(cost < best_cost)) continue;
    best = arm;
    best_cost = cost;
  }
  return best.value_or(Arm::accept);
}

void Bandit::record(const Context& context, Arm arm, double cost) {
  CostRing& ring = arms_[context.key()][index(arm)];
  if (ring.costs.size() < ring_size_) {
    ring.costs.push_back(static_cast<float>(cost));
    return;
  }
  ring.costs[ring.next] = static_cast<float>(cost);
  ring.next = (ring.next + 1) % ring_size_;
}

std::size_t Bandit::observations(const Context& context, Arm arm) const {
  const auto recorded = arms_.find(context.key());
  return recorded == arms_.end() ? 0 : recorded->second[index(arm)].costs.size();
}

void IdleWait::record_reuse(double idled_s, double boot_s) {
  // The idle time cost more than returning the machine and booting another one.
  if (idled_s > boot_s) wait_s_ = std::max(1.0, wait_s_ / lambda_);
}

void IdleWait::record_rental(double since_idle_s, double boot_s) {
  // The idle rent of the returned machine up to now would have been less than the cost of this
  // boot.
  if (since_idle_s < seconds(boot_s) + boot_s)
    wait_s_ = std::min(std::max(wait_s_, boot_s) * lambda_, max_boots_ * boot_s);
}

}  // namespace shunttrail::chain
