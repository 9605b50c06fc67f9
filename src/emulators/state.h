// A emulator for the state service, for sets on one machine: PROTOCOL, "Controller nodes -> state
// service". What it holds is in one log of JSON lines, synced before an answer;
// a torn last line is what nobody was told of. Written anew at each start.
#pragma once
#include <deque>
#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "actor/loop.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::emulators {

class StateServiceEmulator : public actor::Actor {
 public:
  // Without a file nothing is kept.
  StateServiceEmulator(actor::Loop& loop, const config::Endpoint& at, std::filesystem::path log);
  ~StateServiceEmulator() override;
  // An outage: everything is answered 503, open watches stay open, and once it is over every lease
  // has its full time again.
  void outage(bool on);
  // Above these, a second's worth at once allowed, requests are answered 429. Without this call
  // there are no limits.
  void limit(double rps, double write_rps);

 private:
  struct Entry {
    std::string value;
    std::uint64_t mod_revision = 0, lease = 0;
  };
  struct Lease {
    double life_s = 0, until = 0;
    std::set<std::string> keys;
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t after = 0;
    double until = 0;
    net::ExchangePtr ex;
  };
  // What a rate has left.
  struct RateLimit {
    double per_s = 0, left = 0, at = 0;  // per_s 0: no limit
    bool take(double n, double now);
  };
  net::Answer answer(net::ExchangePtr ex);
  net::Answer get(const std::string& key);
  net::Answer page(const std::string& query);
  net::Answer commit(const std::string& body);
  net::Answer holds(const net::Exchange& ex);
  void watch(net::ExchangePtr ex);
  std::string changes(const std::string& prefix, std::uint64_t after, bool& any) const;
  void apply(const wire::Transaction& t, std::uint64_t revision);
  void drop_lease(std::uint64_t id);
  void tick();
  void load();
  void write(const std::string& line);

  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<wire::Event> recent_;
  std::uint64_t revision_ = 0, next_lease_ = 1, first_recent_ = 0;
  std::deque<Watcher> watchers_;
  std::filesystem::path log_;
  int fd_ = -1;
  bool out_ = false;
  RateLimit requests_, writes_;
  actor::Timer timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
