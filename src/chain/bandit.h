// The learners of the chain: a bandit with three arms that resamples their latest costs by context
// (DESIGN points 1, 5; paper 3.1, 3.3), and the learned wait before an idle machine is returned
// (DESIGN point 7; paper 3.4). Free of I/O: the random numbers are handed in.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace shunttrail::chain {

using Rng = std::mt19937_64;

/// What a machine may decide about a task.
enum class Arm : std::uint8_t {
  accept,  // the task joins the machine's queue
  pass,    // it goes on to the tier's next machine
  down,    // it goes on to the next tier
};
inline constexpr int kArms = 3;

/// By arm: whether it may be chosen.
using AllowedArms = std::array<bool, kArms>;
/// The place of an arm in AllowedArms.
[[nodiscard]] constexpr std::size_t index(Arm arm) { return static_cast<std::size_t>(arm); }

/// What a learner sees of a task and a machine, packed into buckets.
struct Context {
  /// Dense index of the job's class, of those that this leader has seen. Grows with the users'
  /// classes, not with machines; beyond 65,536 of them, two share what is learned.
  std::uint16_t job_class = 0;
  /// size_bucket of the share of a machine that the task takes.
  std::uint8_t size = 0;
  /// waiting_bucket of the machine's queue.
  std::uint8_t waiting = 0;
  /// The machine has the image, or is fetching it.
  bool warm = false;

  /// Different for any two contexts that differ.
  [[nodiscard]] std::uint64_t key() const {
    return std::uint64_t{job_class} << 24 | std::uint64_t{size} << 16 |
           std::uint64_t{waiting} << 8 | (warm ? 1 : 0);
  }
};

/// The bucket of a share of a machine, from 0 to 3.
[[nodiscard]] std::uint8_t size_bucket(double share);
/// The bucket of a queue's length, from 0 (there is room now) to 4.
[[nodiscard]] std::uint8_t waiting_bucket(bool has_room, std::size_t waiting);

/// One learner: the latest costs of each arm in each context.
class Bandit {
 public:
  /// `ring_size`: the number of costs kept for each arm and context.
  explicit Bandit(int ring_size) : ring_size_(static_cast<std::size_t>(ring_size)) {}

  /// The arm of lowest resampled mean cost among those allowed; an untried one goes first, in the
  /// order Accept, Pass, Down. At least one arm must be allowed.
  [[nodiscard]] Arm choose(const Context& context, AllowedArms allowed, Rng& rng) const;
  /// The cost that the choice of the arm has led to.
  void record(const Context& context, Arm arm, double cost);
  /// The number of costs that are kept for the arm.
  [[nodiscard]] std::size_t observations(const Context& context, Arm arm) const;

 private:
  /// The latest costs; the oldest is overwritten.
  struct CostRing {
    std::vector<float> costs;
    std::size_t next = 0;
  };
  using Arms = std::array<CostRing, kArms>;

  static double resampled_mean(const std::vector<float>& costs, Rng& rng);

  std::size_t ring_size_;
  std::unordered_map<std::uint64_t, Arms> arms_;  // by context
};

/// The learned wait k before an idle machine is returned (DESIGN point 7; paper 3.4). Times in
/// seconds.
class IdleWait {
 public:
  /// `lambda`: the factor of a change; `max_boots`: the largest wait, in boot times.
  IdleWait(double start_s, double lambda, double max_boots)
      : wait_s_(start_s), lambda_(lambda), max_boots_(max_boots) {}

  /// The wait: the boot time at least.
  [[nodiscard]] double seconds(double boot_s) const { return wait_s_ > boot_s ? wait_s_ : boot_s; }
  /// Work came to a machine that had idled for so long.
  void record_reuse(double idled_s, double boot_s);
  /// A machine was rented so long after one of its kind, returned meanwhile, became idle.
  void record_rental(double since_idle_s, double boot_s);

 private:
  double wait_s_;
  double lambda_;
  double max_boots_;
};

}  // namespace shunttrail::chain
