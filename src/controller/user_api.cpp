#include "controller/user_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "controller/cloud_manager.h"
#include "controller/job_results.h"
#include "controller/membership.h"
#include "controller/peer_gossip.h"
#include "controller/schema_manager.h"

namespace shunttrail::controller {
namespace {

constexpr double kSubmitWait = 1.0;  // a submission not committed by then is refused
constexpr double kSubmitFresh = 6;   // nor is one taken on an older look at the state service
constexpr double kServingFresh = 4;  // this node can serve with a look at most so old

net::Answer unavailable(double s = 1) { return {503, "{\"error\":\"not now\"}", s}; }
}  // namespace

using net::error_response;

void UserApi::handle_request(ExchangePtr ex) {
  post([this, ex] { route(ex); });
}

std::string UserApi::next_tag() { return components_.membership->tag('u', ++tags_); }

void UserApi::route(const ExchangePtr& ex) {
  const std::string& p = ex->path;
  // A build that cannot read what stands tells nobody anything.
  if (!components_.schema->may_serve()) return ex->send(unavailable());
  if (p == "/up") return answer_health(ex);
  if (p == "/v2/runs" && ex->post) return submit(ex);
  if (p.starts_with("/v2/runs/")) {
    std::string id = p.substr(9);
    if (ex->post) {
      static const std::string end = "/withdraw";
      if (!id.ends_with(end)) return ex->send(error_response(404, "no such path"));
      id.resize(id.size() - end.size());
      if (!wire::valid_job_id(id)) return ex->send(error_response(404, "no such job"));
      return cancel_request(ex, id, 4);
    }
    if (!wire::valid_job_id(id)) return ex->send(error_response(404, "no such job"));
    return poll(ex, id);
  }
  if (p.starts_with("/v2/teams/") && !ex->post) return team(ex, p.substr(10));
  ex->send(error_response(404, "no such path"));
}

// Taking this node out helps only if another one can serve.
void UserApi::answer_health(const ExchangePtr& ex) {
  bool ok =
      components_.state_store->fresh(kServingFresh) || !components_.peer_gossip->another_serves();
  ex->send(ok ? net::Answer{200, "{}", 0} : unavailable());
}

int UserApi::never_runs(const wire::JobSpec& s) const {
  int t = components_.settings.team_index(s.team);
  if (t < 0) return 422;
  if (components_.cloud_manager->catalogue().empty()) return 503;
  const auto& team = components_.settings.teams[t];
  const std::uint32_t at_once = s.service || s.gang ? s.tasks : 1;  // what must run together
  auto over = [](double want, double limit) { return want > limit + 1e-9; };
  if (over(s.cpus * at_once, team.cpus_max) || over(s.gpus * at_once, team.gpus_max)) return 422;
  const scheduler::MachineCatalogue& c = components_.cloud_manager->catalogue();
  const auto need = jobs::Resources::of(s.cpus, s.gpus, s.mem_gb);
  const int only = s.zone ? components_.settings.zone_index(*s.zone) : -1;
  std::set<std::size_t> zones;  // in which one of its tasks fits a machine
  for (std::size_t i = 0; i < c.types.size(); ++i) {
    const auto& type = c.types[i];
    // To the last digit too: millionths are rounded, and the worker would refuse it.
    if (!c.accepts(2 * static_cast<int>(i), s, need) || over(s.cpus, type.spec.cpus) ||
        over(s.gpus, type.spec.gpus) || over(s.mem_gb, type.spec.mem_gb))
      continue;
    for (std::size_t z = 0; z < type.in_zone.size(); ++z)
      if (type.in_zone[z] && (!s.zone || static_cast<int>(z) == only)) zones.insert(z);
  }
  if (zones.empty()) return 422;
  // At most half of what runs together may be in one zone: it takes two, and may not be in one.
  if (s.anti_affinity && at_once > 1 && (s.same_zone || zones.size() < 2)) return 422;
  return 0;
}

// The state of a job, from a read that began after the request came. `unknown` runs if the state
// service has never heard of it. This is the one place where a job's state is worked out.
void UserApi::answer_state(const ExchangePtr& ex, const std::string& id, bool counts,
                           const std::function<void()>& unknown, int tries) {
  // What is final stays so, and needs no fresh read.
  if (const auto* f = components_.job_results->final(id)) return answer_result(ex, id, *f, counts);
  if (tries == 0) return ex->send(unavailable());
  components_.state_store->linearizable_read(
      reply<bool>([this, ex, id, counts, unknown, tries](bool ok) {
        if (!ok) return ex->send(unavailable());
        const state::StateCache& world = components_.state_store->cache();
        if (const auto* j = world.job(id)) {
          auto [done, running] = world.progress(*j, jobs::kTasksPerChunk);
          auto s = running ? wire::JobState::running : wire::JobState::queued;
          return ex->send({200, wire::encode_job_state(id, s, done, running, counts), 0});
        }
        if (world.waiting(id)) return answer_waiting(ex, id, counts, unknown, tries);
        // Not live at the linearizable read: it is over already, or nobody knows it.
        components_.job_results->lookup(
            id, reply<JobResults::LookupResult>(
                    [this, ex, id, counts, unknown](JobResults::LookupResult found) {
                      if (found == JobResults::LookupResult::no) return unknown();
                      const auto* f = components_.job_results->final(id);
                      if (found == JobResults::LookupResult::unread || !f)
                        return ex->send(unavailable());
                      answer_result(ex, id, *f, counts);
                    }));
      }));
}

void UserApi::answer_result(const ExchangePtr& ex, const std::string& id,
                            const wire::JobResultRecord& f, bool counts) {
  auto s = f.cancelled ? wire::JobState::cancelled : wire::JobState::done;
  ex->send({200, wire::encode_job_state(id, s, f.cancelled ? 0 : f.tasks, 0, counts), 0});
}

// It follows from those before it, whoever owns its shard and however far its own record is
// behind: a job below a cancelled one has never started.
void UserApi::answer_waiting(const ExchangePtr& ex, const std::string& id, bool counts,
                             const std::function<void()>& unknown, int tries) {
  using Standing = jobs::DependencyGraph::DependencyState;
  components_.job_results->dependency_states(
      {id}, reply<JobResults::DependencyStates>([this, ex, id, counts, unknown,
                                                 tries](JobResults::DependencyStates s) {
        if (s.of[0] == Standing::unread)
          return components_.job_results->lookup_all(
              std::move(s.missing), reply<bool>([this, ex, id, counts, unknown, tries](bool read) {
                if (!read) return ex->send(unavailable());
                answer_state(ex, id, counts, unknown, tries - 1);
              }));
        auto state =
            s.of[0] == Standing::queued ? wire::JobState::queued : wire::JobState::cancelled;
        ex->send({200, wire::encode_job_state(id, state, 0, 0, counts), 0});
      }));
}

void UserApi::poll(const ExchangePtr& ex, const std::string& id) {
  answer_state(ex, id, true, [ex] { ex->send(error_response(404, "no such job")); });
}

void UserApi::submit(const ExchangePtr& ex) {
  wire::JobRecord r;
  try {
    r.spec = wire::decode_job(ex->body);
  } catch (const wire::Malformed& e) {
    // Under the name of a job that was accepted it is a retry, whatever its body is now.
    const std::string id = wire::job_id_of(ex->body);
    auto refuse = [ex, why = std::string(e.what())] { ex->send(error_response(400, why)); };
    return id.empty() ? refuse() : answer_state(ex, id, false, refuse);
  }
  ++submissions_;
  const std::string& id = r.spec.id;
  const state::StateCache& world = components_.state_store->cache();
  int status = never_runs(r.spec);
  if (status || components_.job_results->final(id) || world.job(id) || world.waiting(id)) {
    // A retry of a job that was accepted is never refused, whatever is thought of it now.
    return answer_state(ex, id, false, [ex, status] {
      // Unknown after all: gone between two looks cannot be, so this is a refusal or a race.
      if (status == 422) return ex->send(error_response(422, "this job can never run here"));
      ex->send(unavailable());
    });
  }
  if (!components_.state_store->fresh(kSubmitFresh)) {
    ++refused_;
    return ex->send(unavailable(2));
  }
  r.submitted_at = loop_.wall_now();
  check_dependencies(ex, std::move(r), 0);
}

// Every job that is named has to have been accepted. That is for good, so what the cache has seen
// will do; what it has not is looked for in two steps: by one read that begins now, for jobs that
// another node accepted an instant ago, and then among the final records, all at once.
void UserApi::check_dependencies(const ExchangePtr& ex, wire::JobRecord r, int look) {
  const state::StateCache& world = components_.state_store->cache();
  std::vector<std::string> open, unseen;
  bool cancelled = false;
  // A retry of a job that was accepted is never refused.
  auto refuse = [this, ex, id = r.spec.id](const std::string& why) {
    answer_state(ex, id, false, [ex, why] { ex->send(error_response(422, why)); });
  };
  for (const auto& a : r.spec.dependencies) {
    if (a == r.spec.id) return refuse("awaits names the job itself");
    const auto* live = world.job(a);
    if (!live) live = world.waiting(a);
    const auto* f = components_.job_results->final(a);
    if ((live && live->record.spec.service) || (f && f->service))
      return refuse("awaits names a service");
    if (f)
      cancelled |= f->cancelled;  // one that is done need not be awaited
    else if (live)
      open.push_back(a);
    else
      unseen.push_back(a);
  }
  if (!unseen.empty()) {
    if (look == 2) return refuse("awaits names a job that was never accepted");
    auto again = reply<bool>([this, ex, r, look](bool ok) {
      if (ok) return check_dependencies(ex, r, look + 1);
      ++refused_;
      ex->send(unavailable());
    });
    if (look == 0) return components_.state_store->linearizable_read(again);
    return components_.job_results->lookup_all(std::move(unseen), again);
  }
  if (open.empty() && !r.spec.dependencies.empty()) r.ready_at = r.submitted_at;
  r.spec.dependencies = std::move(open);
  accept(ex, r, cancelled);
}

void UserApi::accept(const ExchangePtr& ex, const wire::JobRecord& r, bool cancelled) {
  const std::string& id = r.spec.id;
  wire::JobResultRecord f;
  wire::Transaction t;
  t.preconditions = {
      {state::job_key(id), 0}, {state::waiting_key(id), 0}, {state::job_result_key(id), 0}};
  if (cancelled) {
    // A job that it names is cancelled: so is this one, from the start.
    f = wire::cancelled_record(r.spec, next_tag());
    t.ops.push_back({state::job_result_key(id), wire::encode_record(f), 0});
  } else {
    t.ops.push_back({r.spec.dependencies.empty() ? state::job_key(id) : state::waiting_key(id),
                     wire::encode_record(r), 0});
  }
  const std::size_t size = t.ops[0].value->size();
  // Another node may have accepted it under another body an instant ago.
  auto too_long = [this, ex, id] {
    answer_state(ex, id, false,
                 [ex] { ex->send(error_response(400, "the job's description is too long")); });
  };
  if (size > components_.state_client.limits().transaction_limits().value_bytes) return too_long();
  components_.state_store->commit(
      std::move(t), state::RequestPriority::user, kSubmitWait,
      reply<state::CommitResult>([this, ex, id, f, size, too_long](state::CommitResult c) {
        switch (c.kind) {
          case state::CommitResult::applied: {
            if (f.cancelled) components_.job_results->result_written(id, f);
            auto s = f.cancelled ? wire::JobState::cancelled : wire::JobState::queued;
            return ex->send({201, wire::encode_job_state(id, s, 0, 0, false), 0});
          }
          case state::CommitResult::precondition_failed:
            return answer_state(ex, id, false, [ex] { ex->send(unavailable()); });
          case state::CommitResult::too_large:
            if (size > components_.state_client.limits().transaction_limits().value_bytes)
              return too_long();
            [[fallthrough]];
          default:
            ++refused_;
            return ex->send(unavailable());
        }
      }));
}

void UserApi::cancel_request(const ExchangePtr& ex, const std::string& id, int tries) {
  if (tries == 0) return ex->send(unavailable());
  if (const auto* f = components_.job_results->final(id)) return answer_result(ex, id, *f, false);
  components_.state_store->linearizable_read(reply<bool>([this, ex, id, tries](bool ok) {
    if (!ok) return ex->send(unavailable());
    const state::StateCache& world = components_.state_store->cache();
    if (world.job(id)) return cancel(ex, id, tries);
    if (!world.waiting(id)) return cancel_completed(ex, id);
    components_.job_results->dependency_states(
        {id},
        reply<JobResults::DependencyStates>([this, ex, id, tries](JobResults::DependencyStates s) {
          // Cancelled already, with one before it.
          if (s.of[0] == jobs::DependencyGraph::DependencyState::cancelled)
            return cancelled(ex, id);
          cancel(ex, id, tries);
        }));
  }));
}

// Not live at the linearizable read: it is over, or nobody knows it. One that is accepted just now
// is called unknown, and not queued: that is no answer to a cancellation.
void UserApi::cancel_completed(const ExchangePtr& ex, const std::string& id) {
  components_.job_results->lookup(
      id, reply<JobResults::LookupResult>([this, ex, id](JobResults::LookupResult found) {
        if (found == JobResults::LookupResult::no)
          return ex->send(error_response(404, "no such job"));
        const auto* f = components_.job_results->final(id);
        if (found == JobResults::LookupResult::unread || !f) return ex->send(unavailable());
        answer_result(ex, id, *f, false);
      }));
}
void UserApi::cancelled(const ExchangePtr& ex, const std::string& id) {
  ex->send({200, wire::encode_job_state(id, wire::JobState::cancelled, 0, 0, false), 0});
}

// Done and cancelled race for the same keys: whichever commit comes first is the answer.
void UserApi::cancel(const ExchangePtr& ex, const std::string& id, int tries) {
  const state::StateCache& world = components_.state_store->cache();
  const bool waits = world.waiting(id) != nullptr;
  const state::JobEntry* j = waits ? world.waiting(id) : world.job(id);
  if (!j) return cancel_request(ex, id, tries - 1);
  wire::JobResultRecord f = wire::cancelled_record(j->record.spec, next_tag());
  const std::string key = waits ? state::waiting_key(id) : state::job_key(id);
  wire::Transaction t;
  t.preconditions = {{key, j->mod_revision}, {state::job_result_key(id), 0}};
  t.ops.push_back({key, std::nullopt, 0});
  t.ops.push_back({state::job_result_key(id), wire::encode_record(f), 0});
  components_.state_store->commit(
      std::move(t), state::RequestPriority::user, kSubmitWait,
      reply<state::CommitResult>([this, ex, id, f, tries](state::CommitResult c) {
        if (c.kind == state::CommitResult::applied) {
          components_.job_results->result_written(id, f);
          cancelled(ex, id);
        } else if (c.kind == state::CommitResult::precondition_failed) {
          cancel_request(ex, id, tries - 1);
        } else {
          ex->send(unavailable());
        }
      }));
}

// A team's live jobs, in id order.
void UserApi::team(const ExchangePtr& ex, const std::string& name) {
  int t = components_.settings.team_index(name);
  if (t < 0) return ex->send(error_response(404, "no such team"));
  std::string after = net::query_value(ex->query, "after");
  std::string limit_text = net::query_value(ex->query, "limit");
  std::size_t limit = 100;
  if (!limit_text.empty()) {
    if (limit_text.size() > 4 || limit_text.find_first_not_of("0123456789") != std::string::npos ||
        (limit = std::stoul(limit_text)) < 1 || limit > 500)
      return ex->send(error_response(400, "limit is from 1 to 500"));
  }
  if (!after.empty() && !wire::valid_job_id(after))
    return ex->send(error_response(400, "after is not a job id"));
  components_.state_store->linearizable_read(reply<bool>([this, ex, name, after, limit](bool ok) {
    if (!ok) return ex->send(unavailable());
    const state::StateCache& world = components_.state_store->cache();
    // Two lists in id order, merged: what may run, and what waits for other jobs.
    auto list = std::make_shared<std::vector<TeamJob>>();
    std::vector<std::string> waiting;
    bool more = false;
    auto ready = world.jobs().upper_bound(after);
    auto waits = world.waiting().upper_bound(after);
    while (ready != world.jobs().end() || waits != world.waiting().end()) {
      const bool from_waiting = ready == world.jobs().end() ||
                                (waits != world.waiting().end() && waits->first < ready->first);
      const state::JobEntry& j = from_waiting ? (waits++)->second : (ready++)->second;
      if (j.record.spec.team != name) continue;
      if (list->size() >= limit) {
        more = true;
        break;
      }
      list->push_back({j.record.spec, from_waiting, {}});
      if (from_waiting)
        waiting.push_back(j.record.spec.id);
      else
        list->back().progress = world.progress(j, jobs::kTasksPerChunk);
    }
    components_.job_results->dependency_states(
        std::move(waiting),
        reply<JobResults::DependencyStates>([ex, name, list, more](JobResults::DependencyStates s) {
          answer_team(ex, name, *list, s, more);
        }));
  }));
}

void UserApi::answer_team(const ExchangePtr& ex, const std::string& name,
                          const std::vector<TeamJob>& list, const JobResults::DependencyStates& s,
                          bool more) {
  nlohmann::json runs = nlohmann::json::array();
  std::size_t waiting = 0;
  for (const TeamJob& l : list) {
    wire::JobState state = l.progress.placed ? wire::JobState::running : wire::JobState::queued;
    if (l.waits) {
      auto standing = s.of[waiting++];
      // What was called cancelled must not be called queued: not before it has been read.
      if (standing == jobs::DependencyGraph::DependencyState::unread)
        return ex->send(unavailable());
      if (standing == jobs::DependencyGraph::DependencyState::cancelled)
        state = wire::JobState::cancelled;
    }
    runs.push_back({{"uid", l.spec.id},
                    {"consist", l.spec.job_class},
                    {"signal", wire::state_name(state)},
                    {"cars", l.spec.tasks},
                    {"done", l.progress.done},
                    {"running", l.progress.placed}});
    if (l.waits) runs.back()["awaits"] = l.spec.dependencies;
  }
  nlohmann::json body = {{"crew", name}, {"runs", std::move(runs)}, {"has_next", more}};
  ex->send({200, body.dump(), 0});
}

}  // namespace shunttrail::controller
