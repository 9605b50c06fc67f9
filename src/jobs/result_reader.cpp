#include "jobs/result_reader.h"

#include <algorithm>
#include <iterator>

namespace shunttrail::jobs {
namespace {

/// The largest number of jobs whose results are requested at once. It depends on the users' request
/// rate, not on the number of machines: one range read answers up to 1,000 jobs, so this many jobs
/// are answered in one pass of reads. Further requests are rejected as not known now, and the
/// client repeats them.
constexpr std::size_t kMaxWaitingJobs = 8192;
constexpr std::size_t kMaxSingleReads = 6;
/// The number of requested jobs from which on ranges are read instead of single keys.
constexpr std::size_t kMinJobsForRange = 8;

ResultLookup lookup_of(const ResultReader::StoredResult& result) {
  if (!result.record) return ResultUnread{};
  return *result.record;
}

/// Returns the lookup of a job by the results of a response, which are in key order.
ResultLookup find_in(const std::vector<ResultReader::StoredResult>& found, const std::string& id) {
  const auto at = std::lower_bound(found.begin(), found.end(), id,
                                   [](const ResultReader::StoredResult& result,
                                      const std::string& job) { return result.id < job; });
  if (at == found.end() || at->id != id) return ResultNotStored{};
  return lookup_of(*at);
}

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
  // Answered jobs are removed in range mode too; otherwise they would stay in the queue all that
  // time.
  while (!by_age_.empty() && !waiting_.contains(by_age_.front())) by_age_.pop_front();
  if (waiting_.size() >= kMinJobsForRange) {
    if (is_range_read_) return std::nullopt;
    // Ranges continue where the last one ended. If each range began with the oldest request,
    // requests in descending order of keys would be answered one a read
    // (docs/incidents/meetings-2.md).
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

// A result is final, so it answers every request. The absence of a result answers only requests
// made before the read began.
void ResultReader::resolve(const std::string& id, const ResultLookup& lookup, std::uint64_t ticket,
                           Calls& calls) {
  const auto waiters = waiting_.find(id);
  if (waiters == waiting_.end()) return;
  std::erase_if(waiters->second, [&](Waiter& waiter) {
    if (is_not_stored(lookup) && waiter.ticket > ticket) return false;
    calls.emplace_back(std::move(waiter.done), lookup);
    return true;
  });
  if (waiters->second.empty()) waiting_.erase(waiters);
}

void ResultReader::call(Calls& calls) {
  for (auto& [done, lookup] : calls) done(lookup);
}

void ResultReader::answered(const Read& read, const std::vector<StoredResult>& found, bool more) {
  finished(read);
  Calls calls;
  if (!read.range) {
    resolve(read.id, find_in(found, read.id), read.ticket, calls);
    return call(calls);
  }
  // The range that was read ends with the last result or, if no results follow, is unbounded.
  const bool is_cut = more && !found.empty();
  std::vector<std::string> ids;
  for (auto job = waiting_.lower_bound(read.id);
       job != waiting_.end() && (!more || (is_cut && job->first <= found.back().id)); ++job)
    ids.push_back(job->first);
  last_read_ = is_cut ? found.back().id : std::string();
  for (const std::string& id : ids) resolve(id, find_in(found, id), read.ticket, calls);
  call(calls);
}

void ResultReader::failed(const Read& read) {
  finished(read);
  Calls calls;
  for (auto job = waiting_.begin(); job != waiting_.end();) {
    if (read.range || job->first == read.id)
      std::erase_if(job->second, [&](Waiter& waiter) {
        if (waiter.ticket > read.ticket) return false;
        calls.emplace_back(std::move(waiter.done), ResultUnread{});
        return true;
      });
    job = job->second.empty() ? waiting_.erase(job) : std::next(job);
  }
  call(calls);
}

std::string ResultReader::key_before(std::string key) {
  if (!key.empty()) {
    --key.back();
    key += '~';
  }
  return key;
}

}  // namespace shunttrail::jobs
