#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace shunttrail::controller {
namespace {
constexpr double kTick = 0.2;
constexpr double kLogGap = 10;
// A request's body, as the protocol has it. Of these, a heartbeat grows with the machine: its 64
// running tasks and as many ended ones take about 100 bytes each.
constexpr std::size_t kBodyMost = 64 * 1024;
constexpr std::size_t kPassedMost = kBodyMost + 64;  // a report, with what a sibling puts before it
}  // namespace

Controller::Controller(actor::Loop& loop, const config::Settings& s, const config::Tuning& t,
                       schema::Build build)
    : Actor(loop),
      state_client_(loop, s),
      components_{s, t, state_client_},
      state_store_(loop, s, state_client_),
      schema_(loop, (components_.state_store = &state_store_, components_), build),
      job_results_(loop, components_),
      membership_(loop, components_),
      cloud_manager_(loop, components_),
      inventory_(loop, components_),
      peer_gossip_(loop, components_),
      heartbeat_relay_(loop, components_),
      user_api_(loop, components_),
      worker_api_(loop, components_),
      timer_(loop, [this] { post([this] { tick(); }); }),
      public_server_(loop, s.front, kBodyMost, [this](net::ExchangePtr ex) { serve_public(ex); }),
      internal_server_(loop, s.internal, kPassedMost,
                       [this](net::ExchangePtr ex) { serve_internal(ex); }) {
  components_.schema = &schema_;
  components_.job_results = &job_results_;
  components_.membership = &membership_;
  components_.cloud_manager = &cloud_manager_;
  components_.inventory = &inventory_;
  components_.peer_gossip = &peer_gossip_;
  components_.heartbeat_relay = &heartbeat_relay_;
  for (int k = 0; k < s.shards(); ++k)
    components_.shard_controllers.push_back(
        std::make_unique<ShardController>(loop, components_, k));
  post([this] { tick(); });
}

void Controller::tick() {
  timer_.after(kTick);
  state_store_.tick();
  schema_.tick();
  membership_.tick();
  job_results_.tick();
  for (auto& r : components_.shard_controllers) r->tick();
  cloud_manager_.tick();
  inventory_.tick();
  peer_gossip_.tick();
  if (loop_.now() > log_at_) log();
}

void Controller::log() {
  log_at_ = loop_.now() + kLogGap;
  for (const auto& r : components_.shard_controllers)
    if (r->scheduler()) spdlog::info("desk {}", r->scheduler()->summary());
  const auto cost = state_client_.cost();
  spdlog::info(
      "state service: {} answered 429, {:.1f} s waited, {:.1f} changes a second, {} queued; "
      "{} jobs wait for others, {} made ready, {} ended with them",
      cost.refused, cost.waited_s, cost.write_rate, state_client_.queued(),
      state_store_.cache().waiting().size(), job_results_.made_ready(),
      job_results_.ended_with_others());
  spdlog::info("levels {}", schema_.describe());
  spdlog::info("links {}", heartbeat_relay_.describe());
}

void Controller::serve_public(const net::ExchangePtr& ex) {
  if (ex->path == "/agent/beat" && ex->post)
    worker_api_.handle_heartbeat(ex);
  else
    user_api_.handle_request(ex);
}

void Controller::serve_internal(const net::ExchangePtr& ex) {
  if (ex->path == "/peer/beat" && ex->post) return peer_gossip_.handle_request(ex);
  if (ex->path == "/peer/report" && ex->post)
    return heartbeat_relay_.handle_relayed(
        ex, [this](net::ExchangePtr passed) { worker_api_.handle_heartbeat(passed, true); });
  if (ex->path == "/links" && !ex->post) return ex->send({200, heartbeat_relay_.describe(), 0});
  if (ex->path == "/metrics" && !ex->post) return ex->send({200, metrics(), 0});
  if (ex->path == "/levels") return schema_.handle_request(ex);
  ex->send({404, "{}", 0});
}

std::string Controller::metrics() const {
  const auto cost = state_client_.cost();
  const state::StateCache& world = state_store_.cache();
  std::uint64_t garbage = worker_api_.malformed() + peer_gossip_.malformed() +
                          heartbeat_relay_.malformed() + world.malformed();
  for (const auto& r : components_.shard_controllers) garbage += r->malformed();
  nlohmann::json j = {{"node", components_.settings.node},
                      {"revision", world.revision()},
                      {"jobs", world.jobs().size()},
                      {"machines", world.machines().size()},
                      {"submissions", user_api_.submissions()},
                      {"refused", user_api_.refused()},
                      {"waiting", world.waiting().size()},
                      {"made_ready", job_results_.made_ready()},
                      {"ended_with_others", job_results_.ended_with_others()},
                      {"state_429", cost.refused},
                      {"state_too_large", state_client_.limits().refusals()},
                      {"state_waited_s", cost.waited_s},
                      {"state_write_rate", cost.write_rate},
                      {"garbage", garbage},
                      {"levels", nlohmann::json::parse(schema_.describe())},
                      {"links", nlohmann::json::parse(heartbeat_relay_.describe())},
                      {"desks", nlohmann::json::array()}};
  for (const auto& r : components_.shard_controllers)
    if (r->scheduler()) j["desks"].push_back(nlohmann::json::parse(r->scheduler()->summary()));
  return j.dump();
}

}  // namespace shunttrail::controller
