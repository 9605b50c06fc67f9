// The reads of job results, and the bounded cache of those that were read.
#include "jobs/result_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/result_cache.h"

namespace shunttrail::test {
namespace {

// The cache holds the latest results and drops the oldest; adding one again changes nothing.
TEST(ResultCache, DropsTheOldestResult) {
  jobs::ResultCache cache(2);
  wire::JobResultRecord result;
  for (const std::uint32_t tasks : {1, 2, 1, 3}) {
    result.tasks = tasks;
    cache.add("run-" + std::to_string(tasks), result);
  }
  EXPECT_EQ(cache.find("run-1"), nullptr);
  for (const std::uint32_t tasks : {2, 3}) {
    const auto* found = cache.find("run-" + std::to_string(tasks));
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->tasks, tasks);
  }
}

// The result of a job; its team tells which job's it is.
jobs::ResultReader::StoredResult stored_result(const std::string& id) {
  wire::JobResultRecord record;
  record.team = "team of " + id;
  return {id, record};
}

// With requests in the worst order, the youngest job first, each range read answered only one more
// request: 1,000 requests took 1,000 reads.
TEST(ResultReader, TheOrderOfRequestsDoesNotMatter) {
  using jobs::ResultReader;
  for (const int step : {1, -1, 7, -7, 331}) {
    SCOPED_TRACE(step);
    ResultReader reader;
    std::vector<std::string> ids;
    for (int i = 0; i < 1000; ++i) ids.push_back("run-" + std::to_string(100000 + i));
    int answers = 0, read_count = 0;
    for (int i = 0, n = 0; i < 1000; ++i, n = (n + 1000 + step) % 1000)
      ASSERT_TRUE(
          reader.request(ids[static_cast<std::size_t>(n)], [&](const jobs::ResultLookup& lookup) {
            answers += jobs::found_record(lookup) != nullptr;
          }));
    while (auto read = reader.next()) {
      ++read_count;
      if (!read->range) {
        reader.answered(*read, {stored_result(read->id)}, false);
        continue;
      }
      auto from = std::upper_bound(ids.begin(), ids.end(), ResultReader::key_before(read->id));
      const auto count = std::min<std::ptrdiff_t>(100, ids.end() - from);
      std::vector<ResultReader::StoredResult> found;
      for (auto id = from; id != from + count; ++id) found.push_back(stored_result(*id));
      reader.answered(*read, found, from + count != ids.end());
    }
    EXPECT_EQ(answers, 1000);
    EXPECT_LE(read_count, 11);
  }
}

// Guards against a stored result that is taken for one that does not exist: its record could not be
// decoded, so that nothing was remembered of it, and a job that awaited it was refused for good.
TEST(ResultReader, AResultWithoutARecordIsNeverReportedAsAbsent) {
  using jobs::ResultReader;
  for (const int requests : {1, 20}) {
    SCOPED_TRACE(requests);
    ResultReader reader;
    int unread = 0;
    int found = 0;
    auto count = [&](const jobs::ResultLookup& lookup) {
      unread += jobs::is_unread(lookup);
      found += jobs::found_record(lookup) != nullptr;
    };
    std::vector<ResultReader::StoredResult> stored;
    for (int i = 0; i < requests; ++i) {
      stored.push_back(stored_result("run-" + std::to_string(100 + i)));
      ASSERT_TRUE(reader.request(stored.back().id, count));
    }
    stored.front().record.reset();
    const auto read = reader.next();
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->range, requests > 1);
    reader.answered(*read, stored, false);
    EXPECT_EQ(unread, 1);
    EXPECT_EQ(found, requests - 1);
    EXPECT_EQ(reader.waiting(), 0u);
  }
}

