// Heartbeats of workers that cannot reach their shard's leader but can reach another node: which
// routes are opened and closed, the relayed message, and a cluster whose links are cut and restored
// at random times.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "controller/heartbeat_relay.h"
#include "controller/shard_controller.h"
#include "emulators.h"
#include "loopback.h"
#include "peer/peer.h"
#include "relay/relay_routes.h"

namespace shunttrail::test {
namespace {

using relay::Decision;
using relay::RelayRoutes;

// Returns the order of a new heartbeat, which is newer than every earlier one.
RelayRoutes::Order order() {
  static std::uint64_t seq = 0;
  return {1, ++seq};
}

TEST(RelayRoutes, AReturningWorkerOpensARouteForItsZoneOnly) {
  RelayRoutes routes;
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 10), Decision::redirect);
  EXPECT_EQ(routes.decide("m-2", order(), 0, 2, 11), Decision::redirect);
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 15), Decision::relay);
  EXPECT_EQ(routes.decide("m-3", order(), 0, 2, 16), Decision::relay);
  EXPECT_EQ(routes.decide("m-4", order(), 1, 2, 16), Decision::redirect);
  EXPECT_EQ(routes.decide("m-5", order(), 0, 1, 16), Decision::redirect);
  // m-4 returns long after its redirect, so it has reached the leader in between.
  EXPECT_EQ(routes.decide("m-4", order(), 1, 2, 40), Decision::redirect);
}

TEST(RelayRoutes, ARouteClosesOnceAProbedWorkerDoesNotReturn) {
  RelayRoutes routes;
  routes.decide("m-1", order(), 0, 2, 10);
  routes.decide("m-1", order(), 0, 2, 15);
  EXPECT_EQ(routes.decide("m-2", order(), 0, 2, 18.5), Decision::redirect);  // probe
  EXPECT_EQ(routes.decide("m-3", order(), 0, 2, 19), Decision::relay);
  EXPECT_EQ(routes.decide("m-2", order(), 0, 2, 23),
            Decision::relay);  // returned: the link is still cut
  EXPECT_EQ(routes.decide("m-3", order(), 0, 2, 24), Decision::relay);
  EXPECT_EQ(routes.decide("m-3", order(), 0, 2, 30), Decision::redirect);  // probe
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 36), Decision::relay);
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 38), Decision::redirect);  // m-3 did not return
  EXPECT_TRUE(routes.routes().empty());
}

TEST(RelayRoutes, AnUnresponsiveLeaderIsNotRetriedAtOnce) {
  RelayRoutes routes;
  routes.decide("m-1", order(), 0, 2, 10);
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 15), Decision::relay);
  routes.record_response(2, false, 17.5);
  EXPECT_EQ(routes.decide("m-2", order(), 0, 2, 18), Decision::refuse);
  EXPECT_EQ(routes.decide("m-2", order(), 0, 2, 19.6), Decision::redirect);  // a probe is due
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 19.7), Decision::relay);
  routes.record_response(2, true, 19.8);
  EXPECT_EQ(routes.decide("m-1", order(), 0, 2, 19.9), Decision::relay);
  routes.record_unsupported(2, 20);
  EXPECT_TRUE(routes.routes().empty());
  for (double at : {20.5, 24.0, 28.0})
    EXPECT_EQ(routes.decide("m-1", order(), 0, 2, at), Decision::redirect);
}

// Copies of heartbeats can be delayed. A delayed copy of a redirected heartbeat was taken for a
// worker that had returned, and all heartbeats of its zone were then relayed needlessly.
TEST(RelayRoutes, ADelayedCopyOpensNoRouteAndEndsNoProbe) {
  RelayRoutes routes;
  EXPECT_EQ(routes.decide("m-1", {1, 7}, 0, 2, 10), Decision::redirect);
  EXPECT_EQ(routes.decide("m-1", {1, 7}, 0, 2, 12), Decision::redirect);
  EXPECT_EQ(routes.decide("m-1", {1, 5}, 0, 2, 13), Decision::redirect);
  EXPECT_TRUE(routes.routes().empty());
  EXPECT_EQ(routes.decide("m-1", {1, 8}, 0, 2, 14), Decision::relay);
  EXPECT_EQ(routes.decide("m-2", {4, 1}, 0, 2, 18.5), Decision::redirect);  // probe
  EXPECT_EQ(routes.decide("m-2", {3, 9}, 0, 2, 19),
            Decision::relay);  // a copy of an earlier incarnation
  EXPECT_EQ(routes.routes().begin()->second.probed_machine, "m-2");
  EXPECT_EQ(routes.decide("m-2", {5, 1}, 0, 2, 20),
            Decision::relay);  // the probed worker, in a new incarnation
  EXPECT_EQ(routes.routes().begin()->second.probed_machine, "");
}

