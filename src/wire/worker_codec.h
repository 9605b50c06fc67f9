/// @file
/// Bodies that workers and controllers exchange: heartbeats, the responses to them, and direct
/// commands, which a controller sends to a worker in a request of its own (PROTOCOL, Workers).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// Reads a worker's heartbeat. Throws Malformed.
[[nodiscard]] Heartbeat decode_heartbeat(std::string_view body);
/// Writes the response to a heartbeat: the shard's fencing token and commands to the worker.
[[nodiscard]] std::string encode_heartbeat_response(std::uint64_t token,
                                                    const std::vector<Command>& commands);
/// Writes direct commands. The worker obeys them only if `incarnation` is its current one.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                                 const std::vector<Command>& commands);
/// Writes the response that redirects a worker to `node`. If `node` is empty, it names no node.
[[nodiscard]] std::string encode_redirect(const std::string& node);

}  // namespace shunttrail::wire
