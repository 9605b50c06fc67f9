// Clients to many servers, by name, each with one connection that stays open, and a limit on their
// number: a process may hold so many sockets, and its own servers need some of them.
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
  /// The client of this name, made if there is none. Beyond `max_clients` (from 1), idle ones are
  /// closed for it; where all are busy there is one more.
  Client& at(const std::string& name, const config::Endpoint& to, std::size_t max_clients);
  void erase(const std::string& name) { clients_.erase(name); }
  void clear() { clients_.clear(); }
  [[nodiscard]] std::size_t size() const { return clients_.size(); }

 private:
  actor::Loop& loop_;
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;
};

}  // namespace shunttrail::net
