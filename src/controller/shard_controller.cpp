// One shard at this node: ownership, and what changes in the cache mean to its desk.
#include "controller/shard_controller.h"

#include <spdlog/spdlog.h>

#include "controller/cloud_manager.h"
#include "controller/schema_manager.h"
#include "controller/membership.h"
#include "controller/job_results.h"

namespace shunt::front {
namespace {
constexpr double kTurn = 0.04;  // what reports make possible is gathered so long
}  // namespace

Runner::Runner(actor::Loop& loop, Parts& parts, int shard)
    : Actor(loop), parts_(parts), shard_(shard), workers_(loop), turn_timer_(loop, [this] {
        post([this] { turn(); });
      }) {
  parts_.store->listen(reply<Changes>([this](Changes c) { changed(*c); }));
}

std::string Runner::next_tag() {
  return parts_.membership->tag(static_cast<char>('a' + shard_ % 20), ++tags_);
}

void Runner::tick() {
  post([this] {
    if (!desk_) return;
    desk_->tick(loop_.now());
    send_probes();
    turn();
  });
}
void Runner::consider() {
  post([this] { decide(); });
}
void Runner::urgency(std::string job, wire::Priority priority, double due) {
  post([this, job = std::move(job), priority, due] {
    if (desk_) desk_->job_urgency(job, priority, due);
    stir();
  });
}
void Runner::give(fleet::Gift gift) {
  post([this, gift = std::move(gift)] {
    if (desk_) desk_->give(gift);
    stir();
  });
}

// ---- the cloud's answers

void Runner::wants(bool returns, std::function<void(Wants)> then) {
  post([this, returns, then = std::move(then)] {
    Wants w;
    if (desk_) {
      w.born = desk_->born();
      if (returns) w.back = desk_->returns();
      w.rents = desk_->rent_wishes(loop_.now());
    }
    then(std::move(w));
  });
}
void Runner::rented(std::uint64_t born, fleet::RentWish w, std::vector<std::string> machines) {
  post([this, born, w = std::move(w), machines = std::move(machines)] {
    // Machines rented for a desk that is closed report, and are adopted.
    if (is(born)) desk_->rented(w, machines, loop_.now());
    stir();
  });
}
void Runner::refused(std::uint64_t born, fleet::RentWish w, bool no_capacity) {
  post([this, born, w = std::move(w), no_capacity] {
    if (is(born)) desk_->refused(w, 0, no_capacity, loop_.now());
    stir();
  });
}
void Runner::deleted(std::uint64_t born, std::vector<std::string> machines, bool ok) {
  post([this, born, machines = std::move(machines), ok] {
    for (const auto& name : machines) {
      if (ok) {
        workers_.erase(name);
        beyond_.erase(name);
        held_.erase(name);
        if (is(born)) desk_->machine_gone(name, loop_.now());
      } else if (is(born)) {
        desk_->return_failed(name);
      }
    }
    stir();
  });
}
void Runner::failed(std::string machine, bool unlisted) {
  post([this, machine = std::move(machine), unlisted] {
    if (desk_) desk_->machine_failed(machine, unlisted, loop_.now());
  });
}
void Runner::address(std::string machine, std::string addr) {
  post([this, machine = std::move(machine), addr = std::move(addr)] {
    if (desk_) desk_->machine_addr(machine, addr);
  });
}

// ---- what the cache says

void Runner::add_job(const std::string& id, const state::JobEntry& j, int team) {
  const double now = loop_.now(), wall = loop_.wall_now();
  desk_->job_added(j.record, team, parts_.store->world().done(id), now, wall);
  jobs::Urgency u = parts_.outcomes->pipelines().urgency(id, j.record);
  desk_->job_urgency(id, u.priority, now + (u.due - wall));
}
void Runner::add_machine(const wire::MachineRecord& m) {
  desk_->machine_known(m, loop_.now());
  if (const std::string* a = parts_.cloud->address(m.name)) desk_->machine_addr(m.name, *a);
}
void Runner::lose_machine(const std::string& name) {
  desk_->machine_moved(name, loop_.now());
  workers_.erase(name);
  beyond_.erase(name);
}

void Runner::changed(const std::vector<state::Change>& changes) {
  if (!desk_) return;
  const double now = loop_.now();
  const state::World& world = parts_.store->world();
  for (const auto& c : changes) {
    switch (c.kind) {
      case state::Change::job_set: {
        const auto* j = world.job(c.name);
        if (!j) break;
        int team = parts_.settings.team_index(j->record.spec.team);
        if (team >= 0 && parts_.settings.team_shard[team] == shard_) add_job(c.name, *j, team);
        break;
      }
      case state::Change::job_gone:
        desk_->job_gone(c.name, now);
        break;
      case state::Change::machine_set: {
        const auto* m = world.machine(c.name);
        if (!m || m->shard >= parts_.settings.shards()) break;
        if (m->shard == shard_)
          add_machine(*m);
        else
          lose_machine(c.name);
        break;
      }
      case state::Change::machine_gone:
        // Only what the cloud has deleted leaves the roster, or what has gone on to another part of
        // its page: such a machine is still there, and so are its tasks.
        if (!world.machine(c.name)) lose_machine(c.name);
        break;
      default:
        break;
    }
  }
  stir();
}

// ---- ownership

void Runner::decide() {
  const Store& store = *parts_.store;
  if (!store.loaded() || parts_.cloud->catalogue().empty()) return;
  const state::World& world = store.world();
  const double now = loop_.now();
  if (!parts_.levels->serves()) {
    if (desk_) close();
    return;
  }
  if (desk_ && world.owner(shard_).stamp != desk_->token()) {
    const auto& o = world.owner(shard_);
    if (o.node == parts_.settings.self && o.tag == raise_tag_)
      desk_->raise(o.stamp, now);
    else
      close();
  }
  if (moving_ || !store.fresh(parts_.settings.stale_s())) return;
  shard::Move m = parts_.membership->ownership().decide(world, shard_, now, spent_);
  if (m.kind == shard::Move::none) return;
  if (m.kind == shard::Move::act) {
    if (!desk_) open(m.token);
    if (desk_->wants_raise(now) && !desk_->txn_out()) raise();
    return;
  }
  if (m.kind == shard::Move::hand_over && desk_) {
    if (desk_->txn_out()) return;
    close();
  }
  const std::string& node =
      parts_.settings.nodes[m.kind == shard::Move::take ? parts_.settings.self : m.to];
  wire::Txn t;
  t.guards = m.guards;
  t.ops.push_back(
      {state::owner_key(shard_), wire::encode_record(wire::OwnerRecord{node, next_tag()}), 0});
  spdlog::info("shard {}: {} -> {}", shard_, m.kind == shard::Move::take ? "take" : "hand over",
               node);
  move(std::move(t));
}

// Lost a race, or not known: nothing is done before the state service has been read again. The
// owner's stamp tells; should the commit be applied later still, the guard on that stamp keeps it
// from undoing anything newer.
void Runner::move(wire::Txn t) {
  moving_ = true;
  parts_.store->settle(std::move(t), state::Urgency::safety, 3,
                       reply<state::CommitResult>([this](state::CommitResult r) {
                         moving_ = false;
                         // The token is acted on once all before it has been read.
                         if (r.kind == state::CommitResult::applied)
                           parts_.store->barrier(reply<bool>([this](bool) { decide(); }));
                         else
                           decide();
                       }));
}

void Runner::open(std::uint64_t token) {
  const double now = loop_.now();
  const state::World& world = parts_.store->world();
  desk_ = std::make_unique<fleet::Desk>(parts_.settings, parts_.tuning, parts_.cloud->catalogue(),
                                        shard_, token, now, token * 2654435761u + 17);
  for (const auto& [id, j] : world.jobs()) {
    int team = parts_.settings.team_index(j.record.spec.team);
    if (team >= 0 && parts_.settings.team_shard[team] == shard_) add_job(id, j, team);
  }
  for (const auto& [name, m] : world.machines())
    if (m.shard == shard_) add_machine(m);
  for (const auto& [n, sheet] : world.sheets(shard_)) desk_->inherit(n, sheet, now);
  spdlog::info("shard {}: acting under token {} {}", shard_, token, desk_->summary());
  desk_->tick(now);
  stir();
}

void Runner::close() {
  spdlog::info("shard {}: closing token {}", shard_, desk_->token());
  spent_ = desk_->token();
  for (auto& [m, h] : held_) h.ex->send({503, "{}", 0});
  held_.clear();
  beyond_.clear();
  workers_.clear();
  desk_.reset();
  txn_retry_ = false;
}

void Runner::raise() {
  raise_tag_ = next_tag();
  wire::Txn t;
  t.guards.emplace_back(state::owner_key(shard_), desk_->token());
  t.ops.push_back({state::owner_key(shard_),
                   wire::encode_record(wire::OwnerRecord{parts_.settings.node, raise_tag_}), 0});
  spdlog::info("shard {}: raising token {}", shard_, desk_->token());
  move(std::move(t));
}

// ---- turns

// Work that reports and changes made possible is done in turns: a thousand reports cost one.
void Runner::stir() {
  if (turn_armed_ || !desk_) return;
  turn_armed_ = true;
  turn_timer_.after(kTurn);
}
void Runner::turn() {
  turn_armed_ = false;
  if (!desk_) return;
  if (desk_->stirred()) desk_->turn(loop_.now());
  pump();
  flush_held();
  if (desk_ && desk_->stirred()) stir();
}

}  // namespace shunt::front
