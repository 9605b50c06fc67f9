#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace shunt::front {
namespace {
constexpr double kTick = 0.2;
constexpr double kLogGap = 10;
constexpr std::size_t kBodyMost = 64 * 1024;
constexpr std::size_t kPassedMost = kBodyMost + 64;  // a report, with what a sibling puts before it
}  // namespace

Controller::Controller(actor::Loop& loop, const config::Settings& s, const config::Tuning& t,
                       levels::Build build)
    : Actor(loop),
      client_(loop, s),
      parts_{s, t, client_},
      store_(loop, s, client_),
      levels_(loop, (parts_.store = &store_, parts_), build),
      outcomes_(loop, parts_),
      membership_(loop, parts_),
      cloud_(loop, parts_),
      roster_(loop, parts_),
      peers_(loop, parts_),
      relay_(loop, parts_),
      users_(loop, parts_),
      workers_(loop, parts_),
      timer_(loop, [this] { post([this] { tick(); }); }),
      front_(loop, s.front, kBodyMost, [this](net::ExchangePtr ex) { front(ex); }),
      internal_(loop, s.internal, kPassedMost, [this](net::ExchangePtr ex) { internal(ex); }) {
  parts_.levels = &levels_;
  parts_.outcomes = &outcomes_;
  parts_.membership = &membership_;
  parts_.cloud = &cloud_;
  parts_.roster = &roster_;
  parts_.peers = &peers_;
  parts_.relay = &relay_;
  for (int k = 0; k < s.shards(); ++k)
    parts_.runners.push_back(std::make_unique<Runner>(loop, parts_, k));
  post([this] { tick(); });
}

void Controller::tick() {
  timer_.after(kTick);
  store_.tick();
  levels_.tick();
  membership_.tick();
  outcomes_.tick();
  for (auto& r : parts_.runners) r->tick();
  cloud_.tick();
  roster_.tick();
  peers_.tick();
  if (loop_.now() > log_at_) log();
}

void Controller::log() {
  log_at_ = loop_.now() + kLogGap;
  for (const auto& r : parts_.runners)
    if (r->desk()) spdlog::info("desk {}", r->desk()->summary());
  const auto cost = client_.cost();
  spdlog::info(
      "state service: {} answered 429, {:.1f} s waited, {:.1f} changes a second, {} queued; "
      "{} jobs wait for others, {} made ready, {} ended with them",
      cost.refused, cost.waited_s, cost.write_rate, client_.queued(),
      store_.world().waiting().size(), outcomes_.made_ready(), outcomes_.ended_with_others());
  spdlog::info("levels {}", levels_.describe());
  spdlog::info("links {}", relay_.describe());
}

void Controller::front(const net::ExchangePtr& ex) {
  if (ex->path == "/agent/beat" && ex->post)
    workers_.report(ex);
  else
    users_.ask(ex);
}

void Controller::internal(const net::ExchangePtr& ex) {
  if (ex->path == "/peer/beat" && ex->post) return peers_.heard(ex);
  if (ex->path == "/peer/report" && ex->post)
    return relay_.heard(ex, [this](net::ExchangePtr passed) { workers_.report(passed, true); });
  if (ex->path == "/links" && !ex->post) return ex->send({200, relay_.describe(), 0});
  if (ex->path == "/metrics" && !ex->post) return ex->send({200, metrics(), 0});
  if (ex->path == "/levels") return levels_.ask(ex);
  ex->send({404, "{}", 0});
}

std::string Controller::metrics() const {
  const auto cost = client_.cost();
  const state::World& world = store_.world();
  std::uint64_t garbage =
      workers_.garbage() + peers_.garbage() + relay_.garbage() + world.garbage();
  for (const auto& r : parts_.runners) garbage += r->garbage();
  nlohmann::json j = {{"node", parts_.settings.node},
                      {"revision", world.revision()},
                      {"jobs", world.jobs().size()},
                      {"machines", world.machines().size()},
                      {"submissions", users_.submissions()},
                      {"refused", users_.refused()},
                      {"waiting", world.waiting().size()},
                      {"made_ready", outcomes_.made_ready()},
                      {"ended_with_others", outcomes_.ended_with_others()},
                      {"state_429", cost.refused},
                      {"state_too_large", client_.limits().refusals()},
                      {"state_waited_s", cost.waited_s},
                      {"state_write_rate", cost.write_rate},
                      {"garbage", garbage},
                      {"levels", nlohmann::json::parse(levels_.describe())},
                      {"links", nlohmann::json::parse(relay_.describe())},
                      {"desks", nlohmann::json::array()}};
  for (const auto& r : parts_.runners)
    if (r->desk()) j["desks"].push_back(nlohmann::json::parse(r->desk()->summary()));
  return j.dump();
}

}  // namespace shunt::front
