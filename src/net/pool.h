// Clients to many servers, by name, each with one connection that stays open; so many at the most.
// A process may hold so many sockets, and its own doors need them too.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http.h"

namespace shunttrail::net {

class Pool {
 public:
  explicit Pool(actor::Loop& loop) : loop_(loop) {}
  // The client of this name, made if there is none. Beyond `most` (from 1), one that has nothing
  // out is closed for it; where all are busy there is one more.
  Client& at(const std::string& name, const config::Endpoint& to, std::size_t most);
  void erase(const std::string& name) { clients_.erase(name); }
  void clear() { clients_.clear(); }
  std::size_t size() const { return clients_.size(); }

 private:
  actor::Loop& loop_;
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;
};

}  // namespace shunttrail::net
