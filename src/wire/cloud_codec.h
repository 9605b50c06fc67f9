/// @file
/// Bodies and paths of requests to the cloud: machine types, renting, deletion and the list of
/// rented machines (PROTOCOL, Cloud).
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// Reads the list of machine types that the cloud offers. Throws Malformed.
[[nodiscard]] std::vector<MachineType> decode_types(std::string_view body);

/// Writes a request to rent `count` machines. `request` is its idempotency key: the cloud rents
/// nothing more if the request is repeated under the same key.
[[nodiscard]] std::string encode_rent(const std::string& request, const std::string& type,
                                      const std::string& zone, bool spot, int count);
/// Reads the names of the machines that a request has rented. Throws Malformed.
[[nodiscard]] std::vector<std::string> decode_rented(std::string_view body);

/// Writes a request to delete machines.
[[nodiscard]] std::string encode_delete(const std::vector<std::string>& machines);

/// Returns the path of a page of the list of rented machines. The page starts after the machine
/// `after`, or at the beginning if `after` is empty.
[[nodiscard]] std::string machines_path(const std::string& after);
/// Reads a page of the list of rented machines. Throws Malformed.
[[nodiscard]] MachineList decode_machines(std::string_view body);

}  // namespace shunttrail::wire
