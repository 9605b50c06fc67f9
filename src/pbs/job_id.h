// Job ids as PBS's commands show them, and the native ids that they stand for.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace shunttrail::pbs {

/// The native id that "123.shunttrail" or "123[].shunttrail" stands for. Numbers come from the
/// state service, so an id names one job whichever interface is asked. Nothing: it is no such id.
[[nodiscard]] std::optional<std::string> native_id(const std::string& pbs_id,
                                                   const std::string& server);
/// The id of job `number` as PBS's commands show it.
[[nodiscard]] std::string pbs_id(std::uint64_t number, bool array, const std::string& server);

}  // namespace shunttrail::pbs
