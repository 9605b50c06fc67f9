// The age of a read of the state service that takes several pages, in simulated time.
#include <gtest/gtest.h>

#include "client_protocol/client_protocol.h"
#include "controller/state_store.h"
#include "simulation/simulation.h"

namespace shunttrail::test {
namespace {

// A state service that answers lists of keys slowly, page by page, and refuses all other requests.
struct SlowStateService {
  simulation::Simulation sim{1};
  simulation::Host node{sim, "node-0"}, service{sim, "state"};
  config::Settings settings;
  std::vector<double> page_requested_at;  // when each page was requested
  int page_count = 5;
  std::unique_ptr<state::Client> client;
  std::unique_ptr<controller::StateStore> store;
  std::unique_ptr<net::Server> server;

  SlowStateService() {
    settings.nodes = {"node-0"};
    settings.node = "node-0";
    settings.state = {"state", 1};
    sim.delivery_of = [](const simulation::Request&) {
      simulation::Delivery delivery;
      delivery.request_delay_s = delivery.answer_delay_s = 0.8;
      return delivery;
    };
    server = std::make_unique<net::Server>(
        service.loop(), settings.state, 64 * 1024, [this](const net::ExchangePtr& exchange) {
          if (exchange->path != "/kv") return exchange->send({503, "{}", 0});
          page_requested_at.push_back(sim.now() - 0.8);
          const int number = static_cast<int>(page_requested_at.size());
          exchange->send(
              {200,
               client_protocol::encode_page(
                   {client_protocol::encode_entry("st/x/" + std::to_string(number), "{}", 4, 0)},
                   number < page_count, 9),
               0});
        });
    client = std::make_unique<state::Client>(node.loop(), settings);
    store = std::make_unique<controller::StateStore>(node.loop(), settings, *client);
  }
};

// The keys of the first page are as old as that page's read. A leader that counted the age of its
// cache from the last page answered workers for longer than S after a cancellation that it had not
// read.
TEST(StateStore, AReadOfManyPagesIsAsOldAsItsFirstPage) {
  SlowStateService service;
  service.store->tick();
  service.sim.run_until(30);
  ASSERT_TRUE(service.store->loaded());
  ASSERT_EQ(service.page_requested_at.size(), 5u);
  const double first_page_age_s = service.sim.now() - service.page_requested_at.front(),
               last_page_age_s = service.sim.now() - service.page_requested_at.back();
  ASSERT_GT(first_page_age_s - last_page_age_s, 6);
  EXPECT_FALSE(service.store->fresh(first_page_age_s - 0.1));
  EXPECT_TRUE(service.store->fresh(first_page_age_s + 0.1));
}

}  // namespace
}  // namespace shunttrail::test
