#include "jobs/result_reader.h"

#include <algorithm>

namespace shunttrail::jobs {
namespace {
// Jobs that wait for an answer. Grows with the users' questions a second, not with machines: a
// range read answers up to 1,000 of them, so they wait for one round of reads, and one more
// question is answered "not known now" and asked again.
constexpr std::size_t kMost = 8192;
constexpr std::size_t kSingles = 6;    // reads of single records at the same time
constexpr std::size_t kRangeFrom = 8;  // jobs that wait, from which on a range is read
}  // namespace

bool ResultReader::request(const std::string& id, Callback then) {
  auto at = waiting_.find(id);
  if (at == waiting_.end()) {
    if (waiting_.size() >= kMost) return false;
    at = waiting_.emplace(id, std::vector<Waiter>{}).first;
    order_.push_back(id);
  }
  at->second.push_back({++ticket_, std::move(then)});
  return true;
}

std::optional<ResultReader::Read> ResultReader::next() {
  // Here too while many wait: what is answered would stay on it for as long as they do.
  while (!order_.empty() && !waiting_.contains(order_.front())) order_.pop_front();
  if (waiting_.size() >= kRangeFrom) {
    if (range_out_) return std::nullopt;
    // Were each range to begin with the oldest question, one that went back a little each time
    // would answer one question a read (docs/incidents/fault combinations-2.md).
    auto at = waiting_.upper_bound(last_read_);
    if (at == waiting_.end()) at = waiting_.begin();
    range_out_ = true;
    return Read{at->first, true, ++ticket_};
  }
  if (single_.size() >= kSingles) return std::nullopt;
  for (const auto& id : order_) {
    if (!waiting_.contains(id) || single_.contains(id)) continue;
    single_.insert(id);
    return Read{id, false, ++ticket_};
  }
  return std::nullopt;
}

void ResultReader::finished(const Read& ask) {
  if (ask.range)
    range_out_ = false;
  else
    single_.erase(ask.id);
}

// What is there is final, whenever it was read; that it is not there is known only to reads that
// began after the question.
void ResultReader::resolve(const std::string& id, bool found, std::uint64_t ticket, Calls& out) {
  auto at = waiting_.find(id);
  if (at == waiting_.end()) return;
  std::erase_if(at->second, [&](Waiter& a) {
    if (!found && a.ticket > ticket) return false;
    out.emplace_back(std::move(a.then), found ? Found::yes : Found::no);
    return true;
  });
  if (at->second.empty()) waiting_.erase(at);
}

void ResultReader::answered(const Read& ask, const std::vector<std::string>& found, bool more) {
  finished(ask);
  Calls calls;
  if (!ask.range) {
    resolve(ask.id, !found.empty(), ask.ticket, calls);
  } else {
    std::vector<std::string> ids;
    for (auto at = waiting_.lower_bound(ask.id);
         at != waiting_.end() && (!more || (!found.empty() && at->first <= found.back())); ++at)
      ids.push_back(at->first);
    last_read_ = more && !found.empty() ? found.back() : std::string();
    for (const auto& id : ids)
      resolve(id, std::binary_search(found.begin(), found.end(), id), ask.ticket, calls);
  }
  for (auto& [then, f] : calls) then(f);
}

// Whoever asked before hears at once that nothing is known, and asks again.
void ResultReader::failed(const Read& ask) {
  finished(ask);
  Calls calls;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (ask.range || at->first == ask.id)
      std::erase_if(at->second, [&](Waiter& a) {
        if (a.ticket > ask.ticket) return false;
        calls.emplace_back(std::move(a.then), Found::unread);
        return true;
      });
    at = at->second.empty() ? waiting_.erase(at) : std::next(at);
  }
  for (auto& [then, f] : calls) then(f);
}

std::string ResultReader::key_before(std::string key) {
  if (!key.empty()) {
    --key.back();
    key += '~';
  }
  return key;
}

}  // namespace shunttrail::jobs
