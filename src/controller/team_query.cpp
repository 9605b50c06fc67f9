#include "controller/team_query.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "controller/state_store.h"
#include "controller/user_responses.h"
#include "jobs/job.h"
#include "wire/codec.h"

namespace shunttrail::controller {
namespace {

constexpr std::size_t kDefaultLimit = 100;
constexpr std::size_t kMaxLimit = 500;
constexpr std::size_t kMaxLimitDigits = 4;

using DependencyState = jobs::DependencyGraph::DependencyState;

// Returns the limit, or none if the text is malformed or out of range.
std::optional<std::size_t> parse_limit(const std::string& text) {
  if (text.empty()) return kDefaultLimit;
  if (text.size() > kMaxLimitDigits) return std::nullopt;
  if (text.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  const std::size_t limit = std::stoul(text);
  if (limit < 1 || limit > kMaxLimit) return std::nullopt;
  return limit;
}

}  // namespace

void TeamQuery::handle(const net::ExchangePtr& exchange, const std::string& team) {
  if (components_.settings.team_index(team) < 0)
    return exchange->send(net::error_response(404, "no such team"));
  const std::string after = net::query_value(exchange->query, "after");
  const auto limit = parse_limit(net::query_value(exchange->query, "limit"));
  if (!limit) return exchange->send(net::error_response(400, "limit is from 1 to 500"));
  if (!after.empty() && !wire::valid_job_id(after))
    return exchange->send(net::error_response(400, "after is not a job id"));
  components_.state_store->linearizable_read(
      actor_.reply<bool>([this, exchange, team, after, limit](bool is_read) {
        if (!is_read) return exchange->send(unavailable_response());
        respond_from_cache(exchange, collect(team, after, *limit));
      }));
}

// Merges two lists that are ordered by id: jobs that may run, and jobs that wait for their
// dependencies.
TeamQuery::Page TeamQuery::collect(const std::string& team, const std::string& after,
                                   std::size_t limit) const {
  const state::StateCache& cache = components_.state_store->cache();
  Page page;
  page.team = team;
  auto ready = cache.jobs().upper_bound(after);
  auto waiting = cache.waiting().upper_bound(after);
  while (ready != cache.jobs().end() || waiting != cache.waiting().end()) {
    const bool is_waiting = ready == cache.jobs().end() ||
                            (waiting != cache.waiting().end() && waiting->first < ready->first);
    const state::JobEntry& job = is_waiting ? (waiting++)->second : (ready++)->second;
    const wire::JobSpec& spec = job.record.spec;
    if (spec.team != team) continue;
    if (page.jobs.size() >= limit) {
      page.has_next = true;
      break;
    }
    page.jobs.push_back({spec, is_waiting, {}});
    if (is_waiting)
      page.waiting_ids.push_back(spec.id);
    else
      page.jobs.back().progress = cache.progress(job, jobs::kTasksPerChunk);
  }
  return page;
}

void TeamQuery::respond_from_cache(const net::ExchangePtr& exchange, Page page) {
  auto shared_page = std::make_shared<const Page>(std::move(page));
  components_.job_results->dependency_states(
      shared_page->waiting_ids,
      actor_.reply<JobResults::DependencyStates>(
          [exchange, shared_page](const JobResults::DependencyStates& states) {
            respond(exchange, *shared_page, states);
          }));
}

void TeamQuery::respond(const net::ExchangePtr& exchange, const Page& page,
                        const JobResults::DependencyStates& states) {
  nlohmann::json runs = nlohmann::json::array();
  std::size_t next_waiting = 0;
  for (const Job& job : page.jobs) {
    wire::JobState state = job.progress.placed ? wire::JobState::running : wire::JobState::queued;
    if (job.is_waiting) {
      const DependencyState dependency_state = states.of[next_waiting++];
      // A job that has been reported as cancelled must never be reported as queued again. The state
      // is therefore not reported before the final records have been read.
      if (dependency_state == DependencyState::unread)
        return exchange->send(unavailable_response());
      if (dependency_state == DependencyState::cancelled) state = wire::JobState::cancelled;
    }
    runs.push_back({{"uid", job.spec.id},
                    {"consist", job.spec.job_class},
                    {"signal", wire::state_name(state)},
                    {"cars", job.spec.tasks},
                    {"done", job.progress.done},
                    {"running", job.progress.placed}});
    if (job.is_waiting) runs.back()["awaits"] = job.spec.dependencies;
  }
  const nlohmann::json body = {
      {"crew", page.team}, {"runs", std::move(runs)}, {"has_next", page.has_next}};
  exchange->send({200, body.dump(), 0});
}

}  // namespace shunttrail::controller
