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

/// The service refused, or did not answer within its time. One line.
struct RequestFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// All calls throw RequestFailed.
class ServiceClient {
 public:
  /// "http://HOST:PORT" or "HOST:PORT"; throws RequestFailed for anything else.
  explicit ServiceClient(const std::string& url);

  /// Stores the description, then submits the job; repeated with the same id until one answer is
  /// final. Returns the job's state.
  client_protocol::JobAnswer submit(const client_protocol::JobDescription& description);
  /// Nothing: there is no such job.
  [[nodiscard]] std::optional<client_protocol::JobAnswer> status(const std::string& id);
  client_protocol::JobAnswer cancel(const std::string& id);
  /// Any path of the service, retried until the answer is final.
  [[nodiscard]] net::Result get(const std::string& path);
  /// An operator's order, repeated until its answer is final.
  net::Result post(const std::string& path, const std::string& body);
  /// Whether the service can take requests.
  [[nodiscard]] bool up();

  /// Nothing: there is no such job, or the task has no result yet.
  [[nodiscard]] std::optional<client_protocol::JobDescription> description(const std::string& id);
  [[nodiscard]] std::optional<client_protocol::TaskResult> result(const wire::TaskId& task);
  /// Fetches a blob into a file; false: it is not there or damaged.
  [[nodiscard]] bool fetch(const std::string& hash, const std::string& file);
  /// Stores a file as a blob; returns its hash.
  std::string upload(const std::string& file);

  /// Waits; the connections to the service are kept.
  void sleep(double seconds);

 private:
  net::Result request_once(const char* method, const std::string& path, const std::string& body);
  // Retried as the protocol has it, for up to a minute; only a final status is returned.
  net::Result request(const char* method, const std::string& path, const std::string& body);
  // Starts a call and waits for its one callback, whose arguments are given to `then`.
  template <class... Arguments, class Call, class Then>
  void wait_for(Call call, Then then);
  // Asks the artifact store again for up to a minute, as long as it answers `later`.
  artifacts::Outcome retry_while_unavailable(const std::function<artifacts::Outcome()>& call);
  artifacts::Outcome put_description(const client_protocol::JobDescription& description);
  std::optional<artifacts::Store::Named> find_name(const std::string& name);

  actor::Loop loop_;
  config::Endpoint address_;
  net::Client http_;
  artifacts::Client artifacts_;
};

/// A job id that nobody else makes: the time and a random number.
[[nodiscard]] std::string new_job_id();

}  // namespace shunttrail::cli
