// The agent's HTTP server: accepts direct commands from a controller and returns the agent's
// status.
#pragma once
#include <functional>

#include "actor/loop.h"
#include "agent/agent_state.h"
#include "agent/heartbeat_client.h"
#include "net/http.h"

namespace shunttrail::agent {

/// Serves `POST /orders` and `GET /status`; both answer with a heartbeat. Source: PROTOCOL,
/// "Workers -> controller nodes".
class CommandServer {
 public:
  /// Throws std::exception if the address is already in use.
  CommandServer(actor::Loop& loop, const Settings& settings, AgentState& state,
                HeartbeatClient::Callbacks callbacks);

 private:
  [[nodiscard]] net::Answer answer(const net::Exchange& exchange);
  [[nodiscard]] net::Answer execute(const std::string& body);
  [[nodiscard]] net::Answer heartbeat_answer(int status);

  AgentState& state_;
  HeartbeatClient::Callbacks callbacks_;
  net::Server server_;
};

}  // namespace shunttrail::agent
