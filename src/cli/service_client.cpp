#include "cli/service_client.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

#include "config/xml.h"

namespace shunt::ctl {
namespace {

constexpr double kWithin = 5;      // PROTOCOL: no response within 5 s
constexpr double kInsistFor = 60;  // for up to 60 s in total

config::Endpoint endpoint(std::string url) {
  static const std::string scheme = "http://";
  if (url.starts_with(scheme)) url.erase(0, scheme.size());
  while (!url.empty() && url.back() == '/') url.pop_back();
  try {
    return config::parse_endpoint(url, "--server");
  } catch (const config::BadSettings& e) {
    throw Failed(e.what());
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

Service::Service(const std::string& url)
    : at_(endpoint(url)), http_(loop_, at_, 1, 4), depot_(loop_, at_) {}

template <class... A, class Call, class Then>
void Service::wait(Call call, Then then) {
  bool over = false;
  call([&](A... a) {
    then(std::move(a)...);
    over = true;
    loop_.stop();
  });
  while (!over) loop_.run();
}

depot::Outcome Service::ask(const std::function<depot::Outcome()>& once) {
  double until = actor::steady_now() + kInsistFor;
  while (true) {
    depot::Outcome o = once();
    if (o != depot::Outcome::later) return o;
    if (actor::steady_now() > until) throw Failed("gave up: the depot does not answer");
    sleep(1);
  }
}

net::Result Service::once(const char* method, const std::string& path, const std::string& body) {
  net::Result out;
  wait<net::Result>(
      [&](std::function<void(net::Result)> done) {
        http_.request(method, path, body, kWithin, std::move(done));
      },
      [&](net::Result r) { out = std::move(r); });
  return out;
}

void Service::sleep(double seconds) {
  bool over = false;
  actor::Timer t(loop_, [&] {
    over = true;
    loop_.stop();
  });
  t.after(seconds);
  while (!over) loop_.run();
}

net::Result Service::insist(const char* method, const std::string& path, const std::string& body) {
  double until = actor::steady_now() + kInsistFor;
  while (true) {
    net::Result r = once(method, path, body);
    if (is_final(r.status)) return r;
    double pause = std::clamp(r.retry_after_s, 1.0, 30.0);
    if (actor::steady_now() + pause > until) throw Failed("gave up: " + reason(r));
    sleep(pause);
  }
}

far::JobAnswer Service::submit(const far::Description& d) {
  const std::string text = far::encode_description(d);
  depot::Outcome outcome = ask([&] {
    depot::Outcome got = depot::Outcome::later;
    wait<depot::Outcome, depot::Store::Named>(
        [&](auto done) { depot_.put_name(far::description_name(d.job.id), {text}, done); },
        [&](depot::Outcome o, depot::Store::Named) { got = o; });
    return got;
  });
  if (outcome != depot::Outcome::ok)
    throw Failed(d.job.id + ": the depot has another job of this id");
  net::Result r = insist("POST", "/v2/runs", wire::encode_job(d.job));
  if (r.status != 200 && r.status != 201) throw Failed("refused: " + reason(r));
  return far::decode_job_state(r.body);
}

std::optional<far::JobAnswer> Service::status(const std::string& id) {
  net::Result r = get("/v2/runs/" + id);
  if (r.status == 404) return std::nullopt;
  return far::decode_job_state(r.body);
}

net::Result Service::get(const std::string& path) {
  net::Result r = insist("GET", path, "");
  if (r.status != 200 && r.status != 404) throw Failed("refused: " + reason(r));
  return r;
}

net::Result Service::order(const std::string& path, const std::string& body) {
  net::Result r = insist("POST", path, body);
  if (r.status != 200) throw Failed("refused: " + reason(r));
  return r;
}

far::JobAnswer Service::withdraw(const std::string& id) {
  net::Result r = insist("POST", "/v2/runs/" + id + "/withdraw", "{}");
  if (r.status != 200) throw Failed("refused: " + reason(r));
  return far::decode_job_state(r.body);
}

bool Service::up() { return once("GET", "/up", "").status == 200; }

std::optional<depot::Store::Named> Service::named(const std::string& name) {
  depot::Store::Named out;
  depot::Outcome outcome = ask([&] {
    depot::Outcome got = depot::Outcome::later;
    wait<depot::Outcome, depot::Store::Named>([&](auto done) { depot_.get_name(name, done); },
                                              [&](depot::Outcome o, depot::Store::Named n) {
                                                got = o;
                                                out = std::move(n);
                                              });
    return got;
  });
  if (outcome == depot::Outcome::refused) throw Failed(name + ": refused by the depot");
  if (outcome == depot::Outcome::absent) return std::nullopt;
  return out;
}

std::optional<far::Description> Service::description(const std::string& id) {
  auto n = named(far::description_name(id));
  if (!n) return std::nullopt;
  return far::decode_description(n->value);
}
std::optional<far::TaskResult> Service::result(const wire::TaskId& t) {
  auto n = named(far::result_name(t));
  if (!n) return std::nullopt;
  return far::decode_result(n->value);
}

bool Service::fetch(const std::string& hash, const std::string& file) {
  return ask([&] {
           depot::Outcome got = depot::Outcome::later;
           wait<depot::Outcome>([&](auto done) { depot_.get_file(hash, file, done); },
                                [&](depot::Outcome o) { got = o; });
           return got;
         }) == depot::Outcome::ok;
}

std::string Service::upload(const std::string& file) {
  std::string hash;
  depot::Outcome outcome = ask([&] {
    depot::Outcome got = depot::Outcome::later;
    wait<depot::Outcome, std::string>([&](auto done) { depot_.put_file(file, done); },
                                      [&](depot::Outcome o, std::string h) {
                                        got = o;
                                        hash = std::move(h);
                                      });
    return got;
  });
  if (outcome != depot::Outcome::ok) throw Failed(file + ": cannot be read");
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

}  // namespace shunt::ctl
