/// Responses to the heartbeats of one shard's workers, at once or after a commit.
#pragma once
#include <map>
#include <string>

#include "controller/shard_host.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Hands heartbeats to the scheduler and sends the responses. A response renews the worker's lease
/// and carries commands; one whose starts wait for a commit is held for a while, so that the worker
/// need not wait for its next heartbeat.
class HeartbeatResponder {
 public:
  explicit HeartbeatResponder(ShardHost& host) : host_(host) {}

  /// Takes a heartbeat and responds, now or once a commit that it waits for is applied. Responds
  /// with 421 (redirect) if this node does not lead the shard or has been replaced, 503 if the
  /// lease must not be renewed.
  void handle(const net::ExchangePtr& exchange, const wire::Heartbeat& heartbeat);
  /// Sends the held responses that need not wait any longer.
  void flush_held();
  /// Whether a response to this machine is held: it will carry what a direct command would.
  [[nodiscard]] bool is_held(const std::string& machine) const { return held_.contains(machine); }
  /// The machine is deleted. Its held response, if any, is dropped.
  void forget(const std::string& machine) { held_.erase(machine); }
  /// Leadership is lost: held heartbeats are refused (503).
  void refuse_held();

 private:
  struct HeldResponse {
    net::ExchangePtr exchange;
    double send_at = 0;  ///< Loop time at which it is sent in any case.
  };
  void redirect_to_leader(const net::ExchangePtr& exchange);
  void reread_leadership(const wire::Heartbeat& heartbeat);
  void respond_to_older_heartbeat(const net::ExchangePtr& exchange, const std::string& machine);
  void refuse_superseded(const std::string& machine);
  void respond(const net::ExchangePtr& exchange, const std::string& machine);

  ShardHost& host_;
  std::map<std::string, HeldResponse> held_;  ///< By machine.
};

}  // namespace shunttrail::controller
