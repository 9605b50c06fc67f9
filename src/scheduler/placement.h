// What may run on a machine. Placements alone changes it.
#pragma once
#include <cstdint>
#include <vector>

#include "scheduler/queued_task.h"
#include "wire/types.h"

namespace shunt::fleet {

enum class Phase : std::uint8_t { planned, committing, committed };

struct Placement {
  jobs::JobPtr job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Phase phase = Phase::planned;
  bool inherited = false;  // an earlier owner may have sent it; no proof seen yet
  bool sent = false;
  std::uint64_t sent_session = 0, sent_seq = 0;
  bool direct = false;      // sent by a direct order, not in a report's answer
  std::uint64_t loose = 0;  // the token of a direct order that may still be on its way
  bool seen = false;
  bool released = false;  // known not to run, now or later
  bool reaping = false;
  bool stopping = false;  // makes room for more urgent work
  bool stop_sent = false;
  bool end_sent = false;  // its job is over, and a direct order has said so
  wire::RunState state = wire::RunState::fetching;
  wire::Why why = wire::Why::none;
  double started = 0;  // first seen running
  Item item;
};

struct Placed {
  jobs::Amount used;
  std::vector<Placement> list;
  std::uint64_t session = 0, seq = 0;
  std::uint64_t token = 0;  // as last reported
  bool token_seen = false;  // a report under our token has come
  bool direct_out = false;
  bool due = false;    // has something to be sent directly
  bool greet = false;  // taken over: asked at once what is there, under our token
  double greet_at = 0;
  std::vector<wire::TaskReport> strangers;  // reported, but no placement of ours
};

}  // namespace shunt::fleet