TEST(RelayRoutes, UnusedRoutesExpire) {
  RelayRoutes routes;
  for (int i = 0; i < 500; ++i) routes.decide("m-" + std::to_string(i), order(), 0, 2, 10);
  routes.decide("m-1", order(), 0, 2, 12);
  EXPECT_EQ(routes.routes().size(), 1u);
  routes.decide("m-x", order(), 1, 0, 100);
  EXPECT_TRUE(routes.routes().empty());
  EXPECT_EQ(routes.redirected_count(), 1u);
}

// Three nodes and workers of two zones with leases. In random periods, the leader is reached by no
// worker, by one zone's workers only, or by all; nodes always reach one another. Workers follow
// PROTOCOL: they wait 4 s for a response and 1 s before the next node, and follow a redirect at
// once.
class CutLinkSimulation {
 public:
  explicit CutLinkSimulation(unsigned seed, bool relays) : rng_(seed), relays_(relays) {
    for (int i = 0; i < 60; ++i) workers_.push_back({i % 2, 0, draw(5), 0});
  }
  // Runs `spells` periods in which the links are cut and restored in turn.
  void run(double cut_duration_s, double connected_duration_s, int spells) {
    for (int i = 0; i < spells; ++i) {
      const bool cut = i % 2 == 0;
      const unsigned which = cut ? 1 + static_cast<unsigned>(rng_() % 3) : 0;
      const double until = now_ + (cut ? cut_duration_s : connected_duration_s);
      for (; now_ < until; now_ += 0.05) step(which);
      if (!cut) always_returned_ &= all_at_leader();
    }
  }
  int expired_leases() const { return expired_leases_; }
  bool always_returned() const { return always_returned_; }

 private:
  struct Worker {
    int zone;
    int at;  // the node that it sends heartbeats to
    double next;
    double answered;
    bool redirected = false;
  };
  double draw(double limit) { return std::uniform_real_distribution<>(0, limit)(rng_); }
  bool all_at_leader() const {
    return std::all_of(workers_.begin(), workers_.end(),
                       [](const Worker& worker) { return worker.at == 0; });
  }
  void step(unsigned cut) {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      Worker& worker = workers_[i];
      if (now_ - worker.answered > 26.5) {
        ++expired_leases_;
        worker.answered = now_;
      }
      if (worker.next > now_) continue;
      const bool is_reachable = worker.at != 0 || !(cut & (1u << worker.zone));
      if (!is_reachable) {
        worker.next = now_ + 5;
        worker.at = worker.at % 2 + 1;
        continue;
      }
      auto decision = Decision::redirect;
      if (worker.at != 0 && relays_)
        decision =
            nodes_[worker.at].decide("m-" + std::to_string(i), order(), worker.zone, 0, now_);
      if (worker.at == 0 || decision == Decision::relay) {
        worker.answered = now_;
        worker.next = now_ + 4 + draw(2);
      } else {
        worker.at = 0;
        worker.next = now_ + draw(0.5);
      }
    }
  }
  std::mt19937 rng_;
  bool relays_;
  std::vector<Worker> workers_;
  std::map<int, RelayRoutes> nodes_;
  double now_ = 0;
  int expired_leases_ = 0;
  bool always_returned_ = true;
};

// When two controllers in turn lost their links to the workers for a minute each, 304 to 1,636
// tasks a day were killed because their leases expired.
TEST(RelayRoutes, NoLeaseExpiresWhileAnyNodeIsReachedAndWorkersReturnToTheLeader) {
  int expired_without_relay = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    CutLinkSimulation with_relay(seed, true), without_relay(seed, false);
    with_relay.run(60, 60, 6);
    without_relay.run(60, 60, 6);
    EXPECT_EQ(with_relay.expired_leases(), 0);
    EXPECT_TRUE(with_relay.always_returned());
    expired_without_relay += without_relay.expired_leases();
  }
  EXPECT_GT(expired_without_relay, 1000);
}

