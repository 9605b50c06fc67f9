/// @file
/// Decides which job results are read from the state service, for answers that wait for them. Where
/// few wait, each is read by its key, the oldest first. Where many wait, ranges of keys answer
/// hundreds at once, each going on where the last one ended, round and round: every caller is
/// answered within one round, whatever the order of the questions (docs/design.md, "Answers about
/// jobs that are over"). Free of I/O: the caller makes the reads and hands in their answers.
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

namespace shunttrail::jobs {

/// Whether a job has a result; unread: the read failed, and it is not known.
enum class Found { yes, no, unread };

/// The queue of results to read.
class ResultReader {
 public:
  using Callback = std::function<void(Found)>;
  /// Asks for a job's result; false: too many wait, and `done` will not be called.
  bool request(const std::string& id, Callback done);

  /// A read to make.
  struct Read {
    std::string id;            ///< the job whose result is read, or the first of the range
    bool range = false;        ///< also those that follow it, as many as an answer holds
    std::uint64_t ticket = 0;  ///< its place in the order of requests and reads
  };
  /// The next read to make; none: nothing waits, or enough reads are under way.
  std::optional<Read> next();
  /// A read was answered. `found`: the jobs with a result, in order, which the caller has noted
  /// already; `more`: of a range, whether more results follow the last one. That there is no result
  /// is told only to those who asked before the read began.
  void answered(const Read& read, const std::vector<std::string>& found, bool more);
  /// A read failed: those who asked before it began are told `unread`.
  void failed(const Read& read);
  /// The number of jobs whose result is waited for.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] bool is_waiting(const std::string& id) const { return waiting_.contains(id); }

  /// A key that is before `key` and after all others that are: to read a range that begins with
  /// `key`, as the state service's pages begin after a key.
  [[nodiscard]] static std::string key_before(std::string key);

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    Callback done;
  };
  /// Callbacks are collected and called at the end: they may ask again.
  using Calls = std::vector<std::pair<Callback, Found>>;
  void resolve(const std::string& id, bool is_found, std::uint64_t ticket, Calls& calls);
  void finished(const Read& read);

  std::uint64_t last_ticket_ = 0;
  std::map<std::string, std::vector<Waiter>> waiting_;  ///< by job
  std::deque<std::string> by_age_;  ///< the oldest first; may hold jobs that do not wait any more
  std::set<std::string> single_reads_;  ///< jobs being read by their keys
  bool is_range_read_ = false;
  std::string last_read_;  ///< the last result of the last range; empty: a new round begins
};

}  // namespace shunttrail::jobs
