#include "cloud/cloud.h"

namespace shunttrail::cloud {
namespace {
constexpr double kTimeout = 5;
constexpr int kTries = 6;
// Bounded by the rate of calls in the settings, not by machines: a shard has one rent out for each
// tier and zone, of up to 50 machines, and a node one deletion of up to 100 and one page of the
// list. What finds the queue full fails, and is wished for again.
constexpr std::size_t kConnections = 6, kQueued = 64;
}  // namespace

Client::Client(actor::Loop& loop, const config::Settings& s)
    : Actor(loop),
      http_(loop, s.cloud, kConnections, kQueued),
      calls_(s.cloud_rps / s.shards(), loop.now(), 2),
      timer_(loop, [this] { pump(); }) {}

void Client::submit(Call c, bool urgent) {
  auto& q = urgent ? urgent_ : other_;
  if (q.size() >= kQueued) {
    c.done({});
    return;
  }
  q.push_back(std::move(c));
  pump();
}

void Client::pump() {
  calls_.refill(loop_.now());
  while (!urgent_.empty() || !other_.empty()) {
    if (double wait = calls_.wait_for(1); wait > 0) {
      timer_.after(wait);
      return;
    }
    calls_.take(1);
    auto& q = urgent_.empty() ? other_ : urgent_;
    Call c = std::move(q.front());
    q.pop_front();
    http_.request(c.method, std::move(c.path), std::move(c.body), kTimeout, std::move(c.done));
  }
}

void Client::types(std::function<void(std::vector<wire::MachineType>)> done) {
  submit({"GET", "/machine_types", "",
          [done = std::move(done)](net::Result r) {
            std::vector<wire::MachineType> out;
            try {
              if (r.status == 200) out = wire::decode_types(r.body);
            } catch (const wire::Malformed&) {
              out.clear();
            }
            done(std::move(out));
          }},
         true);
}

void Client::rent(std::string request, std::string type, std::string zone, bool spot, int count,
                  std::function<void(RentResult)> done) {
  rent_again(wire::encode_rent(request, type, zone, spot, count), kTries, std::move(done));
}

void Client::rent_again(std::string body, int tries, std::function<void(RentResult)> done) {
  submit({"POST", "/rentals", body,
          [this, body, tries, done](net::Result r) {
            RentResult out;
            try {
              if (r.status == 200) {
                out.machines = wire::decode_rented(r.body);
                out.kind = RentResult::rented;
              } else if (r.status == 503 && r.body.find("no capacity") != std::string::npos) {
                out.kind = RentResult::no_capacity;
              }
            } catch (const wire::Malformed&) {
              out = {};
            }
            if (out.kind == RentResult::failed && r.status != 400 && tries > 1) {
              // 429, an outage or no answer: the same name again, a little later.
              post([this, body, tries, done] { rent_again(body, tries - 1, done); });
              return;
            }
            done(std::move(out));
          }},
         true);
}

void Client::remove(std::vector<std::string> machines, std::function<void(bool)> done) {
  submit({"POST", "/rentals/delete", wire::encode_delete(machines),
          [done = std::move(done)](net::Result r) { done(r.status == 200); }},
         true);
}

void Client::list(std::string after, std::function<void(bool, wire::MachineList)> done) {
  submit({"GET", wire::machines_path(after), "",
          [done = std::move(done)](net::Result r) {
            wire::MachineList l;
            bool ok = r.status == 200;
            try {
              if (ok) l = wire::decode_machines(r.body);
            } catch (const wire::Malformed&) {
              ok = false;
            }
            done(ok, std::move(l));
          }},
         false);
}

}  // namespace shunttrail::cloud
