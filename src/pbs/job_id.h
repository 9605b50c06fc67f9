// Converts between the job ids of PBS's commands and native job ids.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace shunttrail::pbs {

/// Returns the native id for a PBS id such as "123.shunttrail" or "123[].shunttrail", or nothing if
/// the text is not a PBS id. The state service allocates the numbers, so an id names the same job
/// in both interfaces.
[[nodiscard]] std::optional<std::string> native_id(const std::string& pbs_id,
                                                   const std::string& server);
/// Returns the PBS id of job `number`.
[[nodiscard]] std::string pbs_id(std::uint64_t number, bool array, const std::string& server);

}  // namespace shunttrail::pbs
