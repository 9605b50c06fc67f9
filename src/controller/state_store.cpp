#include "controller/state_store.h"

#include <spdlog/spdlog.h>

namespace shunttrail::controller {
namespace {
constexpr double kWatchGap = 0.15;       // between watches: changes come in bundles
constexpr double kBarrierGap = 0.06;     // between reads that polls wait for
constexpr double kBarrierStart = 0.004;  // requests that come together share a read
constexpr int kWatchBlockMs = 1000;
}  // namespace

StateStore::StateStore(actor::Loop& loop, const config::Settings& s, state::Client& client)
    : Actor(loop),
      client_(client),
      cache_(s),
      watch_timer_(loop, [this] { post([this] { watch_loop(); }); }),
      read_timer_(loop, [this] { post([this] { start_linearizable_read(); }); }) {}

bool StateStore::fresh(double within) const {
  return loaded_ && loop_.now() - last_read_at_ < within;
}

void StateStore::tick() {
  post([this] {
    if (!loaded_ && !loading_) reload();
  });
}

void StateStore::notify(std::vector<state::Change> changes) {
  if (changes.empty()) return;
  auto shared = std::make_shared<const std::vector<state::Change>>(std::move(changes));
  for (const auto& l : listeners_) l(shared);
}

// ---- reading

void StateStore::reload() {
  loading_ = true;
  load(loop_.now(), "", 0, {});
}
// `began`: the first page. What is known of its keys is as old as that, and S counts from there.
void StateStore::load(double began, std::string after, std::uint64_t revision,
                      std::vector<wire::Event> items) {
  client_.get(
      wire::keys_path(state::kRoot, after), state::RequestPriority::safety,
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
        cache_.replace(revision, items, changes);
        loading_ = false;
        loaded_ = true;
        last_read_at_ = std::max(last_read_at_, began);
        notify(std::move(changes));
        watch_loop();
      }));
}

void StateStore::watch_loop() {
  if (watching_ || !loaded_) return;
  double now = loop_.now();
  if (now < next_watch_) {
    watch_timer_.after(next_watch_ - now);
    return;
  }
  watching_ = true;
  next_watch_ = now + kWatchGap;
  client_.watch(cache_.revision(), kWatchBlockMs, reply<net::Result>([this, now](net::Result r) {
                  watching_ = false;
                  watched(now, r);
                  watch_loop();
                }));
}

void StateStore::watched(double began, const net::Result& r) {
  if (r.status == 410) {
    loaded_ = false;
    spdlog::info("the watch is too old: reading all keys");
    return;
  }
  try {
    if (r.status != 200) throw wire::Malformed("status " + std::to_string(r.status));
    wire::WatchAnswer w = wire::decode_watch(r.body);
    std::vector<state::Change> changes;
    for (const auto& e : w.events) cache_.apply(e, changes);
    cache_.advance(w.revision);
    last_read_at_ = std::max(last_read_at_, began);
    watch_fail_ = 0;
    notify(std::move(changes));
  } catch (const wire::Malformed& e) {
    watch_fail_ = std::min(1.0, watch_fail_ * 2 + 0.1);
    next_watch_ = loop_.now() + watch_fail_;
    spdlog::debug("watch: {}", e.what());
  }
}

// ---- barriers

void StateStore::linearizable_read(std::function<void(bool)> then) {
  post([this, then = std::move(then)]() mutable { wait_for_read(std::move(then)); });
}
void StateStore::wait_for_read(std::function<void(bool)> then) {
  if (!loaded_) return then(false);
  read_waiters_.push_back(std::move(then));
  if (!read_in_flight_ && !read_armed_) {
    read_armed_ = true;
    read_timer_.after(kBarrierStart);
  }
}
void StateStore::start_linearizable_read() {
  read_armed_ = false;
  if (read_in_flight_ || read_waiters_.empty()) return;
  read_in_flight_ = true;
  auto waiting = std::make_shared<std::vector<std::function<void(bool)>>>();
  waiting->swap(read_waiters_);
  double began = loop_.now();
  client_.get(wire::watch_path(state::kRoot, cache_.revision(), 0), state::RequestPriority::user,
              reply<net::Result>([this, waiting, began](net::Result r) {
                read_in_flight_ = false;
                if (r.status == 200 || r.status == 410) watched(began, r);
                for (auto& w : *waiting) w(r.status == 200 && last_read_at_ >= began);
                if (!read_waiters_.empty()) {
                  read_armed_ = true;
                  read_timer_.after(kBarrierGap);
                }
              }));
}

// ---- commits

namespace {
// Only what the cache takes is kept beside a request.
std::vector<wire::Event> events_of(const wire::Transaction& t) {
  std::vector<wire::Event> out;
  for (const auto& op : t.ops)
    if (op.key.starts_with(state::kRoot)) out.push_back({op.key, op.value, 0});
  return out;
}
}  // namespace

void StateStore::applied(std::vector<wire::Event> events, std::uint64_t revision) {
  std::vector<state::Change> changes;
  for (auto& e : events) {
    e.mod_revision = revision;
    cache_.apply(e, changes);
  }
  notify(std::move(changes));
}

void StateStore::commit(wire::Transaction t, state::RequestPriority u, double give_up_s,
                        std::function<void(state::CommitResult)> done) {
  auto events = events_of(t);
  client_.commit(std::move(t), u, give_up_s,
                 reply<state::CommitResult>([this, events = std::move(events),
                                             done = std::move(done)](state::CommitResult r) {
                   if (r.kind == state::CommitResult::applied) applied(events, r.revision);
                   done(std::move(r));
                 }));
}

void StateStore::apply_commit(const wire::Transaction& t, std::uint64_t revision,
                              std::function<void()> done) {
  post([this, events = events_of(t), revision, done = std::move(done)] {
    applied(events, revision);
    done();
  });
}

void StateStore::resolve_unknown_commit(wire::Transaction t, state::RequestPriority u,
                                        double give_up_s,
                                        std::function<void(state::CommitResult)> done) {
  commit(std::move(t), u, give_up_s, [this, done = std::move(done)](state::CommitResult r) {
    if (r.kind == state::CommitResult::applied) return done(std::move(r));
    wait_for_read([r = std::move(r), done](bool) { done(r); });
  });
}

}  // namespace shunttrail::controller
