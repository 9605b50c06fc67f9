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

/// Sends starts straight to workers whose next heartbeat is not due soon, and asks silent workers
/// whether they live. Keeps the connections to them.
class DirectCommandSender {
 public:
  DirectCommandSender(ShardHost& host, actor::Loop& loop) : host_(host), worker_clients_(loop) {}

  /// Sends the direct commands that the scheduler has, except to machines for which
  /// `has_held_response` is true: their response will carry them.
  void send_commands(const std::function<bool(const std::string&)>& has_held_response);
  /// Probes machines that have been silent for too long.
  void send_probes();
  /// The machine's heartbeat came by way of a sibling: this node cannot reach it for now.
  void mark_unreachable(const std::string& machine);
  /// The machine's heartbeat came straight to this node.
  void mark_reachable(const std::string& machine) { unreachable_until_.erase(machine); }
  /// The machine left the shard.
  void forget(const std::string& machine);
  /// Leadership is lost: forgets all machines and closes the connections.
  void reset();
  /// Responses that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  void on_response(const scheduler::DirectCommands& commands, const net::Result& response);
  [[nodiscard]] bool is_unreachable(const std::string& machine) const;
  net::Client& client(const std::string& machine, const std::string& address);
  [[nodiscard]] std::size_t connection_limit() const;

  ShardHost& host_;
  /// By machine: loop time send_at which it counts as unreachable from this node. No direct command
  /// is sent there, which would hold up the start that the response to its heartbeat can bring.
  std::unordered_map<std::string, double> unreachable_until_;
  net::Pool worker_clients_;  ///< By machine.
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller
