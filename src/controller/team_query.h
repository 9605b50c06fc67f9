/// A team's live jobs, as users are told them.
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

/// Responds to GET /v2/teams/TEAM: one page of the team's live jobs, in order of their ids.
class TeamQuery {
 public:
  /// Replies run in the mailbox of `actor`.
  TeamQuery(actor::Actor& actor, ControllerComponents& components)
      : actor_(actor), components_(components) {}

  /// The page after the job `after`, of at most `limit` jobs (both query parameters). 404: no such
  /// team; 400: malformed parameters; 503: the state service or final records cannot be read.
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
    std::vector<std::string> waiting_ids;  ///< Of the waiting jobs among them, in their order.
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
