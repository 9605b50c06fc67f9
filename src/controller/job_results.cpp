#include "controller/job_results.h"

#include <spdlog/spdlog.h>

#include "controller/membership.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
// A cache of the latest ends of jobs: one that is not in it is read from the state service, so more
// jobs cost reads and lose nothing.
constexpr std::size_t kFinalsKept = 4000;
constexpr std::size_t kReadsOut = 6;  // final records that are read ahead at the same time
constexpr double kReadGap = 0.2;      // after a read that failed
constexpr double kOwnersTime = 2;     // before others move what the owner should have
constexpr double kMoveGap = 0.3;      // after a move that failed
constexpr double kTurn = 0.04;        // what changes make possible is gathered so long
}  // namespace

JobResults::JobResults(actor::Loop& loop, ControllerComponents& parts)
    : Actor(loop),
      components_(parts),
      dependencies_(parts.state_store->cache()),
      advance_timer_(loop, [this] { post([this] { advance(); }); }) {
  components_.state_store->listen(reply<Changes>([this](Changes c) { changed(*c); }));
}

void JobResults::tick() {
  post([this] { advance(); });
}
void JobResults::schedule_advance() {
  if (advance_armed_) return;
  advance_armed_ = true;
  advance_timer_.after(kTurn);
}

const wire::JobResultRecord* JobResults::final(const std::string& id) const {
  auto f = results_.find(id);
  return f == results_.end() ? nullptr : &f->second;
}

void JobResults::result_written(std::string id, wire::JobResultRecord f) {
  post([this, id = std::move(id), f = std::move(f)] {
    remember(id, f);
    schedule_advance();
  });
}
void JobResults::remember(const std::string& id, const wire::JobResultRecord& f) {
  dependencies_.job_ended(id, f.cancelled);
  if (!results_.emplace(id, f).second) return;
  results_by_age_.push_back(id);
  if (results_by_age_.size() > kFinalsKept) {
    results_.erase(results_by_age_.front());
    results_by_age_.pop_front();
  }
}

void JobResults::lookup(std::string id, std::function<void(LookupResult)> then) {
  post([this, id = std::move(id), then = std::move(then)] { read(id, then); });
}
void JobResults::read(const std::string& id, std::function<void(LookupResult)> then) {
  if (results_.contains(id)) return then(LookupResult::yes);
  if (!reader_.request(id, then)) return then(LookupResult::unread);
  read_next();
}
void JobResults::read_next() {
  while (auto next = reader_.next()) {
    const std::string key = state::job_result_key(next->id);
    components_.state_client.get(
        next->range ? wire::keys_path(state::kJobResults, jobs::ResultReader::key_before(key))
                    : "/kv/" + key,
        state::RequestPriority::user, reply<net::Result>([this, ask = *next](net::Result r) {
          read_answered(ask, r);
          this->read_next();
        }));
  }
}
void JobResults::read_answered(const jobs::ResultReader::Read& ask, const net::Result& r) {
  std::vector<std::string> found;
  bool more = false;
  try {
    if (!ask.range && r.status == 404) return reader_.answered(ask, found, more);
    if (r.status != 200) throw wire::Malformed("no answer");
    if (ask.range) {
      wire::KeyPage p = wire::decode_keys(r.body);
      more = p.more;
      for (const auto& e : p.items) {
        found.push_back(e.key.substr(std::string(state::kJobResults).size()));
        // Only what is waited for is kept: the rest would push it out. One that cannot be read is
        // there all the same, and keeps no other from its answer.
        if (!e.value || !reader_.is_waiting(found.back())) continue;
        try {
          remember(found.back(), wire::decode_job_result(*e.value));
        } catch (const wire::Malformed& bad) {
          spdlog::error("{}: {}", e.key, bad.what());
        }
      }
    } else {
      remember(ask.id, wire::decode_job_result(*wire::decode_key(r.body).value));
      found.push_back(ask.id);
    }
  } catch (const wire::Malformed&) {
    return reader_.failed(ask);
  }
  reader_.answered(ask, found, more);
}
void JobResults::lookup_all(std::vector<std::string> ids, std::function<void(bool)> then) {
  if (ids.empty()) return then(true);
  post([this, ids = std::move(ids), then = std::move(then)] {
    auto left = std::make_shared<std::size_t>(ids.size());
    auto ok = std::make_shared<bool>(true);
    for (const auto& id : ids)
      read(id, [left, ok, then](LookupResult f) {
        *ok &= f != LookupResult::unread;
        if (--*left == 0) then(*ok);
      });
  });
}

