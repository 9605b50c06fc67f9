/// @file
/// The client of the cloud's API. It keeps within this node's share of the cloud's call rate.
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

/// The outcome of a rental request.
struct RentResult {
  /// `failed`: the request was refused, or not answered after several attempts.
  enum Kind { rented, no_capacity, failed } kind = failed;
  std::vector<std::string> machines;  ///< The names of the rented machines.
};

/// The client. Callbacks run in this actor; a callback made by `Actor::reply` runs in the caller's.
class Client : public actor::Actor {
 public:
  Client(actor::Loop& loop, const config::Settings& settings);
  /// Requests the machine types. Calls `done` with an empty list if the request fails.
  void types(std::function<void(std::vector<wire::MachineType>)> done);
  /// Rents machines. `request` is a name that is never used for another request. Without a response
  /// the request is sent again under the same name, so that no machine is rented twice.
  void rent(std::string request, std::string type, std::string zone, bool spot, int count,
            std::function<void(RentResult)> done);
  /// Deletes machines. Calls `done` with true if the cloud has accepted the deletion.
  void remove(std::vector<std::string> machines, std::function<void(bool)> done);
  /// Requests a page of the list of machines: those after `after`, or the first ones if `after` is
  /// empty. Calls `done` with false and an empty list if the request fails.
  void list(std::string after, std::function<void(bool, wire::MachineList)> done);

 private:
  struct Call {
    const char* method;
    std::string path;
    std::string body;
    std::function<void(net::Result)> done;
  };
  void submit(Call call, bool urgent);
  /// Sends as many queued calls as the rate permits, and sets the timer for the next one.
  void send_queued_calls();
  void send_rent_request(std::string body, int attempts_left, std::function<void(RentResult)> done);

  net::Client http_;
  state::TokenBucket call_rate_limit_;
  std::deque<Call> urgent_calls_;
  std::deque<Call> normal_calls_;
  actor::Timer timer_;
};

}  // namespace shunttrail::cloud
