/// @file
/// Finds machines that have left the cloud, by the cloud's lists of rented machines. Free of I/O.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shunttrail::cloud {

/// Compares the machines that are known to have been rented with those that the cloud lists. Lists
/// may be out of date and out of order, so a list only counts for machines that were rented before
/// the moment that it describes. Times are steady, in seconds.
class MissingMachines {
 public:
  /// `max_list_age_s`: the greatest time between the moment that a list describes and the request
  /// for the list.
  explicit MissingMachines(double max_list_age_s) : max_list_age_s_(max_list_age_s) {}

  /// Records that the machine had been rented at this time.
  void rented(const std::string& machine, double at);
  /// Records that the machine has been deleted: it is not looked for any more.
  void deleted(const std::string& machine);

  /// Records that a list is requested.
  void list_started(double now);
  /// Records that the list which was requested last contains the machine.
  void listed(const std::string& machine);
  /// Records that the list is complete. Returns the machines that several consecutive lists should
  /// have contained and did not. They are returned again after each further list until they are
  /// listed or deleted.
  [[nodiscard]] std::vector<std::string> list_finished();
  /// Returns the number of machines in the list that was requested last, as far as it has been
  /// read.
  [[nodiscard]] std::size_t list_size() const { return listed_.size(); }

 private:
  struct RentedMachine {
    double rented_at = 0;
    int missing_lists = 0;  ///< Number of consecutive lists that should have contained it.
  };
  [[nodiscard]] bool is_missing(const std::string& name, const RentedMachine& machine) const;

  const double max_list_age_s_;
  double list_started_at_ = 0;
  std::unordered_map<std::string, RentedMachine> rented_;
  std::set<std::string> listed_;  ///< Machines in the list that was requested last.
};

}  // namespace shunttrail::cloud
