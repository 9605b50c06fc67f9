#include "cli/service_client.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

#include "config/xml.h"

namespace shunttrail::cli {
namespace {

constexpr double kWithin = 5;      // PROTOCOL: no response within 5 s
constexpr double kInsistFor = 60;  // for up to 60 s in total

config::Endpoint endpoint(std::string url) {
  static const std::string scheme = "http://";
  if (url.starts_with(scheme)) url.erase(0, scheme.size());
  while (!url.empty() && url.back() == '/') url.pop_back();
  try {
    return config::parse_endpoint(url, "--server");
  } catch (const config::SettingsError& e) {
    throw RequestFailed(e.what());
  }
}

bool is_final(int status) {
  return status == 200 || status == 201 || status == 400 || status == 404 || status == 422;
}

std::string reason(const net::Result& r) {
  if (r.status == 0) return "no answer";
  auto j = nlohmann::json::parse(r.body, nullptr, false);
  std::string why = j.is_object() ? j.value("error", "") : "";
  return std::to_string(r.status) + (why.empty() ? "" : " (" + why + ")");
}

}  // namespace

ServiceClient::ServiceClient(const std::string& url)
    : at_(endpoint(url)), http_(loop_, at_, 1, 4), artifacts_(loop_, at_) {}

template <class... A, class Call, class Then>
void ServiceClient::wait(Call call, Then then) {
  bool over = false;
  call([&](A... a) {
    then(std::move(a)...);
    over = true;
    loop_.stop();
  });
  while (!over) loop_.run();
}

artifacts::Outcome ServiceClient::ask(const std::function<artifacts::Outcome()>& once) {
  double until = actor::steady_now() + kInsistFor;
  while (true) {
    artifacts::Outcome o = once();
    if (o != artifacts::Outcome::later) return o;
    if (actor::steady_now() > until) throw RequestFailed("gave up: the depot does not answer");
    sleep(1);
  }
}

net::Result ServiceClient::once(const char* method, const std::string& path,
                                const std::string& body) {
  net::Result out;
  wait<net::Result>(
      [&](std::function<void(net::Result)> done) {
        http_.request(method, path, body, kWithin, std::move(done));
      },
      [&](net::Result r) { out = std::move(r); });
  return out;
}

void ServiceClient::sleep(double seconds) {
  bool over = false;
  actor::Timer t(loop_, [&] {
    over = true;
    loop_.stop();
  });
  t.after(seconds);
  while (!over) loop_.run();
}

net::Result ServiceClient::insist(const char* method, const std::string& path,
                                  const std::string& body) {
  double until = actor::steady_now() + kInsistFor;
  while (true) {
    net::Result r = once(method, path, body);
    if (is_final(r.status)) return r;
    double pause = std::clamp(r.retry_after_s, 1.0, 30.0);
    if (actor::steady_now() + pause > until) throw RequestFailed("gave up: " + reason(r));
    sleep(pause);
  }
}

client_protocol::JobAnswer ServiceClient::submit(const client_protocol::JobDescription& d) {
  const std::string text = client_protocol::encode_description(d);
  artifacts::Outcome outcome = ask([&] {
    artifacts::Outcome got = artifacts::Outcome::later;
    wait<artifacts::Outcome, artifacts::Store::Named>(
        [&](auto done) {
          artifacts_.put_name(client_protocol::description_name(d.job.id), {text}, done);
        },
        [&](artifacts::Outcome o, artifacts::Store::Named) { got = o; });
    return got;
  });
  if (outcome != artifacts::Outcome::ok)
    throw RequestFailed(d.job.id + ": the depot has another job of this id");
  net::Result r = insist("POST", "/v2/runs", wire::encode_job(d.job));
  if (r.status != 200 && r.status != 201) throw RequestFailed("refused: " + reason(r));
  return client_protocol::decode_job_state(r.body);
}

std::optional<client_protocol::JobAnswer> ServiceClient::status(const std::string& id) {
  net::Result r = get("/v2/runs/" + id);
  if (r.status == 404) return std::nullopt;
  return client_protocol::decode_job_state(r.body);
}

net::Result ServiceClient::get(const std::string& path) {
  net::Result r = insist("GET", path, "");
  if (r.status != 200 && r.status != 404) throw RequestFailed("refused: " + reason(r));
  return r;
}

net::Result ServiceClient::order(const std::string& path, const std::string& body) {
  net::Result r = insist("POST", path, body);
  if (r.status != 200) throw RequestFailed("refused: " + reason(r));
  return r;
}

client_protocol::JobAnswer ServiceClient::withdraw(const std::string& id) {
  net::Result r = insist("POST", "/v2/runs/" + id + "/withdraw", "{}");
  if (r.status != 200) throw RequestFailed("refused: " + reason(r));
  return client_protocol::decode_job_state(r.body);
}

bool ServiceClient::up() { return once("GET", "/up", "").status == 200; }

std::optional<artifacts::Store::Named> ServiceClient::named(const std::string& name) {
  artifacts::Store::Named out;
  artifacts::Outcome outcome = ask([&] {
    artifacts::Outcome got = artifacts::Outcome::later;
    wait<artifacts::Outcome, artifacts::Store::Named>(
        [&](auto done) { artifacts_.get_name(name, done); },
        [&](artifacts::Outcome o, artifacts::Store::Named n) {
          got = o;
          out = std::move(n);
        });
    return got;
  });
  if (outcome == artifacts::Outcome::refused) throw RequestFailed(name + ": refused by the depot");
  if (outcome == artifacts::Outcome::absent) return std::nullopt;
  return out;
}

std::optional<client_protocol::JobDescription> ServiceClient::description(const std::string& id) {
  auto n = named(client_protocol::description_name(id));
  if (!n) return std::nullopt;
  return client_protocol::decode_description(n->value);
}
std::optional<client_protocol::TaskResult> ServiceClient::result(const wire::TaskId& t) {
  auto n = named(client_protocol::result_name(t));
  if (!n) return std::nullopt;
  return client_protocol::decode_result(n->value);
}

bool ServiceClient::fetch(const std::string& hash, const std::string& file) {
  return ask([&] {
           artifacts::Outcome got = artifacts::Outcome::later;
           wait<artifacts::Outcome>([&](auto done) { artifacts_.get_file(hash, file, done); },
                                    [&](artifacts::Outcome o) { got = o; });
           return got;
         }) == artifacts::Outcome::ok;
}

std::string ServiceClient::upload(const std::string& file) {
  std::string hash;
  artifacts::Outcome outcome = ask([&] {
    artifacts::Outcome got = artifacts::Outcome::later;
    wait<artifacts::Outcome, std::string>([&](auto done) { artifacts_.put_file(file, done); },
                                          [&](artifacts::Outcome o, std::string h) {
                                            got = o;
                                            hash = std::move(h);
                                          });
    return got;
  });
  if (outcome != artifacts::Outcome::ok) throw RequestFailed(file + ": cannot be read");
  return hash;
}

std::string fresh_id() {
  std::random_device chance;
  char id[32];
  std::snprintf(id, sizeof id, "run-%013llu%06u",
                static_cast<unsigned long long>(actor::wall_now() * 1000),
                static_cast<unsigned>(chance() % 1000000));
  return id;
}

}  // namespace shunttrail::cli
