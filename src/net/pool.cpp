#include "net/pool.h"

namespace shunttrail::net {
namespace {
constexpr std::size_t kQueued = 4;  // of one machine's, whatever the fleet's size: requests that
                                    // wait for one server's connection
}  // namespace

Client& Pool::at(const std::string& name, const config::Endpoint& to, std::size_t most) {
  if (auto known = clients_.find(name); known != clients_.end()) return *known->second;
  for (auto it = clients_.begin(); it != clients_.end() && clients_.size() >= most;)
    it = it->second->idle() ? clients_.erase(it) : std::next(it);
  return *clients_.emplace(name, std::make_unique<Client>(loop_, to, 1, kQueued)).first->second;
}

}  // namespace shunttrail::net
