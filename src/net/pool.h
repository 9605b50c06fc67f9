// A pool of HTTP clients to many servers. Each client keeps one connection open. The number of
// clients is limited, since the process has a quota of sockets and its own servers need some of
// them.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http.h"

namespace shunttrail::net {

/// Clients by name.
class Pool {
 public:
  explicit Pool(actor::Loop& loop) : loop_(loop) {}
  /// Returns the client of this name; makes it if there is none. If there are `max_clients` (at
  /// least 1) already, idle clients are closed first; if all are busy, the limit is exceeded.
  Client& at(const std::string& name, const config::Endpoint& to, std::size_t max_clients);
  void erase(const std::string& name) { clients_.erase(name); }
  void clear() { clients_.clear(); }
  [[nodiscard]] std::size_t size() const { return clients_.size(); }

 private:
  actor::Loop& loop_;
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;
};

}  // namespace shunttrail::net