// For any sequence of heartbeats: nothing is relayed before a worker has returned, and the tables
// are bounded by the number of recent machines and routes.
RC_GTEST_PROP(RelayRoutes, KeepTheirInvariantsUnderAnyInput, ()) {
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
      200, rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(-1, 2), rc::gen::inRange(0, 3),
                          rc::gen::inRange(0, 40)));
  RelayRoutes routes;
  double now = 0;
  std::map<std::tuple<int, int>, double> redirected;  // machine, leader
  for (auto [machine, zone, leader, elapsed] : steps) {
    now += elapsed / 10.0;
    const bool was_open = routes.routes().contains({leader, zone});
    Decision decision = routes.decide("m-" + std::to_string(machine), order(), zone, leader, now);
    if (decision != Decision::redirect && !was_open) {
      auto at = redirected.find({machine, leader});
      const bool came_back = at != redirected.end() && now - at->second <= 13;
      RC_ASSERT(came_back);
    }
    if (decision == Decision::redirect) redirected[{machine, leader}] = now;
    if (elapsed % 7 == 0) routes.record_response(leader, elapsed % 2 == 0, now);
    RC_ASSERT(routes.routes().size() <= 9u);
    RC_ASSERT(routes.redirected_count() <= 12u);
  }
}

// ---- between controllers

TEST(RelayedHeartbeat, TheRecordedBytesDecodeAndOtherFormatsAreRejected) {
  const std::string heartbeat = R"({"engine":"m-000231"})";
  const std::string bytes = peer::encode(peer::RelayedHeartbeat{1, 2, heartbeat});
  EXPECT_EQ(bytes.substr(0, 17), std::string("\1\1\0\0\0\2\0\0\0\x15\0\0\0\0\0\0\0", 17));
  EXPECT_EQ(bytes.substr(17), heartbeat);
  auto decoded = peer::decode_relayed(bytes, 3);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->node, 2);
  EXPECT_EQ(decoded->heartbeat, heartbeat);
  EXPECT_FALSE(peer::decode_relayed(bytes, 2));
  std::string other = bytes;
  other[1] = 2;
  EXPECT_FALSE(peer::decode_relayed(other, 3));
  // A relayed heartbeat does not decode as a peer heartbeat.
  EXPECT_FALSE(peer::decode(bytes, 3));
}
RC_GTEST_PROP(RelayedHeartbeat, MalformedBodiesAreRejected,
              (std::string bytes, std::string heartbeat)) {
  auto decoded = peer::decode_relayed(bytes, 3);
  if (decoded) RC_ASSERT(decoded->heartbeat.size() + 17 == bytes.size());
  auto round_trip = peer::decode_relayed(peer::encode(peer::RelayedHeartbeat{1, 0, heartbeat}), 3);
  RC_ASSERT(round_trip && round_trip->heartbeat == heartbeat);
}

// A worker, a node that relays its heartbeats, and the leader, over loopback sockets.
struct RelayFixture {
  actor::Loop loop;
  const std::uint16_t follower_port = free_port(), leader_port = free_port();
  config::Settings settings = make_settings(3);
  config::Tuning tuning;
  int leader_status = 200;
  std::vector<net::ExchangePtr> held_exchanges;
  std::vector<std::string> relayed_bodies;
  std::unique_ptr<state::Client> client;
  std::unique_ptr<controller::ControllerComponents> components;
  std::unique_ptr<controller::HeartbeatRelay> relay;
  std::unique_ptr<net::Server> follower, leader;
  std::unique_ptr<net::Client> worker;

  RelayFixture() {
    tuning.relay = true;
    settings.peers.push_back({settings.nodes[2], "b", {"127.0.0.1", leader_port}});
    client = std::make_unique<state::Client>(loop, settings);
    components.reset(new controller::ControllerComponents{settings, tuning, *client});
    relay = std::make_unique<controller::HeartbeatRelay>(loop, *components);
    follower =
        std::make_unique<net::Server>(loop, config::Endpoint{"127.0.0.1", follower_port}, 64 * 1024,
                                      [this](net::ExchangePtr exchange) {
                                        relay->route_heartbeat(exchange, "m-1", order(), 0, 2);
                                      });
    leader = std::make_unique<net::Server>(
        loop, config::Endpoint{"127.0.0.1", leader_port}, 65 * 1024,
        [this](net::ExchangePtr exchange) {
          EXPECT_EQ(exchange->path, "/peer/report");
          if (leader_status == 0)
            return held_exchanges.push_back(exchange);  // the leader is frozen
          if (leader_status != 200) return exchange->send({leader_status, "{}", 0});
          relay->handle_relayed(exchange, [this](net::ExchangePtr report) {
            relayed_bodies.push_back(report->body);
            report->send({200, R"({"staff":5,"orders":[]})", 0});
          });
        });
    worker =
        std::make_unique<net::Client>(loop, config::Endpoint{"127.0.0.1", follower_port}, 1, 4);
  }
  ~RelayFixture() { held_exchanges.clear(); }  // before their server is destroyed
  net::Result send_heartbeat(const std::string& body) {
    std::optional<net::Result> response;
    worker->request("POST", "/agent/beat", body, 4,
                    [&](net::Result r) { response = std::move(r); });
    EXPECT_TRUE(run_loop_until(
        loop, [&] { return response.has_value(); }, 200000));
    return response.value_or(net::Result{});
  }
};

