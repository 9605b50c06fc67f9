/// @file
/// Bodies that workers and controllers exchange: heartbeats, their answers, and commands that a
/// controller sends to a worker by itself (PROTOCOL, Workers).
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
/// The answer to a heartbeat: the shard's token and what the worker is to do.
[[nodiscard]] std::string encode_heartbeat_response(std::uint64_t token,
                                                    const std::vector<Command>& commands);
/// Commands sent without a heartbeat. The worker obeys them only as the incarnation `incarnation`.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                                 const std::vector<Command>& commands);
/// The answer that names the node to ask instead; empty: none is known.
[[nodiscard]] std::string encode_redirect(const std::string& node);

}  // namespace shunttrail::wire
