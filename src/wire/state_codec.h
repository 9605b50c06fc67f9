/// @file
/// Bodies and paths of the state service's interface: transactions, leases, watches and reads of
/// keys (PROTOCOL, State service). What the values hold is in record_codec.h.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// The body of a commit.
[[nodiscard]] std::string encode_transaction(const Transaction& transaction);
/// Reads the revision at which a commit was applied. Throws Malformed.
[[nodiscard]] std::uint64_t decode_revision(std::string_view body);
/// Reads which keys' preconditions failed. Throws Malformed.
[[nodiscard]] std::vector<std::string> decode_failed(std::string_view body);
/// Whether a refusal says that the transaction's lease has ended.
[[nodiscard]] bool lease_missing(std::string_view body);

/// A request for a lease that lives for `life_s` seconds after each renewal.
[[nodiscard]] std::string encode_lease(double life_s);
/// Reads a lease's number. Throws Malformed.
[[nodiscard]] std::uint64_t decode_lease(std::string_view body);

/// The path of a watch: changes of keys that start with `prefix` after the revision `after`. The
/// answer comes after `block_ms` milliseconds if nothing changes.
[[nodiscard]] std::string watch_path(const std::string& prefix, std::uint64_t after, int block_ms);
/// Reads a watch's answer; the events keep the parsed body alive. Throws Malformed.
[[nodiscard]] WatchAnswer decode_watch(std::string_view body);

/// The path of a page of keys that start with `prefix`, from the one that follows `after`.
[[nodiscard]] std::string keys_path(const std::string& prefix, const std::string& after);
/// Reads a page of keys; the events keep the parsed body alive. Throws Malformed.
[[nodiscard]] KeyPage decode_keys(std::string_view body);
/// Reads one key with its value. Throws Malformed.
[[nodiscard]] Event decode_key(std::string_view body);

}  // namespace shunttrail::wire
