/// @file
/// Bodies and paths of the cloud's interface: machine types, renting, deletion and the list of
/// rented machines (PROTOCOL, Cloud).
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// Reads the answer to a question about machine types. Throws Malformed.
[[nodiscard]] std::vector<MachineType> decode_types(std::string_view body);

/// A request for `count` machines. `request` names it: sent again it rents nothing twice.
[[nodiscard]] std::string encode_rent(const std::string& request, const std::string& type,
                                      const std::string& zone, bool spot, int count);
/// Reads the names of the machines that were rented. Throws Malformed.
[[nodiscard]] std::vector<std::string> decode_rented(std::string_view body);

/// A request to delete machines.
[[nodiscard]] std::string encode_delete(const std::vector<std::string>& machines);

/// The path of a page of the list of machines: those after `after`, or the first ones if empty.
[[nodiscard]] std::string machines_path(const std::string& after);
/// Reads a page of the list of machines. Throws Malformed.
[[nodiscard]] MachineList decode_machines(std::string_view body);

}  // namespace shunttrail::wire
