// Codecs with generated inputs: encoded values are decoded unchanged, and a decoder throws nothing
// but Malformed for arbitrary bytes. Also peer heartbeats, settings and tuning.
#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "config/settings.h"
#include "jobs/job.h"
#include "peer/peer.h"

namespace shunttrail::wire {
namespace {

const std::string kValidJob =
    R"({"uid":"run-000412","consist":"train","crew":"vision","haul":"batch","precedence":"high",
"cars":16,"vcpus":8.0,"cards":1.0,"mem_gb":64.0,"manifest":"img-07","size_gb":6.2,
"stock_types":["g8"],"yard":null,"same_place":true,"scatter":false,"borrowed_stock":true,
"run_s":240.0,"milepost_s":30.0,"couple_s":4.0,"due_s":900.0,"extra":[1]})";

TEST(Codec, DecodesTheExampleSubmissionOfTheProtocol) {
  JobSpec spec = decode_job(kValidJob);
  EXPECT_EQ(spec.id, "run-000412");
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_TRUE(spec.same_zone);
  EXPECT_FALSE(spec.zone);
  EXPECT_EQ(spec.deadline_s, 900.0);
}

TEST(Codec, SubmissionsWithInvalidFieldsAreRejected) {
  auto with_replacement = [](std::string from, std::string to) {
    std::string text = kValidJob;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  for (auto [from, to] :
       std::vector<std::pair<std::string, std::string>>{{"\"cars\":16", "\"cars\":0"},
                                                        {"\"cars\":16", "\"cars\":100001"},
                                                        {"\"cars\":16", "\"cars\":1.5"},
                                                        {"\"cars\":16", "\"cars\":-1"},
                                                        {"\"cars\":16,", ""},
                                                        {"run-000412", "run-"},
                                                        {"run-000412", "job-1"},
                                                        {"run-000412", "run-1/2"},
                                                        {"\"vcpus\":8.0", "\"vcpus\":-8"},
                                                        {"\"vcpus\":8.0", "\"vcpus\":1e999"},
                                                        {"\"vcpus\":8.0", "\"vcpus\":\"8\""},
                                                        {"\"batch\"", "\"other\""},
                                                        {"\"high\"", "\"higher\""},
                                                        {"true,\"scatter\"", "1,\"scatter\""},
                                                        {"[\"g8\"]", "\"g8\""},
                                                        {"\"crew\":\"vision\"", "\"crew\":null"}})
    EXPECT_THROW(decode_job(with_replacement(from, to)), Malformed) << to;
  EXPECT_THROW(decode_job("[]"), Malformed);
  EXPECT_THROW(decode_job(""), Malformed);
  EXPECT_THROW(decode_job(std::string(60000, '[')), Malformed);
}

RC_GTEST_PROP(Codec, CorruptedBodiesThrowNothingButMalformed, ()) {
  static const std::vector<std::string> valid_bodies = {
      kValidJob,
      R"({"engine":"m-1","address":"a:1","stock":"g","yard":"a","borrowed_stock":true,"shift":1,
"waybill":8,"staff":4,"cars":[{"car":"run-000001/3","departure":2,"signal":"running"}]})",
      R"({"ledger":3,"events":[{"set":"c/9","value":{},"stamp":3},{"drop":"c/d","stamp":2}]})",
      R"({"d":[0,3,5,9]})", R"({"s":"done","n":3})"};
  std::string body = *rc::gen::elementOf(valid_bodies);
  auto changes = *rc::gen::container<std::vector<std::pair<unsigned, char>>>(
      rc::gen::pair(rc::gen::inRange(0u, 300u), rc::gen::arbitrary<char>()));
  for (auto [position, byte] : changes)
    if (position < body.size()) body[position] = byte;
  auto expect_malformed_at_most = [&](auto decode) {
    try {
      decode(body);
    } catch (const Malformed&) {
    }
  };
  expect_malformed_at_most([](const std::string& text) { static_cast<void>(decode_job(text)); });
  expect_malformed_at_most(
      [](const std::string& text) { static_cast<void>(decode_heartbeat(text)); });
  expect_malformed_at_most([](const std::string& text) { static_cast<void>(decode_watch(text)); });
  expect_malformed_at_most([](const std::string& text) { static_cast<void>(decode_keys(text)); });
  expect_malformed_at_most([](const std::string& text) { static_cast<void>(decode_types(text)); });
  expect_malformed_at_most(
      [](const std::string& text) { static_cast<void>(decode_machines(text)); });
  expect_malformed_at_most([](const std::string& text) {
    static_cast<void>(decode_placement_page({"", text, 0}, [](const std::string&) { return 0; }));
  });
  expect_malformed_at_most([](const std::string& text) {
    static_cast<void>(decode_inventory_page({"", text, 0}));
  });
  expect_malformed_at_most(
      [](const std::string& text) { static_cast<void>(decode_job_result(text)); });
  expect_malformed_at_most([](const std::string& text) {
    static_cast<void>(decode_job_record({"", text, 0}));
  });
}

