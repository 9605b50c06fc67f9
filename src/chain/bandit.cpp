#include "chain/bandit.h"

#include <algorithm>

namespace shunttrail::chain {

std::uint8_t size_bucket(double share) {
  if (share <= 0.125) return 0;
  if (share <= 0.25) return 1;
  if (share <= 0.5) return 2;
  return 3;
}
std::uint8_t waiting_bucket(bool room, std::size_t waiting) {
  if (room && waiting == 0) return 0;
  if (waiting <= 1) return 1;
  if (waiting <= 3) return 2;
  if (waiting <= 7) return 3;
  return 4;
}

Arm Bandit::choose(const Context& c, std::array<bool, kArms> allowed, Rng& rng) const {
  auto it = seen_.find(c.key());
  int best = -1;
  double best_cost = 0;
  for (int a = 0; a < kArms; ++a) {
    if (!allowed[a]) continue;
    if (it == seen_.end() || it->second[a].costs.empty()) return static_cast<Arm>(a);
    const auto& costs = it->second[a].costs;
    std::uniform_int_distribution<std::size_t> pick(0, costs.size() - 1);
    double sum = 0;
    for (std::size_t i = 0; i < costs.size(); ++i) sum += costs[pick(rng)];
    double mean = sum / static_cast<double>(costs.size());
    if (best < 0 || mean < best_cost) {
      best = a;
      best_cost = mean;
    }
  }
  return static_cast<Arm>(best < 0 ? 0 : best);
}

void Bandit::record(const Context& c, Arm a, double cost) {
  Ring& r = seen_[c.key()][static_cast<int>(a)];
  if (r.costs.size() < ring_) {
    r.costs.push_back(static_cast<float>(cost));
  } else {
    r.costs[r.next] = static_cast<float>(cost);
    r.next = (r.next + 1) % ring_;
  }
}

std::size_t Bandit::observations(const Context& c, Arm a) const {
  auto it = seen_.find(c.key());
  return it == seen_.end() ? 0 : it->second[static_cast<int>(a)].costs.size();
}

void IdleWait::reused(double idled_s, double boot_s) {
  // Idling cost more than a reboot would have.
  if (idled_s > boot_s) k_ = std::max(1.0, k_ / lambda_);
}
void IdleWait::missed(double since_idle_s, double boot_s) {
  // Had it stayed, the idle rent would have been less than this boot.
  if (since_idle_s < seconds(boot_s) + boot_s)
    k_ = std::min(std::max(k_, boot_s) * lambda_, cap_boots_ * boot_s);
}

}  // namespace shunttrail::chain
