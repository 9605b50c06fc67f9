// Controllers: reports and their answers, direct orders and status.
#include <algorithm>

#include "agent/agent.h"
#include "log/log.h"

namespace shunttrail::agent {
namespace {
constexpr double kAnswerWithin = 4;  // PROTOCOL: no response within 4 s
constexpr double kLeastGap = 0.5;    // never more often than every half second
constexpr double kNextAfter = 1;     // the next node after a second
}  // namespace

void Agent::send_heartbeat() {
  if (in_flight_ || !check_lease()) return;
  double now = boot_now();
  double at =
      dirty_ ? std::max(last_sent_ + kLeastGap, not_before_) : std::max(due_at_, not_before_);
  if (now < at) return heartbeat_timer_.after(at - now);
  wire::Heartbeat r = heartbeat();
  if (r.sequence == 0) return heartbeat_timer_.after(kNextAfter);
  dirty_ = false;
  in_flight_ = true;
  last_sent_ = now;
  due_at_ = now + settings_.report_s * std::uniform_real_distribution<>(0.75, 1.25)(rng_);
  links_[to_]->request(
      "POST", "/agent/beat", client_protocol::encode_heartbeat(r), kAnswerWithin,
      reply<net::Result>([this, session = r.incarnation, now, to = to_](net::Result res) {
        answered(session, now, to, std::move(res));
      }));
}

void Agent::answered(std::uint64_t session, double sent, std::size_t controller, net::Result r) {
  in_flight_ = false;
  heartbeat_timer_.after(0);
  // The lease comes first: an answer that is late by more than it has no incarnation left to renew.
  if (!check_lease()) return;
  if (r.status == 200) {
    if (boot_now() - sent > kAnswerWithin || session != attempts_.incarnation) return;
    try {
      client_protocol::HeartbeatResponse o = client_protocol::decode_heartbeat_response(r.body);
      if (!attempts_.accepts(o.token)) return log::debug("answer with a lower token dropped");
      if (!execute(o)) return;
      lease_.answered(sent);
      lease_file_.set(attempts_.incarnation, lease_.until());
    } catch (const wire::Malformed& e) {
      log::error("garbage from a controller",
                 {{"node", settings_.controllers[controller].name}, {"why", e.what()}});
      next_controller(kNextAfter);
    }
    return;
  }
  if (r.status == 421) {
    const std::string name = client_protocol::redirect_of(r.body);
    for (std::size_t i = 0; i < settings_.controllers.size(); ++i) {
      if (settings_.controllers[i].name != name || i == controller) continue;
      links_[to_] = std::make_unique<net::Client>(loop_, settings_.controllers[to_].address, 1, 1);
      to_ = i;
      dirty_ = true;
      not_before_ = boot_now() + std::uniform_real_distribution<>(0, 0.5)(rng_);
      return;
    }
  }
  next_controller(kNextAfter);
}

void Agent::next_controller(double after_s) {
  links_[to_] = std::make_unique<net::Client>(loop_, settings_.controllers[to_].address, 1, 1);
  to_ = (to_ + 1) % links_.size();
  dirty_ = true;
  not_before_ = boot_now() + after_s;
}

// The commands of an answer whose token counts. False: nothing may count, the answer neither.
bool Agent::execute(const client_protocol::HeartbeatResponse& o) {
  AttemptTable next = attempts_;
  std::vector<std::string> refused = o.refused;
  bool higher = *o.token > next.token;
  next.token = std::max(next.token, *o.token);
  std::vector<Effect> effects = next.execute(o.commands, &refused);
  for (const auto& line : refused) log::info("command refused", {{"why", line}});
  // A higher token is told at most once per half of the lease.
  double now = boot_now();
  if (commit(next, "orders")) {
    if (higher && now - token_told_ > settings_.lease_s / 2) {
      token_told_ = now;
      changed();
    }
    apply(effects);
    return true;
  }
  // A record that cannot be written takes no start, no token and no reap. A stop needs no record: a
  // task that is gone is put down as soon as there is room. All of it will be said again.
  if (higher) return false;
  for (const Effect& e : effects)
    if (e.kind == Effect::Kind::kill || e.kind == Effect::Kind::save) apply({e});
  return true;
}

void Agent::serve(net::ExchangePtr ex) {
  if (!check_lease()) return ex->send({503, "{}", 1});
  if (ex->path == "/status" && !ex->post) {
    wire::Heartbeat r = heartbeat();
    return ex->send(r.sequence ? net::Answer{200, client_protocol::encode_heartbeat(r), 0}
                               : net::Answer{503, "{}", 1});
  }
  if (ex->path != "/orders" || !ex->post) return ex->send({404, "{\"error\":\"no such path\"}", 0});
  client_protocol::HeartbeatResponse o;
  try {
    o = client_protocol::decode_heartbeat_response(ex->body);
  } catch (const wire::Malformed& e) {
    log::info("garbage order", {{"why", e.what()}});
    return ex->send({400,
                     nlohmann::json{{"error", e.what()}}.dump(
                         -1, ' ', false, nlohmann::json::error_handler_t::replace),
                     0});
  }
  if (!o.token || !o.session)
    return ex->send({400, "{\"error\":\"token or session is missing\"}", 0});
  bool ours = attempts_.accepts(o.token) && *o.session == attempts_.incarnation;
  if (ours && !execute(o)) return ex->send({503, "{}", 1});
  wire::Heartbeat r = heartbeat();
  if (r.sequence == 0) return ex->send({503, "{}", 1});
  ex->send({ours ? 200 : 409, client_protocol::encode_heartbeat(r), 0});
}

}  // namespace shunttrail::agent