RC_GTEST_PROP(Codec, IntervalsCoverExactlyTheSetBits, (const std::vector<bool>& bits)) {
  std::vector<bool> decoded(bits.size(), false);
  for (auto [first, last] : intervals(bits))
    for (auto i = first; i <= last; ++i) decoded.at(i) = true;
  RC_ASSERT(decoded == bits);
}

RC_GTEST_PROP(Codec, PlacementPagesRoundTrip, ()) {
  PlacementPageRecord record;
  record.tag = "x.1.2";
  int placements = *rc::gen::inRange(0, 20);
  for (int i = 0; i < 3; ++i)
    record.jobs.push_back({"run-" + std::to_string(100000 + i),
                           i,
                           1.5,
                           0,
                           2.25,
                           {},
                           {{static_cast<std::uint32_t>(i), {{1, 4}, {7, 7}}}}});
  for (int i = 0; i < placements; ++i)
    record.jobs[i % 3].placements.push_back(
        {"m-" + std::to_string(i % 5), static_cast<std::uint32_t>(i),
         *rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 60)});
  PlacementPageRecord decoded = decode_placement_page(
      {"", encode_record(record, [](int team) { return std::to_string(team); }), 0},
      [](const std::string& team) { return std::stoi(team); });
  RC_ASSERT(decoded.jobs.size() == record.jobs.size());
  RC_ASSERT(decoded.tag == record.tag);
  for (std::size_t job = 0; job < record.jobs.size(); ++job) {
    RC_ASSERT(decoded.jobs[job].job == record.jobs[job].job);
    RC_ASSERT(decoded.jobs[job].team == record.jobs[job].team);
    RC_ASSERT(decoded.jobs[job].mem_gb == record.jobs[job].mem_gb);
    RC_ASSERT(decoded.jobs[job].done == record.jobs[job].done);
    RC_ASSERT(decoded.jobs[job].placements.size() == record.jobs[job].placements.size());
    for (std::size_t i = 0; i < record.jobs[job].placements.size(); ++i) {
      const auto &expected = record.jobs[job].placements[i],
                 &actual = decoded.jobs[job].placements[i];
      RC_ASSERT(std::tie(expected.machine, expected.task, expected.attempt) ==
                std::tie(actual.machine, actual.task, actual.attempt));
    }
  }
}

RC_GTEST_PROP(Codec, InventoryPagesRoundTrip, ()) {
  InventoryPageRecord record;
  record.tag = "x";
  int machines = *rc::gen::inRange(0, 32);
  for (int i = 0; i < machines; ++i)
    record.machines.push_back({"m-" + std::to_string(100000 + i), "t", "a", i % 2 == 0,
                               *rc::gen::inRange(0, 5),
                               *rc::gen::inRange<std::uint64_t>(0, 1u << 30)});
  InventoryPageRecord decoded = decode_inventory_page({"", encode_record(record), 0});
  RC_ASSERT(decoded.machines == record.machines);
  RC_ASSERT(decoded.tag == record.tag);
}

TEST(Codec, JobRecordsRoundTrip) {
  JobRecord record{decode_job(kValidJob), 12.5};
  JobRecord decoded = decode_job_record({"", encode_record(record), 0});
  EXPECT_EQ(decoded.submitted_at, 12.5);
  EXPECT_EQ(encode_record(decoded), encode_record(record));
}

RC_GTEST_PROP(Peer, ArbitraryBytesAreRejectedOrAValidHeartbeat, (const std::string& bytes)) {
  auto heartbeat = peer::decode(bytes, 3);
  if (heartbeat)
    RC_ASSERT(heartbeat->node >= 0 && heartbeat->node < 3 && heartbeat->tokens.size() == 3u);
}
TEST(Peer, HeartbeatsRoundTrip) {
  peer::PeerHeartbeat sent;
  sent.node = 2;
  sent.serving = true;
  sent.tokens = {1, std::uint64_t{1} << 50, 0};
  sent.loads = {{1, 2, 3, true}, {}, {400, 0, 7, false}};
  auto received = peer::decode(peer::encode(sent), 3);
  ASSERT_TRUE(received);
  EXPECT_EQ(received->tokens, sent.tokens);
  EXPECT_EQ(received->loads, sent.loads);
  EXPECT_TRUE(received->serving);
  EXPECT_FALSE(peer::decode(peer::encode(sent), 4));
}

