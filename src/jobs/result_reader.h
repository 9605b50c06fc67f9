/// @file
/// Schedules reads of job results from the state service for callers that wait for them. If few
/// results are requested, each is read by its key, the oldest request first. If many are, range
/// reads return hundreds at once: each range continues where the last one ended and wraps around,
/// so every caller is answered within one pass over the keys, in whatever order the requests came
/// (docs/design.md, "Answers about jobs that are over"). Free of I/O: the caller makes the reads
/// and passes in their responses.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/result_lookup.h"

namespace shunttrail::jobs {

/// The queue of result reads.
class ResultReader {
 public:
  using Callback = std::function<void(const ResultLookup&)>;
  /// Requests a job's result. Returns false, and never calls `done`, if too many jobs are queued.
  bool request(const std::string& id, Callback done);

  /// A read that the caller is to make.
  struct Read {
    std::string id;            ///< the job whose result is read, or the start of the range
    bool range = false;        ///< read also the results that follow, as many as a response holds
    std::uint64_t ticket = 0;  ///< the position in the order of requests and reads
  };
  /// Returns the next read to make; none if nothing is queued or enough reads are in flight.
  std::optional<Read> next();
  /// A result that a response holds.
  struct StoredResult {
    std::string id;
    /// None if the caller could not decode the record, or did not since nobody waits for it.
    std::optional<wire::JobResultRecord> record;
  };
  /// Handles the response to a read. `found` lists the jobs that have a result, in key order; those
  /// who wait for one without its record get ResultUnread. `more` says, for a range, whether
  /// further results follow the last one. The absence of a result is reported only to requests made
  /// before the read began.
  void answered(const Read& read, const std::vector<StoredResult>& found, bool more);
  /// Handles a failed read: requests made before it began get ResultUnread.
  void failed(const Read& read);
  /// Returns the number of jobs whose results are requested.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] bool is_waiting(const std::string& id) const { return waiting_.contains(id); }

  /// Returns a key that sorts before `key` and after all other job keys before it. Pages of the
  /// state service begin after a given key, so this reads a range that begins with `key`.
  [[nodiscard]] static std::string key_before(std::string key);

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    Callback done;
  };
  /// Callbacks are collected and called last, since a callback may make new requests.
  using Calls = std::vector<std::pair<Callback, ResultLookup>>;
  void resolve(const std::string& id, const ResultLookup& lookup, std::uint64_t ticket,
               Calls& calls);
  static void call(Calls& calls);
  void finished(const Read& read);

  std::uint64_t last_ticket_ = 0;
  std::map<std::string, std::vector<Waiter>> waiting_;  ///< by job
  std::deque<std::string> by_age_;      ///< oldest first; may contain jobs that were answered
  std::set<std::string> single_reads_;  ///< jobs being read by their keys
  bool is_range_read_ = false;
  std::string last_read_;  ///< the last key of the last range; empty: start from the first key
};

}  // namespace shunttrail::jobs
