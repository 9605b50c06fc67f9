#include "state/client.h"

#include <algorithm>

namespace shunttrail::state {

namespace {
// Connections, and calls that wait for one. The rates of the settings bound both, whatever the
// fleet's size: of 80 requests a second, a third of them here, 12 connections carry 27 a second
// though each takes 0.4 s. Watches block, and have theirs.
constexpr std::size_t kConnections = 12, kWaiting = 256;
constexpr std::size_t kWatches = 2, kWatchesWaiting = 4;
// Calls that wait for the rate, of each urgency: those of 19 s at 27 a second, and each gives up
// sooner. Fleets send few: a shard has one transaction out at a time, the inventory one.
constexpr std::size_t kQueued = 512;

// Less urgent calls leave some of the burst for the more urgent ones.
double spare(const TokenBucket& b, RequestPriority u, double part) {
  return b.cap() * part * static_cast<int>(u);
}
}  // namespace

void TokenBucket::refill(double now) {
  if (now > at_) level_ = std::min(cap(), level_ + (now - at_) * rate_);
  at_ = std::max(at_, now);
}

void TokenBucket::set_rate(double rate) {
  if (rate == rate_) return;
  rate_ = rate;
  cap_ = std::max(rate * burst_s_, 1.0);
  level_ = std::min(level_, cap_);
}

Client::Client(actor::Loop& loop, const config::Settings& s)
    : Actor(loop),
      http_(loop, s.state, kConnections, kWaiting),
      watch_http_(loop, s.state, kWatches, kWatchesWaiting),
      limits_(s),
      request_pace_(s.state_limits.rps / s.shards(), s.state_next.rps / s.shards()),
      write_pace_(s.state_limits.write_rps / s.shards(), s.state_next.write_rps / s.shards()),
      requests_(s.state_limits.rps / s.shards(), loop.now()),
      writes_(s.state_limits.write_rps / s.shards(), loop.now()),
      timer_(loop, [this] { pump(); }) {}

std::size_t Client::queued() const {
  std::size_t n = 0;
  for (const auto& q : queues_) n += q.size();
  return n;
}

Client::Cost Client::cost() const {
  return {request_pace_.refusals() + write_pace_.refusals(), waited_s_, writes_.rate()};
}

void Client::refill(double now) {
  requests_.refill(now);
  writes_.refill(now);
  requests_.set_rate(request_pace_.rate(now));
  writes_.set_rate(write_pace_.rate(now));
}

// A 429 to a commit may be for either rate; as a rule there are far fewer changes to be had.
void Client::heard(int status, bool wrote) {
  if (status != 429) return;
  double now = loop_.now();
  (wrote ? write_pace_ : request_pace_).refused(now);
  refill(now);
}

std::size_t Client::writes_now(RequestPriority u) {
  refill(loop_.now());
  for (int i = 0; i <= static_cast<int>(u); ++i)
    if (!queues_[static_cast<std::size_t>(i)].empty()) return 0;
  if (requests_.wait_for(std::min(1 + spare(requests_, u, 0.1), requests_.cap())) > 0) return 0;
  // A full bucket is all there will ever be: at a low rate it holds less than the least
  // transaction, which would otherwise never be made.
  if (writes_.level() >= writes_.cap())
    return std::max(kLeastWrites, static_cast<std::size_t>(writes_.cap()));
  return static_cast<std::size_t>(std::max(0.0, writes_.level() - spare(writes_, u, 0.12)));
}

void Client::submit(Call c, RequestPriority u) {
  auto& q = queues_[static_cast<int>(u)];
  if (q.size() >= kQueued) {
    c.done({503, {}});  // never sent: as good as refused
    return;
  }
  c.since = loop_.now();
  q.push_back(std::move(c));
  pump();
}

void Client::pump() {
  double now = loop_.now();
  refill(now);
  for (int u = 0; u < kRequestPriorities; ++u) {
    auto& q = queues_[u];
    while (!q.empty()) {
      Call& c = q.front();
      if (c.give_up_at < now) {
        Call late = std::move(c);
        q.pop_front();
        late.done({503, {}});
        continue;
      }
      const auto urgency = static_cast<RequestPriority>(u);
      double spare_r = spare(requests_, urgency, 0.1), spare_w = spare(writes_, urgency, 0.12);
      double need_w = c.writes > 0 ? std::min(c.writes + spare_w, writes_.cap()) : 0;
      double wait = std::max(requests_.wait_for(std::min(1 + spare_r, requests_.cap())),
                             need_w > 0 ? writes_.wait_for(need_w) : 0.0);
      if (wait > 0) {
        timer_.after(std::max(wait, 0.002));
        return;
      }
      requests_.take(1);
      writes_.take(c.writes);
      waited_s_ += now - c.since;
      Call go = std::move(c);
      q.pop_front();
      http_.request(go.method, std::move(go.path), std::move(go.body), go.timeout_s,
                    std::move(go.done));
    }
  }
}

void Client::commit(wire::Transaction t, RequestPriority u, double give_up_s,
                    std::function<void(CommitResult)> done) {
  Call c;
  c.method = "POST";
  c.path = "/commit";
  c.body = wire::encode_transaction(t);
  c.writes = static_cast<double>(t.ops.size());
  c.timeout_s = 2;
  c.give_up_at = loop_.now() + give_up_s;
  std::size_t longest = 0;
  for (const auto& op : t.ops)
    if (op.value) longest = std::max(longest, op.value->size());
  c.done = [this, longest, ops = t.ops.size(), done = std::move(done)](net::Result r) {
    heard(r.status, true);
    CommitResult out;
    try {
      if (r.status == 200) {
        out.revision = wire::decode_revision(r.body);
        out.kind = CommitResult::applied;
      } else if (r.status == 409) {
        out.failed = wire::decode_failed(r.body);
        out.kind = CommitResult::precondition_failed;
      } else if (r.status == 503 || r.status == 429) {
        out.kind = CommitResult::not_executed;
      } else if (r.status == 400) {
        out.kind = wire::lease_missing(r.body) ? CommitResult::no_lease : CommitResult::too_large;
        if (out.kind == CommitResult::too_large) limits_.too_large(longest, ops);
      }
    } catch (const wire::Malformed&) {
      out.kind = CommitResult::unknown;
    }
    done(std::move(out));
  };
  submit(std::move(c), u);
}

void Client::watch(std::uint64_t after, int block_ms, std::function<void(net::Result)> done) {
  // Watches keep a connection of their own: they block, and must not hold up a commit.
  refill(loop_.now());
  requests_.take(1);
  watch_http_.request("GET", wire::watch_path("st/", after, block_ms), "", block_ms / 1000.0 + 2.0,
                      [this, done = std::move(done)](net::Result r) {
                        heard(r.status, false);
                        done(std::move(r));
                      });
}

void Client::get(std::string path, RequestPriority u, std::function<void(net::Result)> done) {
  call("GET", std::move(path), "", u, std::move(done));
}
void Client::post(std::string path, std::string body, RequestPriority u,
                  std::function<void(net::Result)> done) {
  call("POST", std::move(path), std::move(body), u, std::move(done));
}
void Client::call(const char* method, std::string path, std::string body, RequestPriority u,
                  std::function<void(net::Result)> done) {
  Call c;
  c.method = method;
  c.path = std::move(path);
  c.body = std::move(body);
  c.give_up_at = loop_.now() + 3;
  c.done = [this, done = std::move(done)](net::Result r) {
    heard(r.status, false);
    done(std::move(r));
  };
  submit(std::move(c), u);
}

}  // namespace shunttrail::state
