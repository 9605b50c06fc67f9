// Who owns which shard, decided from what the state service says. Free of I/O.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "state/state_cache.h"

namespace shunttrail::shard {

struct LeadershipMove {
  enum Kind { none, lead, take, hand_over } kind = none;
  int to = -1;              // hand_over
  std::uint64_t token = 0;  // act
  // take, hand_over: the commit's preconditions
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
};

class LeaderElection {
 public:
  explicit LeaderElection(const config::Settings& s);
  // This process's own registration; ownership granted earlier belongs to a process that is gone.
  // `process`: what all its tags begin with, and no other process's. A token is acted on only by
  // the process whose own commit gave it: a former self that stood still, or whose commits came
  // late, has the same node's name. Empty: tags are not looked at.
  void registered(std::uint64_t mod_revision, std::string process = {}) {
    if (!registered_) registered_ = mod_revision;
    process_ = std::move(process);
  }
  void observe(const state::StateCache& w, double now);
  // `spent`: the latest token whose scheduler this process has closed. The scheduler's attempts and
  // its knowledge of what is in flight went with it, so the token must not be acted on again: it is
  // reclaimed under a new one.
  LeadershipMove decide(const state::StateCache& w, int shard, double now,
                        std::uint64_t spent) const;

 private:
  const config::Settings& settings_;
  std::uint64_t registered_ = 0;
  std::string process_;
  std::vector<double> seen_since_, absent_since_;  // by node; -1: not so
};

}  // namespace shunttrail::shard
