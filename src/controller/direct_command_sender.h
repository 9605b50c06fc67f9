/// Requests from one shard's leader to its workers: direct commands and liveness probes.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "controller/shard_host.h"
#include "net/pool.h"

namespace shunttrail::controller {

/// Sends start commands directly to workers whose next heartbeat is not due soon, and probes silent
/// workers for liveness. Keeps the connections to the workers.
class DirectCommandSender {
 public:
  DirectCommandSender(ShardHost& host, actor::Loop& loop) : host_(host), worker_clients_(loop) {}

  /// Sends the scheduler's direct commands, except to machines for which `has_held_response`
  /// returns true: the held response will carry their commands.
  void send_commands(const std::function<bool(const std::string&)>& has_held_response);
  /// Probes the machines that the scheduler's failure detector finds silent for too long.
  void send_probes();
  /// Marks the machine unreachable for some time: its heartbeat was relayed by another controller,
  /// so this node probably cannot reach it.
  void mark_unreachable(const std::string& machine);
  /// Marks the machine reachable: its heartbeat came directly to this node.
  void mark_reachable(const std::string& machine) { unreachable_until_.erase(machine); }
  /// Removes a machine that has left the shard, and closes its connection.
  void forget(const std::string& machine);
  /// Removes all machines and closes all connections. Called when leadership is lost.
  void reset();
  /// Returns the number of workers' responses that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  void on_response(const scheduler::DirectCommands& commands, const net::Result& response);
  [[nodiscard]] bool is_unreachable(const std::string& machine) const;
  net::Client& client(const std::string& machine, const std::string& address);
  [[nodiscard]] std::size_t connection_limit() const;

  ShardHost& host_;
  /// By machine: the loop time until which it counts as unreachable from this node. No direct
  /// command is sent to such a machine: a command in flight would delay the start command that the
  /// response to its next relayed heartbeat can carry.
  std::unordered_map<std::string, double> unreachable_until_;
  net::Pool worker_clients_;  ///< By machine.
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller
