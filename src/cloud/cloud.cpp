#include "cloud/cloud.h"

#include <utility>

namespace shunttrail::cloud {
namespace {

// The number of outstanding calls is bounded by the call rate in the settings and not by the number
// of machines. A shard has one rental request in flight for each tier and zone, of up to 50
// machines. A node has one deletion of up to 100 machines and one request for a page of the list. A
// call that finds its queue full fails, and its caller tries again.
constexpr std::size_t kConnections = 6;
constexpr std::size_t kMaxOutstanding = 64;
/// Capacity of each of the two queues, for urgent and normal calls.
constexpr std::size_t kMaxQueued = 64;
/// Capacity of the call rate limiter's token bucket, in seconds of the call rate.
constexpr double kBurstS = 2;
constexpr double kTimeoutS = 5;
/// Largest number of times that a rental request is sent.
constexpr int kMaxRentAttempts = 6;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;

RentResult decode_rent_response(const net::Result& answer) {
  RentResult result;
  try {
    if (answer.status == kStatusOk) {
      result.machines = wire::decode_rented(answer.body);
      result.kind = RentResult::rented;
    } else if (answer.status == kStatusUnavailable &&
               answer.body.find("no capacity") != std::string::npos) {
      result.kind = RentResult::no_capacity;
    }
  } catch (const wire::Malformed&) {
    return {};
  }
  return result;
}

std::vector<wire::MachineType> decode_types_response(const net::Result& answer) {
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
      call_rate_limit_(settings.cloud_rps / settings.shards(), loop.now(), kBurstS),
      timer_(loop, [this] { send_queued_calls(); }) {}

void Client::submit(Call call, bool urgent) {
  std::deque<Call>& queue = urgent ? urgent_calls_ : normal_calls_;
  if (queue.size() >= kMaxQueued) {
    call.done({});
    return;
  }
  queue.push_back(std::move(call));
  send_queued_calls();
}

void Client::send_queued_calls() {
  call_rate_limit_.refill(loop_.now());
  while (!urgent_calls_.empty() || !normal_calls_.empty()) {
    const double wait_s = call_rate_limit_.wait_for(1);
    if (wait_s > 0) {
      timer_.after(wait_s);
      return;
    }
    call_rate_limit_.take(1);
    std::deque<Call>& queue = urgent_calls_.empty() ? normal_calls_ : urgent_calls_;
    Call call = std::move(queue.front());
    queue.pop_front();
    http_.request(call.method, std::move(call.path), std::move(call.body), kTimeoutS,
                  std::move(call.done));
  }
}

void Client::types(std::function<void(std::vector<wire::MachineType>)> done) {
  submit({"GET", "/machine_types", "",
          [done = std::move(done)](const net::Result& answer) {
            done(decode_types_response(answer));
          }},
         true);
}

void Client::rent(std::string request, std::string type, std::string zone, bool spot, int count,
                  std::function<void(RentResult)> done) {
  send_rent_request(wire::encode_rent(request, type, zone, spot, count), kMaxRentAttempts,
                    std::move(done));
}

void Client::send_rent_request(std::string body, int attempts_left,
                               std::function<void(RentResult)> done) {
  submit({"POST", "/rentals", body,
          [this, body, attempts_left, done](const net::Result& answer) {
            RentResult result = decode_rent_response(answer);
            const bool is_final =
                result.kind != RentResult::failed || answer.status == kStatusBadRequest;
            if (is_final || attempts_left <= 1) {
              done(std::move(result));
              return;
            }
            // After a 429, an outage or no response, the same request is sent again.
            post([this, body, attempts_left, done] {
              send_rent_request(body, attempts_left - 1, done);
            });
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
