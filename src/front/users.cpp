// What users ask: submissions, polls, withdrawals, a team's view, and the load balancer's probe.
#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "front/controller.h"

namespace shunt::front {
namespace {

constexpr std::size_t kFinalsKept = 4000;
constexpr double kPeersUnknown = 2.5;  // after a start
constexpr double kSubmitWait = 1.0;    // a submission not committed by then is refused

net::Answer later(double s = 1) { return {503, "{\"error\":\"not now\"}", s}; }
net::Answer no(int status, const std::string& why) {
  return {
      status,
      nlohmann::json{{"error", why}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      0};
}

}  // namespace

void Controller::front(ExchangePtr ex) {
  const std::string& p = ex->path;
  if (p == "/up") return up(ex);
  if (p == "/agent/beat" && ex->post) return beat(ex);
  if (p == "/v2/runs" && ex->post) return submit(ex);
  if (p.starts_with("/v2/runs/")) {
    std::string id = p.substr(9);
    if (ex->post) {
      static const std::string end = "/withdraw";
      if (!id.ends_with(end)) return ex->send(no(404, "no such path"));
      id.resize(id.size() - end.size());
      if (!wire::valid_job_id(id)) return ex->send(no(404, "no such job"));
      return withdraw(ex, id, 4);
    }
    if (!wire::valid_job_id(id)) return ex->send(no(404, "no such job"));
    return poll(ex, id);
  }
  if (p.starts_with("/v2/teams/") && !ex->post) return team(ex, p.substr(10));
  ex->send(no(404, "no such path"));
}

void Controller::up(ExchangePtr ex) {
  double now = loop_.now();
  bool serving = fresh(4);
  // Just started, it has not heard of the others yet.
  bool peer = now - started_at_ < kPeersUnknown;
  for (const auto& n : peer_news_) peer |= n.serving && now - n.at < 3;
  // Taking this node out helps only if another one can serve.
  bool ok = serving || !peer;
  ex->send(ok ? net::Answer{200, "{}", 0} : later());
}

int Controller::never_runs(const wire::JobSpec& s) const {
  int t = settings_.team_index(s.team);
  if (t < 0) return 422;
  if (catalogue_.empty()) return 503;
  const auto& team = settings_.teams[t];
  double n = s.service || s.gang ? s.tasks : 1;  // what must run at the same time
  auto over = [](double want, double limit) { return want > limit + 1e-9; };
  if (over(s.cpus * n, team.cpus_max) || over(s.gpus * n, team.gpus_max)) return 422;
  for (const auto& type : catalogue_.types) {
    if (s.types && std::find(s.types->begin(), s.types->end(), type.spec.name) == s.types->end())
      continue;
    if (s.zone &&
        std::find(type.spec.zones.begin(), type.spec.zones.end(), *s.zone) == type.spec.zones.end())
      continue;
    if (jobs::Amount::of(s.cpus, s.gpus, s.mem_gb).fits(type.room)) return 0;
  }
  return 422;
}

void Controller::remember_final(const std::string& id, const wire::FinalRecord& f) {
  if (!finals_.emplace(id, f).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > kFinalsKept) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

// The state of a job, from a read that began after the request came. `unknown` runs if the state
// service has never heard of it.
void Controller::answer_state(ExchangePtr ex, const std::string& id, bool counts,
                              std::function<void()> unknown) {
  auto final_answer = [ex, id, counts](const wire::FinalRecord& f) {
    ex->send(
        {200,
         wire::encode_job_state(id, f.cancelled ? wire::JobState::cancelled : wire::JobState::done,
                                f.cancelled ? 0 : f.tasks, 0, counts),
         0});
  };
  // What is final stays so, and needs no fresh read.
  if (auto f = finals_.find(id); f != finals_.end()) return final_answer(f->second);
  barrier([this, ex, id, counts, unknown, final_answer](bool ok) {
    if (!ok) return ex->send(later());
    if (const auto* j = world_.job(id)) {
      auto [done, running] = world_.progress(*j, jobs::kChunk);
      ex->send(
          {200,
           wire::encode_job_state(id, running ? wire::JobState::running : wire::JobState::queued,
                                  done, running, counts),
           0});
      return;
    }
    // Not live at the barrier: it is over already, or nobody knows it.
    state_.get("/kv/" + state::final_key(id), state::Urgency::user,
               reply<net::Result>([this, ex, id, unknown, final_answer](net::Result r) {
                 if (r.status == 404) return unknown();
                 try {
                   if (r.status != 200) throw wire::Malformed("no answer");
                   auto f = wire::decode_final_record(*wire::decode_key(r.body).value);
                   remember_final(id, f);
                   final_answer(f);
                 } catch (const wire::Malformed&) {
                   ex->send(later());
                 }
               }));
  });
}

void Controller::poll(ExchangePtr ex, const std::string& id) {
  answer_state(ex, id, true, [ex] { ex->send(no(404, "no such job")); });
}

void Controller::submit(ExchangePtr ex) {
  wire::JobRecord r;
  try {
    r.spec = wire::decode_job(ex->body);
  } catch (const wire::Malformed& e) {
    return ex->send(no(400, e.what()));
  }
  ++submissions_;
  std::string id = r.spec.id;
  int status = never_runs(r.spec);
  if (status || finals_.contains(id) || world_.job(id)) {
    // A retry of a job that was accepted is never refused, whatever is thought of it now.
    return answer_state(ex, id, false, [ex, status] {
      // Unknown after all: gone between two looks cannot be, so this is a refusal or a race.
      if (status == 422) return ex->send(no(422, "this job can never run here"));
      ex->send(later());
    });
  }
  r.submitted_at = loop_.wall_now();
  wire::Txn t;
  t.guards = {{state::job_key(id), 0}, {state::final_key(id), 0}};
  t.ops.push_back({state::job_key(id), wire::encode_record(r), 0});
  if (static_cast<double>(t.ops[0].value->size()) > settings_.value_kb * 1024)
    return ex->send(no(400, "the job's description is too long"));
  if (!fresh(6)) {
    ++refused_;
    return ex->send(later(2));
  }
  state_.commit(
      t, state::Urgency::user, kSubmitWait,
      reply<state::CommitResult>([this, ex, id, t](state::CommitResult c) {
        switch (c.kind) {
          case state::CommitResult::applied:
            ex->send({201, wire::encode_job_state(id, wire::JobState::queued, 0, 0, false), 0});
            apply_own(t, c.revision);
            return;
          case state::CommitResult::guard_failed:
            return answer_state(ex, id, false, [ex] { ex->send(later()); });
          default:
            ++refused_;
            return ex->send(later());
        }
      }));
}

void Controller::withdraw(ExchangePtr ex, const std::string& id, int tries) {
  if (tries == 0) return ex->send(later());
  auto over = [this, ex, id] {
    answer_state(ex, id, false, [ex] { ex->send(no(404, "no such job")); });
  };
  if (finals_.contains(id)) return over();
  barrier([this, ex, id, tries, over](bool ok) {
    if (!ok) return ex->send(later());
    const state::JobEntry* j = world_.job(id);
    if (!j) return over();
    // Done and cancelled race for the same keys: whichever commit comes first is the answer.
    wire::FinalRecord f;
    f.cancelled = true;
    f.tasks = j->record.spec.tasks;
    f.team = j->record.spec.team;
    f.tag = next_tag();
    wire::Txn t;
    t.guards = {{state::job_key(id), j->stamp}, {state::final_key(id), 0}};
    t.ops.push_back({state::job_key(id), std::nullopt, 0});
    t.ops.push_back({state::final_key(id), wire::encode_record(f), 0});
    state_.commit(
        t, state::Urgency::user, kSubmitWait,
        reply<state::CommitResult>([this, ex, id, t, f, tries](state::CommitResult c) {
          if (c.kind == state::CommitResult::applied) {
            remember_final(id, f);
            ex->send({200, wire::encode_job_state(id, wire::JobState::cancelled, 0, 0, false), 0});
            apply_own(t, c.revision);
          } else if (c.kind == state::CommitResult::guard_failed) {
            withdraw(ex, id, tries - 1);
          } else {
            ex->send(later());
          }
        }));
  });
}

// A team's live jobs, in id order.
void Controller::team(ExchangePtr ex, const std::string& name) {
  int t = settings_.team_index(name);
  if (t < 0) return ex->send(no(404, "no such team"));
  std::string after = net::query_value(ex->query, "after");
  std::string limit_text = net::query_value(ex->query, "limit");
  std::size_t limit = 100;
  if (!limit_text.empty()) {
    if (limit_text.size() > 4 || limit_text.find_first_not_of("0123456789") != std::string::npos ||
        (limit = std::stoul(limit_text)) < 1 || limit > 500)
      return ex->send(no(400, "limit is from 1 to 500"));
  }
  if (!after.empty() && !wire::valid_job_id(after))
    return ex->send(no(400, "after is not a job id"));
  barrier([this, ex, name, after, limit](bool ok) {
    if (!ok) return ex->send(later());
    nlohmann::json list = nlohmann::json::array();
    bool more = false;
    for (auto it = world_.jobs().upper_bound(after); it != world_.jobs().end(); ++it) {
      const auto& s = it->second.record.spec;
      if (s.team != name) continue;
      if (list.size() >= limit) {
        more = true;
        break;
      }
      auto [done, on] = world_.progress(it->second, jobs::kChunk);
      list.push_back(
          {{"uid", s.id},
           {"consist", s.cls},
           {"signal", wire::state_name(on ? wire::JobState::running : wire::JobState::queued)},
           {"cars", s.tasks},
           {"done", done},
           {"running", on}});
    }
    ex->send({200,
              nlohmann::json{{"crew", name}, {"runs", std::move(list)}, {"has_next", more}}.dump(),
              0});
  });
}

}  // namespace shunt::front
