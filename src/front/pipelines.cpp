// Jobs that await others: their way from waiting to ready, or to cancelled, through the state
// service. Any controller may move one; its shard's owner does so first.
#include <spdlog/spdlog.h>

#include <cmath>

#include "front/controller.h"

namespace shunt::front {
namespace {
constexpr std::size_t kReadsOut = 6;     // final records that are read ahead at the same time
constexpr std::size_t kReadsAsked = 64;  // for one answer
constexpr double kReadGap = 0.2;         // after a read that failed
constexpr double kOwnersTime = 2;        // before others move what the owner should have
constexpr double kMoveGap = 0.3;         // after a move that failed
}  // namespace

void Controller::read_final(const std::string& id, std::function<void(Final)> then) {
  if (finals_.contains(id)) return then(Final::found);
  state_.get("/kv/" + state::final_key(id), state::Urgency::user,
             reply<net::Result>([this, id, then = std::move(then)](net::Result r) {
               if (r.status == 404) return then(Final::none);
               try {
                 if (r.status != 200) throw wire::Malformed("no answer");
                 remember_final(id, wire::decode_final_record(*wire::decode_key(r.body).value));
               } catch (const wire::Malformed&) {
                 return then(Final::not_read);
               }
               then(Final::found);
             }));
}

// All of them at the same time; `then` learns whether all were answered, found or not.
void Controller::read_finals(const std::vector<std::string>& ids, std::function<void(bool)> then) {
  if (ids.size() > kReadsAsked * 2) return then(false);
  auto left = std::make_shared<std::size_t>(ids.size());
  auto ok = std::make_shared<bool>(true);
  if (ids.empty()) return then(true);
  for (const auto& id : ids)
    read_final(id, [left, ok, then](Final f) {
      *ok &= f != Final::not_read;
      if (--*left == 0) then(*ok);
    });
}

void Controller::add_job(fleet::Desk& desk, const std::string& id, const state::JobEntry& j,
                         int team) {
  const double now = loop_.now(), wall = loop_.wall_now();
  desk.job_added(j.record, team, world_.done(id), now, wall);
  jobs::Urgency u = pipelines_.urgency(id, j.record);
  desk.job_urgency(id, u.priority, now + (u.due - wall));
}

void Controller::note_urgencies() {
  const double now = loop_.now(), wall = loop_.wall_now();
  for (const auto& id : pipelines_.take_changed()) {
    const auto* j = world_.job(id);
    int team = j ? settings_.team_index(j->record.spec.team) : -1;
    if (team < 0) continue;
    auto& d = shards_[settings_.team_shard[team]].desk;
    if (!d) continue;
    jobs::Urgency u = pipelines_.urgency(id, j->record);
    d->job_urgency(id, u.priority, now + (u.due - wall));
  }
}

// The owner of a job's shard moves it. If it does not, being dead, cut off or of a version that
// knows no such jobs, the others do, one after the other.
bool Controller::mine_to_move(const std::string& id) {
  const auto* j = world_.waiting(id);
  if (!j) return false;
  double now = loop_.now();
  double since = move_since_.try_emplace(id, now).first->second;
  int team = settings_.team_index(j->record.spec.team);
  if (team >= 0 && shards_[settings_.team_shard[team]].desk) return true;
  return now - since > kOwnersTime + settings_.self;
}

void Controller::advance_pipelines() {
  if (!loaded_) return;
  const double now = loop_.now();
  if (now >= read_after_)
    for (const auto& id : pipelines_.unread()) {
      if (reading_.size() >= kReadsOut) break;
      if (finals_.contains(id) || !reading_.insert(id).second) continue;
      read_final(id, [this, id](Final f) {
        reading_.erase(id);
        if (f != Final::found) read_after_ = loop_.now() + kReadGap;
        stir();
      });
    }
  if (!fresh(settings_.stale_s())) return;
  move_waiting(true);
  move_waiting(false);
  if (move_since_.size() > 2 * (pipelines_.ready().size() + pipelines_.doomed().size()) + 16)
    std::erase_if(move_since_, [&](const auto& m) { return !world_.waiting(m.first); });
}

// Several share a transaction; a cascade over thousands goes on at the rate that is left over.
void Controller::move_waiting(bool ready) {
  Mover& mover = ready ? readier_ : ender_;
  if (mover.out || loop_.now() < mover.after) return;
  jobs::Moves m =
      jobs::moves(world_, pipelines_, ready, state_.limits().room(), loop_.wall_now(), next_tag(),
                  [this](const std::string& id) { return mine_to_move(id); });
  if (m.txn.ops.empty()) return;
  mover.out = true;
  state_.commit(m.txn, ready ? state::Urgency::work : state::Urgency::sweep, 3,
                reply<state::CommitResult>([this, m, &mover](state::CommitResult c) {
                  if (c.kind == state::CommitResult::applied) {
                    mover.out = false;
                    mover.moved += m.txn.ops.size() / 2;
                    for (const auto& [id, f] : m.finals) remember_final(id, f);
                    apply_own(m.txn, c.revision);
                    stir();
                    return;
                  }
                  // Lost a race, or not known: read again, and decide anew.
                  mover.after = loop_.now() + kMoveGap;
                  barrier([this, &mover](bool) {
                    mover.out = false;
                    stir();
                  });
                }));
}

}  // namespace shunt::front
