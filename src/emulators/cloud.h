/// An emulator of the cloud: PROTOCOL, "Controller nodes -> cloud". Its machines are whatever
/// `Power` switches on and off; rentals and the answers to named requests are kept in a file.
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
  int max_machines = 0;  ///< machines of this type at a time, over all zones
};

class CloudEmulator : public actor::Actor {
 public:
  struct Machine {
    std::string name, type, zone, address;
    bool spot = false;
    bool booted = false;    ///< it has booted
    bool deleting = false;  ///< asked to be deleted: never switched on any more
    double rented_at = 0;   ///< wall clock
    double boots_at = 0;    ///< steady clock, as are these
    double added_at = 0;    ///< rented, or read from the file
    double booted_at = 0;   ///< switched on
  };
  /// How machines are switched on and off.
  struct Power {
    std::function<std::string()> address;    ///< where a new machine will be found
    std::function<void(const Machine&)> on;  ///< the machine has booted
    /// Switches machines off by name and calls back once all are gone.
    std::function<void(std::vector<std::string>, std::function<void()>)> off;
  };
  /// `rps`: requests a second, with bursts of two seconds' worth; more are answered 429. Without a
  /// file nothing is kept. `seed` draws boot times and lags. Throws std::runtime_error if the file
  /// is damaged.
  CloudEmulator(actor::Loop& loop, const config::Endpoint& at,
                std::vector<EmulatedMachineType> types, double rps, std::filesystem::path file,
                Power power, unsigned seed = std::random_device{}());

  /// Rented machines by name.
  [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_; }
  /// From now on rentals are refused (or not any more), as when the cloud has no capacity.
  void refuse_rentals(bool on) { refuses_rentals_ = on; }
  /// Rentals in this zone are refused for so long.
  void refuse_rentals_in(const std::string& zone, double for_s) {
    refused_until_[zone] = loop_.now() + for_s;
  }
  /// Lists show how things were up to twice so long ago, and may be older than the one before.
  void set_list_lag(double seconds) { lag_s_ = seconds; }
  /// A spot machine has been taken back: it is not listed any more.
  void remove_reclaimed(const std::string& name) { machines_.erase(name); }
  /// Machines rented from now on boot within so many seconds instead of their type's boot time; 0:
  /// the type's.
  void set_max_boot_time(double within_s) { max_boot_s_ = within_s; }

 private:
  struct DeletedMachine {
    Machine machine;
    double deleted_at;  // steady clock
  };
  void handle(const net::ExchangePtr& exchange);
  void dispatch(const net::ExchangePtr& exchange);
  net::Answer list_types() const;
  net::Answer rent(const std::string& body);
  [[nodiscard]] const EmulatedMachineType& find_type(const std::string& name,
                                                     const std::string& zone) const;
  [[nodiscard]] int capacity(const EmulatedMachineType& type, const std::string& zone) const;
  std::string add_machine(const wire::MachineType& type, const std::string& zone, bool spot);
  double boot_time_s(const wire::MachineType& type);
  void remove(const net::ExchangePtr& exchange);
  net::Answer list(const std::string& query);
  [[nodiscard]] std::map<std::string, const Machine*> machines_as_of(double as_of) const;
  bool take_token();
  void boot_due_machines();
  void save() const;
  void load();

  std::vector<EmulatedMachineType> types_;
  double rps_;
  double request_tokens_;  // requests that may come at once
  double refilled_at_;     // steady clock
  std::filesystem::path file_;
  Power power_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::vector<std::string>>
      rented_by_request_;          // machines rented, by request name
  std::uint64_t next_number_ = 1;  // number of the next machine
  bool refuses_rentals_ = false;
  double max_boot_s_ = 0;
  double lag_s_ = 0;
  std::map<std::string, double> refused_until_;    // by zone, steady clock
  std::map<std::string, DeletedMachine> deleted_;  // lately, as lists may still show them
  std::mt19937 rng_;
  actor::Timer timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
