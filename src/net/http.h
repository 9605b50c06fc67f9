// HTTP over libevent: a server that may answer a request later, and a client with a pool of
// connections. On a simulated host both use the simulated network instead.
#pragma once
#include <event2/http.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "config/settings.h"

namespace shunttrail::net {

/// A server's response to a request.
struct Answer {
  int status = 200;
  std::string body;
  double retry_after_s = 0;  ///< value of the Retry-After header; 0: no such header
};
/// Returns an error response with the body {"error": why}.
[[nodiscard]] Answer error_response(int status, const std::string& why, double retry_after_s = 0);

/// A request on the server's side. It is answered exactly once: if it is destroyed before it is
/// answered, the client gets 503.
class Exchange {
 public:
  explicit Exchange(evhttp_request* request);
  /// Makes a request of a simulated network. `reply` is called once, with the response.
  Exchange(const std::string& method, const std::string& path_and_query, std::string body,
           std::function<void(const Answer&)> reply);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  void send(const Answer& answer);
  [[nodiscard]] bool answered() const { return !request_ && !reply_; }

  bool post = false;  ///< true for POST
  bool del = false;   ///< true for DELETE, which only some servers accept
  std::string path;   ///< without the query
  std::string query;  ///< still percent-encoded
  std::string body;

 private:
  evhttp_request* request_;                   // null if answered or simulated
  std::function<void(const Answer&)> reply_;  // empty if answered or not simulated
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// Returns the value of a query parameter, or an empty string if it is absent.
[[nodiscard]] std::string query_value(const std::string& query, const std::string& name);

/// Outcome of a client's request.
struct Result {
  int status = 0;  ///< HTTP status; 0: no response
  std::string body;
  double retry_after_s = 0;  ///< value of the Retry-After header; 0: no such header
};

/// The network of a simulated host. The host's actor::EventSource implements this class too.
class Network {
 public:
  using Handle = std::shared_ptr<void>;
  using Handler = std::function<void(ExchangePtr)>;
  virtual ~Network() = default;
  /// Starts a server at the address. Releasing the handle stops it.
  [[nodiscard]] virtual Handle listen(const config::Endpoint& at, Handler handler) = 0;
  /// Sends a request. `done` is called once, in an event of its own, unless the handle is released
  /// before that.
  [[nodiscard]] virtual Handle request(const config::Endpoint& to, std::string method,
                                       std::string path, std::string body, double timeout_s,
                                       std::function<void(Result)> done) = 0;
};

/// An HTTP server at one address.
class Server {
 public:
  using Handler = std::function<void(ExchangePtr)>;
  /// Starts to listen. `max_body` is the maximum size of a request body in bytes. The server
  /// accepts GET and POST, and DELETE if `allow_delete` is true. Throws std::runtime_error if it
  /// cannot listen on the address.
  Server(actor::Loop& loop, const config::Endpoint& at, std::size_t max_body, Handler handler,
         bool allow_delete = false);

 private:
  struct HttpFree {
    void operator()(evhttp* http) const { evhttp_free(http); }
  };
  void listen(actor::Loop& loop, const config::Endpoint& at, std::size_t max_body,
              bool allow_delete);

  Handler handler_;
  std::unique_ptr<evhttp, HttpFree> http_;
  Network::Handle listening_;
};

/// Sends requests to one server over a limited number of connections, which stay open.
class Client {
 public:
  using Done = std::function<void(Result)>;
  Client(actor::Loop& loop, const config::Endpoint& to, std::size_t max_connections,
         std::size_t max_queue);
  ~Client();
  /// Returns true if no request is in flight or queued.
  [[nodiscard]] bool idle() const { return active_.empty() && queued_.empty(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  /// Sends a request, or queues it if all connections are in use. `method` is "GET", "POST" or
  /// "DELETE"; the body of a GET is empty. If the queue is full, `done` is called at once with
  /// status 0.
  void request(const char* method, std::string path, std::string body, double timeout_s, Done done);

 private:
  struct Call;
  struct ConnectionFree {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
  };
  using ConnectionPtr = std::unique_ptr<evhttp_connection, ConnectionFree>;
  void start(std::unique_ptr<Call> call);
  void start_simulated(Network& network, std::unique_ptr<Call> call);
  [[nodiscard]] ConnectionPtr take_connection();
  [[nodiscard]] evhttp_request* make_request(Call& call) const;
  void on_response(Call* call, evhttp_request* request);
  void complete(Call* call, Result result);
  void release_connection(ConnectionPtr connection, bool is_usable);
  void start_next();

  actor::Loop& loop_;
  config::Endpoint to_;
  std::size_t max_connections_, max_queue_;
  std::vector<ConnectionPtr> idle_connections_;
  std::vector<std::unique_ptr<Call>> active_;
  std::deque<std::unique_ptr<Call>> queued_;
  // Failed connections. They are freed outside of libevent's callback, which still uses them.
  std::vector<ConnectionPtr> failed_connections_;
  actor::Timer free_failed_timer_;
};

}  // namespace shunttrail::net
