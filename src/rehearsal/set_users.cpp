// The users of a set: they submit, ask and cancel; what they are told is checked by the rules.
#include <algorithm>

#include "far/far.h"
#include "rehearsal/set.h"
#include "wire/codec.h"

namespace shunt::rehearsal {

namespace {
constexpr double kPollGap = 5;       // of a user, for one job
constexpr double kAgainGap = 20;     // about one that is over
constexpr double kPollWithin = 2;    // for the answer to a poll
constexpr double kAnswerWithin = 5;  // to a submission or a cancellation
constexpr double kInsist = 60;       // a submission is repeated for so long
constexpr double kForgotten = 75;    // a job about which no question is answered for so long
}  // namespace

void Set::ask(int node, const char* method, const std::string& path, const std::string& body,
              double within_s, std::function<void(net::Result)> done) {
  const std::uint64_t n = ++questions_;
  asked_[n] =
      users_host_->request({base_.nodes[static_cast<std::size_t>(node)], 80}, method, path, body,
                           within_s, [this, n, done = std::move(done)](net::Result r) {
                             auto kept = asked_.extract(n);
                             done(std::move(r));
                           });
}
int Set::any_node() { return static_cast<int>(sim_.rng()() % nodes_.size()); }

std::string Set::submit(wire::JobSpec spec, double run_s, int node) {
  spec.id = "run-" + std::to_string(100000 + next_job_++);
  const std::string id = spec.id;
  jobs_[id] = {std::move(spec), run_s};
  submit_again(id, node, sim_.now() + kInsist);
  return id;
}
void Set::submit_again(const std::string& id, int node, double until) {
  const double sent = sim_.now();
  ask(node >= 0 ? node : any_node(), "POST", "/v2/runs", wire::encode_job(jobs_[id].spec),
      kAnswerWithin, [this, id, node, until, sent](net::Result r) {
        Job& j = jobs_[id];
        if (r.status == 200 || r.status == 201) {
          j.accepted = true;
          told(id, r, sent);
          sim_.at(sim_.now() + kPollGap, [this, id] { poll(id); });
        } else if (j.accepted && (r.status == 400 || r.status == 422)) {
          broke("forgotten: " + id + " was refused when it was submitted again");
        } else if (sim_.now() < until) {
          sim_.at(sim_.now() + std::max(1.0, r.retry_after_s),
                  [this, id, node, until] { submit_again(id, node, until); });
        }
      });
}
void Set::cancel(const std::string& id, int node) {
  jobs_[id].cancel_asked = true;
  cancel_again(id, node);
}
void Set::cancel_again(const std::string& id, int node) {
  const double sent = sim_.now();
  ask(node >= 0 ? node : any_node(), "POST", "/v2/runs/" + id + "/withdraw", "{}", kAnswerWithin,
      [this, id, sent](net::Result r) {
        if (r.status == 200) return told(id, r, sent);
        if (r.status == 404 && !jobs_[id].accepted) return;
        sim_.at(sim_.now() + std::max(1.0, r.retry_after_s), [this, id] { cancel_again(id, -1); });
      });
}
void Set::poll(const std::string& id) {
  const Job& j = jobs_[id];
  const bool over = j.told_done >= 0 || j.told_cancelled >= 0;
  const double sent = sim_.now();
  ask(any_node(), "GET", "/v2/runs/" + id, "", kPollWithin,
      [this, id, sent](net::Result r) { told(id, r, sent); });
  sim_.at(sent + (over ? kAgainGap : kPollGap), [this, id] { poll(id); });
}

bool Set::cancelled_by_users(const std::string& id) const {
  const Job& j = jobs_.at(id);
  return j.cancel_asked || std::any_of(j.spec.awaits.begin(), j.spec.awaits.end(),
                                       [&](const std::string& a) { return cancelled_by_users(a); });
}

// Rules: forgotten, not_done, went_back.
void Set::told(const std::string& id, const net::Result& r, double asked_at) {
  Job& j = jobs_[id];
  if (r.status == 404 && j.accepted) broke("forgotten: " + id + " is answered 404");
  if (r.status != 200 && r.status != 201) return;
  const auto now_called = far::decode_job_state(r.body).state;
  j.answered = sim_.now();
  auto before = [&](double at) { return at >= 0 && at <= asked_at; };
  if (before(j.told_cancelled) && now_called != wire::JobState::cancelled)
    broke("went_back: " + id + " was called cancelled, and now " + wire::state_name(now_called));
  if (before(j.told_done) && now_called != wire::JobState::done)
    broke("went_back: " + id + " was called done, and now " + wire::state_name(now_called));
  if (now_called == wire::JobState::cancelled) {
    if (!cancelled_by_users(id))
      broke("went_back: " + id + " is called cancelled, and nobody asked");
    if (j.told_cancelled < 0) j.told_cancelled = sim_.now();
  }
  if (now_called != wire::JobState::done) return;
  if (j.told_done < 0) j.told_done = sim_.now();
  for (std::uint32_t i = 0; i < j.spec.tasks; ++i)
    if (!results_.contains(name_of({id, i})))
      broke("not_done: " + id + " is called done, and task " + std::to_string(i) + " is not");
}

void Set::ask_all() {
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
          told(id, r, sent);
        });
      sim_.at(sent + kPollGap, [self] { (*self)(); });
    };
    (*again)();
  }
  pass(kForgotten + kPollGap + kPollWithin);
}

}  // namespace shunt::rehearsal
