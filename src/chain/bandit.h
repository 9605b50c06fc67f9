// The learners of the chain: a bandit with three arms that resamples the latest costs of each arm
// by context (DESIGN points 1, 5; paper 3.1, 3.3), and the learned wait before an idle machine is
// returned (DESIGN point 7; paper 3.4). Performs no I/O: callers pass the random number generator.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace shunttrail::chain {

using Rng = std::mt19937_64;

/// The decisions that a machine can make about a task.
enum class Arm : std::uint8_t {
  accept,  // the task joins the machine's queue
  pass,    // the task moves to the tier's next machine
  down,    // the task moves to the next tier
};
inline constexpr int kArms = 3;

/// For each arm, whether it may be chosen.
using AllowedArms = std::array<bool, kArms>;
/// Returns the index of an arm in AllowedArms.
[[nodiscard]] constexpr std::size_t index(Arm arm) { return static_cast<std::size_t>(arm); }

/// The properties of a task and a machine that a learner distinguishes, in buckets.
struct Context {
  /// Dense index of the job's class among the classes that this leader has seen. The number of
  /// classes grows with those that users submit, not with the number of machines. Indices wrap at
  /// 65,536; two classes with the same index share their recorded costs.
  std::uint16_t job_class = 0;
  /// The task's share of a machine, as a bucket (size_bucket).
  std::uint8_t size = 0;
  /// The length of the machine's queue, as a bucket (waiting_bucket).
  std::uint8_t waiting = 0;
  /// True if the machine has the image or is fetching it.
  bool warm = false;

  /// Returns a number that is unique to this context.
  [[nodiscard]] std::uint64_t key() const {
    return std::uint64_t{job_class} << 24 | std::uint64_t{size} << 16 |
           std::uint64_t{waiting} << 8 | (warm ? 1 : 0);
  }
};

/// Returns the bucket, from 0 to 3, of a task's share of a machine.
[[nodiscard]] std::uint8_t size_bucket(double share);
/// Returns the bucket of a queue with `waiting` tasks: 0 if the machine has free capacity for the
/// task and nothing waits, otherwise 1 to 4 by the number of waiting tasks.
[[nodiscard]] std::uint8_t waiting_bucket(bool has_room, std::size_t waiting);

/// A learner: keeps the latest costs of each arm in each context.
class Bandit {
 public:
  /// `ring_size`: the number of costs kept for each arm and context.
  explicit Bandit(int ring_size) : ring_size_(static_cast<std::size_t>(ring_size)) {}

  /// Returns the allowed arm with the lowest resampled mean cost. An allowed arm without recorded
  /// costs takes precedence, in the order Accept, Pass, Down. At least one arm must be allowed.
  [[nodiscard]] Arm choose(const Context& context, AllowedArms allowed, Rng& rng) const;
  /// Records the cost that followed from choosing the arm.
  void record(const Context& context, Arm arm, double cost);
  /// Returns the number of costs kept for the arm in the context.
  [[nodiscard]] std::size_t observations(const Context& context, Arm arm) const;

 private:
  /// A ring of the latest costs: a new cost overwrites the oldest.
  struct CostRing {
    std::vector<float> costs;
    std::size_t next = 0;
  };
  using Arms = std::array<CostRing, kArms>;

  static double resampled_mean(const std::vector<float>& costs, Rng& rng);

  std::size_t ring_size_;
  std::unordered_map<std::uint64_t, Arms> arms_;  // by context
};

/// The learned time k that a machine stays idle before it is returned (DESIGN point 7; paper 3.4).
/// Times are in seconds.
class IdleWait {
 public:
  /// `lambda`: the factor by which the wait grows or shrinks; `max_boots`: the longest wait, in
  /// multiples of the boot time.
  IdleWait(double start_s, double lambda, double max_boots)
      : wait_s_(start_s), lambda_(lambda), max_boots_(max_boots) {}

  /// Returns the wait, which is at least the boot time.
  [[nodiscard]] double seconds(double boot_s) const { return wait_s_ > boot_s ? wait_s_ : boot_s; }
  /// Records that a machine received work after it had been idle for `idled_s`. Shortens the wait
  /// if a reboot would have cost less.
  void record_reuse(double idled_s, double boot_s);
  /// Records that a machine was rented `since_idle_s` after a machine of the same kind, which has
  /// been returned since, became idle. Lengthens the wait if keeping that machine would have cost
  /// less than this boot.
  void record_rental(double since_idle_s, double boot_s);

 private:
  double wait_s_;
  double lambda_;
  double max_boots_;
};

}  // namespace shunttrail::chain
