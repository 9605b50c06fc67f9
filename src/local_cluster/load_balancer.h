// The local cluster's load balancer, which offers users one address. As PROTOCOL requires, it
// chooses a healthy controller for each connection and forwards bytes unchanged. It reads only the
// path of a connection's first request, to route requests for the artifact store and for the
// operators' endpoints, which share the address.
#pragma once
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "net/http.h"

namespace shunttrail::local_cluster {

class LoadBalancer : public actor::Actor {
 public:
  struct Backend {
    config::Endpoint front;     ///< address for users
    config::Endpoint internal;  ///< address for operators
  };
  /// Throws std::runtime_error if the address is invalid or in use.
  LoadBalancer(actor::Loop& loop, const config::Endpoint& address, std::vector<Backend> controllers,
               const config::Endpoint& artifacts);
  ~LoadBalancer() override;
  /// Returns whether at least one controller is healthy.
  [[nodiscard]] bool healthy() const;

 private:
  struct BufferFree {
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
  };
  struct ListenerFree {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  using Buffer = std::unique_ptr<bufferevent, BufferFree>;
  enum class Side { user, backend };

  // A user's connection and, once the first request line has arrived, the connection to a backend.
  struct Connection {
    LoadBalancer* balancer = nullptr;
    std::uint64_t id = 0;
    Buffer user;
    Buffer backend;
    std::optional<std::size_t> controller;  // empty: the artifact store, or not yet chosen
    int tries = 0;
    bool is_connected = false;  // the connection to the backend is established
    Buffer& buffer(Side side) { return side == Side::user ? user : backend; }
  };
  // The health of one controller, from probes and from connections.
  struct Health {
    std::unique_ptr<net::Client> probe;
    bool is_up = false;
    int successful_probes = 0, failed_probes = 0;  // in a row
    double skip_until = 0;                         // steady clock: no connections before this time
    int failed_connections = 0;                    // in a row
  };

  void listen(const config::Endpoint& address);
  void accept(evutil_socket_t fd);
  void set_callbacks(Connection& connection, Side side);
  void route(Connection& connection);
  void connect_to_controller(Connection& connection, const std::string& path);
  void connect(Connection& connection, const config::Endpoint& to);
  void refuse(Connection& connection);
  void forward_data(Connection& connection, Side from);
  void handle_event(Connection& connection, Side side, short events);
  void handle_connected(Connection& connection);
  [[nodiscard]] bool retry(Connection& connection);
  void forward_rest_and_close(Connection& connection, Side closed);
  void close_when_written(Connection& connection, bufferevent* buffer);
  void close(std::uint64_t id);
  void probe();
  void record_probe(Health& health, bool is_ok);
  [[nodiscard]] std::optional<std::size_t> choose_controller() const;

  std::vector<Backend> controllers_;
  std::vector<Health> health_;  // by index in controllers_
  config::Endpoint artifacts_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t next_id_ = 1;
  std::unique_ptr<evconnlistener, ListenerFree> listener_;
  actor::Timer timer_;
};

}  // namespace shunttrail::local_cluster
