// One learner: three arms, their latest costs by context (DESIGN points 1, 5; paper 3.1, 3.3).
// Free of I/O: the random numbers are handed in.
#pragma once
#include <array>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace shunttrail::chain {

using Rng = std::mt19937_64;

enum class Arm : std::uint8_t { accept, pass, down };
inline constexpr int kArms = 3;

// What a learner sees, packed into buckets.
struct Context {
  // Dense index of the job's class, of those that this leader has seen. Grows with the users'
  // classes, not with machines; beyond 65,536 of them, two share what is learned.
  std::uint16_t job_class = 0;
  std::uint8_t size = 0;     // bucket of the share of a machine that the task takes
  std::uint8_t waiting = 0;  // 0: room now; else bucket of the waiting count
  bool warm = false;         // the machine has, or is fetching, the image
  std::uint64_t key() const {
    return std::uint64_t{job_class} << 24 | std::uint64_t{size} << 16 |
           std::uint64_t{waiting} << 8 | (warm ? 1 : 0);
  }
};

std::uint8_t size_bucket(double share);
std::uint8_t waiting_bucket(bool room, std::size_t waiting);

class Bandit {
 public:
  explicit Bandit(int ring) : ring_(static_cast<std::size_t>(ring)) {}
  // The arm of lowest resampled mean cost among those allowed; an untried one goes first, in the
  // order Accept, Pass, Down. `allowed` has at least one arm set.
  Arm choose(const Context& c, std::array<bool, kArms> allowed, Rng& rng) const;
  void record(const Context& c, Arm a, double cost);
  std::size_t observations(const Context& c, Arm a) const;

 private:
  struct Ring {
    std::vector<float> costs;
    std::size_t next = 0;
  };
  std::size_t ring_;
  std::unordered_map<std::uint64_t, std::array<Ring, kArms>> seen_;
};

// The wait before an idle machine is returned (DESIGN point 7; paper 3.4).
class IdleWait {
 public:
  IdleWait(double start_s, double lambda, double cap_boots)
      : k_(start_s), lambda_(lambda), cap_boots_(cap_boots) {}
  // Floored at the boot time.
  double seconds(double boot_s) const { return k_ > boot_s ? k_ : boot_s; }
  // Work came to a machine that had idled this long.
  void reused(double idled_s, double boot_s);
  // A machine was rented this long after one of its kind had been returned early.
  void missed(double since_idle_s, double boot_s);

 private:
  double k_, lambda_, cap_boots_;
};

}  // namespace shunttrail::chain
