// Transactions that make waiting jobs ready, under the size limits of the state service.
#include "jobs/state_transitions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "wire/record_codec.h"

namespace shunttrail::test {
namespace {

const std::string kTypeName(100, 't');

// Jobs that wait for one job, which is done.
struct ReadyJobs {
  config::Settings settings = make_settings(1);
  Store store;
  state::StateCache cache{settings};
  jobs::DependencyGraph graph{cache};
  const std::string needed = make_job(0, 1, 1).spec.id;

  // Returns the length of the job's record.
  std::size_t add(int number, std::size_t padding) {
    wire::JobRecord record = make_job(number, 1, 1);
    record.spec.types = std::vector<std::string>(padding / kTypeName.size(), kTypeName);
    record.spec.dependencies = {needed};
    record.submitted_at = 1796364123.1234567;
    const std::string value = wire::encode_record(record);
    store.commit({{}, {{state::waiting_key(record.spec.id), value, 0}}});
    return value.size();
  }
  void read() {
    std::vector<state::Change> changes;
    store.read(cache, changes);
    for (const auto& change : changes) graph.key_changed(change.name);
    graph.job_ended(needed, false);
  }
  static bool is_led_here(const std::string&) { return true; }
  jobs::StateTransitions transitions(std::size_t value_bytes) {
    return jobs::state_transitions(cache, graph, true, {value_bytes, 4, 16}, 1796364131.7654321,
                                   "t", is_led_here);
  }
  // Returns the job that is tried by itself after this one; empty: none.
  std::string oversized_after(const std::string& job, std::size_t value_bytes) {
    const auto start = jobs::oversized_start(cache, graph, {value_bytes, 4, 16}, 1796364131.7654321,
                                             job, is_led_here);
    return start ? start->id : "";
  }
};

// Guards against a job that was accepted at the limit, and cannot become ready since the time at
// which it did so makes its record longer.
RC_GTEST_PROP(StateTransitions, ARecordBecomesNoLongerWhenItsJobBecomesReady, ()) {
  const auto digits = [](int max) { return std::to_string(*rc::gen::inRange(0, max)); };
  wire::JobRecord record = make_job(1, 1, 1);
  record.spec.dependencies = {"run-" + digits(1000000)};
  record.submitted_at = 1796364123 + *rc::gen::inRange(0, 10000000) / 1e7;
  const std::size_t waiting = wire::encode_record(record).size();
  record.spec.dependencies.clear();
  record.ready_at = 1796364131 + *rc::gen::inRange(0, 10000000) / 1e7;
  const std::string ready = wire::encode_record_within(record, waiting);
  RC_ASSERT(ready.size() <= waiting);
  const wire::JobRecord decoded = wire::decode_job_record({"", ready, 0});
  RC_ASSERT(std::abs(decoded.submitted_at - record.submitted_at) < 1);
  RC_ASSERT(decoded.ready_at == 0 || std::abs(decoded.ready_at - record.ready_at) < 1);
  RC_ASSERT(wire::encode_record_within(record, 4096) == wire::encode_record(record));
}

// The time at which the job became ready is kept as long as a form with it fits.
TEST(StateTransitions, TheReadyTimeIsLeftOutLast) {
  wire::JobRecord record = make_job(1, 1, 1);
  record.submitted_at = 1796364123.1234567;
  record.ready_at = 1796364131.7654321;
  const std::size_t exact = wire::encode_record(record).size();
  const auto decoded = [&](std::size_t max_bytes) {
    return wire::decode_job_record({"", wire::encode_record_within(record, max_bytes), 0});
  };
  EXPECT_EQ(decoded(exact).ready_at, 1796364131.7654321);
  EXPECT_EQ(decoded(exact - 1).ready_at, 1796364131);
  EXPECT_EQ(decoded(exact - 16).ready_at, 1796364131);
  EXPECT_EQ(decoded(exact - 16).submitted_at, 1796364123);
  EXPECT_EQ(decoded(exact - 17).ready_at, 0);
  EXPECT_EQ(decoded(exact - 17).submitted_at, 1796364123);
}

// Guards against jobs that wait behind one whose record is above the limits in every form.
TEST(StateTransitions, JobsAboveTheLimitsAreLeftOutAndTriedInTurn) {
  ReadyJobs jobs;
  const std::size_t limit = jobs.add(1, 0);
  jobs.add(2, 100);
  jobs.add(3, 0);
  jobs.add(4, 100);
  jobs.read();
  ASSERT_EQ(jobs.graph.ready().size(), 4u);
  const auto id = [](int number) { return make_job(number, 1, 1).spec.id; };
  const auto transitions = jobs.transitions(limit);
  ASSERT_EQ(transitions.txn.ops.size(), 4u);
  EXPECT_EQ(transitions.txn.ops[1].key, state::job_key(id(1)));
  EXPECT_EQ(transitions.txn.ops[3].key, state::job_key(id(3)));
  EXPECT_EQ(jobs.oversized_after("", limit), id(2));
  EXPECT_EQ(jobs.oversized_after(id(2), limit), id(4));
  EXPECT_EQ(jobs.oversized_after(id(4), limit), id(2));
  EXPECT_EQ(jobs.oversized_after("", limit + 100), "");
}

// Guards against transactions that the state service rejects for their total length, although each
// value is within the limit.
TEST(StateTransitions, TransactionsOfLongRecordsStayWithinTheTotalLength) {
  ReadyJobs jobs;
  for (int number = 1; number <= 6; ++number) jobs.add(number, 25000);
  jobs.read();
  const auto transitions = jobs::state_transitions(jobs.cache, jobs.graph, true, {32768, 16, 64},
                                                   1796364131, "t", ReadyJobs::is_led_here);
  EXPECT_EQ(transitions.txn.ops.size(), 4u);
  EXPECT_LE(wire::encode_transaction(transitions.txn).size(), state::kMaxTransactionBytes);
}

}  // namespace
}  // namespace shunttrail::test
