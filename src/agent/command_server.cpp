#include "agent/command_server.h"

#include "log/log.h"

namespace shunttrail::agent {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // PROTOCOL: the largest request body
constexpr double kRetryAfterS = 1;

net::Answer unavailable() { return {503, "{}", kRetryAfterS}; }

}  // namespace

CommandServer::CommandServer(actor::Loop& loop, const Settings& settings, AgentState& state,
                             HeartbeatClient::Callbacks callbacks)
    : state_(state),
      callbacks_(std::move(callbacks)),
      server_(loop, settings.address, kMaxBodyBytes,
              [this](net::ExchangePtr exchange) { exchange->send(answer(*exchange)); }) {}

net::Answer CommandServer::answer(const net::Exchange& exchange) {
  if (!state_.check_lease()) return unavailable();
  if (exchange.path == "/status" && !exchange.post) return heartbeat_answer(200);
  if (exchange.path == "/orders" && exchange.post) return execute(exchange.body);
  return net::error_response(404, "no such path");
}

net::Answer CommandServer::execute(const std::string& body) {
  client_protocol::HeartbeatResponse commands;
  try {
    commands = client_protocol::decode_heartbeat_response(body);
  } catch (const wire::Malformed& error) {
    log::info("direct command from controller is malformed", {{"why", error.what()}});
    return net::error_response(400, error.what());
  }
  if (!commands.token || !commands.incarnation)
    return net::error_response(400, "token or session is missing");
  const bool counts = state_.attempts().accepts(commands.token) &&
                      *commands.incarnation == state_.attempts().incarnation;
  if (counts && !callbacks_.execute(commands)) return unavailable();
  return heartbeat_answer(counts ? 200 : 409);
}

net::Answer CommandServer::heartbeat_answer(int status) {
  const wire::Heartbeat heartbeat = callbacks_.make_heartbeat();
  if (heartbeat.sequence == 0) return unavailable();
  return {status, client_protocol::encode_heartbeat(heartbeat), 0};
}

}  // namespace shunttrail::agent
