// Workers that do not reach their owner while a sibling does: what is concluded from who comes
// back, what is said between controllers, and a fleet whose links are cut and mended at generated
// moments.
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

// Every report that is really sent is newer than the one before.
RelayRoutes::Order order() {
  static std::uint64_t seq = 0;
  return {1, ++seq};
}

TEST(RelayRoutes, AWorkerThatComesBackOpensOneForItsZoneAlone) {
  RelayRoutes d;
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 10), Decision::redirect);
  EXPECT_EQ(d.decide("m-2", order(), 0, 2, 11), Decision::redirect);
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 15), Decision::relay);
  EXPECT_EQ(d.decide("m-3", order(), 0, 2, 16), Decision::relay);
  EXPECT_EQ(d.decide("m-4", order(), 1, 2, 16), Decision::redirect);
  EXPECT_EQ(d.decide("m-5", order(), 0, 1, 16), Decision::redirect);
  // Back after long: it has been there in between.
  EXPECT_EQ(d.decide("m-4", order(), 1, 2, 40), Decision::redirect);
}

TEST(RelayRoutes, ProbesEndARouteOnceAWorkerStaysAway) {
  RelayRoutes d;
  d.decide("m-1", order(), 0, 2, 10);
  d.decide("m-1", order(), 0, 2, 15);
  EXPECT_EQ(d.decide("m-2", order(), 0, 2, 18.5), Decision::redirect);  // on trial
  EXPECT_EQ(d.decide("m-3", order(), 0, 2, 19), Decision::relay);
  EXPECT_EQ(d.decide("m-2", order(), 0, 2, 23), Decision::relay);  // back: still cut
  EXPECT_EQ(d.decide("m-3", order(), 0, 2, 24), Decision::relay);
  EXPECT_EQ(d.decide("m-3", order(), 0, 2, 30), Decision::redirect);  // on trial
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 36), Decision::relay);
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 38), Decision::redirect);  // m-3 stayed there
  EXPECT_TRUE(d.open().empty());
}

TEST(RelayRoutes, ALeaderThatDoesNotAnswerIsNotAskedAtOnceAgain) {
  RelayRoutes d;
  d.decide("m-1", order(), 0, 2, 10);
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 15), Decision::relay);
  d.relayed(2, false, 17.5);
  EXPECT_EQ(d.decide("m-2", order(), 0, 2, 18), Decision::refuse);
  EXPECT_EQ(d.decide("m-2", order(), 0, 2, 19.6), Decision::redirect);  // a trial is due
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 19.7), Decision::relay);
  d.relayed(2, true, 19.8);
  EXPECT_EQ(d.decide("m-1", order(), 0, 2, 19.9), Decision::relay);
  d.unavailable(2, 20);
  EXPECT_TRUE(d.open().empty());
  for (double at : {20.5, 24.0, 28.0})
    EXPECT_EQ(d.decide("m-1", order(), 0, 2, at), Decision::redirect);
}

// Copies of reports come late: one that had been sent away before looked like a worker that had
// come back, and every report of its zone took a hop.
TEST(RelayRoutes, ACopyOpensNothingAndEndsNoProbe) {
  RelayRoutes d;
  EXPECT_EQ(d.decide("m-1", {1, 7}, 0, 2, 10), Decision::redirect);
  EXPECT_EQ(d.decide("m-1", {1, 7}, 0, 2, 12), Decision::redirect);
  EXPECT_EQ(d.decide("m-1", {1, 5}, 0, 2, 13), Decision::redirect);
  EXPECT_TRUE(d.open().empty());
  EXPECT_EQ(d.decide("m-1", {1, 8}, 0, 2, 14), Decision::relay);
  EXPECT_EQ(d.decide("m-2", {4, 1}, 0, 2, 18.5), Decision::redirect);  // on trial
  EXPECT_EQ(d.decide("m-2", {3, 9}, 0, 2, 19),
            Decision::relay);  // a copy of an earlier incarnation
  EXPECT_EQ(d.open().begin()->second.probing, "m-2");
  EXPECT_EQ(d.decide("m-2", {5, 1}, 0, 2, 20), Decision::relay);  // itself, in a new incarnation
  EXPECT_EQ(d.open().begin()->second.probing, "");
}

