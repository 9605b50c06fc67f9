// Prints a controller's status of the state schema (GET /levels) and of the heartbeat relay
// (GET /links) as text for operators.
#pragma once
#include <nlohmann/json.hpp>

namespace shunttrail::cli {

/// Prints the active schema level, the builds of the nodes and what holds the next level back
/// (docs/schema.md) to standard output. Throws nlohmann::json::exception where a field is missing.
void print_schema_status(const nlohmann::json& status);

/// Prints the links that the controller finds cut and the heartbeats that it relays (docs/relay.md)
/// to standard output. Throws nlohmann::json::exception where a field is missing.
void print_relay_status(const nlohmann::json& status);

}  // namespace shunttrail::cli
