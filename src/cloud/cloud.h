// Talks to the cloud, within this node's share of its call rate.
#pragma once
#include <deque>
#include <functional>

#include "actor/loop.h"
#include "net/http.h"
#include "state/client.h"
#include "wire/codec.h"

namespace shunttrail::cloud {

struct RentResult {
  enum Kind { rented, no_capacity, failed } kind = failed;
  std::vector<std::string> machines;
};

class Client : public actor::Actor {
 public:
  Client(actor::Loop& loop, const config::Settings& s);
  void types(std::function<void(std::vector<wire::MachineType>)> done);  // empty: no answer
  // `request` is never used for anything else. Without an answer it is repeated, which rents
  // nothing twice.
  void rent(std::string request, std::string type, std::string zone, bool spot, int count,
            std::function<void(RentResult)> done);
  void remove(std::vector<std::string> machines, std::function<void(bool)> done);
  void list(std::string after, std::function<void(bool, wire::MachineList)> done);

 private:
  struct Call {
    const char* method;
    std::string path, body;
    std::function<void(net::Result)> done;
  };
  void submit(Call c, bool urgent);
  void pump();
  void rent_again(std::string body, int tries, std::function<void(RentResult)> done);

  net::Client http_;
  state::TokenBucket calls_;
  std::deque<Call> urgent_, other_;
  actor::Timer timer_;
};

}  // namespace shunttrail::cloud
