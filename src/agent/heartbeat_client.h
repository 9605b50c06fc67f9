// Sends the agent's heartbeats to the controllers and handles the answers.
#pragma once
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "actor/loop.h"
#include "agent/agent_state.h"
#include "agent/settings.h"
#include "client_protocol/client_protocol.h"
#include "net/http.h"

namespace shunttrail::agent {

/// Sends one heartbeat at a time to one controller. Switches to another controller if that one does
/// not answer or is not the leader. Source: PROTOCOL, "Workers -> controller nodes".
class HeartbeatClient {
 public:
  struct Callbacks {
    /// Returns the next heartbeat. Sequence 0 means that none may be sent.
    std::function<wire::Heartbeat()> make_heartbeat;
    /// Executes the commands of an answer whose token is accepted. Returns false if they could not
    /// be journaled; the answer then does not renew the lease.
    std::function<bool(const client_protocol::HeartbeatResponse&)> execute;
  };

  /// Answers are handled in `mailbox`.
  HeartbeatClient(actor::Loop& loop, actor::Actor& mailbox, const Settings& settings,
                  AgentState& state, Callbacks callbacks);

  /// Starts sending. Every heartbeat checks the lease first.
  void start();
  /// Requests a heartbeat as soon as the minimum interval allows, because the content has changed.
  void send_soon();

 private:
  void send();
  [[nodiscard]] double next_send_at() const;
  void handle_result(std::uint64_t incarnation, double sent_at, std::size_t controller,
                     const net::Result& result);
  void handle_response(double sent_at, std::size_t controller, const std::string& body);
  [[nodiscard]] bool follow_redirect(std::size_t controller, const std::string& body);
  void next_controller();
  void switch_controller(std::size_t next, double delay_s);

  actor::Loop& loop_;
  actor::Actor& mailbox_;
  const Settings& settings_;
  AgentState& state_;
  Callbacks callbacks_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<net::Client>> connections_;  // one for each controller
  std::size_t controller_ = 0;  // index of the controller that gets the heartbeats
  bool in_flight_ = false;
  bool content_changed_ = true;
  // Times of CLOCK_BOOTTIME, in seconds.
  double last_sent_at_ = -1e9;
  double due_at_ = 0;
  double earliest_send_at_ = 0;
  actor::Timer timer_;
};

}  // namespace shunttrail::agent
