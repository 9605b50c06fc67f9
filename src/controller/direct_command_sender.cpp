#include "controller/direct_command_sender.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>

#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
/// The process's sockets divided by this number may be used for requests to workers.
constexpr std::size_t kSocketShareDivisor = 4;
constexpr double kCommandTimeoutS = 2;
constexpr double kProbeTimeoutS = 1;
/// Number of heartbeat intervals for which a machine counts as unreachable.
constexpr double kUnreachableHeartbeats = 3;

config::Endpoint parse_endpoint(const std::string& address) {
  config::Endpoint endpoint;
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return endpoint;
  endpoint.host = address.substr(0, colon);
  endpoint.port = static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
  return endpoint;
}
}  // namespace

void DirectCommandSender::mark_unreachable(const std::string& machine) {
  unreachable_until_[machine] = host_.now() + kUnreachableHeartbeats * host_.settings().heartbeat_s;
}

bool DirectCommandSender::is_unreachable(const std::string& machine) const {
  auto found = unreachable_until_.find(machine);
  return found != unreachable_until_.end() && found->second > host_.now();
}

void DirectCommandSender::forget(const std::string& machine) {
  worker_clients_.erase(machine);
  unreachable_until_.erase(machine);
}

void DirectCommandSender::reset() {
  unreachable_until_.clear();
  worker_clients_.clear();
}

void DirectCommandSender::send_commands(
    const std::function<bool(const std::string&)>& has_held_response) {
  scheduler::ShardScheduler& scheduler = *host_.active_scheduler();
  auto skip = [&](const std::string& machine) {
    return has_held_response(machine) || is_unreachable(machine);
  };
  for (const auto& direct : scheduler.direct_commands(host_.may_start_tasks(), skip, host_.now()))
    client(direct.machine, direct.addr)
        .request("POST", "/orders",
                 wire::encode_direct_commands(direct.token, direct.incarnation, direct.commands),
                 kCommandTimeoutS,
                 host_.reply<net::Result>([this, direct](const net::Result& response) {
                   on_response(direct, response);
                 }));
}

void DirectCommandSender::on_response(const scheduler::DirectCommands& commands,
                                      const net::Result& response) {
  scheduler::ShardScheduler* scheduler = host_.active_scheduler();
  if (!scheduler || !scheduler->has_machine(commands.machine)) return;
  scheduler->direct_commands_done(commands, response.status);
  const bool has_heartbeat = response.status == 200 || response.status == 409;
  if (!has_heartbeat) return;
  try {
    scheduler->take_heartbeat(wire::decode_heartbeat(response.body), host_.now(), true);
  } catch (const wire::Malformed& error) {
    ++malformed_;
    spdlog::info("cannot decode the response of machine {} to direct commands: {}",
                 commands.machine, error.what());
  }
  host_.send_pending_work();
}

// Sends no probes while this node may itself be cut off: then the silence of workers proves
// nothing.
void DirectCommandSender::send_probes() {
  scheduler::ShardScheduler* scheduler = host_.active_scheduler();
  if (!scheduler || !host_.may_start_tasks()) return;
  for (const auto& probe : scheduler->probes(host_.now()))
    client(probe.machine, probe.addr)
        .request("GET", "/status", "", kProbeTimeoutS,
                 host_.reply<net::Result>([this, opened_under = scheduler->opened_under(),
                                           machine = probe.machine](const net::Result& response) {
                   if (host_.is_current(opened_under))
                     host_.active_scheduler()->probe_done(machine, response.status == 200,
                                                          host_.now());
                 }));
}

net::Client& DirectCommandSender::client(const std::string& machine, const std::string& address) {
  return worker_clients_.at(machine, parse_endpoint(address), connection_limit());
}

// Returns how many worker connections this shard may keep. All shards that this node leads share a
// part of the process's sockets. A controller that leads every shard therefore still has sockets
// for every worker's heartbeat and for its users.
std::size_t DirectCommandSender::connection_limit() const {
  std::size_t led_shards = 0;
  for (const auto& controller : host_.components().shard_controllers)
    led_shards += controller->scheduler() != nullptr;
  const auto sockets = static_cast<std::size_t>(host_.settings().max_sockets);
  return std::max<std::size_t>(1, sockets / kSocketShareDivisor / led_shards);
}

}  // namespace shunttrail::controller
