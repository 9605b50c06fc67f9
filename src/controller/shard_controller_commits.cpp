// One shard at this node: reports and their answers, direct orders, and the desk's transactions.
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "controller/membership.h"
#include "controller/job_results.h"
#include "controller/shard_controller.h"

namespace shunt::front {
namespace {
constexpr double kCommitGap = 0.1;  // between two commits of a shard
constexpr double kRetry = 0.3;      // before a transaction whose fate is not known is sent again
constexpr double kStartFresh = 5;   // a start needs a read of the state service at most this old
constexpr double kTxnWithin = 5;    // a transaction that could not be sent by then is made anew
constexpr std::size_t kDirectShare = 4;  // of the sockets, one in so many is for direct orders
constexpr double kDirectWithin = 2;      // for an answer to a direct order
constexpr double kProbeWithin = 1;       // for a machine's state
}  // namespace

// ---- reports

void Runner::report(net::ExchangePtr ex, wire::Report r, bool passed_on) {
  post([this, ex, r = std::move(r), passed_on] {
    if (passed_on)
      beyond_[r.machine] = loop_.now() + 3 * parts_.settings.report_s;
    else
      beyond_.erase(r.machine);
    take_report(ex, r);
  });
}

void Runner::take_report(const net::ExchangePtr& ex, const wire::Report& r) {
  const state::World& world = parts_.store->world();
  if (!desk_) {
    int owner = world.owner(shard_).node;
    std::string to =
        owner >= 0 && owner != parts_.settings.self ? parts_.settings.nodes[owner] : "";
    return ex->send({421, wire::encode_redirect(to), 0});
  }
  const double now = loop_.now();
  if (r.token > desk_->token()) {
    // It has obeyed a newer owner than this node knows of, or came from another shard whose token
    // is higher. Look again before acting; if this node still is the owner, it raises its token.
    parts_.store->barrier(reply<bool>([this, name = r.machine, seen = r.token](bool ok) {
      decide();
      if (ok && desk_ && desk_->has_machine(name) && seen > desk_->token() &&
          seen <= parts_.store->world().revision())
        desk_->outranked();
    }));
    return ex->send({421, "{}", 0});
  }
  auto heard = desk_->report(r, now);
  if (heard == fleet::Desk::Heard::unknown) return ex->send({503, "{}", 0});
  if (heard == fleet::Desk::Heard::older)
    // Overtaken by the answer to a direct order: it tells nothing new, and keeps the lease. So it
    // is told what has to end: this may be the last answer that the worker hears.
    return ex->send(
        desk_->unsettled(r.machine)
            ? net::Answer{503, "{}", 0}
            : net::Answer{200, wire::encode_orders(desk_->token(), desk_->stops(r.machine)), 0});
  if (auto h = held_.find(r.machine); h != held_.end()) {
    h->second.ex->send({503, "{}", 0});
    held_.erase(h);
  }
  stir();
  if (desk_->awaits_commit(r.machine) && parts_.tuning.reply_hold_s > 0)
    held_[r.machine] = {ex, now + parts_.tuning.reply_hold_s};
  else
    answer(r.machine, ex);
}

void Runner::answer(const std::string& machine, const net::ExchangePtr& ex) {
  // A cancelled task that may still be started there must not find a lease that this answer has
  // renewed: not before the token is raised, or the order answered.
  if (desk_->unsettled(machine)) return ex->send({503, "{}", 0});
  auto commands = desk_->orders(machine, parts_.store->fresh(kStartFresh), loop_.now());
  ex->send({200, wire::encode_orders(desk_->token(), commands), 0});
}

void Runner::flush_held() {
  if (!desk_) return;
  double now = loop_.now();
  for (auto it = held_.begin(); it != held_.end();) {
    if (now < it->second.until && desk_->awaits_commit(it->first)) {
      ++it;
      continue;
    }
    answer(it->first, it->second.ex);
    it = held_.erase(it);
  }
}

// Starts go straight to machines that would not report soon.
void Runner::send_direct() {
  if (!desk_ || moving_) return;
  auto skip = [&](const std::string& name) {
    auto b = beyond_.find(name);
    return held_.contains(name) || (b != beyond_.end() && b->second > loop_.now());
  };
  for (auto& d : desk_->direct_orders(parts_.store->fresh(kStartFresh), skip, loop_.now())) {
    net::Client& c = worker(d.machine, d.addr);
    c.request("POST", "/orders", wire::encode_direct(desk_->token(), d.session, d.commands),
              kDirectWithin, reply<net::Result>([this, d](net::Result r) {
                if (!desk_ || !desk_->has_machine(d.machine)) return;
                desk_->direct_done(d, r.status);
                if (r.status != 200 && r.status != 409) return;
                try {
                  desk_->report(wire::decode_report(r.body), loop_.now(), true);
                } catch (const wire::Malformed& e) {
                  ++garbage_;
                  spdlog::info("garbage from {}: {}", d.machine, e.what());
                }
                pump();
              }));
  }
}

// A silent machine is asked whether it lives. Nothing is concluded while this node may be the one
// that is cut off.
void Runner::send_probes() {
  if (!desk_ || !parts_.store->fresh(kStartFresh)) return;
  for (const auto& p : desk_->probes(loop_.now()))
    worker(p.machine, p.addr)
        .request("GET", "/status", "", kProbeWithin,
                 reply<net::Result>([this, born = desk_->born(), p](net::Result r) {
                   if (is(born)) desk_->probed(p.machine, r.status == 200, loop_.now());
                 }));
}

// All desks here share a quarter of the sockets: one controller that holds every shard still has
// them for every worker's report and every user.
net::Client& Runner::worker(const std::string& machine, const std::string& addr) {
  std::size_t desks = 0;
  for (const auto& r : parts_.runners) desks += r->desk() != nullptr;
  const std::size_t most = std::max<std::size_t>(
      1, static_cast<std::size_t>(parts_.settings.max_sockets) / kDirectShare / desks);
  config::Endpoint to;
  auto colon = addr.rfind(':');
  if (colon != std::string::npos) {
    to.host = addr.substr(0, colon);
    to.port = static_cast<std::uint16_t>(std::atoi(addr.c_str() + colon + 1));
  }
  return workers_.at(machine, to, most);
}

// ---- group commits

void Runner::pump() {
  if (!desk_ || !parts_.store->loaded()) return;
  send_direct();
  double now = loop_.now();
  if (moving_) return;
  if (now < txn_after_) return stir();
  if (txn_retry_) {
    txn_retry_ = false;
  } else {
    if (desk_->txn_out()) return;
    // A token is raised between transactions: a busy desk would never be without one, and machines
    // that came from another shard would stand idle until it was.
    if (desk_->wants_raise(now)) return decide();
    // Not before it can be sent: urgent starts would wait behind a transaction that waits for the
    // rate, and twice as many would be made.
    state::Room size = parts_.state.limits().room();
    const std::size_t budget = parts_.state.writes_now(state::Urgency::work);
    if (budget < state::kLeastWrites) return stir();
    size.ops = std::min(size.ops, budget);
    tag_ = next_tag();
    auto t = desk_->next_txn(parts_.store->world(), size, tag_, now);
    if (!t) return;
    txn_ = std::move(*t);
  }
  // Every controller reads every change: a little patience makes them fewer and fuller.
  txn_after_ = now + kCommitGap;
  parts_.store->commit(
      txn_, state::Urgency::work, kTxnWithin,
      reply<state::CommitResult>([this, born = desk_->born()](state::CommitResult r) {
        if (is(born) && desk_->txn_out()) txn_done(born, std::move(r));
      }));
}

void Runner::again_later() {
  txn_retry_ = true;
  txn_after_ = loop_.now() + kRetry;
}

void Runner::txn_done(std::uint64_t born, state::CommitResult r) {
  switch (r.kind) {
    case state::CommitResult::applied:
      return txn_settled(true);
    case state::CommitResult::guard_failed:
    case state::CommitResult::too_large:
      return look_up(born);
    default:
      // Not executed, or no answer. The same transaction again: its guards let it be applied once.
      return again_later();
  }
}

// Either a guard has changed under us, or the limits have fallen, or this is the second copy of a
// transaction whose first answer was lost: the tag on what it wrote tells. What was not carried out
// is made anew, in a size that is taken now.
void Runner::look_up(std::uint64_t born) {
  const wire::Txn::Op* set = nullptr;
  for (const auto& op : txn_.ops)
    if (op.value) set = &op;
  std::string key = set ? set->key : txn_.ops.front().key;
  bool dropped = !set;
  parts_.state.get(
      "/kv/" + key, state::Urgency::work, reply<net::Result>([this, born, dropped](net::Result g) {
        if (!is(born) || !desk_->txn_out()) return;
        if (g.status == 404) return txn_settled(false);
        try {
          if (g.status != 200) throw wire::Malformed("no answer");
          wire::Event e = wire::decode_key(g.body);
          bool ours = !dropped && e.value && e.value->find("\"" + tag_ + "\"") != std::string::npos;
          if (!ours) return txn_settled(false);
          parts_.store->learn(txn_, e.stamp, reply<>([this, born] {
                                if (is(born) && desk_->txn_out()) txn_settled(true);
                              }));
        } catch (const wire::Malformed&) {
          again_later();
        }
      }));
}

void Runner::txn_settled(bool applied) {
  if (applied) {
    wire::Txn t = std::move(txn_);
    desk_->txn_applied(loop_.now());
    for (const auto& op : t.ops)
      if (op.key.starts_with("fin/") && op.value)
        parts_.outcomes->ended(op.key.substr(4), wire::decode_final_record(*op.value));
    flush_held();
    pump();
    return;
  }
  // Before the next try, what made it fail has to be known.
  parts_.store->barrier(reply<bool>([this, born = desk_->born()](bool ok) {
    if (!is(born) || !desk_->txn_out()) return;
    if (!ok) return again_later();
    desk_->txn_failed(loop_.now());
    pump();
  }));
}

}  // namespace shunt::front
