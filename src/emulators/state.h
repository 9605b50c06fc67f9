/// An emulator of the state service, for clusters on one machine: PROTOCOL, "Controller nodes ->
/// state service". Its keys and leases are in one log of JSON lines, synced before an answer; a
/// torn last line is what nobody was told of. The log is compacted at each start.
#pragma once
#include <deque>
#include <filesystem>
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
  /// `log`: the file; empty: nothing is kept. Throws std::system_error if it cannot be written.
  StateServiceEmulator(actor::Loop& loop, const config::Endpoint& at, std::filesystem::path log);
  ~StateServiceEmulator() override;
  StateServiceEmulator(const StateServiceEmulator&) = delete;
  StateServiceEmulator& operator=(const StateServiceEmulator&) = delete;
  /// An outage begins or ends: everything is answered 503, open watches stay open, and once it is
  /// over every lease has its full time again.
  void set_outage(bool on);
  /// Requests and written keys a second; above these, with bursts of a second's worth, requests are
  /// answered 429. Without this call there are no limits.
  void set_rate_limits(double rps, double write_rps);

 private:
  struct Entry {
    std::string value;
    std::uint64_t mod_revision = 0;
    std::uint64_t lease = 0;  // 0: none
  };
  struct Lease {
    double ttl_s = 0;
    double until = 0;  // steady clock
    std::set<std::string> keys;
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t after = 0;  // the revision that the client knows
    double until = 0;         // steady clock
    net::ExchangePtr exchange;
  };
  // A token bucket of one second's worth.
  struct RateLimit {
    double per_s = 0;  // 0: no limit
    double tokens = 0;
    double at = 0;  // when it was last refilled, steady clock
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
  // The events after this revision as a watch's body; none: there are none.
  std::optional<std::string> encode_changes(const std::string& prefix, std::uint64_t after) const;
  void apply(const wire::Transaction& transaction, std::uint64_t revision);
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
  std::deque<wire::Event> window_;  // the watch window
  std::uint64_t window_start_ = 0;  // the last revision before the window
  std::uint64_t revision_ = 0;      // of the last transaction
  std::uint64_t next_lease_ = 1;
  std::deque<Watcher> watchers_;
  std::filesystem::path log_;
  int fd_ = -1;  // of the log; -1: nothing is kept
  bool in_outage_ = false;
  RateLimit request_limit_, write_limit_;
  actor::Timer timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
