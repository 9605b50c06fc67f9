#include "controller/job_results.h"

#include <spdlog/spdlog.h>

#include "controller/schema_manager.h"
#include "controller/membership.h"
#include "controller/shard_controller.h"

namespace shunt::front {
namespace {
constexpr std::size_t kFinalsKept = 4000;
constexpr std::size_t kReadsOut = 6;  // final records that are read ahead at the same time
constexpr double kReadGap = 0.2;      // after a read that failed
constexpr double kOwnersTime = 2;     // before others move what the owner should have
constexpr double kMoveGap = 0.3;      // after a move that failed
constexpr double kTurn = 0.04;        // what changes make possible is gathered so long
}  // namespace

Outcomes::Outcomes(actor::Loop& loop, Parts& parts)
    : Actor(loop),
      parts_(parts),
      pipelines_(parts.store->world()),
      turn_timer_(loop, [this] { post([this] { advance(); }); }) {
  parts_.store->listen(reply<Changes>([this](Changes c) { changed(*c); }));
}

void Outcomes::tick() {
  post([this] { advance(); });
}
void Outcomes::stir() {
  if (turn_armed_) return;
  turn_armed_ = true;
  turn_timer_.after(kTurn);
}

const wire::FinalRecord* Outcomes::final(const std::string& id) const {
  auto f = finals_.find(id);
  return f == finals_.end() ? nullptr : &f->second;
}

void Outcomes::ended(std::string id, wire::FinalRecord f) {
  post([this, id = std::move(id), f = std::move(f)] {
    remember(id, f);
    stir();
  });
}
void Outcomes::remember(const std::string& id, const wire::FinalRecord& f) {
  pipelines_.ended(id, f.cancelled);
  if (!finals_.emplace(id, f).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > kFinalsKept) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

void Outcomes::look(std::string id, std::function<void(Look)> then) {
  post([this, id = std::move(id), then = std::move(then)] { read(id, then); });
}
void Outcomes::read(const std::string& id, std::function<void(Look)> then) {
  if (finals_.contains(id)) return then(Look::yes);
  if (!reads_.want(id, then)) return then(Look::unread);
  ask();
}
void Outcomes::ask() {
  while (auto next = reads_.next()) {
    const std::string key = state::final_key(next->id);
    parts_.state.get(
        next->range ? wire::keys_path(state::kFinals, jobs::FinalReads::before(key)) : "/kv/" + key,
        state::Urgency::user, reply<net::Result>([this, ask = *next](net::Result r) {
          answered(ask, r);
          this->ask();
        }));
  }
}
void Outcomes::answered(const jobs::FinalReads::Ask& ask, const net::Result& r) {
  std::vector<std::string> found;
  bool more = false;
  try {
    if (!ask.range && r.status == 404) return reads_.answered(ask, found, more);
    if (r.status != 200) throw wire::Malformed("no answer");
    if (ask.range) {
      wire::KeyPage p = wire::decode_keys(r.body);
      more = p.more;
      for (const auto& e : p.items) {
        found.push_back(e.key.substr(std::string(state::kFinals).size()));
        // Only what is waited for is kept: the rest would push it out. One that cannot be read is
        // there all the same, and keeps no other from its answer.
        if (!e.value || !reads_.waits(found.back())) continue;
        try {
          remember(found.back(), wire::decode_final_record(*e.value));
        } catch (const wire::Malformed& bad) {
          spdlog::error("{}: {}", e.key, bad.what());
        }
      }
    } else {
      remember(ask.id, wire::decode_final_record(*wire::decode_key(r.body).value));
      found.push_back(ask.id);
    }
  } catch (const wire::Malformed&) {
    return reads_.failed(ask);
  }
  reads_.answered(ask, found, more);
}
void Outcomes::look_all(std::vector<std::string> ids, std::function<void(bool)> then) {
  if (ids.empty()) return then(true);
  post([this, ids = std::move(ids), then = std::move(then)] {
    auto left = std::make_shared<std::size_t>(ids.size());
    auto ok = std::make_shared<bool>(true);
    for (const auto& id : ids)
      read(id, [left, ok, then](Look f) {
        *ok &= f != Look::unread;
        if (--*left == 0) then(*ok);
      });
  });
}

// By message, and not read from another actor's turn: what the cache has told this actor comes
// before what is asked of it. A job below a cancelled one must not be called queued again.
void Outcomes::standings(std::vector<std::string> ids, std::function<void(Standings)> then) {
  post([this, ids = std::move(ids), then = std::move(then)] {
    Standings out;
    for (const auto& id : ids) out.of.push_back(pipelines_.standing(id, &out.missing));
    then(std::move(out));
  });
}

// ---- jobs that await others

void Outcomes::changed(const std::vector<state::Change>& changes) {
  for (const auto& c : changes) switch (c.kind) {
      case state::Change::job_set:
      case state::Change::job_gone:
      case state::Change::waiting_gone:
        pipelines_.note(c.name);
        break;
      case state::Change::waiting_set:
        pipelines_.note(c.name);
        // What it awaits may have ended, and been read for somebody else, before anything awaited
        // it: what is known is not read again.
        if (const auto* w = parts_.store->world().waiting(c.name))
          for (const auto& a : w->record.spec.awaits)
            if (const auto* f = final(a)) pipelines_.ended(a, f->cancelled);
        break;
      default:
        break;
    }
  note_urgencies();
  stir();
}

void Outcomes::note_urgencies() {
  const double now = loop_.now(), wall = loop_.wall_now();
  const state::World& world = parts_.store->world();
  for (const auto& id : pipelines_.take_changed()) {
    const auto* j = world.job(id);
    int team = j ? parts_.settings.team_index(j->record.spec.team) : -1;
    if (team < 0) continue;
    jobs::Urgency u = pipelines_.urgency(id, j->record);
    parts_.runner(parts_.settings.team_shard[team]).urgency(id, u.priority, now + (u.due - wall));
  }
}

// The owner of a job's shard moves it. If it does not, being dead, cut off or of a version that
// knows no such jobs, the others do, one after the other.
bool Outcomes::mine_to_move(const std::string& id) {
  const auto* j = parts_.store->world().waiting(id);
  if (!j) return false;
  double now = loop_.now();
  double since = move_since_.try_emplace(id, now).first->second;
  int team = parts_.settings.team_index(j->record.spec.team);
  if (team >= 0 && parts_.runner(parts_.settings.team_shard[team]).desk()) return true;
  return now - since > kOwnersTime + parts_.settings.self;
}

void Outcomes::advance() {
  turn_armed_ = false;
  const Store& store = *parts_.store;
  if (!store.loaded()) return;
  const double now = loop_.now();
  if (now >= read_after_)
    for (const auto& id : pipelines_.unread()) {
      if (reading_.size() >= kReadsOut) break;
      if (finals_.contains(id) || !reading_.insert(id).second) continue;
      read(id, [this, id](Look f) {
        reading_.erase(id);
        if (f != Look::yes) read_after_ = loop_.now() + kReadGap;
        stir();
      });
    }
  if (!store.fresh(parts_.settings.stale_s()) || !parts_.levels->serves()) return;
  move_waiting(true);
  move_waiting(false);
  if (move_since_.size() > 2 * (pipelines_.ready().size() + pipelines_.doomed().size()) + 16)
    std::erase_if(move_since_, [&](const auto& m) { return !store.world().waiting(m.first); });
}

// Several share a transaction; a cascade over thousands goes on at the rate that is left over.
void Outcomes::move_waiting(bool ready) {
  Mover& mover = ready ? readier_ : ender_;
  if (mover.out || loop_.now() < mover.after) return;
  jobs::Moves m =
      jobs::moves(parts_.store->world(), pipelines_, ready, parts_.state.limits().room(),
                  loop_.wall_now(), parts_.membership->tag('j', ++tags_),
                  [this](const std::string& id) { return mine_to_move(id); });
  if (m.txn.ops.empty()) return;
  mover.out = true;
  const std::size_t jobs = m.txn.ops.size() / 2;
  parts_.store->settle(std::move(m.txn), ready ? state::Urgency::work : state::Urgency::sweep, 3,
                       reply<state::CommitResult>([this, jobs, finals = std::move(m.finals),
                                                   &mover](state::CommitResult c) {
                         mover.out = false;
                         if (c.kind == state::CommitResult::applied) {
                           mover.moved += jobs;
                           for (const auto& [id, f] : finals) remember(id, f);
                         } else {
                           // Lost a race, or not known: what was read since decides anew.
                           mover.after = loop_.now() + kMoveGap;
                         }
                         stir();
                       }));
}

}  // namespace shunt::front
