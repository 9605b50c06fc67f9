// The service as a user's program sees it: PROTOCOL, "Users -> controller nodes", retries included,
// and the artifact store behind the same address. Calls wait for their answers.
#pragma once
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "actor/loop.h"
#include "artifacts/client.h"
#include "client_protocol/client_protocol.h"
#include "client_protocol/job_description.h"
#include "net/http.h"

namespace shunttrail::cli {

// The service refused, or did not answer within its time. One line.
struct RequestFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class ServiceClient {
 public:
  // "http://HOST:PORT" or "HOST:PORT"; throws Failed for anything else.
  explicit ServiceClient(const std::string& url);

  // Puts the description into the artifact store, then submits; the same id until one answer is
  // final. Returns the job's state.
  client_protocol::JobAnswer submit(const client_protocol::JobDescription& d);
  std::optional<client_protocol::JobAnswer> status(const std::string& id);  // nothing: no such job
  client_protocol::JobAnswer withdraw(const std::string& id);
  net::Result get(const std::string& path);  // any path of the service, retried as a poll
  // An operator's order, repeated until its answer is final; throws Failed where it is refused.
  net::Result order(const std::string& path, const std::string& body);
  bool up();

  std::optional<client_protocol::JobDescription> description(const std::string& id);
  std::optional<client_protocol::TaskResult> result(const wire::TaskId& t);
  // A blob into a file; false: it is not there or damaged.
  bool fetch(const std::string& hash, const std::string& file);
  std::string upload(const std::string& file);  // its hash

  void sleep(double seconds);

 private:
  net::Result once(const char* method, const std::string& path, const std::string& body);
  // Retried as the protocol has it, for up to a minute: statuses that are final are returned.
  net::Result insist(const char* method, const std::string& path, const std::string& body);
  // Waits for a call that ends in one callback of these arguments.
  template <class... A, class Call, class Then>
  void wait(Call call, Then then);
  // Asks the artifact store again for up to a minute, as long as it answers `later`.
  artifacts::Outcome ask(const std::function<artifacts::Outcome()>& once);
  std::optional<artifacts::Store::Named> named(const std::string& name);

  actor::Loop loop_;
  config::Endpoint at_;
  net::Client http_;
  artifacts::Client artifacts_;
};

// A job id that nobody else makes: the time and chance.
std::string fresh_id();

}  // namespace shunttrail::cli
