// What workers report: each report goes to the runner of its machine's shard.
#pragma once
#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunt::front {

class Workers : public actor::Actor {
 public:
  Workers(actor::Loop& loop, Parts& parts) : Actor(loop), parts_(parts) {}
  // `passed_on`: by a sibling that the worker reaches instead of this node.
  void report(net::ExchangePtr ex, bool passed_on = false);
  std::uint64_t garbage() const { return garbage_; }

 private:
  void take(const net::ExchangePtr& ex, bool passed_on);
  int shard_of(const std::string& machine) const;  // -1: nobody's
  std::string able(int shard) const;

  Parts& parts_;
  std::uint64_t garbage_ = 0;
};

}  // namespace shunt::front
