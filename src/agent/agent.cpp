#include "agent/agent.h"

#include <algorithm>
#include <fstream>

#include "log/log.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {

constexpr double kTickIntervalS = 0.1;

}  // namespace

Agent::Agent(actor::Loop& loop, Settings settings, const fs::path& dir, AgentJournal::Step step)
    : Actor(loop),
      settings_(std::move(settings)),
      paths_{fs::absolute(dir)},
      state_(settings_, paths_, std::move(step),
             {[this] { heartbeats_.send_soon(); }, [this] { tasks_.forget_all(); }}),
      tasks_(loop, *this, settings_, paths_, state_, [this] { images_changed(); }),
      heartbeats_(loop, *this, settings_, state_, callbacks()),
      timer_(loop,
             [this] {
               tick();
               timer_.after(kTickIntervalS);
             }),
      commands_(loop, settings_, state_, callbacks()) {
  state_.recover();
  tasks_.recover();
  timer_.after(0);
  heartbeats_.start();
}

HeartbeatClient::Callbacks Agent::callbacks() {
  return {[this] { return make_heartbeat(); },
          [this](const client_protocol::HeartbeatResponse& response) { return execute(response); }};
}

void Agent::tick() {
  if (!state_.check_lease()) return;
  check_spot_notice();
  tasks_.tick();
}

void Agent::images_changed() {
  post([this] {
    tasks_.retry_images();
    tick();
  });
}

wire::Heartbeat Agent::make_heartbeat() {
  wire::Heartbeat heartbeat;
  heartbeat.machine = settings_.machine;
  heartbeat.addr = settings_.address.host + ":" + std::to_string(settings_.address.port);
  heartbeat.type = settings_.type;
  heartbeat.zone = settings_.zone;
  heartbeat.spot = settings_.spot;
  heartbeat.incarnation = state_.attempts().incarnation;
  heartbeat.sequence = state_.next_sequence();
  heartbeat.token = state_.attempts().token;
  if (reclaimed_at_) heartbeat.notice_s = std::max(0.0, *reclaimed_at_ - boot_now());
  heartbeat.tasks = state_.attempts().tasks();
  return heartbeat;
}

bool Agent::execute(const client_protocol::HeartbeatResponse& response) {
  AttemptTable next = state_.attempts();
  std::vector<std::string> refused = response.refused;
  const bool has_higher_token = *response.token > next.token;
  next.token = std::max(next.token, *response.token);
  const std::vector<Effect> effects = next.execute(response.commands, &refused);
  for (const std::string& line : refused)
    log::info("command from controller refused", {{"why", line}});
  if (state_.commit(std::move(next), "orders")) {
    if (has_higher_token) announce_token();
    tasks_.apply(effects);
    return true;
  }
  // The journal cannot be written, so starts, tokens and acknowledgements are not applied. Stops
  // are applied all the same: the end of the task is recorded once the disk has free space again.
  // The controllers repeat every command.
  if (has_higher_token) return false;
  apply_stops(effects);
  return true;
}

// Sends a heartbeat with the higher token, at most once per half of the lease.
void Agent::announce_token() {
  const double now = boot_now();
  if (now - token_announced_at_ <= settings_.lease_s / 2) return;
  token_announced_at_ = now;
  heartbeats_.send_soon();
}

void Agent::apply_stops(const std::vector<Effect>& effects) {
  for (const Effect& effect : effects)
    if (effect.kind == Effect::Kind::kill || effect.kind == Effect::Kind::save)
      tasks_.apply(effect);
}

void Agent::give_spot_notice() {
  if (!reclaimed_at_) give_spot_notice(settings_.recall_s);
}

void Agent::give_spot_notice(double remaining_s) {
  reclaimed_at_ = boot_now() + remaining_s;
  log::info("spot notice: the machine will be reclaimed", {{"in_s", remaining_s}});
  heartbeats_.send_soon();
}

// Reads and removes the spot notice file. It is written from outside the agent, and holds the
// seconds until the machine is reclaimed.
void Agent::check_spot_notice() {
  if (!fs::exists(paths_.spot_notice())) return;
  double remaining_s = 0;
  std::ifstream file(paths_.spot_notice());
  if (!(file >> remaining_s) || remaining_s < 0) remaining_s = settings_.recall_s;
  file.close();
  std::error_code ignored;
  fs::remove(paths_.spot_notice(), ignored);
  give_spot_notice(remaining_s);
}

}  // namespace shunttrail::agent
