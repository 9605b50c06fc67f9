// The digest of a simulated history is equal for equal seeds and different for different ones.
#include <gtest/gtest.h>

#include "fault_combinations.h"
#include "simulation/history_digest.h"

namespace shunttrail::test {
namespace {

using simulation::HistoryDigest;

std::uint64_t digest_of_bytes(std::string_view bytes) {
  HistoryDigest digest;
  digest.add_bytes(bytes);
  return digest.value();
}

// Published test values of 64-bit FNV-1a.
TEST(HistoryDigest, IsFnv1a) {
  EXPECT_EQ(digest_of_bytes(""), 0xcbf29ce484222325u);
  EXPECT_EQ(digest_of_bytes("a"), 0xaf63dc4c8601ec8cu);
  EXPECT_EQ(digest_of_bytes("foobar"), 0x85944171f73967e8u);
}

TEST(HistoryDigest, NumbersAreEightBytesLeastSignificantFirst) {
  HistoryDigest digest;
  digest.add_number(0x6867666564636261);
  EXPECT_EQ(digest.value(), digest_of_bytes("abcdefgh"));
}

TEST(HistoryDigest, DoublesDifferInTheirLastBit) {
  HistoryDigest computed, literal;
  computed.add_double(0.1 + 0.2);
  literal.add_double(0.3);
  EXPECT_NE(computed.value(), literal.value());
}

TEST(HistoryDigest, TextsDifferByWhereTheyAreSplit) {
  HistoryDigest one, other;
  one.add_text("ab");
  one.add_text("c");
  other.add_text("a");
  other.add_text("bc");
  EXPECT_NE(one.value(), other.value());
}

TEST(FaultCombinationsDigest, TheSameSeedGivesTheSameHistory) {
  for (unsigned seed : {1u, 2u, 3u})
    EXPECT_EQ(play_history(seed).digest, play_history(seed).digest) << seed;
}

TEST(FaultCombinationsDigest, AnotherSeedGivesAnotherHistory) {
  std::set<std::uint64_t> digests;
  for (unsigned seed = 1; seed <= 5; ++seed) digests.insert(play_history(seed).digest);
  EXPECT_EQ(digests.size(), 5u);
}

TEST(FaultCombinationsDigest, ANamedFaultChangesTheHistory) {
  EXPECT_NE(play_history(1).digest, play_history(1, {"cloud down"}).digest);
}

// One request and its answer. Tests change one part at a time, which has to change the digest.
struct OneExchange {
  double at_s = 1;
  std::string path = "/x", body = "question";
  net::Answer answer{200, "answer", 0};

  std::uint64_t digest() const {
    simulation::Simulation simulation(1);
    simulation::Host server(simulation, "server"), client(simulation, "client");
    const config::Endpoint endpoint{"server", 80};
    const auto listener =
        server.listen(endpoint, [this](const net::ExchangePtr& e) { e->send(answer); });
    net::Network::Handle handle;
    simulation.at(at_s, [&] {
      handle = client.request(endpoint, "POST", path, body, 5, [](const net::Result&) {});
    });
    simulation.run_until(10);
    return simulation.digest();
  }
};

TEST(SimulationDigest, ChangesWithEachPartOfARequestOrAnswerAndTheirTimes) {
  const std::uint64_t unchanged = OneExchange{}.digest();
  EXPECT_EQ(OneExchange{}.digest(), unchanged);
  OneExchange later, other_path, altered_body, other_status, other_answer, other_retry;
  later.at_s = 1.0000001;
  other_path.path = "/y";
  altered_body.body = "Question";
  other_status.answer.status = 201;
  other_answer.answer.body = "Answer";
  other_retry.answer.retry_after_s = 1;
  for (const OneExchange& other :
       {later, other_path, altered_body, other_status, other_answer, other_retry})
    EXPECT_NE(other.digest(), unchanged);
}

}  // namespace
}  // namespace shunttrail::test
