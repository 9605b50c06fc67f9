// The set's front door: one address for users. Like the load balancer of PROTOCOL it chooses a
// healthy controller for each connection and never changes what passes; of the first request it
// only looks at the path, since the artifact store and the operators' figures are behind the same
// address.
#pragma once
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "net/http.h"

namespace shunttrail::local_cluster {

class LoadBalancer : public actor::Actor {
 public:
  struct Backend {
    config::Endpoint front, internal;
  };
  LoadBalancer(actor::Loop& loop, const config::Endpoint& at, std::vector<Backend> controllers,
               const config::Endpoint& artifacts);
  ~LoadBalancer() override;
  bool healthy() const;  // some controller is

 private:
  struct BufferFree {
    void operator()(bufferevent* b) const { bufferevent_free(b); }
  };
  using Buffer = std::unique_ptr<bufferevent, BufferFree>;
  // One user's connection and, once its first line has come, the one behind it.
  struct Connection {
    LoadBalancer* balancer = nullptr;
    std::uint64_t id = 0;
    Buffer user, behind;
    int controller = -1;
    int tries = 0;
    bool connected = false;
  };
  struct State {
    std::unique_ptr<net::Client> probe;
    bool up = false;
    int good = 0, bad = 0;
    double skip_until = 0;
    int failures = 0;
  };
  void accept(evutil_socket_t fd);
  void route(Connection& p);
  void connect(Connection& p, const config::Endpoint& to);
  void moved(Connection& p, bool from_user);
  void event(Connection& p, bool at_user, short what);
  void close_when_written(Connection& p, bufferevent* to);
  void close(std::uint64_t id);
  void probe();
  int choose() const;

  std::vector<Backend> controllers_;
  std::vector<State> states_;
  config::Endpoint artifacts_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t next_ = 1;
  struct ListenerFree {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };
  std::unique_ptr<evconnlistener, ListenerFree> listener_;
  actor::Timer timer_;
};

}  // namespace shunttrail::local_cluster