TEST(Relay, TheLeadersResponseGoesBackInTheSameExchange) {
  RelayFixture fixture;
  net::Result first = fixture.send_heartbeat("one");
  EXPECT_EQ(first.status, 421);
  EXPECT_NE(first.body.find(fixture.settings.nodes[2]), std::string::npos);
  net::Result second = fixture.send_heartbeat(std::string(64 * 1024 - 1, 'x'));
  EXPECT_EQ(second.status, 200);
  EXPECT_EQ(second.body, R"({"staff":5,"orders":[]})");
  ASSERT_EQ(fixture.relayed_bodies.size(), 1u);
  EXPECT_EQ(fixture.relayed_bodies[0].size(), 64 * 1024 - 1);
  // The node is no longer the leader, and its response names the new one.
  fixture.leader_status = 421;
  EXPECT_EQ(fixture.send_heartbeat("three").status, 421);
  EXPECT_NE(fixture.relay->describe().find(R"("passed":2,)"), std::string::npos);
}
TEST(Relay, ALeaderThatAnswers404IsSentNoMoreHeartbeats) {
  RelayFixture fixture;
  fixture.leader_status = 404;
  EXPECT_EQ(fixture.send_heartbeat("one").status, 421);
  EXPECT_EQ(fixture.send_heartbeat("two").status, 503);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(fixture.send_heartbeat("more").status, 421);
  EXPECT_NE(fixture.relay->describe().find(R"("passed":1,)"), std::string::npos);
}
TEST(Relay, AFrozenLeaderCostsTheWorkerLessThanItsTimeout) {
  RelayFixture fixture;
  fixture.leader_status = 0;
  fixture.send_heartbeat("one");
  EXPECT_EQ(fixture.send_heartbeat("two").status, 503);
  EXPECT_EQ(fixture.held_exchanges.size(), 1u);
  EXPECT_EQ(fixture.send_heartbeat("three").status, 503);  // without asking the leader again
  EXPECT_EQ(fixture.held_exchanges.size(), 1u);
}
// With a limit of 48 heartbeats in flight, the rest of a zone that was cut off were rejected, and
// the leader was taken for unresponsive.
TEST(Relay, HeartbeatsOfAWholeZoneAreRelayedConcurrently) {
  constexpr std::size_t kReports = 120;
  RelayFixture fixture;
  EXPECT_EQ(fixture.send_heartbeat("one").status, 421);
  fixture.leader_status = 0;  // holds the responses, as it does for a commit
  net::Client zone_client(fixture.loop, config::Endpoint{"127.0.0.1", fixture.follower_port},
                          kReports, 0);
  std::size_t answered = 0, accepted = 0;
  for (std::size_t i = 0; i < kReports; ++i)
    zone_client.request("POST", "/agent/beat", "more", 4, [&](net::Result r) {
      ++answered;
      accepted += r.status == 200;
    });
  run_loop_until(
      fixture.loop, [&] { return fixture.held_exchanges.size() + answered == kReports; }, 200000);
  EXPECT_EQ(fixture.held_exchanges.size(), kReports);
  for (auto& exchange : fixture.held_exchanges)
    exchange->send({200, R"({"staff":5,"orders":[]})", 0});
  run_loop_until(
      fixture.loop, [&] { return answered == kReports; }, 200000);
  EXPECT_EQ(accepted, kReports);
}
TEST(Relay, WithRelayingDisabledAllWorkersAreRedirected) {
  RelayFixture fixture;
  fixture.tuning.relay = false;
  for (int i = 0; i < 4; ++i) EXPECT_EQ(fixture.send_heartbeat("x").status, 421);
  EXPECT_TRUE(fixture.relayed_bodies.empty());
}

}  // namespace
}  // namespace shunttrail::test
