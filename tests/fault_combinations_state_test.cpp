// What counts as the beginning of a read of the state service, in simulated time.
#include <gtest/gtest.h>

#include "client_protocol/client_protocol.h"
#include "controller/state_store.h"
#include "simulation/simulation.h"

namespace shunttrail::test {
namespace {

// A state service whose pages come slowly, and which answers nothing but them.
struct SlowPages {
  simulation::Simulation sim{1};
  simulation::Host node{sim, "node-0"}, service{sim, "state"};
  config::Settings s;
  std::vector<double> pages_at;  // when each was asked for
  int pages = 5;
  std::unique_ptr<state::Client> client;
  std::unique_ptr<controller::StateStore> store;
  std::unique_ptr<net::Server> server;

  SlowPages() {
    s.nodes = {"node-0"};
    s.node = "node-0";
    s.state = {"state", 1};
    sim.delivery_of = [](const simulation::Request&) {
      simulation::Delivery delivery;
      delivery.request_delay_s = delivery.answer_delay_s = 0.8;
      return delivery;
    };
    server = std::make_unique<net::Server>(
        service.loop(), s.state, 64 * 1024, [this](const net::ExchangePtr& ex) {
          if (ex->path != "/kv") return ex->send({503, "{}", 0});
          pages_at.push_back(sim.now() - 0.8);
          const int n = static_cast<int>(pages_at.size());
          ex->send({200,
                    client_protocol::encode_page(
                        {client_protocol::encode_entry("st/x/" + std::to_string(n), "{}", 4, 0)},
                        n < pages, 9),
                    0});
        });
    client = std::make_unique<state::Client>(node.loop(), s);
    store = std::make_unique<controller::StateStore>(node.loop(), s, *client);
  }
};

// A page holds what was so when it was read: all that is known of the keys of the first one is as
// old as that. An leader that counted from the last page went on answering workers for longer than
// S after a cancellation that it did not know of.
TEST(StateStore, AReadOfManyPagesBeganWithTheFirst) {
  SlowPages p;
  p.store->tick();
  p.sim.run_until(30);
  ASSERT_TRUE(p.store->loaded());
  ASSERT_EQ(p.pages_at.size(), 5u);
  const double first = p.sim.now() - p.pages_at.front(), last = p.sim.now() - p.pages_at.back();
  ASSERT_GT(first - last, 6);
  EXPECT_FALSE(p.store->fresh(first - 0.1));
  EXPECT_TRUE(p.store->fresh(first + 0.1));
}

}  // namespace
}  // namespace shunttrail::test
