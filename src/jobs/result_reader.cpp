#include "jobs/result_reader.h"

#include <algorithm>
#include <iterator>

namespace shunttrail::jobs {
namespace {

/// Grows with the users' questions a second, not with machines: a range answers up to 1,000 of
/// them, so they wait for one round of reads. A further question is answered "not known now" and
/// asked again.
constexpr std::size_t kMaxWaitingJobs = 8192;
constexpr std::size_t kMaxSingleReads = 6;
/// From this many waiting jobs on, ranges are read.
constexpr std::size_t kMinJobsForRange = 8;

}  // namespace

bool ResultReader::request(const std::string& id, Callback done) {
  auto waiters = waiting_.find(id);
  if (waiters == waiting_.end()) {
    if (waiting_.size() >= kMaxWaitingJobs) return false;
    waiters = waiting_.emplace(id, std::vector<Waiter>{}).first;
    by_age_.push_back(id);
  }
  waiters->second.push_back({++last_ticket_, std::move(done)});
  return true;
}

std::optional<ResultReader::Read> ResultReader::next() {
  // Also while ranges are read: otherwise jobs that were answered would stay in it as long.
  while (!by_age_.empty() && !waiting_.contains(by_age_.front())) by_age_.pop_front();
  if (waiting_.size() >= kMinJobsForRange) {
    if (is_range_read_) return std::nullopt;
    // If each range began with the oldest question, questions in descending order of keys would be
    // answered one a read (docs/incidents/meetings-2.md).
    auto first = waiting_.upper_bound(last_read_);
    if (first == waiting_.end()) first = waiting_.begin();
    is_range_read_ = true;
    return Read{first->first, true, ++last_ticket_};
  }
  if (single_reads_.size() >= kMaxSingleReads) return std::nullopt;
  for (const std::string& id : by_age_) {
    if (!waiting_.contains(id) || single_reads_.contains(id)) continue;
    single_reads_.insert(id);
    return Read{id, false, ++last_ticket_};
  }
  return std::nullopt;
}

void ResultReader::finished(const Read& read) {
  if (read.range)
    is_range_read_ = false;
  else
    single_reads_.erase(read.id);
}

// A result is final, whenever it was read; that there is none is known only for those who asked
// before the read began.
void ResultReader::resolve(const std::string& id, bool is_found, std::uint64_t ticket,
                           Calls& calls) {
  const auto waiters = waiting_.find(id);
  if (waiters == waiting_.end()) return;
  std::erase_if(waiters->second, [&](Waiter& waiter) {
    if (!is_found && waiter.ticket > ticket) return false;
    calls.emplace_back(std::move(waiter.done), is_found ? Found::yes : Found::no);
    return true;
  });
  if (waiters->second.empty()) waiting_.erase(waiters);
}

void ResultReader::answered(const Read& read, const std::vector<std::string>& found, bool more) {
  finished(read);
  Calls calls;
  if (!read.range) {
    resolve(read.id, !found.empty(), read.ticket, calls);
  } else {
    // The range that was read ends with the last result, or, if no more follow, with no key.
    const bool is_cut = more && !found.empty();
    std::vector<std::string> ids;
    for (auto job = waiting_.lower_bound(read.id);
         job != waiting_.end() && (!more || (is_cut && job->first <= found.back())); ++job)
      ids.push_back(job->first);
    last_read_ = is_cut ? found.back() : std::string();
    for (const std::string& id : ids)
      resolve(id, std::binary_search(found.begin(), found.end(), id), read.ticket, calls);
  }
  for (auto& [done, result] : calls) done(result);
}

void ResultReader::failed(const Read& read) {
  finished(read);
  Calls calls;
  for (auto job = waiting_.begin(); job != waiting_.end();) {
    if (read.range || job->first == read.id)
      std::erase_if(job->second, [&](Waiter& waiter) {
        if (waiter.ticket > read.ticket) return false;
        calls.emplace_back(std::move(waiter.done), Found::unread);
        return true;
      });
    job = job->second.empty() ? waiting_.erase(job) : std::next(job);
  }
  for (auto& [done, result] : calls) done(result);
}

std::string ResultReader::key_before(std::string key) {
  if (!key.empty()) {
    --key.back();
    key += '~';
  }
  return key;
}

}  // namespace shunttrail::jobs
