// A emulator for the cloud: PROTOCOL, "Controller nodes -> cloud". Its machines are whatever
// `Power` switches on and off; rentals and the answers to named requests are kept in a file.
#pragma once
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "actor/loop.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::emulators {

struct EmulatedMachineType {
  wire::MachineType spec;
  int most = 0;  // machines of this type at a time, over all zones
};

class CloudEmulator : public actor::Actor {
 public:
  struct Machine {
    std::string name, type, zone, address;
    bool spot = false, on = false;
    bool going = false;              // asked to be deleted: never switched on any more
    double rented_at = 0;            // wall clock
    double boots_at = 0;             // steady, as are these
    double known_at = 0, on_at = 0;  // rented, or read from the file; switched on
  };
  struct Power {
    std::function<std::string()> address;    // where a new machine will be found
    std::function<void(const Machine&)> on;  // it has booted
    std::function<void(std::vector<std::string>, std::function<void()>)> off;  // then all are gone
  };
  // Without a file nothing is kept. `seed` draws the boot times.
  CloudEmulator(actor::Loop& loop, const config::Endpoint& at,
                std::vector<EmulatedMachineType> types, double rps, std::filesystem::path file,
                Power power, unsigned seed = std::random_device{}());

  const std::map<std::string, Machine>& machines() const { return machines_; }
  // From now on rentals are refused (or not any more), as when the cloud has nothing to give.
  void refuse(bool on) { refusing_ = on; }
  // It has none to give in this zone for so long.
  void refuse_in(const std::string& zone, double for_s) { none_until_[zone] = loop_.now() + for_s; }
  // Lists show how things were up to twice so long ago, and may be older than the one before.
  void lag(double seconds) { lag_s_ = seconds; }
  // A spot machine has been taken back: it is not listed any more.
  void taken(const std::string& name) { machines_.erase(name); }
  // Machines rented from now on are up within so many seconds instead of what their type says; 0:
  // as it says.
  void quick(double within_s) { quick_s_ = within_s; }

 private:
  net::Answer rent(const std::string& body);
  void remove(net::ExchangePtr ex);
  net::Answer list(const std::string& query);
  bool paced();
  void boot();
  void save() const;
  void load();

  std::vector<EmulatedMachineType> types_;
  double rps_, tokens_, refilled_;
  std::filesystem::path file_;
  Power power_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::vector<std::string>> requests_;
  std::uint64_t next_ = 1;
  bool refusing_ = false;
  double quick_s_ = 0, lag_s_ = 0;
  std::map<std::string, double> none_until_;                // by zone, steady
  std::map<std::string, std::pair<Machine, double>> gone_;  // lately, and when: steady
  std::mt19937 rng_;
  actor::Timer timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
