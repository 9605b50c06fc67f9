/// An emulator of the cloud (PROTOCOL, "Controller nodes -> cloud"). `Power` switches its machines
/// on and off. Rented machines and the results of named rental requests are stored in a file.
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
  int max_machines = 0;  ///< largest number of rented machines of this type in all zones together
};

class CloudEmulator : public actor::Actor {
 public:
  struct Machine {
    std::string name, type, zone, address;
    bool spot = false;
    bool booted = false;
    bool deleting = false;  ///< its deletion was requested, so that it is not switched on any more
    double rented_at = 0;   ///< wall clock, seconds; the times below are of the steady clock
    double boots_at = 0;    ///< when its boot is due to complete
    double added_at = 0;    ///< when it was rented; 0 if it was read from the file
    double booted_at = 0;   ///< when it was switched on
  };
  /// Callbacks that switch machines on and off.
  struct Power {
    std::function<std::string()> address;    ///< returns the address of a new machine
    std::function<void(const Machine&)> on;  ///< called when the machine's boot is complete
    /// Switches machines off by name and calls back once all are off.
    std::function<void(std::vector<std::string>, std::function<void()>)> off;
  };
  /// `rps`: requests a second, with bursts of up to two seconds' worth; requests above the rate are
  /// answered 429. `file`: stores the rentals; if empty, they are not stored. `seed`: of the random
  /// boot times and list ages. Throws std::runtime_error if the file is damaged.
  CloudEmulator(actor::Loop& loop, const config::Endpoint& at,
                std::vector<EmulatedMachineType> types, double rps, std::filesystem::path file,
                Power power, unsigned seed = std::random_device{}());

  /// The rented machines by name.
  [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Turns the refusal of all rentals on or off, as if the cloud had no capacity.
  void refuse_rentals(bool on) { refuses_rentals_ = on; }
  /// Refuses rentals in this zone for `for_s` seconds.
  void refuse_rentals_in(const std::string& zone, double for_s) {
    refused_until_[zone] = loop_.now() + for_s;
  }
  /// Makes lists out of date: each shows the state of half to twice `seconds` ago, so that a list
  /// may be older than the previous one. 0: lists are current.
  void set_list_lag(double seconds) { lag_s_ = seconds; }
  /// Removes a spot machine that the cloud has reclaimed; it is not listed any more.
  void remove_reclaimed(const std::string& name) { machines_.erase(name); }
  /// Makes machines that are rented from now on boot within `within_s` seconds instead of their
  /// type's boot time. 0: the type's boot time again.
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
  double request_tokens_;  // requests that are accepted at present without a wait (token bucket)
  double refilled_at_;     // steady clock
  std::filesystem::path file_;
  Power power_;
  std::map<std::string, Machine> machines_;
  // Names of the rented machines by request name.
  std::map<std::string, std::vector<std::string>> rented_by_request_;
  std::uint64_t next_number_ = 1;  // the next machine's number
  bool refuses_rentals_ = false;
  double max_boot_s_ = 0;
  double lag_s_ = 0;
  std::map<std::string, double> refused_until_;  // by zone, steady clock
  std::map<std::string, DeletedMachine>
      deleted_;  // recently deleted machines, which old lists still show
  std::mt19937 rng_;
  actor::Timer timer_;
  net::Server http_;
};

}  // namespace shunttrail::emulators
