// Final records that answers wait for. One alone is read by its key, in order of age; where many
// wait, ranges of keys answer hundreds at once, each going on where the last one ended, round and
// round: whoever waits is through within one round, whatever the order in which jobs are asked
// about (docs/design.md, "Answers about jobs that are over"). Free of I/O.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shunttrail::jobs {

enum class Found { yes, no, unread };  // unread: the read failed; nothing is known

class ResultReader {
 public:
  using Callback = std::function<void(Found)>;
  // False: more wait than may, and it was not taken in.
  bool request(const std::string& id, Callback then);

  struct Read {
    std::string id;      // the job whose record is read, or the first of the range
    bool range = false;  // all that follow it as well, as many as an answer holds
    std::uint64_t ticket = 0;
  };
  // The next read to make; none: nothing waits, or enough are out.
  std::optional<Read> next();
  // What became of it: the jobs found, in order, already known to whoever asks, and, of a range,
  // whether more records follow the last one. Absence is told only to those who asked before the
  // read began.
  void answered(const Read& ask, const std::vector<std::string>& found, bool more);
  void failed(const Read& ask);
  std::size_t waiting() const { return waiting_.size(); }
  bool is_waiting(const std::string& id) const { return waiting_.contains(id); }

  // The key after which a range is read that is to begin with this one.
  static std::string key_before(std::string key);

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    Callback then;
  };
  using Calls = std::vector<std::pair<Callback, Found>>;
  void resolve(const std::string& id, bool found, std::uint64_t ticket, Calls& out);
  void finished(const Read& ask);

  std::uint64_t ticket_ = 0;
  std::map<std::string, std::vector<Waiter>> waiting_;
  std::deque<std::string> order_;  // by age; may hold ids that do not wait any more
  std::set<std::string> single_;   // being read by themselves
  bool range_out_ = false;
  std::string last_read_;  // the last record of the last range; empty: a new round begins
};

}  // namespace shunttrail::jobs
