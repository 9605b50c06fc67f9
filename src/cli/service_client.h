// A blocking client of the service for users' programs: requests to controllers as in PROTOCOL,
// "Users -> controller nodes", with the retries that it requires, and requests to the artifact
// store at the same address.
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

/// The service refused a request or did not answer in time. The message is one line.
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
  /// Returns the job's state, or nothing if there is no such job.
  [[nodiscard]] std::optional<client_protocol::JobAnswer> status(const std::string& id);
  client_protocol::JobAnswer cancel(const std::string& id);
  /// Sends a GET request for any path of the service, and retries until the answer is final.
  [[nodiscard]] net::Result get(const std::string& path);
  /// Sends a POST request, and retries until the answer is final.
  net::Result post(const std::string& path, const std::string& body);
  /// Returns whether the service accepts requests.
  [[nodiscard]] bool up();

  /// Both return nothing if there is no such job or the task has no result yet.
  [[nodiscard]] std::optional<client_protocol::JobDescription> description(const std::string& id);
  [[nodiscard]] std::optional<client_protocol::TaskResult> result(const wire::TaskId& task);
  /// Fetches a blob into a file. Returns false if the blob is missing or damaged.
  [[nodiscard]] bool fetch(const std::string& hash, const std::string& file);
  /// Stores a file as a blob; returns its hash.
  std::string upload(const std::string& file);

  /// Waits, and keeps the connections to the service open.
  void sleep(double seconds);

 private:
  net::Result request_once(const char* method, const std::string& path, const std::string& body);
  // Sends a request, and retries as PROTOCOL requires for up to a minute until its status is final.
  net::Result request(const char* method, const std::string& path, const std::string& body);
  // Starts a call, waits for its one callback and passes the callback's arguments to `then`.
  template <class... Arguments, class Call, class Then>
  void wait_for(Call call, Then then);
  // Repeats a call to the artifact store for up to a minute while it answers `later`.
  artifacts::Outcome retry_while_unavailable(const std::function<artifacts::Outcome()>& call);
  artifacts::Outcome put_description(const client_protocol::JobDescription& description);
  std::optional<artifacts::Store::Named> find_name(const std::string& name);

  actor::Loop loop_;
  config::Endpoint address_;
  net::Client http_;
  artifacts::Client artifacts_;
};

/// Returns a new job id, made of the time and a random number.
[[nodiscard]] std::string new_job_id();

}  // namespace shunttrail::cli
