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

struct Answer {
  int status = 200;
  std::string body;
  double retry_after_s = 0;  // 0: no Retry-After
};
// A refusal that says why: {"error": why}.
Answer error_response(int status, const std::string& why, double retry_after_s = 0);

// One request on the server's side. Answered exactly once; dropping it unanswered answers 503.
class Exchange {
 public:
  explicit Exchange(evhttp_request* r);
  // Of a simulated network: `reply` is called once.
  Exchange(const std::string& method, const std::string& path_and_query, std::string body,
           std::function<void(const Answer&)> reply);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  void send(const Answer& a);
  bool answered() const { return !req_ && !reply_; }

  bool post = false;
  bool del = false;   // DELETE, where the server takes it
  std::string path;   // without the query
  std::string query;  // undecoded
  std::string body;

 private:
  evhttp_request* req_;
  std::function<void(const Answer&)> reply_;
};
using ExchangePtr = std::shared_ptr<Exchange>;

// The value of a query parameter, or an empty string.
std::string query_value(const std::string& query, const std::string& name);

struct Result {
  int status = 0;  // 0: no answer
  std::string body;
  double retry_after_s = 0;  // as the answer has it; 0: it does not say
};

// The network of a simulated host: its Clockwork is one of these as well.
class Network {
 public:
  using Handle = std::shared_ptr<void>;
  using Handler = std::function<void(ExchangePtr)>;
  virtual ~Network() = default;
  // Released: nobody listens there any more.
  [[nodiscard]] virtual Handle listen(const config::Endpoint& at, Handler handler) = 0;
  // `done` is called in a turn of its own, once, unless the handle is released before.
  [[nodiscard]] virtual Handle request(const config::Endpoint& to, std::string method,
                                       std::string path, std::string body, double timeout_s,
                                       std::function<void(Result)> done) = 0;
};

class Server {
 public:
  using Handler = std::function<void(ExchangePtr)>;
  // `deletes`: DELETE is taken as well, otherwise only GET and POST are.
  Server(actor::Loop& loop, const config::Endpoint& at, std::size_t max_body, Handler handler,
         bool deletes = false);

 private:
  struct HttpFree {
    void operator()(evhttp* h) const { evhttp_free(h); }
  };
  Handler handler_;
  std::unique_ptr<evhttp, HttpFree> http_;
  Network::Handle listening_;
};

class Client {
 public:
  using Done = std::function<void(Result)>;
  Client(actor::Loop& loop, const config::Endpoint& to, std::size_t max_connections,
         std::size_t max_queue);
  ~Client();
  // Nothing is on its way or waits.
  bool idle() const { return busy_.empty() && queue_.empty(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  // An empty body on a GET. `method` is "GET", "POST" or "DELETE".
  void request(const char* method, std::string path, std::string body, double timeout_s, Done done);

 private:
  struct Call;
  struct ConnFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };
  using ConnPtr = std::unique_ptr<evhttp_connection, ConnFree>;
  void start(std::unique_ptr<Call> call);
  void finished(Call* call, evhttp_request* r);
  void over(Call* call, Result r);

  actor::Loop& loop_;
  config::Endpoint to_;
  std::size_t max_connections_, max_queue_;
  std::vector<ConnPtr> idle_;
  std::vector<std::unique_ptr<Call>> busy_;
  std::deque<std::unique_ptr<Call>> queue_;
  // Connections and calls to be let go outside of libevent's callback.
  std::vector<ConnPtr> dead_;
  actor::Timer reap_;
};

}  // namespace shunttrail::net
