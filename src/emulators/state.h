/// An emulator of the state service for clusters on one machine (PROTOCOL, "Controller nodes ->
/// state service"). Keys and leases are stored in one log of JSON lines, which is synced before a
/// request is answered; an incomplete last line belongs to a request that was never answered and is
/// ignored. The log is compacted at each start.
#pragma once
#include <deque>
#include <filesystem>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "actor/loop.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::emulators {

class StateServiceEmulator : public actor::Actor {
 public:
  /// `log`: the log file; if empty, nothing is stored. Throws std::system_error if it cannot be
  /// written.
  StateServiceEmulator(actor::Loop& loop, const config::Endpoint& at, std::filesystem::path log);
  ~StateServiceEmulator() override;
  StateServiceEmulator(const StateServiceEmulator&) = delete;
  StateServiceEmulator& operator=(const StateServiceEmulator&) = delete;
  /// Begins or ends an outage. During an outage every request is answered 503 and open watches stay
  /// open. At its end every lease is renewed for its full time to live.
  void set_outage(bool on);
  /// Limits requests and written keys a second. Above the limits, with bursts of up to one second's
  /// worth, requests are answered 429. There are no limits before the first call.
  void set_rate_limits(double rps, double write_rps);
  /// Limits the length of each value and the operations of a transaction, which may have four
  /// preconditions for each. Above the limits a transaction is answered 400. There are no limits
  /// before the first call. What is stored stays readable.
  void set_size_limits(std::size_t value_bytes, std::size_t ops);
  /// Returns how many transactions were above the size limits.
  [[nodiscard]] std::uint64_t oversized_transactions() const { return oversized_transactions_; }

 private:
  struct Entry {
    std::string value;
    std::uint64_t mod_revision = 0;
    std::uint64_t lease = 0;  // id; 0: none
  };
  struct Lease {
    double ttl_s = 0;
    double until = 0;  // its expiry, steady clock
    std::set<std::string> keys;
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t after = 0;  // the last revision that the client has seen
    double until = 0;         // the watch's time-out, steady clock
    net::ExchangePtr exchange;
  };
  // A token bucket that holds up to one second's worth of tokens.
  struct RateLimit {
    double per_s = 0;  // tokens a second; 0: no limit
    double tokens = 0;
    double at = 0;  // when it was last refilled, steady clock
    // Takes n tokens. Returns false, and takes none, if there are fewer.
    bool take(double n, double now);
  };
  void handle(const net::ExchangePtr& exchange);
  net::Answer answer(const net::Exchange& exchange);
  net::Answer get(const std::string& key);
  net::Answer list(const std::string& query);
  net::Answer commit(const std::string& body);
  net::Answer handle_lease(const net::Exchange& exchange);
  net::Answer grant_lease(const std::string& body);
  void watch(const net::ExchangePtr& exchange);
  // Returns the events after this revision as the body of a watch's answer, or nothing if there are
  // no such events.
  std::optional<std::string> encode_changes(const std::string& prefix, std::uint64_t after) const;
  void apply(const wire::Transaction& transaction, std::uint64_t revision);
  [[nodiscard]] bool is_oversized(const wire::Transaction& transaction) const;
  void answer_watchers();
  void drop_lease(std::uint64_t id);
  void renew_all_leases();
  void tick();
  void drop_expired_leases();
  void end_expired_watches();
  void load();
  void read_log();
  void write_compacted_log();
  void append(const std::string& line);

  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<wire::Event> window_;  // the latest events, which watches can still get
  std::uint64_t window_start_ = 0;  // the last revision before the window
  std::uint64_t revision_ = 0;      // the last transaction's
  std::uint64_t next_lease_ = 1;
  std::deque<Watcher> watchers_;
  std::filesystem::path log_;
  int fd_ = -1;  // the open log; -1: nothing is stored
  bool in_outage_ = false;
  RateLimit request_limit_, write_limit_;
  std::size_t max_value_bytes_ = std::numeric_limits<std::size_t>::max();
  std::size_t max_ops_ = std::numeric_limits<std::size_t>::max();
  std::uint64_t oversized_transactions_ = 0;
  actor::Timer timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