TEST(RelayRoutes, UnusedRoutesExpire) {
  RelayRoutes d;
  for (int i = 0; i < 500; ++i) d.decide("m-" + std::to_string(i), order(), 0, 2, 10);
  d.decide("m-1", order(), 0, 2, 12);
  EXPECT_EQ(d.open().size(), 1u);
  d.decide("m-x", order(), 1, 0, 100);
  EXPECT_TRUE(d.open().empty());
  EXPECT_EQ(d.remembered(), 1u);
}

// Three nodes, workers of two zones with leases; the owner is reached by no worker, by one zone's
// only, or by all, in generated spells; nodes between themselves always. As PROTOCOL has workers:
// 4 s for an answer, 1 s before the next node, a redirect at once.
class Cut {
 public:
  explicit Cut(unsigned seed, bool relays) : rng_(seed), relays_(relays) {
    for (int i = 0; i < 60; ++i) workers_.push_back({i % 2, 0, draw(5), 0});
  }
  // Spells of so many seconds each, cut and whole in turns.
  void run(double cut_s, double whole_s, int spells) {
    for (int i = 0; i < spells; ++i) {
      const bool cut = i % 2 == 0;
      const unsigned which = cut ? 1 + static_cast<unsigned>(rng_() % 3) : 0;
      const double until = now_ + (cut ? cut_s : whole_s);
      for (; now_ < until; now_ += 0.05) step(which);
      if (!cut) at_home_at_end_ &= home();
    }
  }
  int lost() const { return lost_; }
  bool at_home() const { return at_home_at_end_; }

 private:
  struct Worker {
    int zone;
    int at;  // the node that it reports to
    double next;
    double answered;
    bool redirected = false;
  };
  double draw(double most) { return std::uniform_real_distribution<>(0, most)(rng_); }
  bool home() const {
    return std::all_of(workers_.begin(), workers_.end(), [](const Worker& w) { return w.at == 0; });
  }
  void step(unsigned cut) {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      Worker& w = workers_[i];
      if (now_ - w.answered > 26.5) {
        ++lost_;
        w.answered = now_;
      }
      if (w.next > now_) continue;
      const bool reaches = w.at != 0 || !(cut & (1u << w.zone));
      if (!reaches) {
        w.next = now_ + 5;
        w.at = w.at % 2 + 1;
        continue;
      }
      auto way = Decision::redirect;
      if (w.at != 0 && relays_)
        way = nodes_[w.at].decide("m-" + std::to_string(i), order(), w.zone, 0, now_);
      if (w.at == 0 || way == Decision::relay) {
        w.answered = now_;
        w.next = now_ + 4 + draw(2);
      } else {
        w.at = 0;
        w.next = now_ + draw(0.5);
      }
    }
  }
  std::mt19937 rng_;
  bool relays_;
  std::vector<Worker> workers_;
  std::map<int, RelayRoutes> nodes_;
  double now_ = 0;
  int lost_ = 0;
  bool at_home_at_end_ = true;
};

// Two controllers in turn lost the workers for a minute: 304 to 1,636 tasks were killed by their
// lease in a day.
TEST(RelayRoutes, NoLeaseIsLostWhileASiblingIsReachedAndAllGoHomeAfterwards) {
  int without = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Cut with(seed, true), none(seed, false);
    with.run(60, 60, 6);
    none.run(60, 60, 6);
    EXPECT_EQ(with.lost(), 0);
    EXPECT_TRUE(with.at_home());
    without += none.lost();
  }
  EXPECT_GT(without, 1000);
}

