/// @file
/// Values that are stored in the state service: job records, inventory and placement pages, results
/// and shard leaders. Stored forms are listed in docs/design.md; later builds have to read them.
#pragma once
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// Converts a stored team name to an index into the settings' teams; -1 if they do not name it.
using TeamIndex = std::function<int(const std::string& name)>;
/// Converts an index into the settings' teams to the name that is stored.
using TeamName = std::function<std::string(int index)>;

/// Writes the value of a job's key.
[[nodiscard]] std::string encode_record(const JobRecord& record);
/// Writes the value of a job's key in a form of at most `max_bytes`, or in the shortest form if
/// none is short enough. The shorter forms round times down to whole seconds, and then leave out
/// `ready_at`, so that the job's waiting time counts from its submission. A waiting job's record
/// without its dependencies always has a form that is not longer than the record was.
[[nodiscard]] std::string encode_record_within(const JobRecord& record, std::size_t max_bytes);
/// Reads the value of a job's key, in any of its forms. Throws Malformed.
[[nodiscard]] JobRecord decode_job_record(const Event& event);

/// Writes the value of an inventory page's key, in the form that the record names.
[[nodiscard]] std::string encode_record(const InventoryPageRecord& record);
/// Reads the value of an inventory page's key. Throws Malformed.
[[nodiscard]] InventoryPageRecord decode_inventory_page(const Event& event);

/// Writes the value of a placement page's key.
[[nodiscard]] std::string encode_record(const PlacementPageRecord& record,
                                        const TeamName& team_name);
/// Reads the value of a placement page's key. Throws Malformed.
[[nodiscard]] PlacementPageRecord decode_placement_page(const Event& event,
                                                        const TeamIndex& team_index);

/// Writes the value of a job result's key.
[[nodiscard]] std::string encode_record(const JobResultRecord& record);
/// Returns the result of a cancelled job. `tag` names the transaction that writes it.
[[nodiscard]] JobResultRecord cancelled_record(const JobSpec& spec, const std::string& tag);
/// Reads the value of a job result's key. Throws Malformed.
[[nodiscard]] JobResultRecord decode_job_result(const StoredValue& value);

/// Writes the value of a shard leader's key.
[[nodiscard]] std::string encode_record(const LeaderRecord& record);
/// Reads the value of a shard leader's key. Throws Malformed.
[[nodiscard]] LeaderRecord decode_leader_record(const Event& event);

/// Returns the positions of the set bits as intervals, ends included, in ascending order.
[[nodiscard]] Intervals intervals(const std::vector<bool>& bits);

}  // namespace shunttrail::wire
