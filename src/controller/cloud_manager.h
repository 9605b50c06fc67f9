// What the cloud is asked for: types, rents, returns, and the list. Its faults are met here: the
// shard controllers learn what was rented, refused and deleted, and nothing of calls that failed.
#pragma once
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

class CloudManager : public actor::Actor {
 public:
  CloudManager(actor::Loop& loop, ControllerComponents& parts);
  void tick();
  // A report named a machine that nobody knows.
  void unknown_machine_reported(std::string machine, std::string addr);

  const scheduler::MachineCatalogue& catalogue() const { return catalogue_; }
  // As last listed or reported; none: never.
  const std::string* address(const std::string& machine) const;
  // Time of day, by the latest list; 0: not listed yet.
  double rented_at(const std::string& machine) const;
  bool removed(const std::string& machine) const { return removed_.contains(machine); }

 private:
  void load_types();
  void rent_and_return();
  void execute(int shard, ShardController::CloudRequests w, bool returns);
  void return_machines(int shard, std::uint64_t born, std::vector<std::string> machines);
  void list(std::string after);
  void listed(const wire::ListedMachine& m);
  void list_over();

  ControllerComponents& components_;
  cloud::Client client_;
  scheduler::MachineCatalogue catalogue_;
  bool types_busy_ = false, list_busy_ = false;
  bool deleting_ = false;  // a deletion is out, or a shard has been asked for one
  int next_to_return_ = 0;
  double types_at_ = -1e9, list_at_ = 0, rent_at_ = 0;
  std::uint64_t charters_ = 0;
  std::map<std::string, double> unknown_since_;  // listed machines without a record
  std::map<std::string, double> removed_;        // machines deleted lately
  std::set<std::string> seen_listed_, list_now_;
  struct Seen {
    std::string addr;
    double rented_at = 0;
  };
  std::unordered_map<std::string, Seen> seen_;
  std::map<std::string, int> missing_;
};

}  // namespace shunttrail::controller
