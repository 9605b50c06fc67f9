/// @file
/// Names of the keys in the state service (docs/design.md). Free of I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace shunttrail::state {

/// The prefix of every key that controllers keep in memory.
inline constexpr const char* kRoot = "st/";
/// The prefix of job results. It is outside the root: they are read when somebody asks.
inline constexpr const char* kJobResults = "fin/";

/// The key that shows that a node is alive; it ends with the node's lease.
[[nodiscard]] std::string node_key(const std::string& node);
/// The key of a shard's leader; its revision is the shard's token (PROTOCOL, Tokens).
[[nodiscard]] std::string leader_key(int shard);
/// The key of a job whose tasks may start.
[[nodiscard]] std::string job_key(const std::string& id);
/// The key of a job that waits for others. A version that knows no such jobs ignores these keys, so
/// it can never start one too early; a job that is ready is moved to `job_key`.
[[nodiscard]] std::string waiting_key(const std::string& id);
/// The key of an inventory page, or of a further part of one.
[[nodiscard]] std::string inventory_key(int page);
/// The inventory page of a machine. Machines that were rented together share a page.
[[nodiscard]] int inventory_page(const std::string& machine);
/// The key of a placement page of a shard.
[[nodiscard]] std::string placement_page_key(int shard, int page);
/// The key of a job's result.
[[nodiscard]] std::string job_result_key(const std::string& id);

/// An inventory page that is too long for one value has up to this many parts, the page included;
/// each part has a key of its own. A record takes up to about 80 bytes. Pages by number hold 32,
/// and 64 pages share the machines whose names do not end in a number, 63 each of 4,000: that is
/// two parts at 4 KiB, and six at 1 KiB.
inline constexpr int kInventoryParts = 16;
/// The number that stands for a part of a page in `inventory_key`; part 0 is the page itself.
[[nodiscard]] int inventory_part(int page, int part);
/// The page that a part belongs to.
[[nodiscard]] int page_of_inventory_part(int part);

/// What a key under the root is about.
enum class KeyKind : std::uint8_t {
  job,
  waiting_job,
  inventory_page,
  schema,
  placement_page,
  leader,
  node,
  unknown,  ///< of a later version
};
/// A key under the root by its parts.
struct ParsedKey {
  KeyKind kind = KeyKind::unknown;
  std::string name;  ///< what follows the kind: an id, a number or a name
};
/// Takes a key under the root apart; none: it is too short to be one.
[[nodiscard]] std::optional<ParsedKey> parse_key(const std::string& key);

}  // namespace shunttrail::state
