#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace shunttrail::controller {
namespace {
constexpr double kTickIntervalS = 0.2;
constexpr double kLogIntervalS = 10;
/// Largest body of a public request, as the protocol defines it. The largest bodies are heartbeats,
/// which grow with the machine: 64 running tasks and as many ended ones take about 100 bytes each.
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
/// Largest body of an internal request: a heartbeat and the header that a relaying controller adds.
constexpr std::size_t kMaxInternalBodyBytes = kMaxBodyBytes + 64;
}  // namespace

Controller::Controller(actor::Loop& loop, const config::Settings& settings,
                       const config::Tuning& tuning, schema::Build build)
    : Actor(loop),
      state_client_(loop, settings),
      components_{settings, tuning, state_client_},
      state_store_(loop, settings, state_client_),
      // The state store must be set before the next parts: they register as its listeners when they
      // are constructed.
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
      public_server_(loop, settings.front, kMaxBodyBytes,
                     [this](const net::ExchangePtr& exchange) { serve_public(exchange); }),
      internal_server_(loop, settings.internal, kMaxInternalBodyBytes,
                       [this](const net::ExchangePtr& exchange) { serve_internal(exchange); }) {
  set_components(loop);
  post([this] { tick(); });
}

void Controller::set_components(actor::Loop& loop) {
  components_.schema = &schema_;
  components_.job_results = &job_results_;
  components_.membership = &membership_;
  components_.cloud_manager = &cloud_manager_;
  components_.inventory = &inventory_;
  components_.peer_gossip = &peer_gossip_;
  components_.heartbeat_relay = &heartbeat_relay_;
  for (int shard = 0; shard < components_.settings.shards(); ++shard)
    components_.shard_controllers.push_back(
        std::make_unique<ShardController>(loop, components_, shard));
}

void Controller::tick() {
  timer_.after(kTickIntervalS);
  state_store_.tick();
  schema_.tick();
  membership_.tick();
  job_results_.tick();
  for (const auto& controller : components_.shard_controllers) controller->tick();
  cloud_manager_.tick();
  inventory_.tick();
  peer_gossip_.tick();
  if (loop_.now() > next_log_at_) log_status();
}

void Controller::log_status() {
  next_log_at_ = loop_.now() + kLogIntervalS;
  for (const auto& controller : components_.shard_controllers)
    if (controller->scheduler()) spdlog::info("scheduler {}", controller->scheduler()->summary());
  const auto cost = state_client_.cost();
  spdlog::info(
      "state service: {} requests answered 429, {:.1f} s waited, {:.1f} writes a second, "
      "{} requests queued; jobs: {} wait for dependencies, {} made ready, {} cancelled with a "
      "dependency",
      cost.refused, cost.waited_s, cost.write_rate, state_client_.queued(),
      state_store_.cache().waiting().size(), job_results_.made_ready(),
      job_results_.cancelled_with_dependencies());
  spdlog::info("schema {}", schema_.describe());
  spdlog::info("relay {}", heartbeat_relay_.describe());
}

void Controller::serve_public(const net::ExchangePtr& exchange) {
  if (exchange->path == "/agent/beat" && exchange->post)
    worker_api_.handle_heartbeat(exchange);
  else
    user_api_.handle_request(exchange);
}

void Controller::serve_internal(const net::ExchangePtr& exchange) {
  const std::string& path = exchange->path;
  const bool is_post = exchange->post;
  if (path == "/peer/beat" && is_post) return peer_gossip_.handle_heartbeat(exchange);
  if (path == "/peer/room" && is_post) return peer_gossip_.handle_room_offers(exchange);
  if (path == "/peer/report" && is_post)
    return heartbeat_relay_.handle_relayed(exchange, [this](const net::ExchangePtr& relayed) {
      worker_api_.handle_heartbeat(relayed, HeartbeatPath::relayed);
    });
  if (path == "/links" && !is_post) return exchange->send({200, heartbeat_relay_.describe(), 0});
  if (path == "/metrics" && !is_post) return exchange->send({200, metrics(), 0});
  if (path == "/levels") return schema_.handle_request(exchange);
  exchange->send({404, "{}", 0});
}

// Returns the number of messages and stored values that could not be decoded.
std::uint64_t Controller::malformed() const {
  std::uint64_t count = worker_api_.malformed() + peer_gossip_.malformed() +
                        heartbeat_relay_.malformed() + state_store_.cache().malformed();
  for (const auto& controller : components_.shard_controllers) count += controller->malformed();
  return count;
}

std::string Controller::metrics() const {
  using nlohmann::json;
  const auto cost = state_client_.cost();
  const state::StateCache& cache = state_store_.cache();
  json values = {{"node", components_.settings.node},
                 {"revision", cache.revision()},
                 {"jobs", cache.jobs().size()},
                 {"machines", cache.machines().size()},
                 {"submissions", user_api_.submissions()},
                 {"refused", user_api_.refused()},
                 {"waiting", cache.waiting().size()},
                 {"made_ready", job_results_.made_ready()},
                 {"ended_with_others", job_results_.cancelled_with_dependencies()},
                 {"state_429", cost.refused},
                 {"state_too_large", state_client_.limits().refusals()},
                 {"state_waited_s", cost.waited_s},
                 {"state_write_rate", cost.write_rate},
                 {"garbage", malformed()},
                 {"levels", json::parse(schema_.describe())},
                 {"links", json::parse(heartbeat_relay_.describe())},
                 {"desks", json::array()}};
  for (const auto& controller : components_.shard_controllers)
    if (controller->scheduler())
      values["desks"].push_back(json::parse(controller->scheduler()->summary()));
  return values.dump();
}

}  // namespace shunttrail::controller
