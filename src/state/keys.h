/// @file
/// Names of the keys in the state service (docs/design.md). Free of I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace shunttrail::state {

/// The prefix of every key that controllers keep in memory.
inline constexpr const char* kRoot = "st/";
/// The prefix of job results. It is outside the root: controllers read results only on request.
inline constexpr const char* kJobResults = "fin/";

/// Returns the key that exists while a node is alive; it is deleted when the node's lease ends.
[[nodiscard]] std::string node_key(const std::string& node);
/// Returns the key of a shard's leader; its revision is the shard's token (PROTOCOL, Tokens).
[[nodiscard]] std::string leader_key(int shard);
/// Returns the key of a job whose tasks may start.
[[nodiscard]] std::string job_key(const std::string& id);
/// Returns the key of a job that waits for other jobs. Builds without job dependencies ignore these
/// keys, so they cannot start such a job too early; a job that becomes ready moves to `job_key`.
[[nodiscard]] std::string waiting_key(const std::string& id);
/// Returns the key of an inventory page or of a further part of a page.
[[nodiscard]] std::string inventory_key(int page);
/// Returns the inventory page of a machine. Machines with consecutive numbers, which were
/// usually rented together, share a page.
[[nodiscard]] int inventory_page(const std::string& machine);
/// Returns the key of a placement page of a shard.
[[nodiscard]] std::string placement_page_key(int shard, int page);
/// Returns the key of a job's result.
[[nodiscard]] std::string job_result_key(const std::string& id);

/// The largest number of parts of an inventory page, including the page itself. A page that is too
/// long for one value is split into parts with a key each. A record takes up to about 80 bytes.
/// Pages of numbered machines hold 32 machines. All machines without a number in their names share
/// 64 pages; 4,000 of them make 63 a page, which is two parts at 4 KiB and six at 1 KiB.
inline constexpr int kInventoryParts = 16;
/// Returns the number of a part of a page for `inventory_key`; part 0 is the page itself.
[[nodiscard]] int inventory_part(int page, int part);
/// Returns the page that a part belongs to.
[[nodiscard]] int page_of_inventory_part(int part);

/// The kind of record that a key under the root holds.
enum class KeyKind : std::uint8_t {
  job,
  waiting_job,
  inventory_page,
  schema,
  placement_page,
  leader,
  node,
  unknown,  ///< a kind that a later version added
};
/// A parsed key under the root.
struct ParsedKey {
  KeyKind kind = KeyKind::unknown;
  std::string name;  ///< the rest of the key: an id, a number or a name
};
/// Parses a key under the root; none if it is too short.
[[nodiscard]] std::optional<ParsedKey> parse_key(const std::string& key);

}  // namespace shunttrail::state
