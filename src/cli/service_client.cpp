#include "cli/service_client.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

#include "config/xml.h"

namespace shunttrail::cli {
using artifacts::Outcome;
using Named = artifacts::Store::Named;
namespace {

constexpr double kAnswerTimeoutS =
    5;                             // PROTOCOL: a request without a response after 5 s has failed
constexpr double kRetryForS = 60;  // PROTOCOL: retries for up to 60 s in total
constexpr double kMinRetryDelayS = 1, kMaxRetryDelayS = 30;
constexpr double kArtifactRetryDelayS = 1;
constexpr std::size_t kMaxConnections = 1, kMaxQueue = 4;

config::Endpoint parse_url(std::string url) {
  static const std::string kScheme = "http://";
  if (url.starts_with(kScheme)) url.erase(0, kScheme.size());
  while (!url.empty() && url.back() == '/') url.pop_back();
  try {
    return config::parse_endpoint(url, "--server");
  } catch (const config::SettingsError& error) {
    throw RequestFailed(error.what());
  }
}

bool is_final(int status) {
  return status == 200 || status == 201 || status == 400 || status == 404 || status == 422;
}

std::string reason(const net::Result& result) {
  if (result.status == 0) return "no answer";
  const auto body = nlohmann::json::parse(result.body, nullptr, false);
  const std::string why = body.is_object() ? body.value("error", "") : "";
  return std::to_string(result.status) + (why.empty() ? "" : " (" + why + ")");
}

[[noreturn]] void throw_refused(const net::Result& result) {
  throw RequestFailed("the service refused the request: " + reason(result));
}

}  // namespace

ServiceClient::ServiceClient(const std::string& url)
    : address_(parse_url(url)),
      http_(loop_, address_, kMaxConnections, kMaxQueue),
      artifacts_(loop_, address_) {}

template <class... Arguments, class Call, class Then>
void ServiceClient::wait_for(Call call, Then then) {
  bool is_finished = false;
  call([&](Arguments... arguments) {
    then(std::move(arguments)...);
    is_finished = true;
    loop_.stop();
  });
  while (!is_finished) loop_.run();
}

void ServiceClient::sleep(double seconds) {
  bool is_finished = false;
  actor::Timer timer(loop_, [&] {
    is_finished = true;
    loop_.stop();
  });
  timer.after(seconds);
  while (!is_finished) loop_.run();
}

net::Result ServiceClient::request_once(const char* method, const std::string& path,
                                        const std::string& body) {
  net::Result answer;
  wait_for<net::Result>(
      [&](std::function<void(net::Result)> done) {
        http_.request(method, path, body, kAnswerTimeoutS, std::move(done));
      },
      [&](net::Result result) { answer = std::move(result); });
  return answer;
}

net::Result ServiceClient::request(const char* method, const std::string& path,
                                   const std::string& body) {
  const double give_up_at = actor::steady_now() + kRetryForS;
  while (true) {
    net::Result result = request_once(method, path, body);
    if (is_final(result.status)) return result;
    const double delay_s = std::clamp(result.retry_after_s, kMinRetryDelayS, kMaxRetryDelayS);
    if (actor::steady_now() + delay_s > give_up_at)
      throw RequestFailed(std::string(method) + " " + path +
                          ": gave up without a final answer: " + reason(result));
    sleep(delay_s);
  }
}

Outcome ServiceClient::retry_while_unavailable(const std::function<Outcome()>& call) {
  const double give_up_at = actor::steady_now() + kRetryForS;
  while (true) {
    const Outcome outcome = call();
    if (outcome != Outcome::unavailable) return outcome;
    if (actor::steady_now() > give_up_at)
      throw RequestFailed("the depot did not answer within 60 s");
    sleep(kArtifactRetryDelayS);
  }
}

Outcome ServiceClient::put_description(const client_protocol::JobDescription& description) {
  const std::string name = client_protocol::description_name(description.job.id);
  const std::string text = client_protocol::encode_description(description);
  return retry_while_unavailable([&] {
    Outcome outcome = Outcome::unavailable;
    wait_for<Outcome, Named>([&](auto done) { artifacts_.put_name(name, {text}, done); },
                             [&](Outcome answer, Named) { outcome = answer; });
    return outcome;
  });
}

client_protocol::JobAnswer ServiceClient::submit(
    const client_protocol::JobDescription& description) {
  if (put_description(description) != Outcome::ok)
    throw RequestFailed(description.job.id + ": the depot has a different job with this id");
  const net::Result result = request("POST", "/v2/runs", wire::encode_job(description.job));
  if (result.status != 200 && result.status != 201) throw_refused(result);
  return client_protocol::decode_job_state(result.body);
}

std::optional<client_protocol::JobAnswer> ServiceClient::status(const std::string& id) {
  const net::Result result = get("/v2/runs/" + id);
  if (result.status == 404) return std::nullopt;
  return client_protocol::decode_job_state(result.body);
}

net::Result ServiceClient::get(const std::string& path) {
  net::Result result = request("GET", path, "");
  if (result.status != 200 && result.status != 404) throw_refused(result);
  return result;
}

net::Result ServiceClient::post(const std::string& path, const std::string& body) {
  net::Result result = request("POST", path, body);
  if (result.status != 200) throw_refused(result);
  return result;
}

client_protocol::JobAnswer ServiceClient::cancel(const std::string& id) {
  const net::Result result = request("POST", "/v2/runs/" + id + "/withdraw", "{}");
  if (result.status != 200) throw_refused(result);
  return client_protocol::decode_job_state(result.body);
}

bool ServiceClient::up() { return request_once("GET", "/up", "").status == 200; }

std::optional<Named> ServiceClient::find_name(const std::string& name) {
  Named found;
  const Outcome outcome = retry_while_unavailable([&] {
    Outcome last = Outcome::unavailable;
    wait_for<Outcome, Named>([&](auto done) { artifacts_.get_name(name, done); },
                             [&](Outcome answer, Named value) {
                               last = answer;
                               found = std::move(value);
                             });
    return last;
  });
  if (outcome == Outcome::refused)
    throw RequestFailed(name + ": the depot refused to look up this name");
  if (outcome == Outcome::absent) return std::nullopt;
  return found;
}

std::optional<client_protocol::JobDescription> ServiceClient::description(const std::string& id) {
  const auto found = find_name(client_protocol::description_name(id));
  if (!found) return std::nullopt;
  return client_protocol::decode_description(found->value);
}

std::optional<client_protocol::TaskResult> ServiceClient::result(const wire::TaskId& task) {
  const auto found = find_name(client_protocol::result_name(task));
  if (!found) return std::nullopt;
  return client_protocol::decode_result(found->value);
}

bool ServiceClient::fetch(const std::string& hash, const std::string& file) {
  const Outcome outcome = retry_while_unavailable([&] {
    Outcome last = Outcome::unavailable;
    wait_for<Outcome>([&](auto done) { artifacts_.get_file(hash, file, done); },
                      [&](Outcome answer) { last = answer; });
    return last;
  });
  return outcome == Outcome::ok;
}

std::string ServiceClient::upload(const std::string& file) {
  std::string hash;
  const Outcome outcome = retry_while_unavailable([&] {
    Outcome last = Outcome::unavailable;
    wait_for<Outcome, std::string>([&](auto done) { artifacts_.put_file(file, done); },
                                   [&](Outcome answer, std::string stored) {
                                     last = answer;
                                     hash = std::move(stored);
                                   });
    return last;
  });
  if (outcome != Outcome::ok) throw RequestFailed(file + ": cannot be read");
  return hash;
}

std::string new_job_id() {
  constexpr unsigned kRandomRange = 1000000;
  std::random_device random;
  char id[32];
  std::snprintf(id, sizeof id, "run-%013llu%06u",
                static_cast<unsigned long long>(actor::wall_now() * 1000),
                static_cast<unsigned>(random() % kRandomRange));
  return id;
}

}  // namespace shunttrail::cli
