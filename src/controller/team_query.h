/// Queries of a team's live jobs by users.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/job_results.h"
#include "net/http.h"
#include "state/state_cache.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Responds to GET /v2/teams/TEAM with one page of the team's live jobs, ordered by id.
class TeamQuery {
 public:
  /// Callbacks run in the mailbox of `actor`.
  TeamQuery(actor::Actor& actor, ControllerComponents& components)
      : actor_(actor), components_(components) {}

  /// Responds with the page that begins after the job `after` and has at most `limit` jobs (both
  /// are query parameters). Responds with 404 if there is no such team, with 400 if a parameter is
  /// malformed, and with 503 if the state service or final records cannot be read.
  void handle(const net::ExchangePtr& exchange, const std::string& team);

 private:
  struct Job {
    wire::JobSpec spec;
    bool is_waiting = false;  ///< Waits for its dependencies.
    state::StateCache::Progress progress;
  };
  struct Page {
    std::string team;
    std::vector<Job> jobs;
    std::vector<std::string> waiting_ids;  ///< Ids of the page's waiting jobs, in order.
    bool has_next = false;
  };
  [[nodiscard]] Page collect(const std::string& team, const std::string& after,
                             std::size_t limit) const;
  void respond_from_cache(const net::ExchangePtr& exchange, Page page);
  static void respond(const net::ExchangePtr& exchange, const Page& page,
                      const JobResults::DependencyStates& states);

  actor::Actor& actor_;
  ControllerComponents& components_;
};

}  // namespace shunttrail::controller
