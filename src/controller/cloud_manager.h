/// The cloud's machines: their types, rentals, deletions and the list of existing machines.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cloud/cloud.h"
#include "cloud/missing_machines.h"
#include "controller/components.h"
#include "controller/shard_controller.h"
#include "scheduler/shard_scheduler.h"

namespace shunttrail::controller {

/// Carries out the shard controllers' rental and deletion requests and handles failures of the
/// cloud's API. The shard controllers are notified of machines that were rented, refused or
/// deleted. They are not notified of single calls that failed and are retried.
class CloudManager : public actor::Actor {
 public:
  CloudManager(actor::Loop& loop, ControllerComponents& components);
  /// Loads machine types, collects requests and reads the machine list when each is due. Must be
  /// called at short, regular intervals.
  void tick();
  /// Records the address of a machine that has sent a heartbeat but has no inventory record.
  void unknown_machine_reported(std::string machine, std::string address);

  /// Returns the machine types; empty before they have been loaded.
  [[nodiscard]] const scheduler::MachineCatalogue& catalogue() const { return catalogue_; }
  /// Returns the machine's latest known address, from the cloud's list or its heartbeat; null if
  /// unknown.
  [[nodiscard]] const std::string* address(const std::string& machine) const;
  /// Returns when the machine was rented (time of day, seconds) according to the latest list; 0 if
  /// it has not been listed yet.
  [[nodiscard]] double rented_at(const std::string& machine) const;
  /// Returns whether the machine was deleted recently. Heartbeats of such a machine are late
  /// copies.
  [[nodiscard]] bool was_recently_deleted(const std::string& machine) const {
    return deleted_at_.contains(machine);
  }

 private:
  struct KnownMachine {
    std::string address;
    double rented_at = 0;  ///< Time of day, seconds.
  };
  void on_changes(const std::vector<state::Change>& changes);
  void on_machine_set(const std::string& name);
  void on_machine_deleted(const std::string& name);
  void load_types();
  void collect_requests();
  [[nodiscard]] int next_shard_to_return() const;
  void forget_old_deletions();
  void execute(int shard, ShardController::CloudRequests requests, bool with_returns);
  void rent(int shard, std::uint64_t opened_under, const scheduler::ScaleOutRequest& request);
  void return_machines(int shard, std::uint64_t opened_under, std::vector<std::string> machines);
  void on_deleted(int shard, std::uint64_t opened_under, const std::vector<std::string>& machines,
                  bool is_deleted);
  void start_list();
  void read_list_page(const std::string& after);
  void on_listed(const wire::ListedMachine& machine);
  void on_listed_recorded(const wire::ListedMachine& machine, int shard);
  void on_listed_unrecorded(const wire::ListedMachine& machine);
  void finish_list();
  void report_missing();
  [[nodiscard]] double list_interval() const;

  ControllerComponents& components_;
  cloud::Client client_;
  scheduler::MachineCatalogue catalogue_;
  double types_loaded_at_ = -1e9;
  bool is_loading_types_ = false;

  double next_collect_at_ = 0;
  int next_shard_to_return_ = 0;
  /// A deletion call is in flight, or a shard has been asked which machines to delete.
  bool is_deleting_ = false;
  std::uint64_t rent_requests_ = 0;
  /// When each recently deleted machine was deleted, loop time.
  std::map<std::string, double> deleted_at_;

  double next_list_at_ = 0;
  bool is_listing_ = false;
  cloud::MissingMachines missing_machines_;
  /// Listed machines without an inventory record, and since when (loop time).
  std::map<std::string, double> unrecorded_since_;
  std::unordered_map<std::string, KnownMachine> known_machines_;
};

}  // namespace shunttrail::controller