TEST(Settings, ErrorsNameTheFieldAndTheReason) {
  auto message = [](const std::string& text) {
    try {
      static_cast<void>(config::parse_settings(text));
    } catch (const config::SettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ(message("{"), "settings: are not JSON");
  EXPECT_EQ(message("{}"), "host_name: is missing");
  EXPECT_EQ(message(R"({"host_name":"a","zone":"z","front":"1.2.3.4:99999"})"),
            "front: has port \"99999\", expected 1 to 65535");
}
// Guards against a controller that has lost the state service and the other controllers, but not
// its workers: it reported itself healthy to the load balancer and answered every user 503.
TEST(Peer, ANodeCutOffFromTheOthersYieldsItsUsersButNotInAnOutage) {
  using peer::PeerStatus;
  const PeerStatus self, serves{99, true}, waits{99, false}, old{90, true};
  EXPECT_TRUE(peer::another_serves({self, serves, waits}, 0, 100));
  EXPECT_FALSE(peer::another_serves({self, waits, waits}, 0, 100));  // an outage: no node serves
  EXPECT_FALSE(peer::another_serves({self, waits, old}, 0, 100));
  EXPECT_TRUE(peer::another_serves({self, old, old}, 0, 100));  // cut off from all other nodes
  EXPECT_TRUE(peer::another_serves({self, old}, 99, 100));      // started a moment ago
  EXPECT_FALSE(peer::another_serves({self}, 0, 100));           // there is no other node
}

// A deployment states 0 for teams without guarantees and limits. When 0 was read as a limit of
// zero, every submission was answered 422.
TEST(Settings, ALimitOfZeroMeansUnlimited) {
  auto settings_with = [](const std::string& team) {
    return config::parse_settings(
        R"({"host_name":"a","zone":"z","front":"1.2.3.4:1","internal_addr":"1.2.3.4:2","siblings":[],
"services":{"cloud":"1.2.3.4:3","state":"1.2.3.4:4"},"cluster":{"size":1,"zones":["z"],
"teams":[{"name":"red",)" +
        team + R"(}],"workers":{"report_s":3,"lease_s":20,"cancel_s":45},
"state":{"rps":80,"write_rps":25,"value_kb":4,"txn_ops":12},"cloud":{"rps":6,"list_lag_s":3},
"quota":{"cpu_share":0.1,"ram_mb":100,"max_sockets":100},"clock_off_ms":100}})");
  };
  auto message = [&](const std::string& team) {
    try {
      settings_with(team);
    } catch (const config::SettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  auto team = settings_with(R"("cpus":0,"cpus_max":0,"gpus":0.0,"gpus_max":3)").teams[0];
  EXPECT_TRUE(std::isinf(team.cpus_max));
  EXPECT_EQ(team.gpus_max, 3);
  // CPUs and GPUs are limited independently, and a guarantee needs no limit.
  team = settings_with(R"("cpus":4,"cpus_max":8,"gpus":2,"gpus_max":0)").teams[0];
  EXPECT_EQ(team.cpus_max, 8);
  EXPECT_TRUE(std::isinf(team.gpus_max));
  // An infinite limit is larger than any sum of amounts, and converting it does not overflow.
  const auto unlimited = jobs::Resources::of(team.gpus_max, team.gpus_max, 0);
  EXPECT_GT(unlimited.cpus, (jobs::Resources::of(1e9, 0, 0) + jobs::Resources::of(1e9, 0, 0)).cpus);
  EXPECT_EQ(message(R"("cpus":4,"cpus_max":3,"gpus":0,"gpus_max":0)"),
            "cluster.teams[0].cpus_max: is 3, below the guarantee of 4");
  EXPECT_EQ(message(R"("cpus":4,"cpus_max":4,"gpus":2,"gpus_max":1)"),
            "cluster.teams[0].gpus_max: is 1, below the guarantee of 2");
  EXPECT_EQ(message(R"("cpus":-1,"cpus_max":0,"gpus":0,"gpus_max":0)"),
            "cluster.teams[0].cpus: is -1, expected 0 to 1e+12");
  EXPECT_EQ(message(R"("cpus":0,"cpus_max":"x","gpus":0,"gpus_max":0)"),
            "cluster.teams[0].cpus_max: is not a number");
}
TEST(Tuning, ReadsKnownFieldsAndRejectsUnknownOrInvalidOnes) {
  auto tuning = config::parse_tuning("<shunttrail><lambda>3</lambda><ring>8</ring></shunttrail>");
  EXPECT_DOUBLE_EQ(tuning.lambda, 3);
  EXPECT_EQ(tuning.ring, 8);
  EXPECT_FALSE(tuning.relay);
  EXPECT_TRUE(config::parse_tuning("<shunttrail><relay>true</relay></shunttrail>").relay);
  EXPECT_THROW(static_cast<void>(config::parse_tuning("<shunttrail><relay>1</relay></shunttrail>")),
               config::SettingsError);
  EXPECT_THROW(
      static_cast<void>(config::parse_tuning("<shunttrail><lambda>1</lambda></shunttrail>")),
      config::SettingsError);
  EXPECT_THROW(static_cast<void>(config::parse_tuning("<shunttrail><lamda>2</lamda></shunttrail>")),
               config::SettingsError);
  EXPECT_THROW(static_cast<void>(config::parse_tuning("<shunttrail><ring>2.5</ring></shunttrail>")),
               config::SettingsError);
  EXPECT_THROW(static_cast<void>(config::parse_tuning("lambda=2")), config::SettingsError);
}

}  // namespace
}  // namespace shunttrail::wire
