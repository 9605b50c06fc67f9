// HTTP over libevent: a server whose requests may be answered later, and a client with a pool. On a
// simulated host both go through its network instead.
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

/// A server's answer to a request.
struct Answer {
  int status = 200;
  std::string body;
  double retry_after_s = 0;  ///< 0: no Retry-After
};
/// A refusal that says why: {"error": why}.
[[nodiscard]] Answer error_response(int status, const std::string& why, double retry_after_s = 0);

/// One request on the server's side. Answered exactly once; dropping it unanswered answers 503.
class Exchange {
 public:
  explicit Exchange(evhttp_request* request);
  /// Of a simulated network: `reply` is called once.
  Exchange(const std::string& method, const std::string& path_and_query, std::string body,
           std::function<void(const Answer&)> reply);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  void send(const Answer& answer);
  [[nodiscard]] bool answered() const { return !request_ && !reply_; }

  bool post = false;
  bool del = false;   ///< DELETE, where the server takes it
  std::string path;   ///< without the query
  std::string query;  ///< undecoded
  std::string body;

 private:
  evhttp_request* request_;                   // null: answered, or simulated
  std::function<void(const Answer&)> reply_;  // empty: answered, or not simulated
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// The value of a query parameter, or an empty string.
[[nodiscard]] std::string query_value(const std::string& query, const std::string& name);

/// What became of a client's request.
struct Result {
  int status = 0;  ///< 0: no answer
  std::string body;
  double retry_after_s = 0;  ///< as the answer has it; 0: it does not say
};

/// The network of a simulated host: its actor::EventSource is one of these as well.
class Network {
 public:
  using Handle = std::shared_ptr<void>;
  using Handler = std::function<void(ExchangePtr)>;
  virtual ~Network() = default;
  /// Released: nobody listens there any more.
  [[nodiscard]] virtual Handle listen(const config::Endpoint& at, Handler handler) = 0;
  /// `done` is called in an event of its own, once, unless the handle is released before.
  [[nodiscard]] virtual Handle request(const config::Endpoint& to, std::string method,
                                       std::string path, std::string body, double timeout_s,
                                       std::function<void(Result)> done) = 0;
};

class Server {
 public:
  using Handler = std::function<void(ExchangePtr)>;
  /// `max_body` in bytes. `allow_delete`: DELETE is taken as well, otherwise only GET and POST are.
  /// Throws std::runtime_error where the address cannot be had.
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

/// Requests to one server over a limited number of connections, which stay open.
class Client {
 public:
  using Done = std::function<void(Result)>;
  Client(actor::Loop& loop, const config::Endpoint& to, std::size_t max_connections,
         std::size_t max_queue);
  ~Client();
  /// No request is in flight or waits.
  [[nodiscard]] bool idle() const { return active_.empty() && queued_.empty(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  /// The body is empty on a GET. `method` is "GET", "POST" or "DELETE". Where the queue is full,
  /// `done` is called at once, without an answer.
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
  // Connections to be freed outside of libevent's callback.
  std::vector<ConnectionPtr> failed_connections_;
  actor::Timer free_failed_timer_;
};

}  // namespace shunttrail::net
