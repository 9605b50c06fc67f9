/// Responses to the heartbeats of one shard's workers, sent at once or after a commit.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "controller/shard_host.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Passes heartbeats to the scheduler and sends the responses. A response renews the worker's lease
/// and carries commands. If the start commands for a worker wait for a commit, its response is held
/// for a limited time, so that the worker does not have to wait for its next heartbeat.
class HeartbeatResponder {
 public:
  explicit HeartbeatResponder(ShardHost& host) : host_(host) {}

  /// Handles a heartbeat. Responds with 200 at once, or once the commit that the response waits for
  /// is applied; with 421 (redirect) if this node does not lead the shard or the worker has seen a
  /// newer token; and with 503 if the worker's lease must not be renewed.
  void handle(const net::ExchangePtr& exchange, const wire::Heartbeat& heartbeat);
  /// Sends the held responses that need not wait any longer.
  void flush_held();
  /// Returns whether a response to this machine is held. It will carry the machine's commands.
  [[nodiscard]] bool is_held(const std::string& machine) const { return held_.contains(machine); }
  /// Drops the held response, if any, of a machine that has been deleted.
  void forget(const std::string& machine) { held_.erase(machine); }
  /// Refuses all held heartbeats with 503. Called when leadership is lost.
  void refuse_held();

 private:
  struct HeldResponse {
    net::ExchangePtr exchange;
    double send_at = 0;  ///< Loop time at which it is sent even if the commit has not been applied.
  };
  void redirect_to_leader(const net::ExchangePtr& exchange);
  void reread_leadership(const wire::Heartbeat& heartbeat);
  void respond_to_older_heartbeat(const net::ExchangePtr& exchange, const std::string& machine);
  void refuse_superseded(const std::string& machine);
  void respond(const net::ExchangePtr& exchange, const std::string& machine);
  void respond_with(const net::ExchangePtr& exchange, const std::string& machine,
                    const std::vector<wire::Command>& commands);

  ShardHost& host_;
  std::map<std::string, HeldResponse> held_;  ///< By machine.
};

}  // namespace shunttrail::controller
