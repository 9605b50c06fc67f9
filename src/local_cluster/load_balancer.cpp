#include "local_cluster/load_balancer.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>

#include <algorithm>
#include <stdexcept>

namespace shunttrail::local_cluster {
namespace {
constexpr std::size_t kFirstLine = 4096;
constexpr double kProbeEvery = 0.5, kSkip = 3;
constexpr int kTries = 3, kFailures = 3;
constexpr int kConnectMs = 500;

sockaddr_in address(const config::Endpoint& e) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(e.port);
  if (inet_pton(AF_INET, e.host.c_str(), &a.sin_addr) != 1)
    throw std::runtime_error(e.host + " is not an address");
  return a;
}
}  // namespace

LoadBalancer::LoadBalancer(actor::Loop& loop, const config::Endpoint& at,
                           std::vector<Backend> controllers, const config::Endpoint& artifacts)
    : Actor(loop),
      controllers_(std::move(controllers)),
      states_(controllers_.size()),
      artifacts_(artifacts),
      timer_(loop, [this] {
        probe();
        timer_.after(kProbeEvery);
      }) {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    states_[i].probe = std::make_unique<net::Client>(loop, controllers_[i].front, 1, 1);
  sockaddr_in a = address(at);
  listener_.reset(evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<LoadBalancer*>(self)->accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr*>(&a), sizeof a));
  if (!listener_)
    throw std::runtime_error("cannot listen on " + at.host + ":" + std::to_string(at.port));
  timer_.after(0);
}
LoadBalancer::~LoadBalancer() = default;

bool LoadBalancer::healthy() const {
  return std::any_of(states_.begin(), states_.end(), [](const State& s) { return s.up; });
}

void LoadBalancer::probe() {
  for (std::size_t i = 0; i < states_.size(); ++i)
    states_[i].probe->request("GET", "/up", "", 1, reply<net::Result>([this, i](net::Result r) {
                                State& s = states_[i];
                                bool ok = r.status == 200;
                                s.good = ok ? s.good + 1 : 0;
                                s.bad = ok ? 0 : s.bad + 1;
                                if (s.good >= 1) s.up = true;
                                if (s.bad >= 2) s.up = false;
                              }));
}

// The healthy one with the fewest users; nothing: none is.
int LoadBalancer::choose() const {
  std::vector<int> open(states_.size(), 0);
  for (const auto& [id, p] : connections_)
    if (p->controller >= 0) ++open[static_cast<std::size_t>(p->controller)];
  int best = -1;
  double now = actor::steady_now();
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (!states_[i].up || states_[i].skip_until > now) continue;
    if (best < 0 || open[i] < open[static_cast<std::size_t>(best)]) best = static_cast<int>(i);
  }
  return best;
}

void LoadBalancer::accept(evutil_socket_t fd) {
  auto p = std::make_unique<Connection>();
  p->balancer = this;
  p->id = next_++;
  evutil_make_socket_nonblocking(fd);
  p->user.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      p->user.get(),
      [](bufferevent*, void* arg) {
        auto* pass = static_cast<Connection*>(arg);
        pass->balancer->moved(*pass, true);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* pass = static_cast<Connection*>(arg);
        pass->balancer->event(*pass, true, what);
      },
      p.get());
  bufferevent_enable(p->user.get(), EV_READ | EV_WRITE);
  connections_[p->id] = std::move(p);
}

void LoadBalancer::route(Connection& p) {
  evbuffer* in = bufferevent_get_input(p.user.get());
  std::string head(std::min(evbuffer_get_length(in), kFirstLine), '\0');
  evbuffer_copyout(in, head.data(), head.size());
  auto end = head.find('\n');
  if (end == std::string::npos) {
    if (head.size() >= kFirstLine) close(p.id);
    return;
  }
  auto space = head.find(' ');
  std::string path = space < end ? head.substr(space + 1, end - space - 1) : "";
  if (path.starts_with("/depot/")) return connect(p, artifacts_);
  int c = choose();
  if (c < 0) {
    // Answered at once, never held back.
    static const std::string later =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
        "Content-Length: 19\r\nConnection: close\r\n\r\n{\"error\":\"not now\"}";
    bufferevent_write(p.user.get(), later.data(), later.size());
    bufferevent_disable(p.user.get(), EV_READ);
    close_when_written(p, p.user.get());
    return;
  }
  p.controller = c;
  const Backend& b = controllers_[static_cast<std::size_t>(c)];
  // What operators ask for, on the set's one address.
  const bool inside =
      path.starts_with("/metrics") || path.starts_with("/levels") || path.starts_with("/links");
  connect(p, inside ? b.internal : b.front);
}

void LoadBalancer::connect(Connection& p, const config::Endpoint& to) {
  ++p.tries;
  p.behind.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      p.behind.get(),
      [](bufferevent*, void* arg) {
        auto* pass = static_cast<Connection*>(arg);
        pass->balancer->moved(*pass, false);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* pass = static_cast<Connection*>(arg);
        pass->balancer->event(*pass, false, what);
      },
      &p);
  timeval wait{0, kConnectMs * 1000};
  bufferevent_set_timeouts(p.behind.get(), nullptr, &wait);
  sockaddr_in a = address(to);
  if (bufferevent_socket_connect(p.behind.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0)
    return;  // the event callback has been told
  bufferevent_enable(p.behind.get(), EV_READ | EV_WRITE);
}

void LoadBalancer::moved(Connection& p, bool from_user) {
  if (!p.behind) return route(p);
  if (!p.connected) return;  // what the user sent waits
  bufferevent* from = from_user ? p.user.get() : p.behind.get();
  bufferevent* to = from_user ? p.behind.get() : p.user.get();
  bufferevent_write_buffer(to, bufferevent_get_input(from));
}

void LoadBalancer::event(Connection& p, bool at_user, short what) {
  if (!at_user && (what & BEV_EVENT_CONNECTED)) {
    p.connected = true;
    if (p.controller >= 0) states_[static_cast<std::size_t>(p.controller)].failures = 0;
    bufferevent_set_timeouts(p.behind.get(), nullptr, nullptr);
    return moved(p, true);
  }
  if (!at_user && !p.connected && p.controller >= 0) {
    // Another one, as long as nothing of the request has been sent.
    State& s = states_[static_cast<std::size_t>(p.controller)];
    if (++s.failures >= kFailures) {
      s.skip_until = actor::steady_now() + kSkip;
      s.failures = 0;
    }
    if (p.tries < kTries)
      return post([this, id = p.id] {
        auto it = connections_.find(id);
        if (it == connections_.end()) return;
        it->second->behind.reset();
        it->second->controller = -1;
        route(*it->second);
      });
  }
  // What is still to be written to the other side goes first.
  Buffer& other = at_user ? p.behind : p.user;
  if (!at_user && p.connected && other) moved(p, false);
  if (!at_user && other && evbuffer_get_length(bufferevent_get_output(other.get())) > 0) {
    close_when_written(p, other.get());
    return;
  }
  close(p.id);
}

void LoadBalancer::close_when_written(Connection& p, bufferevent* to) {
  bufferevent_setcb(
      to, nullptr,
      [](bufferevent*, void* arg) {
        auto* pass = static_cast<Connection*>(arg);
        pass->balancer->close(pass->id);
      },
      [](bufferevent*, short, void* arg) {
        auto* pass = static_cast<Connection*>(arg);
        pass->balancer->close(pass->id);
      },
      &p);
}

void LoadBalancer::close(std::uint64_t id) {
  post([this, id] { connections_.erase(id); });
}

}  // namespace shunttrail::local_cluster
