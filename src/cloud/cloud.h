/// @file
/// The client of the cloud. It keeps within this node's share of the cloud's call rate.
#pragma once
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "net/http.h"
#include "state/client.h"
#include "wire/codec.h"

namespace shunttrail::cloud {

/// What became of a request for machines.
struct RentResult {
  /// failed: refused, or no answer after several attempts_left.
  enum Kind { rented, no_capacity, failed } kind = failed;
  std::vector<std::string> machines;  ///< rented: their names
};

/// The client. Callbacks run on this actor; one made by `Actor::reply` runs on the caller's.
class Client : public actor::Actor {
 public:
  Client(actor::Loop& loop, const config::Settings& settings);
  /// Asks for the types of machines; an empty list: no answer.
  void types(std::function<void(std::vector<wire::MachineType>)> done);
  /// Rents machines. `request` names the request and is never used for another one: without an
  /// answer it is sent again, which rents nothing twice.
  void rent(std::string request, std::string type, std::string zone, bool spot, int count,
            std::function<void(RentResult)> done);
  /// Deletes machines; `done` is told whether the cloud has accepted.
  void remove(std::vector<std::string> machines, std::function<void(bool)> done);
  /// Asks for a page of the list of machines: those after `after`, or the first ones if empty.
  /// `done` is told whether there was an answer.
  void list(std::string after, std::function<void(bool, wire::MachineList)> done);

 private:
  struct Call {
    const char* method;
    std::string path;
    std::string body;
    std::function<void(net::Result)> done;
  };
  void submit(Call call, bool urgent);
  /// Sends what the rate allows now, and sets the timer for the next call.
  void send_queued_calls();
  void send_rent_request(std::string body, int attempts_left, std::function<void(RentResult)> done);

  net::Client http_;
  state::TokenBucket call_rate_limit_;
  std::deque<Call> urgent_calls_;
  std::deque<Call> normal_calls_;
  actor::Timer timer_;
};

}  // namespace shunttrail::cloud
