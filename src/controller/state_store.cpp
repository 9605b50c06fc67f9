#include "controller/state_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace shunttrail::controller {
namespace {

/// Shortest interval between the beginnings of two watches, so that several changes are delivered
/// at once.
constexpr double kWatchIntervalS = 0.15;
constexpr int kWatchBlockMs = 1000;
constexpr double kWatchBackoffStepS = 0.1;
constexpr double kMaxWatchBackoffS = 1;
/// Shortest interval between two linearizable reads.
constexpr double kReadIntervalS = 0.06;
/// Delay before a linearizable read, so that requests that arrive together share it.
constexpr double kReadDelayS = 0.004;

/// Status of a response to a watch from a revision that the state service has compacted.
constexpr int kRevisionCompacted = 410;

void require_ok(const net::Result& response) {
  if (response.status != 200) throw wire::Malformed("status " + std::to_string(response.status));
}

// Returns the events that concern the cache. Only these are kept while the commit is in flight.
std::vector<wire::Event> cached_events(const wire::Transaction& transaction) {
  std::vector<wire::Event> events;
  for (const auto& op : transaction.ops)
    if (op.key.starts_with(state::kRoot)) events.push_back({op.key, op.value, 0});
  return events;
}

}  // namespace

StateStore::StateStore(actor::Loop& loop, const config::Settings& settings, state::Client& client)
    : Actor(loop),
      client_(client),
      cache_(settings),
      watch_timer_(loop, [this] { post([this] { continue_watch(); }); }),
      read_timer_(loop, [this] { post([this] { start_linearizable_read(); }); }) {}

bool StateStore::fresh(double max_age_s) const {
  return is_loaded_ && loop_.now() - last_read_at_ < max_age_s;
}

void StateStore::tick() {
  post([this] {
    if (!is_loaded_ && !is_loading_) reload();
  });
}

void StateStore::notify(std::vector<state::Change> changes) {
  if (changes.empty()) return;
  const auto shared = std::make_shared<const std::vector<state::Change>>(std::move(changes));
  for (const auto& listener : listeners_) listener(shared);
}

// ---- the full read

void StateStore::reload() {
  is_loading_ = true;
  // The first page is as old as the first request, so the age of the whole read counts from there.
  FullRead read;
  read.began_at = loop_.now();
  read_page(std::move(read));
}

void StateStore::read_page(FullRead read) {
  const std::string path = wire::keys_path(state::kRoot, read.last_key);
  client_.get(
      path, state::RequestPriority::safety,
      reply<net::Result>([this, read = std::move(read)](const net::Result& response) mutable {
        on_page(std::move(read), response);
      }));
}

void StateStore::on_page(FullRead read, const net::Result& response) {
  wire::KeyPage page;
  try {
    require_ok(response);
    page = wire::decode_keys(response.body);
  } catch (const wire::Malformed& error) {
    spdlog::info("reading all keys: the page after key '{}' cannot be read: {}", read.last_key,
                 error.what());
    is_loading_ = false;
    return;
  }
  // The watch starts at the first page's revision: changes made while the other pages are read are
  // then read again by the watch.
  if (!read.revision) read.revision = page.revision;
  for (auto& item : page.items) read.items.push_back(std::move(item));
  if (!page.more) return finish_full_read(read);
  read.last_key = read.items.back().key;
  read_page(std::move(read));
}

void StateStore::finish_full_read(const FullRead& read) {
  std::vector<state::Change> changes;
  cache_.replace(read.revision, read.items, changes);
  is_loading_ = false;
  is_loaded_ = true;
  last_read_at_ = std::max(last_read_at_, read.began_at);
  notify(std::move(changes));
  continue_watch();
}

// ---- the watch

void StateStore::continue_watch() {
  if (is_watching_ || !is_loaded_) return;
  const double now = loop_.now();
  if (now < next_watch_at_) return watch_timer_.after(next_watch_at_ - now);
  is_watching_ = true;
  next_watch_at_ = now + kWatchIntervalS;
  client_.watch(cache_.revision(), kWatchBlockMs,
                reply<net::Result>([this, now](const net::Result& response) {
                  is_watching_ = false;
                  on_watch_response(now, response);
                  continue_watch();
                }));
}

