// What users ask: submissions, polls, withdrawals, a team's view, and the load balancer's probe.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "controller/components.h"
#include "controller/job_results.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

class UserApi : public actor::Actor {
 public:
  UserApi(actor::Loop& loop, ControllerComponents& parts) : Actor(loop), components_(parts) {}
  void handle_request(net::ExchangePtr ex);
  std::uint64_t submissions() const { return submissions_; }
  std::uint64_t refused() const { return refused_; }

 private:
  using ExchangePtr = net::ExchangePtr;
  void route(const ExchangePtr& ex);
  void submit(const ExchangePtr& ex);
  void poll(const ExchangePtr& ex, const std::string& id);
  void cancel_request(const ExchangePtr& ex, const std::string& id, int tries);
  void cancel_completed(const ExchangePtr& ex, const std::string& id);
  static void cancelled(const ExchangePtr& ex, const std::string& id);
  void cancel(const ExchangePtr& ex, const std::string& id, int tries);
  void team(const ExchangePtr& ex, const std::string& name);
  void answer_state(const ExchangePtr& ex, const std::string& id, bool counts,
                    const std::function<void()>& unknown, int tries = 3);
  void answer_waiting(const ExchangePtr& ex, const std::string& id, bool counts,
                      const std::function<void()>& unknown, int tries);
  static void answer_result(const ExchangePtr& ex, const std::string& id,
                            const wire::JobResultRecord& f, bool counts);
  // A job of a team's view.
  struct TeamJob {
    wire::JobSpec spec;
    bool waits = false;
    state::StateCache::Progress progress;
  };
  static void answer_team(const ExchangePtr& ex, const std::string& name,
                          const std::vector<TeamJob>& list, const JobResults::DependencyStates& s,
                          bool more);
  void check_dependencies(const ExchangePtr& ex, wire::JobRecord r, int look);
  void accept(const ExchangePtr& ex, const wire::JobRecord& r, bool cancelled);
  void answer_health(const ExchangePtr& ex);
  int never_runs(const wire::JobSpec& s) const;  // 0: can run; else the status
  std::string next_tag();

  ControllerComponents& components_;
  std::uint64_t submissions_ = 0, refused_ = 0, tags_ = 0;
};

}  // namespace shunttrail::controller
