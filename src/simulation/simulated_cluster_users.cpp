// The users of a set: they submit, ask and cancel; what they are told is checked by the rules.
#include <algorithm>

#include "client_protocol/client_protocol.h"
#include "simulation/simulated_cluster.h"
#include "wire/codec.h"

namespace shunttrail::simulation {

namespace {
constexpr double kPollGap = 5;       // of a user, for one job
constexpr double kAgainGap = 20;     // about one that is over
constexpr double kPollWithin = 2;    // for the answer to a poll
constexpr double kAnswerWithin = 5;  // to a submission or a cancellation
constexpr double kInsist = 60;       // a submission is repeated for so long
constexpr double kForgotten = 75;    // a job about which no question is answered for so long
constexpr double kClosely = 0.5;     // for so long users look closely
constexpr int kSubmitEvery = 6;      // so many questions of theirs, one submission
}  // namespace

void SimulatedCluster::ask(int node, const char* method, const std::string& path,
                           const std::string& body, double within_s,
                           std::function<void(net::Result)> done) {
  const std::uint64_t n = ++questions_;
  asked_[n] =
      users_host_->request({base_.nodes[static_cast<std::size_t>(node)], 80}, method, path, body,
                           within_s, [this, n, done = std::move(done)](net::Result r) {
                             auto kept = asked_.extract(n);
                             done(std::move(r));
                           });
}
int SimulatedCluster::any_node() { return static_cast<int>(sim_.rng()() % nodes_.size()); }

std::string SimulatedCluster::submit(wire::JobSpec spec, double run_s, int node) {
  spec.id = "run-" + std::to_string(100000 + next_job_++);
  const std::string id = spec.id;
  jobs_[id] = {std::move(spec), run_s};
  submit_again(id, node, sim_.now() + kInsist);
  return id;
}
void SimulatedCluster::submit_again(const std::string& id, int node, double until) {
  const double sent = sim_.now();
  ask(node >= 0 ? node : any_node(), "POST", "/v2/runs", wire::encode_job(jobs_[id].spec),
      kAnswerWithin, [this, id, node, until, sent](net::Result r) {
        answered(id, r, sent, Asked::submission);
        if (r.status == 200 || r.status == 201) {
          jobs_[id].accepted = true;
          sim_.at(sim_.now() + kPollGap, [this, id] { poll(id); });
        } else if (sim_.now() < until) {
          sim_.at(sim_.now() + std::max(1.0, r.retry_after_s),
                  [this, id, node, until] { submit_again(id, node, until); });
        }
      });
}
void SimulatedCluster::cancel(const std::string& id, int node) {
  jobs_[id].cancel_asked = true;
  cancel_again(id, node);
}
void SimulatedCluster::cancel_again(const std::string& id, int node) {
  const double sent = sim_.now();
  ask(node >= 0 ? node : any_node(), "POST", "/v2/runs/" + id + "/withdraw", "{}", kAnswerWithin,
      [this, id, sent](net::Result r) {
        answered(id, r, sent, Asked::cancellation);
        if (r.status == 200 || (r.status == 404 && !jobs_[id].accepted)) return;
        sim_.at(sim_.now() + std::max(1.0, r.retry_after_s), [this, id] { cancel_again(id, -1); });
      });
}
void SimulatedCluster::poll(const std::string& id) {
  const Job& j = jobs_[id];
  const bool over = j.told_done >= 0 || j.told_cancelled >= 0;
  const double sent = sim_.now();
  ask(any_node(), "GET", "/v2/runs/" + id, "", kPollWithin,
      [this, id, sent](net::Result r) { answered(id, r, sent); });
  sim_.at(sent + (over ? kAgainGap : kPollGap), [this, id] { poll(id); });
}

bool SimulatedCluster::cancelled_by_users(const std::string& id) const {
  const Job& j = jobs_.at(id);
  return j.cancel_asked || std::any_of(j.spec.dependencies.begin(), j.spec.dependencies.end(),
                                       [&](const std::string& a) { return cancelled_by_users(a); });
}

// ---- users who look closely

void SimulatedCluster::ask_once(const std::string& id, int node) {
  ask(node, "GET", "/v2/runs/" + id, "", kPollWithin,
      [this, id, sent = sim_.now()](net::Result r) { answered(id, r, sent); });
}
void SimulatedCluster::submit_once(const std::string& id, int node, const std::string& body) {
  ask(node, "POST", "/v2/runs", body.empty() ? wire::encode_job(jobs_[id].spec) : body,
      kAnswerWithin,
      [this, id, sent = sim_.now()](net::Result r) { answered(id, r, sent, Asked::submission); });
}
void SimulatedCluster::cancel_once(const std::string& id, int node) {
  Job& j = jobs_[id];
  j.cancel_asked |= j.told_done < 0 && j.told_cancelled < 0;
  ask(node, "POST", "/v2/runs/" + id + "/withdraw", "{}", kAnswerWithin,
      [this, id, sent = sim_.now()](net::Result r) { answered(id, r, sent, Asked::cancellation); });
}

std::string SimulatedCluster::other_body(const std::string& id) {
  wire::JobSpec spec = jobs_[id].spec;
  switch (sim_.rng()() % 5) {
    case 0:
      spec.tasks += 3;
      break;
    case 1:
      spec.cpus = 1e6;
      break;
    case 2:
      spec.team = "nobody";
      break;
    case 3:
      // Longer than what may be kept.
      spec.types.emplace(400, std::string(50, 'x'));
      spec.types->emplace_back("t4");
      break;
    default: {
      std::string body = wire::encode_job(spec);
      const std::size_t at = body.find("\"cars\"");
      body.replace(at, 6, "\"carts\"");
      return body;
    }
  }
  return wire::encode_job(spec);
}

void SimulatedCluster::ask_all_repeatedly(const std::string& id) {
  look_on(id, 0, sim_.now() + kClosely);
}
void SimulatedCluster::look_on(const std::string& id, int step, double until) {
  if (sim_.now() > until) return;
  ++close_questions_;
  const Job& j = jobs_[id];
  const int node = step % static_cast<int>(nodes_.size());
  if (step % kSubmitEvery == kSubmitEvery - 1) {
    ask_once("run-9" + id.substr(5), node);  // which nobody submitted
    // Another body only once its user knows that it was accepted: before, it would be a submission.
    submit_once(id, any_node(),
                j.told_accepted >= 0 && sim_.chance(0.5) ? other_body(id) : std::string());
    if (j.told_done >= 0 || j.told_cancelled >= 0) cancel_once(id, any_node());
  } else {
    ask_once(id, node);
  }
  sim_.at(sim_.now() + sim_.draw(0.001, 0.05),
          [this, id, step, until] { look_on(id, step + 1, until); });
}

// What is on its way to the controllers at this moment is the last task's report.
void SimulatedCluster::task_done(const std::string& id) {
  Job& j = jobs_[id];
  if (++j.done < j.spec.tasks) return;
  if (some(options_.close_looks)) ask_all_repeatedly(id);
  if (!some(options_.meet_ends)) return;
  ++ends_met_;
  // Within the report, its commit and what follows.
  auto soon = [this] { return sim_.now() + (sim_.chance(0.3) ? 0 : sim_.draw(0, 0.4)); };
  const auto met = 1 + sim_.rng()() % 7;
  if (met & 1) sim_.at(soon(), [this, id] { cancel(id); });
  if (met & 2)
    for (int n = 0; n < static_cast<int>(nodes_.size()); ++n)
      sim_.at(soon(), [this, id, n] { ask_once(id, n); });
  if (met & 4) sim_.at(soon(), [this, id] { submit_once(id, any_node()); });
}

// ---- what users are told

// Rules: forgotten, invented, not_done, went_back. All answers about a job, of all nodes, are one
// register: what a question asked after an answer is told is never older than that answer.
void SimulatedCluster::answered(const std::string& id, const net::Result& r, double asked_at,
                                Asked what) {
  auto known = jobs_.find(id);
  if (known == jobs_.end()) {
    if (r.status == 200) broke("invented: " + id);
    return;
  }
  Job& j = known->second;
  auto before = [&](double at) { return at >= 0 && at <= asked_at; };
  if (before(j.told_accepted)) {
    if (r.status == 404) broke("forgotten: " + id + " is answered 404");
    if (r.status == 400 || r.status == 422)
      broke("forgotten: " + id + " was refused when it was submitted again");
    if (r.status == 201) broke("went_back: " + id + " is accepted as if it were new");
  }
  if (r.status != 200 && r.status != 201) return;
  const auto now_called = client_protocol::decode_job_state(r.body).state;
  const bool cancelled = now_called == wire::JobState::cancelled;
  const bool done = now_called == wire::JobState::done;
  j.answered = sim_.now();
  // Of two final states one is wrong, whichever was asked for first.
  if ((before(j.told_cancelled) && !cancelled) || (j.told_cancelled >= 0 && done))
    broke("went_back: " + id + " was called cancelled, and now " + wire::state_name(now_called));
  if ((before(j.told_done) && !done) || (j.told_done >= 0 && cancelled))
    broke("went_back: " + id + " was called done, and now " + wire::state_name(now_called));
  if (what == Asked::cancellation && !cancelled && !done)
    broke("went_back: a cancellation of " + id + " is answered " + wire::state_name(now_called));
  if (cancelled && !cancelled_by_users(id))
    broke("went_back: " + id + " is called cancelled, and nobody asked");
  if (done)
    for (std::uint32_t i = 0; i < j.spec.tasks; ++i)
      if (!results_.contains(name_of({id, i})))
        broke("not_done: " + id + " is called done, and task " + std::to_string(i) + " is not");
  const bool news =
      j.told_accepted < 0 || (cancelled && j.told_cancelled < 0) || (done && j.told_done < 0);
  if (j.told_accepted < 0) {
    j.told_accepted = sim_.now();
    if (some(options_.cancel_at_once))
      sim_.at(sim_.now() + sim_.draw(0, 0.1), [this, id] { cancel(id); });
  }
  if (cancelled && j.told_cancelled < 0) j.told_cancelled = sim_.now();
  if (done && j.told_done < 0) j.told_done = sim_.now();
  if (news && some(options_.close_looks)) ask_all_repeatedly(id);
}

void SimulatedCluster::ask_all() {
  for (auto& [id, j] : jobs_) {
    if (!j.accepted) continue;
    j.answered = -1;
    auto left = std::make_shared<std::set<int>>();
    for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) left->insert(n);
    auto again = std::make_shared<std::function<void()>>();
    *again = [this, id = id, left, weak = std::weak_ptr(again), began = sim_.now()] {
      auto self = weak.lock();
      if (left->empty()) return;
      if (sim_.now() - began > kForgotten)
        return broke("forgotten: no answer about " + id + " at node " +
                     std::to_string(*left->begin()));
      const double sent = sim_.now();
      for (int n : *left)
        ask(n, "GET", "/v2/runs/" + id, "", kPollWithin, [this, id, n, left, sent](net::Result r) {
          if (r.status == 200 || r.status == 404) left->erase(n);
          answered(id, r, sent);
        });
      sim_.at(sent + kPollGap, [self] { (*self)(); });
    };
    (*again)();
  }
  pass(kForgotten + kPollGap + kPollWithin);
}

}  // namespace shunttrail::simulation
