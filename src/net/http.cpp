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

constexpr ssize_t kMaxHeaderBytes = 16 * 1024;
constexpr int kServerTimeoutS = 60;

// Removes all bytes from the buffer and returns them.
std::string drain_buffer(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  if (!bytes.empty()) evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

struct BufferFree {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};

const char* reason_phrase(int status) {
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

evhttp_cmd_type command_of(const char* method) {
  if (!std::strcmp(method, "POST")) return EVHTTP_REQ_POST;
  if (!std::strcmp(method, "DELETE")) return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

const char* method_of(evhttp_cmd_type command) {
  if (command == EVHTTP_REQ_POST) return "POST";
  return command == EVHTTP_REQ_DELETE ? "DELETE" : "GET";
}

timeval to_timeval(double seconds) {
  const double whole = std::floor(seconds);
  return {static_cast<time_t>(seconds), static_cast<suseconds_t>((seconds - whole) * 1e6)};
}

// Returns the outcome of a request that libevent has finished; `request` is null if the connection
// failed.
Result to_result(evhttp_request* request) {
  Result result;
  if (request) result.status = evhttp_request_get_response_code(request);
  if (!result.status) return result;
  result.body = drain_buffer(evhttp_request_get_input_buffer(request));
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  if (const char* retry_after = evhttp_find_header(headers, "Retry-After"))
    result.retry_after_s = std::atof(retry_after);
  return result;
}

}  // namespace

Answer error_response(int status, const std::string& why, double retry_after_s) {
  return {
      status,
      nlohmann::json{{"error", why}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      retry_after_s};
}

Exchange::Exchange(evhttp_request* request) : request_(request) {
  post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  del = evhttp_request_get_command(request) == EVHTTP_REQ_DELETE;
  if (const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request)) {
    if (const char* text = evhttp_uri_get_path(uri)) path = text;
    if (const char* text = evhttp_uri_get_query(uri)) query = text;
  }
  body = drain_buffer(evhttp_request_get_input_buffer(request));
}

Exchange::Exchange(const std::string& method, const std::string& path_and_query,
                   std::string request_body, std::function<void(const Answer&)> reply)
    : post(method == "POST"),
      del(method == "DELETE"),
      path(path_and_query.substr(0, path_and_query.find('?'))),
      body(std::move(request_body)),
      request_(nullptr),
      reply_(std::move(reply)) {
  if (path.size() < path_and_query.size()) query = path_and_query.substr(path.size() + 1);
}

Exchange::~Exchange() {
  if (!answered()) send({503, "{\"error\":\"dropped\"}", 1});
}

void Exchange::send(const Answer& answer) {
  if (auto reply = std::exchange(reply_, nullptr)) return reply(answer);
  if (!request_) return;
  evhttp_request* request = std::exchange(request_, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (answer.retry_after_s > 0) {
    const int seconds = static_cast<int>(std::ceil(answer.retry_after_s));
    evhttp_add_header(headers, "Retry-After", std::to_string(seconds).c_str());
  }
  const std::unique_ptr<evbuffer, BufferFree> body_buffer(evbuffer_new());
  evbuffer_add(body_buffer.get(), answer.body.data(), answer.body.size());
  evhttp_send_reply(request, answer.status, reason_phrase(answer.status), body_buffer.get());
}

std::string query_value(const std::string& query, const std::string& name) {
  evkeyvalq parameters;
  if (evhttp_parse_query_str(query.c_str(), &parameters) != 0) return "";
  const char* found = evhttp_find_header(&parameters, name.c_str());
  std::string value = found ? found : "";
  evhttp_clear_headers(&parameters);
  return value;
}

Server::Server(actor::Loop& loop, const config::Endpoint& at, std::size_t max_body, Handler handler,
               bool allow_delete)
    : handler_(std::move(handler)) {
  if (auto* network = dynamic_cast<Network*>(loop.simulated()))
    listening_ = network->listen(at, handler_);
  else
    listen(loop, at, max_body, allow_delete);
}

void Server::listen(actor::Loop& loop, const config::Endpoint& at, std::size_t max_body,
                    bool allow_delete) {
  http_.reset(evhttp_new(loop.base()));
  evhttp* http = http_.get();
  evhttp_set_max_body_size(http, static_cast<ssize_t>(max_body));
  evhttp_set_max_headers_size(http, kMaxHeaderBytes);
  evhttp_set_timeout(http, kServerTimeoutS);
  const int deletion = allow_delete ? EVHTTP_REQ_DELETE : 0;
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | deletion);
  evhttp_set_gencb(
      http,
      [](evhttp_request* request, void* self) {
        static_cast<Server*>(self)->handler_(std::make_shared<Exchange>(request));
      },
      this);
  if (evhttp_bind_socket(http, at.host.c_str(), at.port) != 0)
    throw std::runtime_error("cannot listen on " + at.host + ":" + std::to_string(at.port));
}

struct Client::Call {
  Client* client = nullptr;
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path, body;
  double timeout_s = 0;
  Done done;
  ConnectionPtr connection;
  Network::Handle in_flight;  // the request, on a simulated network
};

Client::Client(actor::Loop& loop, const config::Endpoint& to, std::size_t max_connections,
               std::size_t max_queue)
    : loop_(loop),
      to_(to),
      max_connections_(max_connections),
      max_queue_(max_queue),
      free_failed_timer_(loop, [this] { failed_connections_.clear(); }) {}

Client::~Client() = default;

void Client::request(const char* method, std::string path, std::string body, double timeout_s,
                     Done done) {
  auto call = std::make_unique<Call>();
  call->client = this;
  call->method = command_of(method);
  call->path = std::move(path);
  call->body = std::move(body);
  call->timeout_s = timeout_s;
  call->done = std::move(done);
  if (active_.size() < max_connections_)
    start(std::move(call));
  else if (queued_.size() < max_queue_)
    queued_.push_back(std::move(call));
  else
    call->done(Result{});
}

void Client::start(std::unique_ptr<Call> call) {
  if (auto* network = dynamic_cast<Network*>(loop_.simulated()))
    return start_simulated(*network, std::move(call));
  call->connection = take_connection();
  if (!call->connection) {
    call->done(Result{});
    return;
  }
  const timeval timeout = to_timeval(call->timeout_s);
  evhttp_connection_set_timeout_tv(call->connection.get(), &timeout);
  evhttp_request* request = make_request(*call);
  Call* started = call.get();
  active_.push_back(std::move(call));
  const int error = evhttp_make_request(started->connection.get(), request, started->method,
                                        started->path.c_str());
  if (error != 0) on_response(started, nullptr);
}

void Client::start_simulated(Network& network, std::unique_ptr<Call> call) {
  Call* started = call.get();
  active_.push_back(std::move(call));
  started->in_flight = network.request(
      to_, method_of(started->method), started->path, started->body, started->timeout_s,
      [this, started](Result result) { complete(started, std::move(result)); });
}

// Returns an idle connection, or else a new one; null if none can be made.
Client::ConnectionPtr Client::take_connection() {
  if (idle_connections_.empty())
    return ConnectionPtr(
        evhttp_connection_base_new(loop_.base(), nullptr, to_.host.c_str(), to_.port));
  ConnectionPtr connection = std::move(idle_connections_.back());
  idle_connections_.pop_back();
  return connection;
}

evhttp_request* Client::make_request(Call& call) const {
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* finished_request, void* argument) {
        Call* finished_call = static_cast<Call*>(argument);
        finished_call->client->on_response(finished_call, finished_request);
      },
      &call);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", (to_.host + ":" + std::to_string(to_.port)).c_str());
  if (!call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
  }
  return request;
}

void Client::on_response(Call* call, evhttp_request* request) {
  complete(call, to_result(request));
}

void Client::complete(Call* call, Result result) {
  auto found = std::find_if(active_.begin(), active_.end(),
                            [&](const auto& active) { return active.get() == call; });
  if (found == active_.end()) return;
  const std::unique_ptr<Call> owned = std::move(*found);
  active_.erase(found);
  release_connection(std::move(owned->connection), result.status != 0);
  start_next();
  owned->done(std::move(result));
}

// Keeps a usable connection for later requests and frees a failed one. `connection` is null on a
// simulated network.
void Client::release_connection(ConnectionPtr connection, bool is_usable) {
  if (!connection) return;
  if (is_usable) {
    idle_connections_.push_back(std::move(connection));
    return;
  }
  // libevent still uses the connection after this callback returns, so it is freed in a later
  // event.
  failed_connections_.push_back(std::move(connection));
  free_failed_timer_.after(0);
}

void Client::start_next() {
  if (queued_.empty()) return;
  auto next = std::move(queued_.front());
  queued_.pop_front();
  start(std::move(next));
}

}  // namespace shunttrail::net
