// What the state service takes: as the settings say, as they say that it will be, and as it has
// shown. Pure.
#pragma once
#include <cstddef>
#include <cstdint>

#include "config/settings.h"

namespace shunt::state {

// The size of one transaction.
struct Room {
  std::size_t value_bytes = 4096, ops = 12, guards = 48;
};

class Limits {
 public:
  explicit Limits(const config::Settings& s);
  // For everything that can be written small: nothing may rely on a larger size staying, so what
  // is announced for later holds from the start.
  Room room() const { return {room_.value_bytes, room_.ops, 4 * room_.ops}; }
  // For what another version may still have to read in its present form (roster pages), until a
  // smaller limit has shown itself.
  Room present() const { return shown_ ? room() : present_; }
  // A transaction of this size was refused as too large. Limits may have fallen further than
  // anybody said.
  void too_large(std::size_t longest_value, std::size_t ops);
  std::uint64_t refusals() const { return refusals_; }

 private:
  Room present_, room_;
  bool shown_ = false;
  std::uint64_t refusals_ = 0;
};

// A rate that a 429 lowers at once to what is announced for later, and further if that is still too
// much. It rises again slowly; above the announced rate it is tried more and more seldom.
class Pace {
 public:
  Pace(double present, double next) : present_(present), next_(next), rate_(present) {}
  double rate(double now);
  void refused(double now);
  std::uint64_t refusals() const { return refusals_; }

 private:
  double present_, next_, rate_;
  double at_ = 0, refused_at_ = -1e9, patience_ = 30;
  std::uint64_t refusals_ = 0;
};

}  // namespace shunt::state
