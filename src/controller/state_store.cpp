#include "controller/state_store.h"

#include <spdlog/spdlog.h>

namespace shunt::front {
namespace {
constexpr double kWatchGap = 0.15;       // between watches: changes come in bundles
constexpr double kBarrierGap = 0.06;     // between reads that polls wait for
constexpr double kBarrierStart = 0.004;  // requests that come together share a read
constexpr int kWatchBlockMs = 1000;
}  // namespace

Store::Store(actor::Loop& loop, const config::Settings& s, state::Client& client)
    : Actor(loop),
      client_(client),
      world_(s),
      watch_timer_(loop, [this] { post([this] { watch_loop(); }); }),
      barrier_timer_(loop, [this] { post([this] { start_barrier(); }); }) {}

bool Store::fresh(double within) const { return loaded_ && loop_.now() - fresh_at_ < within; }

void Store::tick() {
  post([this] {
    if (!loaded_ && !loading_) reload();
  });
}

void Store::tell(std::vector<state::Change> changes) {
  if (changes.empty()) return;
  auto shared = std::make_shared<const std::vector<state::Change>>(std::move(changes));
  for (const auto& l : listeners_) l(shared);
}

// ---- reading

void Store::reload() {
  loading_ = true;
  load(loop_.now(), "", 0, {});
}
// `began`: the first page. What is known of its keys is as old as that, and S counts from there.
void Store::load(double began, std::string after, std::uint64_t revision,
                 std::vector<wire::Event> items) {
  client_.get(
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
            load(began, last, revision, std::move(items));
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
        tell(std::move(changes));
        watch_loop();
      }));
}

void Store::watch_loop() {
  if (watching_ || !loaded_) return;
  double now = loop_.now();
  if (now < next_watch_) {
    watch_timer_.after(next_watch_ - now);
    return;
  }
  watching_ = true;
  next_watch_ = now + kWatchGap;
  client_.watch(world_.revision(), kWatchBlockMs, reply<net::Result>([this, now](net::Result r) {
                  watching_ = false;
                  watched(now, r);
                  watch_loop();
                }));
}

void Store::watched(double began, const net::Result& r) {
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
    tell(std::move(changes));
  } catch (const wire::Malformed& e) {
    watch_fail_ = std::min(1.0, watch_fail_ * 2 + 0.1);
    next_watch_ = loop_.now() + watch_fail_;
    spdlog::debug("watch: {}", e.what());
  }
}

// ---- barriers

void Store::barrier(std::function<void(bool)> then) {
  post([this, then = std::move(then)]() mutable { wait_for_read(std::move(then)); });
}
void Store::wait_for_read(std::function<void(bool)> then) {
  if (!loaded_) return then(false);
  barrier_next_.push_back(std::move(then));
  if (!barrier_out_ && !barrier_armed_) {
    barrier_armed_ = true;
    barrier_timer_.after(kBarrierStart);
  }
}
void Store::start_barrier() {
  barrier_armed_ = false;
  if (barrier_out_ || barrier_next_.empty()) return;
  barrier_out_ = true;
  auto waiting = std::make_shared<std::vector<std::function<void(bool)>>>();
  waiting->swap(barrier_next_);
  double began = loop_.now();
  client_.get(wire::watch_path(state::kRoot, world_.revision(), 0), state::Urgency::user,
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

// ---- commits

namespace {
// Only what the cache takes is kept beside a request.
std::vector<wire::Event> events_of(const wire::Txn& t) {
  std::vector<wire::Event> out;
  for (const auto& op : t.ops)
    if (op.key.starts_with(state::kRoot)) out.push_back({op.key, op.value, 0});
  return out;
}
}  // namespace

void Store::applied(std::vector<wire::Event> events, std::uint64_t revision) {
  std::vector<state::Change> changes;
  for (auto& e : events) {
    e.stamp = revision;
    world_.apply(e, changes);
  }
  tell(std::move(changes));
}

void Store::commit(wire::Txn t, state::Urgency u, double give_up_s,
                   std::function<void(state::CommitResult)> done) {
  auto events = events_of(t);
  client_.commit(std::move(t), u, give_up_s,
                 reply<state::CommitResult>([this, events = std::move(events),
                                             done = std::move(done)](state::CommitResult r) {
                   if (r.kind == state::CommitResult::applied) applied(events, r.revision);
                   done(std::move(r));
                 }));
}

void Store::learn(const wire::Txn& t, std::uint64_t revision, std::function<void()> done) {
  post([this, events = events_of(t), revision, done = std::move(done)] {
    applied(events, revision);
    done();
  });
}

void Store::settle(wire::Txn t, state::Urgency u, double give_up_s,
                   std::function<void(state::CommitResult)> done) {
  commit(std::move(t), u, give_up_s, [this, done = std::move(done)](state::CommitResult r) {
    if (r.kind == state::CommitResult::applied) return done(std::move(r));
    wait_for_read([r = std::move(r), done](bool) { done(r); });
  });
}

}  // namespace shunt::front
