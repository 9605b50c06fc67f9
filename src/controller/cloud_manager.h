/// The cloud's machines: types, rents, returns and the list of what runs.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cloud/cloud.h"
#include "controller/components.h"
#include "controller/shard_controller.h"
#include "scheduler/shard_scheduler.h"

namespace shunttrail::controller {

/// Carries out what the shard controllers ask of the cloud and handles the failures of its API: the
/// shard controllers learn what was rented, refused and deleted, and nothing of calls that failed.
class CloudManager : public actor::Actor {
 public:
  CloudManager(actor::Loop& loop, ControllerComponents& components);
  /// To be called at short, regular intervals.
  void tick();
  /// A heartbeat came from a machine without a record.
  void unknown_machine_reported(std::string machine, std::string address);

  /// The machine types; empty: not read yet.
  [[nodiscard]] const scheduler::MachineCatalogue& catalogue() const { return catalogue_; }
  /// The machine's address as last listed or reported; null: unknown.
  [[nodiscard]] const std::string* address(const std::string& machine) const;
  /// When the machine was rented (time of day, seconds), by the latest list; 0: not listed yet.
  [[nodiscard]] double rented_at(const std::string& machine) const;
  /// Whether the machine was deleted lately: heartbeats of it are late copies.
  [[nodiscard]] bool was_recently_deleted(const std::string& machine) const {
    return deleted_at_.contains(machine);
  }

 private:
  struct KnownMachine {
    std::string address;
    double rented_at = 0;  ///< Time of day, seconds.
  };
  void on_changes(const std::vector<state::Change>& changes);
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
  void report_unlisted();
  [[nodiscard]] double list_interval() const;

  ControllerComponents& components_;
  cloud::Client client_;
  scheduler::MachineCatalogue catalogue_;
  double types_loaded_at_ = -1e9;
  bool is_loading_types_ = false;

  double next_collect_at_ = 0;
  int next_shard_to_return_ = 0;
  /// A deletion is in flight, or a shard has been asked for what to delete.
  bool is_deleting_ = false;
  std::uint64_t rent_requests_ = 0;
  std::map<std::string, double> deleted_at_;  ///< Machines deleted lately, loop time.

  double next_list_at_ = 0;
  bool is_listing_ = false;
  std::set<std::string> listed_machines_;  ///< Machines of earlier lists that are not known gone.
  std::set<std::string> current_list_;     ///< Machines of the list that is being read.
  std::map<std::string, int>
      missing_from_lists_;  ///< Of `listed_machines_`: how many lists in a row lacked it.
  /// Listed machines without a record, and since when (loop time).
  std::map<std::string, double> unrecorded_since_;
  std::unordered_map<std::string, KnownMachine> known_machines_;
};

}  // namespace shunttrail::controller
