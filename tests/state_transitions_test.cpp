// Transactions that make waiting jobs ready, under the size limits of the state service.
#include "jobs/state_transitions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "wire/record_codec.h"

namespace shunttrail::test {
namespace {

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

}  // namespace
}  // namespace shunttrail::test
