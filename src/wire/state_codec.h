/// @file
/// Bodies and paths of requests to the state service: transactions, leases, watches and reads of
/// keys (PROTOCOL, State service). The stored values have codecs of their own in record_codec.h.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// Writes the body of a commit.
[[nodiscard]] std::string encode_transaction(const Transaction& transaction);
/// Reads the revision at which a commit was applied. Throws Malformed.
[[nodiscard]] std::uint64_t decode_revision(std::string_view body);
/// Reads the keys whose preconditions failed. Throws Malformed.
[[nodiscard]] std::vector<std::string> decode_failed(std::string_view body);
/// Returns true if the body of a rejected transaction says that its lease has ended.
[[nodiscard]] bool lease_missing(std::string_view body);

/// Writes a request for a lease that ends `life_s` seconds after its last renewal.
[[nodiscard]] std::string encode_lease(double life_s);
/// Reads a lease's number. Throws Malformed.
[[nodiscard]] std::uint64_t decode_lease(std::string_view body);

/// Returns the path of a watch of the keys that start with `prefix`, for changes after the revision
/// `after`. If nothing changes, the state service answers after `block_ms` milliseconds.
[[nodiscard]] std::string watch_path(const std::string& prefix, std::uint64_t after, int block_ms);
/// Reads the response to a watch. The events share the parsed body and keep it alive. Throws
/// Malformed.
[[nodiscard]] WatchAnswer decode_watch(std::string_view body);

/// Returns the path of a page of the keys that start with `prefix`, from the first key after
/// `after`.
[[nodiscard]] std::string keys_path(const std::string& prefix, const std::string& after);
/// Reads a page of keys. Its events share the parsed body and keep it alive. Throws Malformed.
[[nodiscard]] KeyPage decode_keys(std::string_view body);
/// Reads one key with its value. Throws Malformed.
[[nodiscard]] Event decode_key(std::string_view body);

}  // namespace shunttrail::wire
