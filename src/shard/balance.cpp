#include "shard/balance.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace shunttrail::shard {

std::vector<double> targets(const std::vector<Load>& loads) {
  double capacity = 0;
  double entitled = 0;
  double demand = 0;
  for (const Load& load : loads) {
    capacity += load.capacity;
    entitled += load.entitled;
    demand += load.demand;
  }
  std::vector<double> out;
  for (const Load& load : loads) {
    if (demand <= capacity)
      out.push_back(load.demand);
    else if (entitled >= capacity)
      out.push_back(entitled > 0 ? load.entitled * capacity / entitled : 0);
    else
      out.push_back(load.entitled +
                    (capacity - entitled) * (load.demand - load.entitled) / (demand - entitled));
  }
  return out;
}

namespace {

/// The sum of the giver's surplus and the receiver's deficit, in machines, above which one machine
/// is sent. It is a little more than one machine, so that no machine is sent back and forth.
constexpr double kMinGain = 1.1;
/// Fractions of a machine up to this size are rounding errors.
constexpr double kNegligible = 1e-6;

/// Computes the transfers among all shards.
class TransferPlan {
 public:
  explicit TransferPlan(const std::vector<Load>& loads)
      : loads_(loads), sent_(loads.size(), std::vector<int>(loads.size(), 0)) {
    const std::vector<double> goals = targets(loads);
    for (std::size_t k = 0; k < loads.size(); ++k) {
      surplus_.push_back(std::max(0.0, loads[k].capacity - goals[k]));
      deficit_.push_back(std::max(0.0, goals[k] - loads[k].capacity));
    }
  }

  /// Divides the deficits among the shards with a surplus, in proportion to it, in whole machines.
  void send_shares() {
    double total_surplus = 0;
    double total_deficit = 0;
    for (std::size_t k = 0; k < loads_.size(); ++k) {
      total_surplus += surplus_[k];
      total_deficit += deficit_[k];
    }
    if (total_surplus <= 0 || total_deficit <= 0) return;
    const double divisor = std::max(total_surplus, total_deficit);
    const std::vector<double> surplus_at_first = surplus_;
    const std::vector<double> deficit_at_first = deficit_;
    for (std::size_t giver = 0; giver < loads_.size(); ++giver)
      for (std::size_t receiver = 0; receiver < loads_.size(); ++receiver) {
        const double share = deficit_at_first[receiver] * surplus_at_first[giver] / divisor;
        const int machines = static_cast<int>(share);
        for (int i = 0; i < machines && can_give(giver); ++i) send(giver, receiver);
      }
  }

  /// Sends single machines from the largest surplus to the largest deficit until the gain is too
  /// small.
  void send_remainders() {
    for (;;) {
      const std::optional<std::size_t> giver = largest_surplus();
      const std::optional<std::size_t> receiver = largest_deficit();
      if (!giver || !receiver) return;
      if (surplus_[*giver] + wanted(*receiver) <= kMinGain) return;
      send(*giver, *receiver);
    }
  }

  [[nodiscard]] const std::vector<int>& sent_by(std::size_t giver) const { return sent_[giver]; }

 private:
  [[nodiscard]] double remaining(std::size_t giver) const {
    double capacity = loads_[giver].capacity;
    for (int machines : sent_[giver]) capacity -= machines;
    return capacity;
  }
  /// Returns whether a shard may give a machine: a shard with work keeps its last one.
  [[nodiscard]] bool can_give(std::size_t giver) const {
    return loads_[giver].demand <= 0 || remaining(giver) >= 2;
  }
  [[nodiscard]] bool has_work_but_no_machine(std::size_t shard) const {
    double capacity = loads_[shard].capacity;
    for (const std::vector<int>& machines : sent_) capacity += machines[shard];
    return loads_[shard].demand > 0 && capacity <= 0;
  }
  [[nodiscard]] double wanted(std::size_t shard) const {
    return has_work_but_no_machine(shard) ? std::max(deficit_[shard], kMinGain) : deficit_[shard];
  }
  [[nodiscard]] std::optional<std::size_t> largest_surplus() const {
    std::optional<std::size_t> best;
    for (std::size_t k = 0; k < loads_.size(); ++k) {
      if (surplus_[k] <= kNegligible || !can_give(k)) continue;
      if (!best || surplus_[k] > surplus_[*best]) best = k;
    }
    return best;
  }
  [[nodiscard]] std::optional<std::size_t> largest_deficit() const {
    std::optional<std::size_t> best;
    for (std::size_t k = 0; k < loads_.size(); ++k) {
      if (wanted(k) <= kNegligible) continue;
      if (!best || wanted(k) > wanted(*best)) best = k;
    }
    return best;
  }
  void send(std::size_t giver, std::size_t receiver) {
    ++sent_[giver][receiver];
    surplus_[giver] -= 1;
    deficit_[receiver] -= 1;
  }

  const std::vector<Load>& loads_;
  std::vector<std::vector<int>> sent_;  ///< number of machines sent, by giver and receiver
  std::vector<double> surplus_;         ///< by shard, less the machines sent
  std::vector<double> deficit_;         ///< by shard, less the machines received
};

}  // namespace

std::vector<int> transfers(const std::vector<Load>& loads, int from) {
  TransferPlan plan(loads);
  plan.send_shares();
  plan.send_remainders();
  return plan.sent_by(static_cast<std::size_t>(from));
}

}  // namespace shunttrail::shard