// Whatever comes in whatever order: nothing is passed on before a worker has come back, and what is
// remembered stays in proportion to what came lately.
RC_GTEST_PROP(RelayRoutes, HoldTheirInvariantsUnderAnyInput, ()) {
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
      200, rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(-1, 2), rc::gen::inRange(0, 3),
                          rc::gen::inRange(0, 40)));
  RelayRoutes d;
  double now = 0;
  std::map<std::tuple<int, int>, double> redirected;  // machine, owner
  for (auto [machine, zone, owner, past] : steps) {
    now += past / 10.0;
    const bool was = d.open().contains({owner, zone});
    Decision w = d.decide("m-" + std::to_string(machine), order(), zone, owner, now);
    if (w != Decision::redirect && !was) {
      auto at = redirected.find({machine, owner});
      const bool came_back = at != redirected.end() && now - at->second <= 13;
      RC_ASSERT(came_back);
    }
    if (w == Decision::redirect) redirected[{machine, owner}] = now;
    if (past % 7 == 0) d.relayed(owner, past % 2 == 0, now);
    RC_ASSERT(d.open().size() <= 9u);
    RC_ASSERT(d.remembered() <= 12u);
  }
}

// ---- between controllers

TEST(RelayedHeartbeat, ItsFormIsTheRecordedOneAndOthersAreRefused) {
  const std::string report = R"({"engine":"m-000231"})";
  const std::string bytes = peer::encode(peer::RelayedHeartbeat{1, 2, report});
  EXPECT_EQ(bytes.substr(0, 17), std::string("\1\1\0\0\0\2\0\0\0\x15\0\0\0\0\0\0\0", 17));
  EXPECT_EQ(bytes.substr(17), report);
  auto p = peer::decode_relayed(bytes, 3);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->node, 2);
  EXPECT_EQ(p->heartbeat, report);
  EXPECT_FALSE(peer::decode_relayed(bytes, 2));
  std::string other = bytes;
  other[1] = 2;
  EXPECT_FALSE(peer::decode_relayed(other, 3));
  // A heartbeat is no report, and a report no heartbeat.
  EXPECT_FALSE(peer::decode(bytes, 3));
}
RC_GTEST_PROP(RelayedHeartbeat, MalformedBodiesAreRefused,
              (std::string bytes, std::string report)) {
  auto p = peer::decode_relayed(bytes, 3);
  if (p) RC_ASSERT(p->heartbeat.size() + 17 == bytes.size());
  auto back = peer::decode_relayed(peer::encode(peer::RelayedHeartbeat{1, 0, report}), 3);
  RC_ASSERT(back && back->heartbeat == report);
}

// A worker, a node that passes its reports on, and the owner, over sockets on loopback.
struct Pass {
  actor::Loop loop;
  const std::uint16_t front_port = free_port(), owner_port = free_port();
  config::Settings s = make_settings(3);
  config::Tuning t;
  int owner_says = 200;
  std::vector<net::ExchangePtr> held;
  std::vector<std::string> reports;
  std::unique_ptr<state::Client> client;
  std::unique_ptr<controller::ControllerComponents> parts;
  std::unique_ptr<controller::HeartbeatRelay> relay;
  std::unique_ptr<net::Server> front, owner;
  std::unique_ptr<net::Client> worker;

  Pass() {
    t.relay = true;
    s.peers.push_back({s.nodes[2], "b", {"127.0.0.1", owner_port}});
    client = std::make_unique<state::Client>(loop, s);
    parts.reset(new controller::ControllerComponents{s, t, *client});
    relay = std::make_unique<controller::HeartbeatRelay>(loop, *parts);
    front = std::make_unique<net::Server>(
        loop, config::Endpoint{"127.0.0.1", front_port}, 64 * 1024,
        [this](net::ExchangePtr ex) { relay->route_heartbeat(ex, "m-1", order(), 0, 2); });
    owner = std::make_unique<net::Server>(
        loop, config::Endpoint{"127.0.0.1", owner_port}, 65 * 1024, [this](net::ExchangePtr ex) {
          EXPECT_EQ(ex->path, "/peer/report");
          if (owner_says == 0) return held.push_back(ex);  // stands still
          if (owner_says != 200) return ex->send({owner_says, "{}", 0});
          relay->handle_relayed(ex, [this](net::ExchangePtr report) {
            reports.push_back(report->body);
            report->send({200, R"({"staff":5,"orders":[]})", 0});
          });
        });
    worker = std::make_unique<net::Client>(loop, config::Endpoint{"127.0.0.1", front_port}, 1, 4);
  }
  ~Pass() { held.clear(); }  // while their server is there
  net::Result report(const std::string& body) {
    std::optional<net::Result> got;
    worker->request("POST", "/agent/beat", body, 4, [&](net::Result r) { got = std::move(r); });
    EXPECT_TRUE(run_loop_until(
        loop, [&] { return got.has_value(); }, 200000));
    return got.value_or(net::Result{});
  }
};

