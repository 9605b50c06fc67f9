#include "simulation/simulated_users.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "wire/codec.h"

namespace shunttrail::simulation {

namespace {
constexpr double kPollIntervalS = 5;           // between two queries about a job
constexpr double kFinishedPollIntervalS = 20;  // between two queries about a job that has ended
constexpr double kPollTimeoutS = 2;            // of a query
constexpr double kWriteTimeoutS = 5;           // of a submission or a cancellation
constexpr double kMinRetryDelayS = 1;          // before a submission or a cancellation is repeated
constexpr double kSubmitRetryS = 60;           // a submission is repeated for this long
constexpr double kAnswerDeadlineS = 75;        // a job without an answer for longer is forgotten
constexpr double kQueryBurstS = 0.5;
constexpr int kBurstStepsPerSubmission = 6;  // the last of so many steps repeats the submission
constexpr int kFirstJob = 100000;            // the number in the first job's id

std::string job_path(const std::string& id) { return "/v2/runs/" + id; }
}  // namespace

SimulatedUsers::SimulatedUsers(Simulation& simulation, const ClusterOptions& options,
                               const SimulatedControllers& controllers, JobRecords& jobs,
                               RuleChecker& rules)
    : simulation_(simulation),
      options_(options),
      controllers_(controllers),
      jobs_(jobs),
      rules_(rules),
      host_(simulation, "users") {}

void SimulatedUsers::send(int node, const char* method, const std::string& path,
                          const std::string& body, double timeout_s, Callback done) {
  const std::uint64_t number = ++requests_;
  const std::string& host = controllers_.hosts()[static_cast<std::size_t>(node)];
  in_flight_[number] = host_.request({host, kPublicPort}, method, path, body, timeout_s,
                                     [this, number, done = std::move(done)](net::Result result) {
                                       // The handle owns this callback, so it has to be kept until
                                       // the callback returns.
                                       const auto handle = in_flight_.extract(number);
                                       done(std::move(result));
                                     });
}

int SimulatedUsers::random_node() {
  return static_cast<int>(simulation_.rng()() % static_cast<std::size_t>(controllers_.count()));
}

// ---- requests that are repeated

std::string SimulatedUsers::submit(wire::JobSpec spec, double run_s, int node) {
  spec.id = "run-" + std::to_string(kFirstJob + next_job_++);
  std::string id = spec.id;
  jobs_.add(std::move(spec), run_s);
  submit_with_retries(id, node, simulation_.now() + kSubmitRetryS);
  return id;
}

void SimulatedUsers::submit_with_retries(const std::string& id, int node, double until) {
  const double sent = simulation_.now();
  const int to = node >= 0 ? node : random_node();
  const bool must_be_accepted = jobs_.are_dependencies_accepted(id) && !jobs_.can_never_run(id);
  send(to, "POST", "/v2/runs", wire::encode_job(jobs_.at(id).spec), kWriteTimeoutS,
       [this, id, node, until, sent, must_be_accepted](net::Result result) {
         handle_answer(id, result, sent, UserRequest::submission);
         if (must_be_accepted) rules_.check_dependent_submission(id, result);
         const double now = simulation_.now();
         if (result.status == 200 || result.status == 201) {
           jobs_.at(id).accepted = true;
           simulation_.at(now + kPollIntervalS, [this, id] { poll(id); });
         } else if (now < until) {
           simulation_.at(now + std::max(kMinRetryDelayS, result.retry_after_s),
                          [this, id, node, until] { submit_with_retries(id, node, until); });
         }
       });
}

void SimulatedUsers::cancel(const std::string& id, int node) {
  jobs_.at(id).cancel_requested = true;
  cancel_with_retries(id, node);
}

void SimulatedUsers::cancel_with_retries(const std::string& id, int node) {
  const double sent = simulation_.now();
  const int to = node >= 0 ? node : random_node();
  send(to, "POST", job_path(id) + "/withdraw", "{}", kWriteTimeoutS,
       [this, id, sent](net::Result result) {
         handle_answer(id, result, sent, UserRequest::cancellation);
         if (result.status == 200 || (result.status == 404 && !jobs_.at(id).accepted)) return;
         simulation_.at(simulation_.now() + std::max(kMinRetryDelayS, result.retry_after_s),
                        [this, id] { cancel_with_retries(id, kAnyNode); });
       });
}

void SimulatedUsers::poll(const std::string& id) {
  const SimulatedJob& job = jobs_.at(id);
  const bool finished = job.is_end_reported();
  const double sent = simulation_.now();
  query_once(id, random_node());
  simulation_.at(sent + (finished ? kFinishedPollIntervalS : kPollIntervalS),
                 [this, id] { poll(id); });
}

void SimulatedUsers::start_query_burst(const std::string& id) {
  continue_query_burst(id, 0, simulation_.now() + kQueryBurstS);
}

void SimulatedUsers::continue_query_burst(const std::string& id, int step, double until) {
  if (simulation_.now() > until) return;
  ++burst_queries_;
  const int node = step % controllers_.count();
  if (step % kBurstStepsPerSubmission == kBurstStepsPerSubmission - 1) {
    const SimulatedJob& job = jobs_.at(id);
    query_once("run-9" + id.substr(5), node);  // a job that nobody submitted
    // Before its user knows that the job was accepted, another body would be a submission of its
    // own.
    const bool other = job.first_reported_at >= 0 && simulation_.chance(0.5);
    const std::string body = other ? altered_body(id) : std::string();
    submit_once(id, random_node(), body);
    if (job.is_end_reported()) cancel_once(id, random_node());
  } else {
    query_once(id, node);
  }
  simulation_.at(simulation_.now() + simulation_.draw(0.001, 0.05),
                 [this, id, step, until] { continue_query_burst(id, step + 1, until); });
}

double SimulatedUsers::query_all_controllers_s() {
  return kAnswerDeadlineS + kPollIntervalS + kPollTimeoutS;
}

void SimulatedUsers::query_all_controllers() {
  for (const auto& [id, known] : jobs_.all()) {
    if (!known.accepted) continue;
    jobs_.at(id).last_answered_at = -1;
    auto pending = std::make_shared<PendingAnswers>(PendingAnswers{id, {}, simulation_.now()});
    for (int node = 0; node < controllers_.count(); ++node) pending->nodes.insert(node);
    query_pending(pending);
  }
}

void SimulatedUsers::query_pending(const std::shared_ptr<PendingAnswers>& pending) {
  if (pending->nodes.empty()) return;
  const double sent = simulation_.now();
  if (sent - pending->began_at > kAnswerDeadlineS)
    return rules_.report("forgotten: no answer about " + pending->job + " at node " +
                         std::to_string(*pending->nodes.begin()));
  for (const int node : pending->nodes)
    send(node, "GET", job_path(pending->job), "", kPollTimeoutS,
         [this, node, pending, sent](net::Result result) {
           if (result.status == 200 || result.status == 404) pending->nodes.erase(node);
           handle_answer(pending->job, result, sent);
         });
  simulation_.at(sent + kPollIntervalS, [this, pending] { query_pending(pending); });
}

// ---- single requests

void SimulatedUsers::query_once(const std::string& id, int node) {
  send(node, "GET", job_path(id), "", kPollTimeoutS,
       [this, id, sent = simulation_.now()](net::Result result) {
         handle_answer(id, result, sent);
       });
}

void SimulatedUsers::submit_once(const std::string& id, int node, const std::string& body) {
  send(node, "POST", "/v2/runs", body.empty() ? wire::encode_job(jobs_.at(id).spec) : body,
       kWriteTimeoutS, [this, id, sent = simulation_.now()](net::Result result) {
         handle_answer(id, result, sent, UserRequest::submission);
       });
}

void SimulatedUsers::cancel_once(const std::string& id, int node) {
  SimulatedJob& job = jobs_.at(id);
  job.cancel_requested |= !job.is_end_reported();
  send(node, "POST", job_path(id) + "/withdraw", "{}", kWriteTimeoutS,
       [this, id, sent = simulation_.now()](net::Result result) {
         handle_answer(id, result, sent, UserRequest::cancellation);
       });
}

std::string SimulatedUsers::altered_body(const std::string& id) {
  wire::JobSpec spec = jobs_.at(id).spec;
  switch (simulation_.rng()() % 5) {
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
      // A specification that is larger than the state service's values may be.
      spec.types.emplace(400, std::string(50, 'x'));
      spec.types->emplace_back("t4");
      break;
    default: {
      std::string body = wire::encode_job(spec);
      const std::string field = "\"cars\"";
      body.replace(body.find(field), field.size(), "\"carts\"");
      return body;
    }
  }
  return wire::encode_job(spec);
}

// ---- what happens elsewhere

void SimulatedUsers::task_completed(const std::string& id) {
  SimulatedJob& job = jobs_.at(id);
  if (++job.completed_tasks < job.spec.tasks) return;
  if (happens(options_.query_bursts)) start_query_burst(id);
  if (happens(options_.requests_at_completion)) send_requests_at_completion(id);
}

// The worker is about to send the heartbeat with the last task's completion. These requests arrive
// before it, together with it, during the commit of the result and after it.
void SimulatedUsers::send_requests_at_completion(const std::string& id) {
  ++completions_with_requests_;
  auto soon = [this] {
    return simulation_.now() + (simulation_.chance(0.3) ? 0 : simulation_.draw(0, 0.4));
  };
  enum Kinds { cancellation = 1, questions = 2, submission = 4 };
  const auto kinds = 1 + simulation_.rng()() % 7;
  if (kinds & cancellation) simulation_.at(soon(), [this, id] { cancel(id); });
  if (kinds & questions)
    for (int node = 0; node < controllers_.count(); ++node)
      simulation_.at(soon(), [this, id, node] { query_once(id, node); });
  if (kinds & submission) simulation_.at(soon(), [this, id] { submit_once(id, random_node()); });
}

void SimulatedUsers::handle_answer(const std::string& id, const net::Result& result,
                                   double asked_at, UserRequest request) {
  const auto state = rules_.check_answer(id, result, asked_at, request);
  if (state) record_state(id, jobs_.at(id), *state);
}

void SimulatedUsers::record_state(const std::string& id, SimulatedJob& job, wire::JobState state) {
  const double now = simulation_.now();
  job.last_answered_at = now;
  const bool first_cancelled = state == wire::JobState::cancelled && job.cancelled_reported_at < 0;
  const bool first_done = state == wire::JobState::done && job.done_reported_at < 0;
  const bool first_answer = job.first_reported_at < 0;
  if (first_answer) {
    job.first_reported_at = now;
    if (happens(options_.immediate_cancellations))
      simulation_.at(now + simulation_.draw(0, 0.1), [this, id] { cancel(id); });
  }
  if (first_cancelled) job.cancelled_reported_at = now;
  if (first_done) job.done_reported_at = now;
  if ((first_answer || first_cancelled || first_done) && happens(options_.query_bursts))
    start_query_burst(id);
}

}  // namespace shunttrail::simulation
