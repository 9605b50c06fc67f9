#include "local_cluster/load_balancer.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>

#include <algorithm>
#include <stdexcept>

namespace shunttrail::local_cluster {
namespace {

constexpr std::size_t kMaxFirstLine = 4096;  // bytes
constexpr double kProbeIntervalS = 0.5, kProbeTimeoutS = 1;
constexpr int kProbesToMarkUp = 1, kProbesToMarkDown = 2;
constexpr double kSkipS = 3;  // no connections for so long to a controller that accepts none
constexpr int kMaxTries = 3;  // connection attempts for each user connection
constexpr int kFailuresToSkip = 3;
constexpr int kConnectTimeoutMs = 500;
constexpr const char* kOperatorPaths[] = {"/metrics", "/levels", "/links"};

sockaddr_in to_sockaddr(const config::Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1)
    throw std::runtime_error(endpoint.host + " is not an IPv4 address");
  return address;
}

// Returns the part of the first request line, which ends at `line_end`, from its path on.
std::string path_of(const std::string& head, std::size_t line_end) {
  const auto space = head.find(' ');
  return space < line_end ? head.substr(space + 1, line_end - space - 1) : "";
}

bool is_for_operators(const std::string& path) {
  return std::any_of(std::begin(kOperatorPaths), std::end(kOperatorPaths),
                     [&](const char* prefix) { return path.starts_with(prefix); });
}

}  // namespace

LoadBalancer::LoadBalancer(actor::Loop& loop, const config::Endpoint& address,
                           std::vector<Backend> controllers, const config::Endpoint& artifacts)
    : Actor(loop),
      controllers_(std::move(controllers)),
      health_(controllers_.size()),
      artifacts_(artifacts),
      timer_(loop, [this] {
        probe();
        timer_.after(kProbeIntervalS);
      }) {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    health_[i].probe = std::make_unique<net::Client>(loop, controllers_[i].front, 1, 1);
  listen(address);
  timer_.after(0);
}

LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::listen(const config::Endpoint& address) {
  sockaddr_in socket_address = to_sockaddr(address);
  listener_.reset(evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<LoadBalancer*>(self)->accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address));
  if (!listener_)
    throw std::runtime_error("cannot listen on " + address.host + ":" +
                             std::to_string(address.port));
}

bool LoadBalancer::healthy() const {
  return std::any_of(health_.begin(), health_.end(),
                     [](const Health& health) { return health.is_up; });
}

void LoadBalancer::probe() {
  for (std::size_t i = 0; i < health_.size(); ++i)
    health_[i].probe->request("GET", "/up", "", kProbeTimeoutS,
                              reply<net::Result>([this, i](net::Result result) {
                                record_probe(health_[i], result.status == 200);
                              }));
}

void LoadBalancer::record_probe(Health& health, bool is_ok) {
  health.successful_probes = is_ok ? health.successful_probes + 1 : 0;
  health.failed_probes = is_ok ? 0 : health.failed_probes + 1;
  if (health.successful_probes >= kProbesToMarkUp) health.is_up = true;
  if (health.failed_probes >= kProbesToMarkDown) health.is_up = false;
}

// Returns the healthy controller with the fewest connections, or nothing if none is healthy.
std::optional<std::size_t> LoadBalancer::choose_controller() const {
  std::vector<int> users(health_.size(), 0);
  for (const auto& [id, connection] : connections_)
    if (connection->controller) ++users[*connection->controller];
  const double now = actor::steady_now();
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < health_.size(); ++i) {
    if (!health_[i].is_up || health_[i].skip_until > now) continue;
    if (!best || users[i] < users[*best]) best = i;
  }
  return best;
}

void LoadBalancer::accept(evutil_socket_t fd) {
  auto connection = std::make_unique<Connection>();
  connection->balancer = this;
  connection->id = next_id_++;
  evutil_make_socket_nonblocking(fd);
  connection->user.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  set_callbacks(*connection, Side::user);
  bufferevent_enable(connection->user.get(), EV_READ | EV_WRITE);
  connections_[connection->id] = std::move(connection);
}

// Libevent passes one pointer to a callback, so each side has callbacks of its own.
void LoadBalancer::set_callbacks(Connection& connection, Side side) {
  if (side == Side::user)
    bufferevent_setcb(
        connection.user.get(),
        [](bufferevent*, void* argument) {
          auto* proxied = static_cast<Connection*>(argument);
          proxied->balancer->forward_data(*proxied, Side::user);
        },
        nullptr,
        [](bufferevent*, short events, void* argument) {
          auto* proxied = static_cast<Connection*>(argument);
          proxied->balancer->handle_event(*proxied, Side::user, events);
        },
        &connection);
  else
    bufferevent_setcb(
        connection.backend.get(),
        [](bufferevent*, void* argument) {
          auto* proxied = static_cast<Connection*>(argument);
          proxied->balancer->forward_data(*proxied, Side::backend);
        },
        nullptr,
        [](bufferevent*, short events, void* argument) {
          auto* proxied = static_cast<Connection*>(argument);
          proxied->balancer->handle_event(*proxied, Side::backend, events);
        },
        &connection);
}