// By message, and not read from another actor's turn: what the cache has told this actor comes
// before what is asked of it. A job below a cancelled one must not be called queued again.
void JobResults::dependency_states(std::vector<std::string> ids,
                                   std::function<void(DependencyStates)> then) {
  post([this, ids = std::move(ids), then = std::move(then)] {
    DependencyStates out;
    for (const auto& id : ids) out.of.push_back(dependencies_.state_of(id, &out.missing));
    then(std::move(out));
  });
}

// ---- jobs that await others

void JobResults::changed(const std::vector<state::Change>& changes) {
  for (const auto& c : changes) switch (c.kind) {
      case state::Change::job_set:
      case state::Change::job_gone:
      case state::Change::waiting_gone:
        dependencies_.key_changed(c.name);
        break;
      case state::Change::waiting_set:
        dependencies_.key_changed(c.name);
        // What it awaits may have ended, and been read for somebody else, before anything awaited
        // it: what is known is not read again.
        if (const auto* w = components_.state_store->cache().waiting(c.name))
          for (const auto& a : w->record.spec.dependencies)
            if (const auto* f = final(a)) dependencies_.job_ended(a, f->cancelled);
        break;
      default:
        break;
    }
  send_effective_priorities();
  schedule_advance();
}

void JobResults::send_effective_priorities() {
  const double now = loop_.now(), wall = loop_.wall_now();
  const state::StateCache& world = components_.state_store->cache();
  for (const auto& id : dependencies_.take_changed()) {
    const auto* j = world.job(id);
    int team = j ? components_.settings.team_index(j->record.spec.team) : -1;
    if (team < 0) continue;
    jobs::EffectivePriority u = dependencies_.effective_priority(id, j->record);
    components_.shard_controller(components_.settings.team_shard[team])
        .set_effective_priority(id, u.priority, now + (u.due - wall));
  }
}

// The owner of a job's shard moves it. If it does not, being dead, cut off or of a version that
// knows no such jobs, the others do, one after the other.
bool JobResults::may_move(const std::string& id) {
  const auto* j = components_.state_store->cache().waiting(id);
  if (!j) return false;
  double now = loop_.now();
  double since = move_since_.try_emplace(id, now).first->second;
  int team = components_.settings.team_index(j->record.spec.team);
  if (team >= 0 && components_.shard_controller(components_.settings.team_shard[team]).scheduler())
    return true;
  return now - since > kOwnersTime + components_.settings.self;
}

void JobResults::advance() {
  advance_armed_ = false;
  const StateStore& store = *components_.state_store;
  if (!store.loaded()) return;
  const double now = loop_.now();
  if (now >= read_after_)
    for (const auto& id : dependencies_.unread()) {
      if (reading_.size() >= kReadsOut) break;
      if (results_.contains(id) || !reading_.insert(id).second) continue;
      read(id, [this, id](LookupResult f) {
        reading_.erase(id);
        if (f != LookupResult::yes) read_after_ = loop_.now() + kReadGap;
        schedule_advance();
      });
    }
  if (!store.fresh(components_.settings.staleness_bound_s()) || !components_.schema->may_serve())
    return;
  move_waiting(true);
  move_waiting(false);
  if (move_since_.size() > 2 * (dependencies_.ready().size() + dependencies_.doomed().size()) + 16)
    std::erase_if(move_since_, [&](const auto& m) { return !store.cache().waiting(m.first); });
}

// Several share a transaction; a cascade over thousands goes on at the rate that is left over.
void JobResults::move_waiting(bool ready) {
  TransitionWriter& mover = ready ? ready_writer_ : cancelled_writer_;
  if (mover.in_flight || loop_.now() < mover.not_before) return;
  jobs::StateTransitions m =
      jobs::state_transitions(components_.state_store->cache(), dependencies_, ready,
                              components_.state_client.limits().transaction_limits(),
                              loop_.wall_now(), components_.membership->tag('j', ++tags_),
                              [this](const std::string& id) { return may_move(id); });
  if (m.txn.ops.empty()) return;
  mover.in_flight = true;
  const std::size_t jobs = m.txn.ops.size() / 2;
  components_.state_store->resolve_unknown_commit(
      std::move(m.txn), ready ? state::RequestPriority::work : state::RequestPriority::sweep, 3,
      reply<state::CommitResult>(
          [this, jobs, finals = std::move(m.results), &mover](state::CommitResult c) {
            mover.in_flight = false;
            if (c.kind == state::CommitResult::applied) {
              mover.moved += jobs;
              for (const auto& [id, f] : finals) remember(id, f);
            } else {
              // Lost a race, or not known: what was read since decides anew.
              mover.not_before = loop_.now() + kMoveGap;
            }
            schedule_advance();
          }));
}

}  // namespace shunttrail::controller