void StateStore::on_watch_response(double began_at, const net::Result& response) {
  if (response.status == kRevisionCompacted) {
    is_loaded_ = false;
    spdlog::info("watch: revision {} is compacted, reading all keys", cache_.revision());
    return;
  }
  try {
    require_ok(response);
    apply_watch(began_at, response.body);
  } catch (const wire::Malformed& error) {
    delay_watch(error.what());
  }
}

void StateStore::apply_watch(double began_at, const std::string& body) {
  const wire::WatchAnswer answer = wire::decode_watch(body);
  std::vector<state::Change> changes;
  for (const auto& event : answer.events) cache_.apply(event, changes);
  cache_.advance(answer.revision);
  last_read_at_ = std::max(last_read_at_, began_at);
  watch_backoff_s_ = 0;
  notify(std::move(changes));
}

void StateStore::delay_watch(const char* why) {
  watch_backoff_s_ = std::min(kMaxWatchBackoffS, watch_backoff_s_ * 2 + kWatchBackoffStepS);
  next_watch_at_ = loop_.now() + watch_backoff_s_;
  spdlog::debug("watch from revision {} failed, retrying in {:.1f} s: {}", cache_.revision(),
                watch_backoff_s_, why);
}

// ---- linearizable reads

void StateStore::linearizable_read(std::function<void(bool)> then) {
  post([this, then = std::move(then)]() mutable { enqueue_linearizable_read(std::move(then)); });
}

void StateStore::enqueue_linearizable_read(std::function<void(bool)> then) {
  if (!is_loaded_) return then(false);
  read_waiters_.push_back(std::move(then));
  if (!is_read_in_flight_ && !is_read_scheduled_) schedule_linearizable_read(kReadDelayS);
}

void StateStore::schedule_linearizable_read(double delay_s) {
  is_read_scheduled_ = true;
  read_timer_.after(delay_s);
}

void StateStore::start_linearizable_read() {
  is_read_scheduled_ = false;
  if (is_read_in_flight_ || read_waiters_.empty()) return;
  is_read_in_flight_ = true;
  auto waiters = std::make_shared<std::vector<std::function<void(bool)>>>();
  waiters->swap(read_waiters_);
  const double began_at = loop_.now();
  client_.get(wire::watch_path(state::kRoot, cache_.revision(), 0), state::RequestPriority::user,
              reply<net::Result>([this, waiters, began_at](const net::Result& response) {
                is_read_in_flight_ = false;
                const bool is_ok = response.status == 200;
                if (is_ok || response.status == kRevisionCompacted)
                  on_watch_response(began_at, response);
                const bool is_read = is_ok && last_read_at_ >= began_at;
                for (const auto& waiter : *waiters) waiter(is_read);
                if (!read_waiters_.empty()) schedule_linearizable_read(kReadIntervalS);
              }));
}

// ---- commits

void StateStore::apply(std::vector<wire::Event> events, std::uint64_t revision) {
  std::vector<state::Change> changes;
  for (auto& event : events) {
    event.mod_revision = revision;
    cache_.apply(event, changes);
  }
  notify(std::move(changes));
}

void StateStore::commit(wire::Transaction transaction, state::RequestPriority priority,
                        double timeout_s, std::function<void(state::CommitResult)> done) {
  auto events = cached_events(transaction);
  client_.commit(std::move(transaction), priority, timeout_s,
                 reply<state::CommitResult>([this, events = std::move(events),
                                             done = std::move(done)](state::CommitResult result) {
                   if (result.kind == state::CommitResult::applied) apply(events, result.revision);
                   done(std::move(result));
                 }));
}

void StateStore::apply_commit(const wire::Transaction& transaction, std::uint64_t revision,
                              std::function<void()> done) {
  post([this, events = cached_events(transaction), revision, done = std::move(done)] {
    apply(events, revision);
    done();
  });
}

void StateStore::commit_or_reread(wire::Transaction transaction, state::RequestPriority priority,
                                  double timeout_s, std::function<void(state::CommitResult)> done) {
  commit(std::move(transaction), priority, timeout_s,
         [this, done = std::move(done)](state::CommitResult result) {
           if (result.kind == state::CommitResult::applied) return done(std::move(result));
           enqueue_linearizable_read([result = std::move(result), done](bool) { done(result); });
         });
}

}  // namespace shunttrail::controller
