#include "net/http.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>

namespace shunttrail::net {
namespace {

std::string take(evbuffer* b) {
  std::string s(evbuffer_get_length(b), '\0');
  if (!s.empty()) evbuffer_remove(b, s.data(), s.size());
  return s;
}

struct BufferFree {
  void operator()(evbuffer* b) const { evbuffer_free(b); }
};

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

Answer error_response(int status, const std::string& why, double retry_after_s) {
  return {
      status,
      nlohmann::json{{"error", why}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      retry_after_s};
}

Exchange::Exchange(evhttp_request* r) : req_(r) {
  post = evhttp_request_get_command(r) == EVHTTP_REQ_POST;
  del = evhttp_request_get_command(r) == EVHTTP_REQ_DELETE;
  if (const evhttp_uri* u = evhttp_request_get_evhttp_uri(r)) {
    if (const char* p = evhttp_uri_get_path(u)) path = p;
    if (const char* q = evhttp_uri_get_query(u)) query = q;
  }
  body = take(evhttp_request_get_input_buffer(r));
}
Exchange::Exchange(const std::string& method, const std::string& path_and_query, std::string b,
                   std::function<void(const Answer&)> reply)
    : post(method == "POST"),
      del(method == "DELETE"),
      path(path_and_query.substr(0, path_and_query.find('?'))),
      body(std::move(b)),
      req_(nullptr),
      reply_(std::move(reply)) {
  if (path.size() < path_and_query.size()) query = path_and_query.substr(path.size() + 1);
}
Exchange::~Exchange() {
  if (!answered()) send({503, "{\"error\":\"dropped\"}", 1});
}
void Exchange::send(const Answer& a) {
  if (auto reply = std::exchange(reply_, nullptr)) return reply(a);
  if (!req_) return;
  evhttp_request* r = std::exchange(req_, nullptr);
  evkeyvalq* h = evhttp_request_get_output_headers(r);
  evhttp_add_header(h, "Content-Type", "application/json");
  if (a.retry_after_s > 0)
    evhttp_add_header(h, "Retry-After",
                      std::to_string(static_cast<int>(std::ceil(a.retry_after_s))).c_str());
  std::unique_ptr<evbuffer, BufferFree> out(evbuffer_new());
  evbuffer_add(out.get(), a.body.data(), a.body.size());
  evhttp_send_reply(r, a.status, reason(a.status), out.get());
}

std::string query_value(const std::string& query, const std::string& name) {
  evkeyvalq kv;
  std::string out;
  if (evhttp_parse_query_str(query.c_str(), &kv) == 0) {
    if (const char* v = evhttp_find_header(&kv, name.c_str())) out = v;
    evhttp_clear_headers(&kv);
  }
  return out;
}

Server::Server(actor::Loop& loop, const config::Endpoint& at, std::size_t max_body, Handler handler,
               bool deletes)
    : handler_(std::move(handler)) {
  if (auto* network = dynamic_cast<Network*>(loop.simulated())) {
    listening_ = network->listen(at, handler_);
    return;
  }
  http_.reset(evhttp_new(loop.base()));
  evhttp* h = http_.get();
  evhttp_set_max_body_size(h, static_cast<ssize_t>(max_body));
  evhttp_set_max_headers_size(h, 16 * 1024);
  evhttp_set_timeout(h, 60);
  evhttp_set_allowed_methods(h,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | (deletes ? EVHTTP_REQ_DELETE : 0));
  evhttp_set_gencb(
      h,
      [](evhttp_request* r, void* self) {
        static_cast<Server*>(self)->handler_(std::make_shared<Exchange>(r));
      },
      this);
  if (evhttp_bind_socket(h, at.host.c_str(), at.port) != 0)
    throw std::runtime_error("cannot listen on " + at.host + ":" + std::to_string(at.port));
}

struct Client::Call {
  Client* owner = nullptr;
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path, body;
  double timeout_s = 0;
  Done done;
  ConnPtr conn;
  Network::Handle flight;  // on a simulated network
};

Client::Client(actor::Loop& loop, const config::Endpoint& to, std::size_t max_connections,
               std::size_t max_queue)
    : loop_(loop),
      to_(to),
      max_connections_(max_connections),
      max_queue_(max_queue),
      reap_(loop, [this] { dead_.clear(); }) {}
Client::~Client() = default;

void Client::request(const char* method, std::string path, std::string body, double timeout_s,
                     Done done) {
  auto call = std::make_unique<Call>();
  call->owner = this;
  call->method = !std::strcmp(method, "POST")     ? EVHTTP_REQ_POST
                 : !std::strcmp(method, "DELETE") ? EVHTTP_REQ_DELETE
                                                  : EVHTTP_REQ_GET;
  call->path = std::move(path);
  call->body = std::move(body);
  call->timeout_s = timeout_s;
  call->done = std::move(done);
  if (busy_.size() >= max_connections_) {
    if (queue_.size() >= max_queue_) {
      call->done(Result{});
      return;
    }
    queue_.push_back(std::move(call));
    return;
  }
  start(std::move(call));
}

void Client::start(std::unique_ptr<Call> call) {
  if (auto* network = dynamic_cast<Network*>(loop_.simulated())) {
    Call* c = call.get();
    busy_.push_back(std::move(call));
    const char* method = c->method == EVHTTP_REQ_POST     ? "POST"
                         : c->method == EVHTTP_REQ_DELETE ? "DELETE"
                                                          : "GET";
    c->flight = network->request(to_, method, c->path, c->body, c->timeout_s,
                                 [this, c](Result r) { over(c, std::move(r)); });
    return;
  }
  if (!idle_.empty()) {
    call->conn = std::move(idle_.back());
    idle_.pop_back();
  } else {
    call->conn.reset(evhttp_connection_base_new(loop_.base(), nullptr, to_.host.c_str(), to_.port));
  }
  if (!call->conn) {
    call->done(Result{});
    return;
  }
  timeval tv{static_cast<time_t>(call->timeout_s),
             static_cast<suseconds_t>((call->timeout_s - std::floor(call->timeout_s)) * 1e6)};
  evhttp_connection_set_timeout_tv(call->conn.get(), &tv);
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* req, void* arg) {
        Call* c = static_cast<Call*>(arg);
        c->owner->finished(c, req);
      },
      call.get());
  evkeyvalq* h = evhttp_request_get_output_headers(r);
  evhttp_add_header(h, "Host", (to_.host + ":" + std::to_string(to_.port)).c_str());
  if (!call->body.empty()) {
    evhttp_add_header(h, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(r), call->body.data(), call->body.size());
  }
  Call* c = call.get();
  busy_.push_back(std::move(call));
  if (evhttp_make_request(c->conn.get(), r, c->method, c->path.c_str()) != 0) {
    finished(c, nullptr);
  }
}

void Client::finished(Call* call, evhttp_request* r) {
  Result res;
  if (r) {
    res.status = evhttp_request_get_response_code(r);
    if (res.status) {
      res.body = take(evhttp_request_get_input_buffer(r));
      const char* later = evhttp_find_header(evhttp_request_get_input_headers(r), "Retry-After");
      if (later) res.retry_after_s = std::atof(later);
    }
  }
  over(call, std::move(res));
}

void Client::over(Call* call, Result res) {
  auto it = std::find_if(busy_.begin(), busy_.end(), [&](auto& p) { return p.get() == call; });
  if (it == busy_.end()) return;
  std::unique_ptr<Call> mine = std::move(*it);
  busy_.erase(it);
  if (!mine->conn) {
    // A simulated network has no connections.
  } else if (res.status) {
    idle_.push_back(std::move(mine->conn));
  } else {
    // libevent still uses the connection when this callback returns.
    dead_.push_back(std::move(mine->conn));
    reap_.after(0);
  }
  if (!queue_.empty()) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    start(std::move(next));
  }
  mine->done(std::move(res));
}

}  // namespace shunttrail::net
