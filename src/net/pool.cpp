#include "net/pool.h"

namespace shunttrail::net {
namespace {
constexpr std::size_t kMaxQueue =
    4;  // maximum number of requests that wait for the connection of one client
}  // namespace

Client& Pool::at(const std::string& name, const config::Endpoint& to, std::size_t max_clients) {
  if (auto known = clients_.find(name); known != clients_.end()) return *known->second;
  for (auto it = clients_.begin(); it != clients_.end() && clients_.size() >= max_clients;)
    it = it->second->idle() ? clients_.erase(it) : std::next(it);
  return *clients_.emplace(name, std::make_unique<Client>(loop_, to, 1, kMaxQueue)).first->second;
}

}  // namespace shunttrail::net
