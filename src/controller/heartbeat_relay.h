// Workers by way of a sibling: reports for another node's shard, whose worker has shown that it
// does not reach the owner, are passed on to it. What comes that way from a sibling is answered as
// any report is, and never passed on again.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "relay/relay_routes.h"
#include "net/http.h"

namespace shunt::front {

class Relay : public actor::Actor {
 public:
  Relay(actor::Loop& loop, Parts& parts);

  // A report of a machine in this zone, whose shard node `owner` (-1: nobody) owns. Redirected,
  // passed on, or refused.
  void report(net::ExchangePtr ex, std::string machine, links::Detours::Order order, int zone,
              int owner);
  // From a sibling: `then` is handed the report, in an exchange that answers the sibling.
  void heard(const net::ExchangePtr& ex, const std::function<void(net::ExchangePtr)>& then);

  struct Count {
    std::uint64_t passed = 0, unanswered = 0, taken = 0;
  };
  std::string describe() const;  // JSON, for the operators
  std::uint64_t garbage() const { return garbage_; }

 private:
  void decide(const net::ExchangePtr& ex, const std::string& machine, links::Detours::Order order,
              int zone, int owner);
  void pass(const net::ExchangePtr& ex, int owner);

  Parts& parts_;
  std::vector<std::unique_ptr<net::Client>> clients_;  // by node; none: this one
  links::Detours detours_;
  std::vector<Count> counts_;
  std::uint64_t garbage_ = 0;
};

}  // namespace shunt::front
