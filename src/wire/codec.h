// Codecs of every interface. Decoders throw Malformed; nothing else leaves them.
#pragma once
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace shunttrail::wire {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

bool valid_job_id(std::string_view id);
// A submission names no more jobs than this: its record has to fit one value.
inline constexpr std::size_t kMaxDependencies = 128;

// Users
JobSpec decode_job(std::string_view body);
std::string job_id_of(std::string_view body);  // whatever else is wrong with it; none: ""
std::string encode_job(const JobSpec& s);      // as a user submits it
std::string encode_job_state(const std::string& id, JobState s, std::uint64_t done,
                             std::uint64_t running, bool counts);
const char* state_name(JobState s);

// Workers
Heartbeat decode_heartbeat(std::string_view body);
std::string encode_heartbeat_response(std::uint64_t token, const std::vector<Command>& commands);
// Straight to a worker: the incarnation must match as well.
std::string encode_direct_commands(std::uint64_t token, std::uint64_t session,
                                   const std::vector<Command>& commands);
std::string encode_redirect(const std::string& node);

// Cloud
std::vector<MachineType> decode_types(std::string_view body);
std::string encode_rent(const std::string& request, const std::string& type,
                        const std::string& zone, bool spot, int count);
std::vector<std::string> decode_rented(std::string_view body);
std::string encode_delete(const std::vector<std::string>& machines);
MachineList decode_machines(std::string_view body);
std::string machines_path(const std::string& after);

// State service
std::string encode_transaction(const Transaction& t);
std::uint64_t decode_revision(std::string_view body);  // a commit's answer
std::vector<std::string> decode_failed(std::string_view body);
bool lease_missing(std::string_view body);
std::uint64_t decode_lease(std::string_view body);
std::string encode_lease(double life_s);
std::string watch_path(const std::string& prefix, std::uint64_t after, int block_ms);
WatchAnswer decode_watch(std::string_view body);
std::string keys_path(const std::string& prefix, const std::string& after);
KeyPage decode_keys(std::string_view body);
Event decode_key(std::string_view body);

// Values kept there
std::string encode_record(const JobRecord& r);
JobRecord decode_job_record(const Event& e);
// A team travels by name; the index is made at the door.
using TeamIndex = std::function<int(const std::string&)>;
using TeamName = std::function<std::string(int)>;
std::string encode_record(const InventoryPageRecord& r);
InventoryPageRecord decode_inventory_page(const Event& e);
std::string encode_record(const PlacementPageRecord& r, const TeamName& names);
PlacementPageRecord decode_placement_page(const Event& e, const TeamIndex& index);
std::string encode_record(const JobResultRecord& r);
JobResultRecord cancelled_record(const JobSpec& s, const std::string& tag);
JobResultRecord decode_job_result(std::string_view text);
std::string encode_record(const LeaderRecord& r);
LeaderRecord decode_leader_record(const Event& e);
// Finished tasks of one chunk as intervals relative to its start.
Intervals intervals(const std::vector<bool>& bits);

}  // namespace shunttrail::wire