void LoadBalancer::route(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.user.get());
  std::string head(std::min(evbuffer_get_length(input), kMaxFirstLine), '\0');
  evbuffer_copyout(input, head.data(), head.size());
  const auto line_end = head.find('\n');
  if (line_end == std::string::npos) {
    if (head.size() >= kMaxFirstLine) close(connection.id);
    return;
  }
  const std::string path = path_of(head, line_end);
  if (path.starts_with("/depot/"))
    connect(connection, artifacts_);
  else
    connect_to_controller(connection, path);
}

void LoadBalancer::connect_to_controller(Connection& connection, const std::string& path) {
  connection.controller = choose_controller();
  if (!connection.controller) return refuse(connection);
  const Backend& backend = controllers_[*connection.controller];
  connect(connection, is_for_operators(path) ? backend.internal : backend.front);
}

// Answers 503 at once instead of queueing the request.
void LoadBalancer::refuse(Connection& connection) {
  static const std::string kAnswer =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
      "Content-Length: 19\r\nConnection: close\r\n\r\n{\"error\":\"not now\"}";
  bufferevent_write(connection.user.get(), kAnswer.data(), kAnswer.size());
  bufferevent_disable(connection.user.get(), EV_READ);
  close_when_written(connection, connection.user.get());
}

void LoadBalancer::connect(Connection& connection, const config::Endpoint& to) {
  ++connection.tries;
  connection.backend.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  set_callbacks(connection, Side::backend);
  const timeval timeout{0, kConnectTimeoutMs * 1000};
  bufferevent_set_timeouts(connection.backend.get(), nullptr, &timeout);
  sockaddr_in address = to_sockaddr(to);
  const int error = bufferevent_socket_connect(
      connection.backend.get(), reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (error != 0) return;  // libevent has already called handle_event()
  bufferevent_enable(connection.backend.get(), EV_READ | EV_WRITE);
}

void LoadBalancer::forward_data(Connection& connection, Side from) {
  if (!connection.backend) return route(connection);
  if (!connection.is_connected) return;  // the user's data stays in the buffer until then
  const Side to = from == Side::user ? Side::backend : Side::user;
  bufferevent_write_buffer(connection.buffer(to).get(),
                           bufferevent_get_input(connection.buffer(from).get()));
}

void LoadBalancer::handle_event(Connection& connection, Side side, short events) {
  const bool is_backend = side == Side::backend;
  if (is_backend && (events & BEV_EVENT_CONNECTED)) return handle_connected(connection);
  const bool has_failed = is_backend && !connection.is_connected && connection.controller;
  if (has_failed && retry(connection)) return;
  forward_rest_and_close(connection, side);
}

void LoadBalancer::handle_connected(Connection& connection) {
  connection.is_connected = true;
  if (connection.controller) health_[*connection.controller].failed_connections = 0;
  bufferevent_set_timeouts(connection.backend.get(), nullptr, nullptr);
  forward_data(connection, Side::user);
}

// Connects to another controller; nothing of the request has been sent yet. Returns false if all
// kMaxTries attempts have been made.
bool LoadBalancer::retry(Connection& connection) {
  Health& health = health_[*connection.controller];
  if (++health.failed_connections >= kFailuresToSkip) {
    health.skip_until = actor::steady_now() + kSkipS;
    health.failed_connections = 0;
  }
  if (connection.tries >= kMaxTries) return false;
  post([this, id = connection.id] {
    auto found = connections_.find(id);
    if (found == connections_.end()) return;
    found->second->backend.reset();
    found->second->controller.reset();
    route(*found->second);
  });
  return true;
}

// Closes the connection after the remaining output has been written to the user.
void LoadBalancer::forward_rest_and_close(Connection& connection, Side closed) {
  if (closed == Side::backend) {
    if (connection.is_connected) forward_data(connection, Side::backend);
    evbuffer* unwritten = bufferevent_get_output(connection.user.get());
    if (evbuffer_get_length(unwritten) > 0)
      return close_when_written(connection, connection.user.get());
  }
  close(connection.id);
}

void LoadBalancer::close_when_written(Connection& connection, bufferevent* buffer) {
  bufferevent_setcb(
      buffer, nullptr,
      [](bufferevent*, void* argument) {
        auto* proxied = static_cast<Connection*>(argument);
        proxied->balancer->close(proxied->id);
      },
      [](bufferevent*, short, void* argument) {
        auto* proxied = static_cast<Connection*>(argument);
        proxied->balancer->close(proxied->id);
      },
      &connection);
}

void LoadBalancer::close(std::uint64_t id) {
  post([this, id] { connections_.erase(id); });
}

}  // namespace shunttrail::local_cluster
