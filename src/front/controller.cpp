#include "front/controller.h"

#include <spdlog/spdlog.h>

namespace shunt::front {
namespace {
constexpr double kTick = 0.2;
constexpr double kWatchGap = 0.15;    // between watches: changes come in bundles
constexpr double kBarrierGap = 0.06;  // between reads that polls wait for
constexpr double kCommitGap = 0.1;    // between two commits of a shard
constexpr double kTurn = 0.04;        // what reports make possible is gathered so long
constexpr int kWatchBlockMs = 1000;
}  // namespace

Controller::Controller(actor::Loop& loop, const config::Settings& s, const config::Tuning& t)
    : Actor(loop),
      settings_(s),
      tuning_(t),
      world_(s),
      ownership_(s),
      state_(loop, s),
      cloud_(loop, s),
      shards_(s.shards()),
      peer_news_(s.shards()),
      loads_(s.shards()),
      timer_(loop, [this] { post([this] { tick(); }); }),
      watch_timer_(loop, [this] { post([this] { watch_loop(); }); }),
      barrier_timer_(loop, [this] { post([this] { start_barrier(); }); }),
      turn_timer_(loop, [this] { post([this] { turn(); }); }) {
  for (const auto& n : settings_.nodes) {
    peers_.emplace_back();
    for (const auto& p : settings_.peers)
      if (p.node == n) peers_.back() = std::make_unique<net::Client>(loop, p.addr, 2, 4);
  }
  front_ = std::make_unique<net::Server>(
      loop, s.front, 64 * 1024, [this](ExchangePtr ex) { post([this, ex] { front(ex); }); });
  internal_ = std::make_unique<net::Server>(
      loop, s.internal, 64 * 1024, [this](ExchangePtr ex) { post([this, ex] { internal(ex); }); });
  post([this] { tick(); });
}

bool Controller::fresh(double within) const { return loaded_ && loop_.now() - fresh_at_ < within; }
std::string Controller::next_tag() {
  return settings_.node + "." + std::to_string(boot_) + "." + std::to_string(++tags_);
}

void Controller::tick() {
  double now = loop_.now();
  timer_.after(kTick);
  if (!loaded_ && !loading_) reload();
  if (catalogue_.empty() || now - types_at_ > 60) load_types();
  renew_hold();
  shards();
  for (int k = 0; k < settings_.shards(); ++k) {
    if (!shards_[k].desk) continue;
    shards_[k].desk->tick(now);
  }
  turn();
  rent_and_return();
  roster_pump();
  if (now > list_at_ && !list_busy_ && loaded_) list_machines("");
  if (now > peers_at_) peer_beats();
  if (now > log_at_) {
    log_at_ = now + 10;
    for (auto& s : shards_)
      if (s.desk) spdlog::info("desk {}", s.desk->summary());
    const auto cost = state_.cost();
    spdlog::info(
        "state service: {} answered 429, {:.1f} s waited, {:.1f} changes a second, {} queued; "
        "{} jobs wait for others, {} made ready, {} ended with them",
        cost.refused, cost.waited_s, cost.write_rate, state_.queued(), world_.waiting().size(),
        readier_.moved, ender_.moved);
  }
}

// ---- reading

void Controller::reload() {
  loading_ = true;
  load("", 0, {});
}
void Controller::load(std::string after, std::uint64_t revision, std::vector<wire::Event> items) {
  double began = loop_.now();
  state_.get(
      wire::keys_path(state::kRoot, after), state::Urgency::safety,
      reply<net::Result>([this, began, revision, items = std::move(items)](net::Result r) mutable {
        try {
          if (r.status != 200) throw wire::Malformed("status " + std::to_string(r.status));
          wire::KeyPage p = wire::decode_keys(r.body);
          // The first page's revision: what changes while the pages are read is read
          // again by the watch.
          if (!revision) revision = p.revision;
          for (auto& e : p.items) items.push_back(std::move(e));
          if (p.more && !p.items.empty()) {
            std::string last = items.back().key;
            load(last, revision, std::move(items));
            return;
          }
        } catch (const wire::Malformed& e) {
          spdlog::info("cannot read the state service: {}", e.what());
          loading_ = false;
          return;
        }
        std::vector<state::Change> changes;
        world_.replace(revision, items, changes);
        loading_ = false;
        loaded_ = true;
        fresh_at_ = std::max(fresh_at_, began);
        changed(changes);
        watch_loop();
      }));
}

void Controller::watch_loop() {
  if (watching_ || !loaded_) return;
  double now = loop_.now();
  if (now < next_watch_) {
    watch_timer_.after(next_watch_ - now);
    return;
  }
  watching_ = true;
  next_watch_ = now + kWatchGap;
  state_.watch(world_.revision(), kWatchBlockMs, reply<net::Result>([this, now](net::Result r) {
                 watching_ = false;
                 watched(now, r);
                 watch_loop();
               }));
}

void Controller::watched(double began, const net::Result& r) {
  if (r.status == 410) {
    loaded_ = false;
    spdlog::info("the watch is too old: reading all keys");
    return;
  }
  try {
    if (r.status != 200) throw wire::Malformed("status " + std::to_string(r.status));
    wire::WatchAnswer w = wire::decode_watch(r.body);
    std::vector<state::Change> changes;
    for (const auto& e : w.events) world_.apply(e, changes);
    world_.advance(w.revision);
    fresh_at_ = std::max(fresh_at_, began);
    watch_fail_ = 0;
    changed(changes);
  } catch (const wire::Malformed& e) {
    watch_fail_ = std::min(1.0, watch_fail_ * 2 + 0.1);
    next_watch_ = loop_.now() + watch_fail_;
    spdlog::debug("watch: {}", e.what());
  }
}

// A read that begins after now: whatever was committed before is known once it answers. Requests
// that come while one is out share the next one.
void Controller::barrier(std::function<void(bool)> then) {
  if (!loaded_) {
    then(false);
    return;
  }
  barrier_next_.push_back(std::move(then));
  if (!barrier_out_ && !barrier_armed_) {
    barrier_armed_ = true;
    barrier_timer_.after(0.004);
  }
}
void Controller::start_barrier() {
  barrier_armed_ = false;
  if (barrier_out_ || barrier_next_.empty()) return;
  barrier_out_ = true;
  auto waiting = std::make_shared<std::vector<std::function<void(bool)>>>();
  waiting->swap(barrier_next_);
  double began = loop_.now();
  state_.get(wire::watch_path(state::kRoot, world_.revision(), 0), state::Urgency::user,
             reply<net::Result>([this, waiting, began](net::Result r) {
               barrier_out_ = false;
               if (r.status == 200 || r.status == 410) watched(began, r);
               for (auto& w : *waiting) w(r.status == 200 && fresh_at_ >= began);
               if (!barrier_next_.empty()) {
                 barrier_armed_ = true;
                 barrier_timer_.after(kBarrierGap);
               }
             }));
}

void Controller::changed(const std::vector<state::Change>& changes) {
  double now = loop_.now();
  bool owners = false;
  for (const auto& c : changes) {
    switch (c.kind) {
      case state::Change::owner:
      case state::Change::node:
        owners = true;
        break;
      case state::Change::waiting_set:
      case state::Change::waiting_gone:
        pipelines_.note(c.name);
        break;
      case state::Change::job_set: {
        pipelines_.note(c.name);
        const auto* j = world_.job(c.name);
        if (!j) break;
        int team = settings_.team_index(j->record.spec.team);
        if (team < 0) break;
        if (auto& d = shards_[settings_.team_shard[team]].desk) add_job(*d, c.name, *j, team);
        break;
      }
      case state::Change::job_gone:
        pipelines_.note(c.name);
        for (auto& s : shards_)
          if (s.desk) s.desk->job_gone(c.name, now);
        break;
      case state::Change::machine_set: {
        const auto* m = world_.machine(c.name);
        if (!m || m->shard >= settings_.shards()) break;
        for (int k = 0; k < settings_.shards(); ++k) {
          auto& d = shards_[k].desk;
          if (!d) continue;
          if (k != m->shard) {
            d->machine_moved(c.name, now);
            continue;
          }
          d->machine_known(*m, now);
          if (auto a = addrs_.find(c.name); a != addrs_.end()) d->machine_addr(c.name, a->second);
        }
        break;
      }
      case state::Change::machine_gone:
        // Only what the cloud has deleted leaves the roster, or what has gone on to another part of
        // its page: such a machine is still there, and so are its tasks.
        if (world_.machine(c.name)) break;
        for (auto& s : shards_)
          if (s.desk) s.desk->machine_moved(c.name, now);
        break;
      default:
        break;
    }
  }
  note_urgencies();
  if (owners) shards();
  if (!changes.empty()) stir();
}

// Work that reports and changes made possible is done in turns: a thousand reports cost one.
void Controller::stir() {
  if (turn_armed_) return;
  turn_armed_ = true;
  turn_timer_.after(kTurn);
}
void Controller::turn() {
  turn_armed_ = false;
  double now = loop_.now();
  advance_pipelines();
  for (int k = 0; k < settings_.shards(); ++k) {
    if (!shards_[k].desk) continue;
    if (shards_[k].desk->stirred()) shards_[k].desk->turn(now);
    pump(k);
    flush_held(k);
    if (shards_[k].desk && shards_[k].desk->stirred()) stir();
  }
}

// ---- the key that shows this node alive

void Controller::renew_hold() {
  double now = loop_.now();
  if (hold_busy_ || !loaded_) return;
  if (!hold_) {
    hold_busy_ = true;
    state_.post("/holds", wire::encode_lease(tuning_.hold_s), state::Urgency::safety,
                reply<net::Result>([this](net::Result r) {
                  hold_busy_ = false;
                  try {
                    if (r.status != 200) return;
                    hold_ = wire::decode_lease(r.body);
                  } catch (const wire::Malformed&) {
                    return;
                  }
                  if (!boot_) boot_ = hold_;
                  renew_at_ = loop_.now() + tuning_.hold_s / 4;
                  register_node();
                }));
    return;
  }
  if (!world_.node_stamp(settings_.self)) register_node();
  if (now < renew_at_) return;
  hold_busy_ = true;
  renew_at_ = now + tuning_.hold_s / 4;
  state_.post("/holds/" + std::to_string(hold_) + "/renew", "", state::Urgency::safety,
              reply<net::Result>([this](net::Result r) {
                hold_busy_ = false;
                if (r.status == 404) hold_ = 0;
              }));
}

void Controller::register_node() {
  if (registering_ || !hold_) return;
  registering_ = true;
  wire::Txn t;
  t.ops.push_back(
      {state::node_key(settings_.node), "{\"boot\":" + std::to_string(boot_) + "}", hold_});
  state_.commit(t, state::Urgency::safety, 3,
                reply<state::CommitResult>([this, t](state::CommitResult r) {
                  registering_ = false;
                  if (r.kind == state::CommitResult::no_lease) hold_ = 0;
                  if (r.kind != state::CommitResult::applied) return;
                  ownership_.registered(r.revision);
                  apply_own(t, r.revision);
                  shards();
                }));
}

// ---- ownership

void Controller::shards() {
  if (!loaded_ || catalogue_.empty()) return;
  double now = loop_.now();
  ownership_.observe(world_, now);
  for (int k = 0; k < settings_.shards(); ++k) {
    Shard& s = shards_[k];
    if (s.desk && world_.owner(k).stamp != s.desk->token()) {
      const auto& o = world_.owner(k);
      if (o.node == settings_.self && o.tag == s.raise_tag)
        s.desk->raise(o.stamp, now);
      else
        close_desk(k);
    }
    if (s.moving || !fresh(settings_.stale_s())) continue;
    shard::Move m = ownership_.decide(world_, k, now);
    if (m.kind == shard::Move::none) continue;
    if (m.kind == shard::Move::act) {
      if (!s.desk) open_desk(k, m.token);
      if (s.desk->wants_raise(now) && !s.desk->txn_out()) raise(k);
      continue;
    }
    if (m.kind == shard::Move::hand_over && s.desk) {
      if (s.desk->txn_out()) continue;
      close_desk(k);
    }
    s.moving = true;
    int node = m.kind == shard::Move::take ? settings_.self : m.to;
    wire::Txn t;
    t.guards = m.guards;
    t.ops.push_back({state::owner_key(k),
                     wire::encode_record(wire::OwnerRecord{settings_.nodes[node], next_tag()}), 0});
    spdlog::info("shard {}: {} -> {}", k, m.kind == shard::Move::take ? "take" : "hand over",
                 settings_.nodes[node]);
    state_.commit(t, state::Urgency::safety, 3,
                  reply<state::CommitResult>(
                      [this, k, t](state::CommitResult r) { move_done(k, t, std::move(r)); }));
  }
}

void Controller::move_done(int k, const wire::Txn& t, state::CommitResult r) {
  if (r.kind == state::CommitResult::applied) {
    shards_[k].moving = false;
    apply_own(t, r.revision);
    barrier([this](bool) { shards(); });
    return;
  }
  // Lost a race, or not known: nothing is done before the state service has been read again. The
  // owner's stamp tells; should the commit be applied later still, the guard on that stamp keeps
  // it from undoing anything newer.
  barrier([this, k](bool) {
    shards_[k].moving = false;
    shards();
  });
}

void Controller::open_desk(int k, std::uint64_t token) {
  double now = loop_.now();
  Shard& s = shards_[k];
  s.desk = std::make_unique<fleet::Desk>(settings_, tuning_, catalogue_, k, token, now,
                                         token * 2654435761u + 17);
  for (const auto& [id, j] : world_.jobs()) {
    int team = settings_.team_index(j.record.spec.team);
    if (team >= 0 && settings_.team_shard[team] == k) add_job(*s.desk, id, j, team);
  }
  for (const auto& [name, m] : world_.machines()) {
    if (m.shard != k) continue;
    s.desk->machine_known(m, now);
    if (auto a = addrs_.find(name); a != addrs_.end()) s.desk->machine_addr(name, a->second);
  }
  for (const auto& [n, sheet] : world_.sheets(k)) s.desk->inherit(n, sheet, now);
  spdlog::info("shard {}: acting under token {} {}", k, token, s.desk->summary());
  s.desk->tick(now);
  stir();
}

void Controller::close_desk(int k) {
  Shard& s = shards_[k];
  spdlog::info("shard {}: closing token {}", k, s.desk->token());
  ownership_.spent(k, s.desk->token());
  for (auto& [m, h] : s.held) h.ex->send({503, "{}", 0});
  s.held.clear();
  s.desk.reset();
  s.txn_retry = false;
}

void Controller::raise(int k) {
  Shard& s = shards_[k];
  s.moving = true;
  s.raise_tag = next_tag();
  wire::Txn t;
  t.guards.emplace_back(state::owner_key(k), s.desk->token());
  t.ops.push_back({state::owner_key(k),
                   wire::encode_record(wire::OwnerRecord{settings_.node, s.raise_tag}), 0});
  spdlog::info("shard {}: raising token {}", k, s.desk->token());
  state_.commit(t, state::Urgency::safety, 3,
                reply<state::CommitResult>(
                    [this, k, t](state::CommitResult r) { move_done(k, t, std::move(r)); }));
}

// Starts go straight to machines that would not report soon.
void Controller::send_direct(int k) {
  Shard& s = shards_[k];
  if (!s.desk || s.moving) return;
  auto skip = [&](const std::string& name) { return s.held.contains(name); };
  for (auto& d : s.desk->direct_orders(fresh(5), skip, loop_.now())) {
    auto& c = workers_[d.machine];
    if (!c) {
      config::Endpoint to;
      auto colon = d.addr.rfind(':');
      if (colon != std::string::npos) {
        to.host = d.addr.substr(0, colon);
        to.port = static_cast<std::uint16_t>(std::atoi(d.addr.c_str() + colon + 1));
      }
      c = std::make_unique<net::Client>(loop_, to, 1, 4);
    }
    c->request("POST", "/orders", wire::encode_direct(s.desk->token(), d.session, d.commands), 2,
               reply<net::Result>([this, k, d](net::Result r) {
                 Shard& me = shards_[k];
                 if (!me.desk || !me.desk->has_machine(d.machine)) return;
                 me.desk->direct_done(d, r.status);
                 if (r.status != 200 && r.status != 409) return;
                 try {
                   me.desk->report(wire::decode_report(r.body), loop_.now(), true);
                 } catch (const wire::Malformed& e) {
                   ++garbage_;
                 }
                 pump(k);
               }));
  }
}

// ---- group commits

void Controller::apply_own(const wire::Txn& t, std::uint64_t revision) {
  std::vector<state::Change> changes;
  for (const auto& op : t.ops)
    if (op.key.starts_with(state::kRoot)) world_.apply({op.key, op.value, revision}, changes);
  changed(changes);
}

void Controller::pump(int k) {
  Shard& s = shards_[k];
  if (!s.desk || !loaded_) return;
  send_direct(k);
  double now = loop_.now();
  if (s.moving) return;
  if (now < s.txn_after) return stir();
  if (s.txn_retry) {
    s.txn_retry = false;
  } else {
    if (s.desk->txn_out()) return;
    // A token is raised between transactions: a busy desk would never be without one, and machines
    // that came from another shard would stand idle until it was.
    if (s.desk->wants_raise(now)) return shards();
    // Not before it can be sent: urgent starts would wait behind a transaction that waits for the
    // rate, and twice as many would be made.
    state::Room size = state_.limits().room();
    const std::size_t budget = state_.writes_now(state::Urgency::work);
    if (budget < state::kLeastWrites) return stir();
    size.ops = std::min(size.ops, budget);
    s.tag = next_tag();
    auto t = s.desk->next_txn(world_, size, s.tag, now);
    if (!t) return;
    s.txn = std::move(*t);
  }
  // Every controller reads every change: a little patience makes them fewer and fuller.
  s.txn_after = now + kCommitGap;
  state_.commit(s.txn, state::Urgency::work, 5,
                reply<state::CommitResult>([this, k, born = s.desk->born()](state::CommitResult r) {
                  txn_done(k, born, std::move(r));
                }));
}

void Controller::txn_done(int k, std::uint64_t born, state::CommitResult r) {
  Shard& s = shards_[k];
  if (!s.desk || s.desk->born() != born || !s.desk->txn_out()) return;
  switch (r.kind) {
    case state::CommitResult::applied:
      txn_settled(k, true, r.revision);
      return;
    case state::CommitResult::guard_failed:
    case state::CommitResult::too_large: {
      // Either a guard has changed under us, or the limits have fallen, or this is the second copy
      // of a transaction whose first answer was lost: the tag on what it wrote tells. What was not
      // carried out is made anew, in a size that is taken now.
      const wire::Txn::Op* set = nullptr;
      for (const auto& op : s.txn.ops)
        if (op.value) set = &op;
      std::string key = set ? set->key : s.txn.ops.front().key;
      bool dropped = !set;
      state_.get("/kv/" + key, state::Urgency::work,
                 reply<net::Result>([this, k, born, dropped](net::Result g) {
                   Shard& me = shards_[k];
                   if (!me.desk || me.desk->born() != born || !me.desk->txn_out()) return;
                   if (g.status == 404) {
                     txn_settled(k, false, 0);
                     return;
                   }
                   try {
                     if (g.status != 200) throw wire::Malformed("no answer");
                     wire::Event e = wire::decode_key(g.body);
                     bool ours = !dropped && e.value &&
                                 e.value->find("\"" + me.tag + "\"") != std::string::npos;
                     txn_settled(k, ours, e.stamp);
                   } catch (const wire::Malformed&) {
                     me.txn_retry = true;
                     me.txn_after = loop_.now() + 0.3;
                   }
                 }));
      return;
    }
    default:
      // Not executed, or no answer. The same transaction again: its guards let it be applied once.
      s.txn_retry = true;
      s.txn_after = loop_.now() + 0.3;
      return;
  }
}

void Controller::txn_settled(int k, bool applied, std::uint64_t revision) {
  Shard& s = shards_[k];
  double now = loop_.now();
  if (applied) {
    wire::Txn t = std::move(s.txn);
    s.desk->txn_applied(now);
    for (const auto& op : t.ops)
      if (op.key.starts_with("fin/") && op.value)
        remember_final(op.key.substr(4), wire::decode_final_record(*op.value));
    apply_own(t, revision);
    if (!shards_[k].desk) return;
    flush_held(k);
    pump(k);
    return;
  }
  // Before the next try, what made it fail has to be known.
  barrier([this, k, born = s.desk->born()](bool ok) {
    Shard& me = shards_[k];
    if (!me.desk || me.desk->born() != born || !me.desk->txn_out()) return;
    if (!ok) {
      me.txn_retry = true;
      me.txn_after = loop_.now() + 0.3;
      return;
    }
    me.desk->txn_failed(loop_.now());
    pump(k);
  });
}

}  // namespace shunt::front