// Random requests, reads and failed reads of one reader, beside a state service to which results
// are added.
class ReaderHistory {
 public:
  void store_first_results() {
    for (int i = *rc::gen::inRange(0, 2000); i > 0; --i) store_result();
  }
  void play_step() {
    for (int remaining = *rc::gen::inRange(0, 30); remaining > 0; --remaining) send_request();
    store_result();
    send_reads();
    RC_ASSERT(reads_in_flight_.size() <= kMaxReadsInFlight);
    if (reads_in_flight_.empty() || *rc::gen::inRange(0, 3) == 0) return;
    const ReadInFlight read = take_oldest_read();
    if (*rc::gen::inRange(0, 8) == 0)
      reader_.failed(read.read);
    else
      answer(read);
  }
  // No more faults: the requests that still wait are answered after as many reads as the records
  // need.
  void answer_all() {
    std::size_t reads = 0;
    for (; !reads_in_flight_.empty() || reader_.waiting(); ++reads) {
      send_reads();
      RC_ASSERT(!reads_in_flight_.empty());
      answer(take_oldest_read());
    }
    // One round of ranges, with the end of the round under way.
    const std::size_t ranges = stored_ids_.size() / kRangeResults + 3;
    // The bound also counts the reads that were in flight, and the last few single reads.
    RC_ASSERT(reads <= kMaxReadsInFlight + ranges + kMaxReadsInFlight);
  }
  void expect_correct_answers() const {
    for (const auto& request : requests_) {
      RC_ASSERT(request->answer.has_value());
      if (const auto* record = jobs::found_record(*request->answer)) {
        RC_ASSERT(stored_ids_.contains(request->id));
        RC_ASSERT(record->team == "team of " + request->id);
      }
      if (jobs::is_not_stored(*request->answer)) RC_ASSERT(!request->was_stored);
    }
  }

 private:
  static constexpr std::size_t kMaxReadsInFlight = 7;
  static constexpr std::size_t kRangeResults = 100;
  struct Request {
    std::string id;
    bool was_stored;  // at the time of the request
    std::optional<jobs::ResultLookup> answer;
  };
  struct ReadInFlight {
    jobs::ResultReader::Read read;
    std::set<std::string> stored_ids;  // when the read began
  };

  static std::string random_id() {
    return "run-" + std::to_string(100000 + *rc::gen::inRange(0, 3000));
  }
  void store_result() { stored_ids_.insert(random_id()); }
  void send_request() {
    const std::string job = random_id();
    requests_.push_back(std::make_unique<Request>(Request{job, stored_ids_.contains(job), {}}));
    Request* request = requests_.back().get();
    RC_ASSERT(reader_.request(
        job, [request](const jobs::ResultLookup& lookup) { request->answer = lookup; }));
  }
  void send_reads() {
    while (auto read = reader_.next()) reads_in_flight_.push_back({*read, stored_ids_});
  }
  ReadInFlight take_oldest_read() {
    ReadInFlight read = std::move(reads_in_flight_.front());
    reads_in_flight_.pop_front();
    return read;
  }
  // Answers a read with the results that the state service held; a range has a bounded length.
  void answer(const ReadInFlight& in_flight) {
    const auto& [read, stored_ids] = in_flight;
    std::vector<jobs::ResultReader::StoredResult> found;
    if (!read.range) {
      if (stored_ids.contains(read.id)) found.push_back(stored_result(read.id));
      return reader_.answered(read, found, false);
    }
    auto id = stored_ids.upper_bound(jobs::ResultReader::key_before(read.id));
    for (; id != stored_ids.end() && found.size() < kRangeResults; ++id)
      found.push_back(stored_result(*id));
    reader_.answered(read, found, id != stored_ids.end());
  }

  jobs::ResultReader reader_;
  std::set<std::string> stored_ids_;
  std::vector<std::unique_ptr<Request>> requests_;
  std::deque<ReadInFlight> reads_in_flight_;
};

// Each request had a read of its own, which was made within three seconds or not at all. With
// thousands of ended jobs and many requests, every answer came too late for its user.
RC_GTEST_PROP(ResultReader, EveryRequestIsAnsweredCorrectlyWithFewReads, ()) {
  ReaderHistory history;
  history.store_first_results();
  for (int steps = *rc::gen::inRange(10, 60); steps > 0; --steps) history.play_step();
  history.answer_all();
  history.expect_correct_answers();
}

}  // namespace
}  // namespace shunttrail::test
