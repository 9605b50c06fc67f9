#include "cloud/cloud.h"

#include <utility>

namespace shunttrail::cloud {
namespace {

// These are bounded by the rate of calls in the settings, not by the number of machines: a shard
// has one request for machines under way for each tier and zone, of up to 50 machines, and a node
// one deletion of up to 100 and one page of the list. A call that finds its queue full fails, and
// its caller tries again.
constexpr std::size_t kConnections = 6;
constexpr std::size_t kMaxOutstanding = 64;
/// Of urgent calls, and of others.
constexpr std::size_t kMaxQueued = 64;
/// The bucket of calls holds this many seconds' worth.
constexpr double kBurstS = 2;
constexpr double kTimeoutS = 5;
/// How often a request for machines is sent at most.
constexpr int kRentTries = 6;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;

RentResult read_rent_answer(const net::Result& answer) {
  RentResult out;
  try {
    if (answer.status == kStatusOk) {
      out.machines = wire::decode_rented(answer.body);
      out.kind = RentResult::rented;
    } else if (answer.status == kStatusUnavailable &&
               answer.body.find("no capacity") != std::string::npos) {
      out.kind = RentResult::no_capacity;
    }
  } catch (const wire::Malformed&) {
    return {};
  }
  return out;
}

std::vector<wire::MachineType> read_types_answer(const net::Result& answer) {
  if (answer.status != kStatusOk) return {};
  try {
    return wire::decode_types(answer.body);
  } catch (const wire::Malformed&) {
    return {};
  }
}

}  // namespace

Client::Client(actor::Loop& loop, const config::Settings& settings)
    : Actor(loop),
      http_(loop, settings.cloud, kConnections, kMaxOutstanding),
      calls_(settings.cloud_rps / settings.shards(), loop.now(), kBurstS),
      timer_(loop, [this] { pump(); }) {}

void Client::submit(Call call, bool urgent) {
  std::deque<Call>& queue = urgent ? urgent_ : other_;
  if (queue.size() >= kMaxQueued) {
    call.done({});
    return;
  }
  queue.push_back(std::move(call));
  pump();
}

void Client::pump() {
  calls_.refill(loop_.now());
  while (!urgent_.empty() || !other_.empty()) {
    const double wait_s = calls_.wait_for(1);
    if (wait_s > 0) {
      timer_.after(wait_s);
      return;
    }
    calls_.take(1);
    std::deque<Call>& queue = urgent_.empty() ? other_ : urgent_;
    Call call = std::move(queue.front());
    queue.pop_front();
    http_.request(call.method, std::move(call.path), std::move(call.body), kTimeoutS,
                  std::move(call.done));
  }
}

void Client::types(std::function<void(std::vector<wire::MachineType>)> done) {
  submit({"GET", "/machine_types", "",
          [done = std::move(done)](const net::Result& answer) { done(read_types_answer(answer)); }},
         true);
}

void Client::rent(std::string request, std::string type, std::string zone, bool spot, int count,
                  std::function<void(RentResult)> done) {
  try_rent(wire::encode_rent(request, type, zone, spot, count), kRentTries, std::move(done));
}

void Client::try_rent(std::string body, int tries, std::function<void(RentResult)> done) {
  submit({"POST", "/rentals", body,
          [this, body, tries, done](const net::Result& answer) {
            RentResult result = read_rent_answer(answer);
            const bool is_final =
                result.kind != RentResult::failed || answer.status == kStatusBadRequest;
            if (is_final || tries <= 1) {
              done(std::move(result));
              return;
            }
            // 429, an outage or no answer: the same request again, a little later.
            post([this, body, tries, done] { try_rent(body, tries - 1, done); });
          }},
         true);
}

void Client::remove(std::vector<std::string> machines, std::function<void(bool)> done) {
  submit(
      {"POST", "/rentals/delete", wire::encode_delete(machines),
       [done = std::move(done)](const net::Result& answer) { done(answer.status == kStatusOk); }},
      true);
}

void Client::list(std::string after, std::function<void(bool, wire::MachineList)> done) {
  submit({"GET", wire::machines_path(after), "",
          [done = std::move(done)](const net::Result& answer) {
            wire::MachineList machines;
            bool is_answered = answer.status == kStatusOk;
            try {
              if (is_answered) machines = wire::decode_machines(answer.body);
            } catch (const wire::Malformed&) {
              is_answered = false;
            }
            done(is_answered, std::move(machines));
          }},
         false);
}

}  // namespace shunttrail::cloud
