#include "agent/heartbeat_client.h"

#include <algorithm>

#include "log/log.h"

namespace shunttrail::agent {
namespace {

constexpr double kAnswerTimeoutS = 4;  // PROTOCOL: the controller counts as failed after 4 s
constexpr double kMinIntervalS = 0.5;  // at most one heartbeat per half second
constexpr double kControllerSwitchDelayS = 1;  // delay before the next controller is tried
constexpr double kMaxRedirectDelayS = 0.5;
constexpr double kMinJitter = 0.75, kMaxJitter = 1.25;  // factors of the heartbeat interval

std::unique_ptr<net::Client> connect(actor::Loop& loop, const Settings::Controller& controller) {
  return std::make_unique<net::Client>(loop, controller.address, 1, 1);
}

}  // namespace

HeartbeatClient::HeartbeatClient(actor::Loop& loop, actor::Actor& mailbox, const Settings& settings,
                                 AgentState& state, Callbacks callbacks)
    : loop_(loop),
      mailbox_(mailbox),
      settings_(settings),
      state_(state),
      callbacks_(std::move(callbacks)),
      random_(std::random_device{}()),
      timer_(loop, [this] { send(); }) {
  for (const auto& controller : settings_.controllers)
    connections_.push_back(connect(loop_, controller));
  controller_ = random_() % connections_.size();
}

void HeartbeatClient::start() { timer_.after(0); }

void HeartbeatClient::send_soon() {
  content_changed_ = true;
  timer_.after(0);
}

double HeartbeatClient::next_send_at() const {
  const double at = content_changed_ ? last_sent_at_ + kMinIntervalS : due_at_;
  return std::max(at, earliest_send_at_);
}

void HeartbeatClient::send() {
  if (in_flight_ || !state_.check_lease()) return;
  const double now = boot_now();
  const double at = next_send_at();
  if (now < at) return timer_.after(at - now);
  const wire::Heartbeat heartbeat = callbacks_.make_heartbeat();
  if (heartbeat.sequence == 0) return timer_.after(kControllerSwitchDelayS);
  content_changed_ = false;
  in_flight_ = true;
  last_sent_at_ = now;
  std::uniform_real_distribution<> jitter(kMinJitter, kMaxJitter);
  due_at_ = now + settings_.report_s * jitter(random_);
  connections_[controller_]->request(
      "POST", "/agent/beat", client_protocol::encode_heartbeat(heartbeat), kAnswerTimeoutS,
      mailbox_.reply<net::Result>([this, incarnation = heartbeat.incarnation, now,
                                   controller = controller_](net::Result result) {
        handle_result(incarnation, now, controller, result);
      }));
}

void HeartbeatClient::handle_result(std::uint64_t incarnation, double sent_at,
                                    std::size_t controller, const net::Result& result) {
  in_flight_ = false;
  timer_.after(0);
  // The lease is checked first: if the answer arrives after its expiry, there is no incarnation
  // left to renew.
  if (!state_.check_lease()) return;
  if (result.status == 200) {
    const bool is_late = boot_now() - sent_at > kAnswerTimeoutS;
    if (!is_late && incarnation == state_.attempts().incarnation)
      handle_response(sent_at, controller, result.body);
    return;
  }
  if (result.status == 421 && follow_redirect(controller, result.body)) return;
  next_controller();
}

void HeartbeatClient::handle_response(double sent_at, std::size_t controller,
                                      const std::string& body) {
  try {
    const auto response = client_protocol::decode_heartbeat_response(body);
    if (!state_.attempts().accepts(response.token))
      return log::debug(
          "controller's answer dropped: its token is missing or lower than the known one");
    if (callbacks_.execute(response)) state_.renew_lease(sent_at);
  } catch (const wire::Malformed& error) {
    log::error("heartbeat answer from controller is malformed; trying the next controller",
               {{"node", settings_.controllers[controller].name}, {"why", error.what()}});
    next_controller();
  }
}

// Switches to the leader that the controller has named. Returns false if that is the controller
// itself, or is not in the settings.
bool HeartbeatClient::follow_redirect(std::size_t controller, const std::string& body) {
  const std::string leader = client_protocol::redirect_of(body);
  for (std::size_t i = 0; i < settings_.controllers.size(); ++i) {
    if (settings_.controllers[i].name != leader || i == controller) continue;
    switch_controller(i, std::uniform_real_distribution<>(0, kMaxRedirectDelayS)(random_));
    return true;
  }
  return false;
}

void HeartbeatClient::next_controller() {
  switch_controller((controller_ + 1) % connections_.size(), kControllerSwitchDelayS);
}

void HeartbeatClient::switch_controller(std::size_t next, double delay_s) {
  connections_[controller_] = connect(loop_, settings_.controllers[controller_]);
  controller_ = next;
  content_changed_ = true;
  earliest_send_at_ = boot_now() + delay_s;
}

}  // namespace shunttrail::agent
