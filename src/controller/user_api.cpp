#include "controller/user_api.h"

#include <string_view>
#include <utility>

#include "controller/peer_gossip.h"
#include "controller/schema_manager.h"
#include "controller/state_store.h"
#include "controller/user_responses.h"
#include "wire/codec.h"

namespace shunttrail::controller {
namespace {
constexpr char kTagLetter = 'u';
/// Largest age of the latest read of the state service at which this node counts as healthy.
constexpr double kHealthyReadAgeS = 4;

constexpr std::string_view kHealthPath = "/up";
constexpr std::string_view kJobsPath = "/v2/runs";
constexpr std::string_view kJobPrefix = "/v2/runs/";
constexpr std::string_view kCancelSuffix = "/withdraw";
constexpr std::string_view kTeamPrefix = "/v2/teams/";
}  // namespace

UserApi::UserApi(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop),
      components_(components),
      tags_(components, kTagLetter),
      queries_(*this, components),
      team_query_(*this, components),
      submission_(*this, loop, components, queries_, tags_),
      cancellation_(*this, components, queries_, tags_) {}

void UserApi::handle_request(net::ExchangePtr exchange) {
  post([this, exchange = std::move(exchange)] { route(exchange); });
}

void UserApi::route(const net::ExchangePtr& exchange) {
  const std::string& path = exchange->path;
  // A build that cannot read the stored state must not answer any request from it.
  if (!components_.schema->may_serve()) return exchange->send(unavailable_response());
  if (path == kHealthPath) return respond_health(exchange);
  if (path == kJobsPath && exchange->post) return submission_.handle(exchange);
  if (path.starts_with(kJobPrefix)) return route_job(exchange, path.substr(kJobPrefix.size()));
  if (path.starts_with(kTeamPrefix) && !exchange->post)
    return team_query_.handle(exchange, path.substr(kTeamPrefix.size()));
  exchange->send(no_such_path_response());
}

// `job_path` is the path after the prefix: a job's id and, for a POST, the suffix that names the
// operation.
void UserApi::route_job(const net::ExchangePtr& exchange, std::string job_path) {
  if (exchange->post) {
    if (!job_path.ends_with(kCancelSuffix)) return exchange->send(no_such_path_response());
    job_path.resize(job_path.size() - kCancelSuffix.size());
  }
  if (!wire::valid_job_id(job_path)) return exchange->send(no_such_job_response());
  if (exchange->post)
    cancellation_.handle(exchange, job_path);
  else
    queries_.poll(exchange, job_path);
}

// Reports this node as unhealthy only if another node can serve: otherwise it would not help to
// remove it from the load balancer.
void UserApi::respond_health(const net::ExchangePtr& exchange) const {
  const bool is_healthy = components_.state_store->fresh(kHealthyReadAgeS) ||
                          !components_.peer_gossip->another_serves();
  exchange->send(is_healthy ? net::Answer{200, "{}", 0} : unavailable_response());
}

}  // namespace shunttrail::controller