TEST(Relay, TheLeadersAnswerGoesBackInTheSameExchange) {
  Pass p;
  net::Result first = p.report("one");
  EXPECT_EQ(first.status, 421);
  EXPECT_NE(first.body.find(p.s.nodes[2]), std::string::npos);
  net::Result second = p.report(std::string(64 * 1024 - 1, 'x'));
  EXPECT_EQ(second.status, 200);
  EXPECT_EQ(second.body, R"({"staff":5,"orders":[]})");
  ASSERT_EQ(p.reports.size(), 1u);
  EXPECT_EQ(p.reports[0].size(), 64 * 1024 - 1);
  // It is not the owner by now, and says who is.
  p.owner_says = 421;
  EXPECT_EQ(p.report("three").status, 421);
  EXPECT_NE(p.relay->describe().find(R"("passed":2,)"), std::string::npos);
}
TEST(Relay, AnOlderBuildIsSentNothingMore) {
  Pass p;
  p.owner_says = 404;
  EXPECT_EQ(p.report("one").status, 421);
  EXPECT_EQ(p.report("two").status, 503);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(p.report("more").status, 421);
  EXPECT_NE(p.relay->describe().find(R"("passed":1,)"), std::string::npos);
}
TEST(Relay, AFrozenLeaderCostsTheWorkerLessThanItsTimeout) {
  Pass p;
  p.owner_says = 0;
  p.report("one");
  EXPECT_EQ(p.report("two").status, 503);
  EXPECT_EQ(p.held.size(), 1u);
  EXPECT_EQ(p.report("three").status, 503);  // at once: it is not asked again so soon
  EXPECT_EQ(p.held.size(), 1u);
}
// With room for 48, the others of a whole zone that was cut off were refused, and the sibling taken
// for one that does not answer.
TEST(Relay, HeartbeatsOfAWholeZoneAreOutAtTheSameTime) {
  constexpr std::size_t kReports = 120;
  Pass p;
  EXPECT_EQ(p.report("one").status, 421);
  p.owner_says = 0;  // holds them, as for a commit
  net::Client zone(p.loop, config::Endpoint{"127.0.0.1", p.front_port}, kReports, 0);
  std::size_t answered = 0, taken = 0;
  for (std::size_t i = 0; i < kReports; ++i)
    zone.request("POST", "/agent/beat", "more", 4, [&](net::Result r) {
      ++answered;
      taken += r.status == 200;
    });
  run_loop_until(
      p.loop, [&] { return p.held.size() + answered == kReports; }, 200000);
  EXPECT_EQ(p.held.size(), kReports);
  for (auto& ex : p.held) ex->send({200, R"({"staff":5,"orders":[]})", 0});
  run_loop_until(
      p.loop, [&] { return answered == kReports; }, 200000);
  EXPECT_EQ(taken, kReports);
}
TEST(Relay, SwitchedOffItOnlyRedirects) {
  Pass p;
  p.t.relay = false;
  for (int i = 0; i < 4; ++i) EXPECT_EQ(p.report("x").status, 421);
  EXPECT_TRUE(p.reports.empty());
}

}  // namespace
}  // namespace shunttrail::test
