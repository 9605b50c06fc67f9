/// @file
/// Values that the state service keeps: job records, inventory and placement pages, results and
/// shard leaders. Stored forms are listed in docs/design.md; they outlive a build.
#pragma once
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// A stored team is a name; in memory it is an index into the settings' teams, -1 for one that
/// they do not name.
using TeamIndex = std::function<int(const std::string& name)>;
/// The reverse of TeamIndex.
using TeamName = std::function<std::string(int index)>;

/// The value of a job's key.
[[nodiscard]] std::string encode_record(const JobRecord& record);
/// Reads the value of a job's key. Throws Malformed.
[[nodiscard]] JobRecord decode_job_record(const Event& event);

/// The value of an inventory page's key, in the page's form.
[[nodiscard]] std::string encode_record(const InventoryPageRecord& record);
/// Reads the value of an inventory page's key. Throws Malformed.
[[nodiscard]] InventoryPageRecord decode_inventory_page(const Event& event);

/// The value of a placement page's key.
[[nodiscard]] std::string encode_record(const PlacementPageRecord& record,
                                        const TeamName& team_name);
/// Reads the value of a placement page's key. Throws Malformed.
[[nodiscard]] PlacementPageRecord decode_placement_page(const Event& event,
                                                        const TeamIndex& team_index);

/// The value of a job result's key.
[[nodiscard]] std::string encode_record(const JobResultRecord& record);
/// The result of a job that was cancelled. `tag` names the transaction that writes it.
[[nodiscard]] JobResultRecord cancelled_record(const JobSpec& spec, const std::string& tag);
/// Reads the value of a job result's key. Throws Malformed.
[[nodiscard]] JobResultRecord decode_job_result(std::string_view body);

/// The value of a shard leader's key.
[[nodiscard]] std::string encode_record(const LeaderRecord& record);
/// Reads the value of a shard leader's key. Throws Malformed.
[[nodiscard]] LeaderRecord decode_leader_record(const Event& event);

/// The set bits as intervals of positions, ends included, in order.
[[nodiscard]] Intervals intervals(const std::vector<bool>& bits);

}  // namespace shunttrail::wire
