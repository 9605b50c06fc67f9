// The other sides of the controllers' interfaces: what workers, users, the cloud and the state
// service send and understand. The controllers' side is wire/codec.h; the wire names are shared
// with it. Decoders throw wire::Malformed and nothing else. Source: PROTOCOL, section by section.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.h"

namespace shunttrail::client_protocol {

// --- Workers

std::string encode_heartbeat(const wire::Heartbeat& heartbeat);

/// The answer to a heartbeat, or direct commands.
struct HeartbeatResponse {
  std::optional<std::uint64_t> token;
  std::optional<std::uint64_t> incarnation;  ///< of direct commands alone
  std::vector<wire::Command> commands;       ///< in order
  std::vector<std::string> refused;          ///< one line for each entry that is no command
};
/// The envelope must be whole; an entry that makes no sense is refused by itself and the others are
/// taken, since none of them may depend on what this version does not know.
HeartbeatResponse decode_heartbeat_response(std::string_view body);
/// The node named by a 421; empty: none.
std::string redirect_of(std::string_view body);

// --- Users

/// A job's state, and how many of its tasks are done and running.
struct JobAnswer {
  std::string id;
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done = 0, running = 0;
};
JobAnswer decode_job_state(std::string_view body);

// --- Cloud

std::string encode_types(const std::vector<wire::MachineType>& types);
struct RentRequest {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
};
RentRequest decode_rent(std::string_view body);
std::string encode_rented(const std::vector<std::string>& machines);
std::string encode_machines(const wire::MachineList& list);
std::vector<std::string> decode_delete(std::string_view body);

// --- State service

wire::Transaction decode_transaction(std::string_view body);
std::uint64_t decode_life_ms(std::string_view body);
/// `value` is JSON text already; `lease` 0: none.
std::string encode_entry(const std::string& key, const std::string& value,
                         std::uint64_t mod_revision, std::uint64_t lease);
std::string encode_watch(std::uint64_t revision, const std::vector<wire::Event>& events);
std::string encode_page(const std::vector<std::string>& entries, bool more, std::uint64_t revision);
std::string encode_failed(const std::vector<std::string>& keys, std::uint64_t revision);
std::string encode_revision(std::uint64_t revision);
std::string encode_lease(std::uint64_t lease);

}  // namespace shunttrail::client_protocol
