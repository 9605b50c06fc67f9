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
  pipelines_.ended(id, f.cancelled);
  if (!finals_.emplace(id, f).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > kFinalsKept) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

// The state of a job, from a read that began after the request came. `unknown` runs if the state
// service has never heard of it. This is the one place where a job's state is worked out.
void Controller::answer_state(ExchangePtr ex, const std::string& id, bool counts,
                              std::function<void()> unknown, int tries) {
  auto answer = [ex, id, counts](wire::JobState s, std::uint64_t done, std::uint64_t running) {
    ex->send({200, wire::encode_job_state(id, s, done, running, counts), 0});
  };
  auto final_answer = [answer](const wire::FinalRecord& f) {
    answer(f.cancelled ? wire::JobState::cancelled : wire::JobState::done,
           f.cancelled ? 0 : f.tasks, 0);
  };
  // What is final stays so, and needs no fresh read.
  if (auto f = finals_.find(id); f != finals_.end()) return final_answer(f->second);
  if (tries == 0) return ex->send(later());
  barrier([this, ex, id, counts, unknown, answer, final_answer, tries](bool ok) {
    if (!ok) return ex->send(later());
    if (const auto* j = world_.job(id)) {
      auto [done, running] = world_.progress(*j, jobs::kChunk);
      return answer(running ? wire::JobState::running : wire::JobState::queued, done, running);
    }
    if (world_.waiting(id)) {
      // It follows from those before it, whoever owns its shard and however far its own record is
      // behind: a job below a cancelled one has never started.
      std::vector<std::string> missing;
      switch (pipelines_.standing(id, &missing)) {
        case jobs::Pipelines::Standing::queued:
          return answer(wire::JobState::queued, 0, 0);
        case jobs::Pipelines::Standing::cancelled:
          return answer(wire::JobState::cancelled, 0, 0);
        case jobs::Pipelines::Standing::unread:
          return read_finals(missing, [this, ex, id, counts, unknown, tries](bool read) {
            if (!read) return ex->send(later());
            answer_state(ex, id, counts, unknown, tries - 1);
          });
      }
    }
    // Not live at the barrier: it is over already, or nobody knows it.
    read_final(id, [this, ex, id, unknown, final_answer](Final found) {
      if (found == Final::none) return unknown();
      auto f = finals_.find(id);
      if (found == Final::not_read || f == finals_.end()) return ex->send(later());
      final_answer(f->second);
    });
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
  const std::string& id = r.spec.id;
  int status = never_runs(r.spec);
  if (status || finals_.contains(id) || world_.job(id) || world_.waiting(id)) {
    // A retry of a job that was accepted is never refused, whatever is thought of it now.
    return answer_state(ex, id, false, [ex, status] {
      // Unknown after all: gone between two looks cannot be, so this is a refusal or a race.
      if (status == 422) return ex->send(no(422, "this job can never run here"));
      ex->send(later());
    });
  }
  if (!fresh(6)) {
    ++refused_;
    return ex->send(later(2));
  }
  r.submitted_at = loop_.wall_now();
  check_awaits(ex, std::move(r), 0);
}

// Every job that is named has to have been accepted. That is for good, so what the cache has seen
// will do; what it has not is looked for in two steps: by one read that begins now, for jobs that
// another node accepted an instant ago, and then among the final records, all at once.
void Controller::check_awaits(ExchangePtr ex, wire::JobRecord r, int look) {
  std::vector<std::string> open, unseen;
  bool cancelled = false;
  // A retry of a job that was accepted is never refused.
  auto refuse = [this, ex, id = r.spec.id](const std::string& why) {
    answer_state(ex, id, false, [ex, why] { ex->send(no(422, why)); });
  };
  for (const auto& a : r.spec.awaits) {
    if (a == r.spec.id) return refuse("awaits names the job itself");
    const auto* live = world_.job(a);
    if (!live) live = world_.waiting(a);
    auto f = finals_.find(a);
    if ((live && live->record.spec.service) || (f != finals_.end() && f->second.service))
      return refuse("awaits names a service");
    if (f != finals_.end())
      cancelled |= f->second.cancelled;  // one that is done need not be awaited
    else if (live)
      open.push_back(a);
    else
      unseen.push_back(a);
  }
  if (!unseen.empty()) {
    if (look == 2) return refuse("awaits names a job that was never accepted");
    auto again = [this, ex, r, look](bool ok) {
      if (ok) return check_awaits(ex, r, look + 1);
      ++refused_;
      ex->send(later());
    };
    if (look == 0) return barrier(again);
    return read_finals(unseen, again);
  }
  if (open.empty() && !r.spec.awaits.empty()) r.ready_at = r.submitted_at;
  r.spec.awaits = std::move(open);
  accept(ex, r, cancelled);
}

void Controller::accept(ExchangePtr ex, const wire::JobRecord& r, bool cancelled) {
  const std::string& id = r.spec.id;
  wire::FinalRecord f;
  wire::Txn t;
  t.guards = {{state::job_key(id), 0}, {state::waiting_key(id), 0}, {state::final_key(id), 0}};
  if (cancelled) {
    // A job that it names is cancelled: so is this one, from the start.
    f = wire::cancelled_record(r.spec, next_tag());
    t.ops.push_back({state::final_key(id), wire::encode_record(f), 0});
  } else {
    t.ops.push_back({r.spec.awaits.empty() ? state::job_key(id) : state::waiting_key(id),
                     wire::encode_record(r), 0});
  }
  const std::size_t size = t.ops[0].value->size();
  const std::string too_long = "the job's description is too long";
  if (size > state_.limits().room().value_bytes) return ex->send(no(400, too_long));
  state_.commit(
      t, state::Urgency::user, kSubmitWait,
      reply<state::CommitResult>([this, ex, id, t, f, size, too_long](state::CommitResult c) {
        switch (c.kind) {
          case state::CommitResult::applied: {
            if (f.cancelled) remember_final(id, f);
            auto s = f.cancelled ? wire::JobState::cancelled : wire::JobState::queued;
            ex->send({201, wire::encode_job_state(id, s, 0, 0, false), 0});
            apply_own(t, c.revision);
            return;
          }
          case state::CommitResult::guard_failed:
            return answer_state(ex, id, false, [ex] { ex->send(later()); });
          case state::CommitResult::too_large:
            if (size > state_.limits().room().value_bytes) return ex->send(no(400, too_long));
            [[fallthrough]];
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
    const bool waits = world_.waiting(id) != nullptr;
    const state::JobEntry* j = waits ? world_.waiting(id) : world_.job(id);
    if (!j) return over();
    // Cancelled already, with one before it.
    if (waits && pipelines_.standing(id) == jobs::Pipelines::Standing::cancelled) return over();
    // Done and cancelled race for the same keys: whichever commit comes first is the answer.
    wire::FinalRecord f = wire::cancelled_record(j->record.spec, next_tag());
    const std::string key = waits ? state::waiting_key(id) : state::job_key(id);
    wire::Txn t;
    t.guards = {{key, j->stamp}, {state::final_key(id), 0}};
    t.ops.push_back({key, std::nullopt, 0});
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
    // Two lists in id order, merged: what may run, and what waits for other jobs.
    auto ready = world_.jobs().upper_bound(after);
    auto waits = world_.waiting().upper_bound(after);
    while (ready != world_.jobs().end() || waits != world_.waiting().end()) {
      const bool waiting = ready == world_.jobs().end() ||
                           (waits != world_.waiting().end() && waits->first < ready->first);
      const state::JobEntry& j = waiting ? (waits++)->second : (ready++)->second;
      const auto& s = j.record.spec;
      if (s.team != name) continue;
      if (list.size() >= limit) {
        more = true;
        break;
      }
      state::World::Progress p;
      wire::JobState state = wire::JobState::queued;
      if (!waiting) {
        p = world_.progress(j, jobs::kChunk);
        if (p.placed) state = wire::JobState::running;
      } else {
        switch (pipelines_.standing(s.id)) {
          case jobs::Pipelines::Standing::unread:
            // What was called cancelled must not be called queued: not before it has been read.
            return ex->send(later());
          case jobs::Pipelines::Standing::cancelled:
            state = wire::JobState::cancelled;
            break;
          case jobs::Pipelines::Standing::queued:
            break;
        }
      }
      list.push_back({{"uid", s.id},
                      {"consist", s.cls},
                      {"signal", wire::state_name(state)},
                      {"cars", s.tasks},
                      {"done", p.done},
                      {"running", p.placed}});
      if (waiting) list.back()["awaits"] = s.awaits;
    }
    ex->send({200,
              nlohmann::json{{"crew", name}, {"runs", std::move(list)}, {"has_next", more}}.dump(),
              0});
  });
}

}  // namespace shunt::front
