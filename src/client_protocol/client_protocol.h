// Codecs of the programs that talk to controllers: workers, users, the cloud and the state service.
// The codecs of the controllers are in wire/codec.h; both use the same wire names. Decoders throw
// wire::Malformed and nothing else. The sections below follow PROTOCOL.
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

/// The response to a heartbeat, or direct commands.
struct HeartbeatResponse {
  std::optional<std::uint64_t> token;
  std::optional<std::uint64_t> incarnation;  ///< only in direct commands
  std::vector<wire::Command> commands;       ///< in the order of the body
  std::vector<std::string> refused;  ///< one error line for each entry that is not a command
};
/// Throws Malformed if the body is invalid outside its list of commands. An invalid command is only
/// listed in `refused`, and the other commands are kept: a later version may send commands that
/// this version does not know.
HeartbeatResponse decode_heartbeat_response(std::string_view body);
/// Returns the node that the body of a 421 response names; an empty string if it names none.
std::string redirect_of(std::string_view body);

// --- Users

/// State of a job, and the numbers of its tasks that are done and running.
struct JobAnswer {
  std::string id;
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done = 0, running = 0;
};
JobAnswer decode_job_state(std::string_view body);

// --- Cloud

std::string encode_types(const std::vector<wire::MachineType>& types);
/// A request to rent `count` machines. `name` is its idempotency key.
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
/// Writes a key with its value, which is JSON text already. A `lease` of 0 means no lease.
std::string encode_entry(const std::string& key, const std::string& value,
                         std::uint64_t mod_revision, std::uint64_t lease);
std::string encode_watch(std::uint64_t revision, const std::vector<wire::Event>& events);
std::string encode_page(const std::vector<std::string>& entries, bool more, std::uint64_t revision);
std::string encode_failed(const std::vector<std::string>& keys, std::uint64_t revision);
std::string encode_revision(std::uint64_t revision);
std::string encode_lease(std::uint64_t lease);

}  // namespace shunttrail::client_protocol
