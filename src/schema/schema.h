/// @file
/// Schema versions: which formats of the stored data are in use (docs/schema.md). During a rollout,
/// builds that know a new format reach the nodes one by one; the format is used once every node has
/// such a build, and never before. JSON fields and operators' texts call a version a level. Free of
/// I/O: the caller passes in the stored state and commits the transactions returned.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/types.h"

namespace shunttrail::schema {

/// The schema versions that a build supports. A build that announces none supports version 0 only.
struct Build {
  int lowest = 0;   ///< the lowest version whose formats it reads
  int highest = 0;  ///< the highest version whose formats it reads
  int writes = 0;   ///< the highest active version that it agrees to
  /// Returns whether the build reads the formats of all versions from `from` to `to`, inclusive.
  [[nodiscard]] bool reads(int from, int to) const { return lowest <= from && to <= highest; }
  friend bool operator==(const Build&, const Build&) = default;
};

/// A schema version.
struct Version {
  int number;
  const char* name;
  const char* description;
  /// Whether the active version can be lowered from this one: data in its format is converted back.
  bool downgrade;
};
/// Returns all versions that this build knows; a version's number is its index.
const std::vector<Version>& known_versions();
/// Returns whether this active version can be lowered; false for a version that this build lacks.
[[nodiscard]] bool can_downgrade(int version);
/// Returns the versions that this build supports. It takes part in delegation only where the
/// operators enable it (config::Tuning), since builds without schema versions do not count the
/// delegated tasks.
[[nodiscard]] Build current_build(bool delegation = false);

/// A change of the stored data that a schema version enables.
enum class Feature {
  machine_ages,  ///< inventory pages record when each machine was rented
  delegation,    ///< job records name the tasks that another shard may run
};
/// Returns the version that enables a feature.
[[nodiscard]] int version_of(Feature feature);

/// The stored record of the active version; without a record, version 0 is active. Data in the
/// formats of the versions from `lowest` to `highest` may be stored.
struct VersionRecord {
  int active = 0;
  int lowest = 0;
  int highest = 0;
  std::string tag;  ///< names the transaction that wrote it
  /// Returns whether all data has been converted to the format of the active version.
  [[nodiscard]] bool settled() const { return lowest == active && highest == active; }
  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};
/// The stored orders of the operators.
struct Orders {
  std::optional<int> max_version;        ///< the upper limit of the active version
  std::set<std::string> excluded_nodes;  ///< absent nodes that do not hold back a raise
  std::string tag;                       ///< names the transaction that wrote them
  friend bool operator==(const Orders&, const Orders&) = default;
};

/// The key of the VersionRecord.
inline constexpr const char* kActiveKey = "st/l/active";
/// The key of the Orders.
inline constexpr const char* kOrdersKey = "st/l/orders";

// The decoders reject unknown fields, since such a field may change the meaning of the others. They
// throw wire::Malformed.

/// Encodes the value of the record's key.
[[nodiscard]] std::string encode(const VersionRecord& record);
/// Decodes the value of the record's key.
[[nodiscard]] VersionRecord decode_record(const wire::Event& event);
/// Encodes the value of the orders' key.
[[nodiscard]] std::string encode(const Orders& orders);
/// Decodes the value of the orders' key.
[[nodiscard]] Orders decode_orders(const wire::Event& event);
/// Encodes the value of a node's key. `boot` distinguishes the processes of one node.
[[nodiscard]] std::string encode_member(std::uint64_t boot, const Build& build);
/// Decodes a node's build from its key. A node that announces none, or a malformed one, supports
/// version 0 only.
[[nodiscard]] Build decode_member(const wire::Event& event);

/// The stored records about schema versions and nodes, as state::StateCache has read them.
struct StoredView {
  VersionRecord record;
  std::uint64_t mod_revision = 0;  ///< revision of the record's key; 0: there is no record
  std::string unreadable;          ///< why the record cannot be read; empty: it can
  Orders orders;
  std::uint64_t orders_revision = 0;  ///< revision of the orders' key; 0: there are no orders
  bool orders_unreadable = false;
  /// A node.
  struct Member {
    std::uint64_t mod_revision = 0;  ///< revision of the node's key; 0: the node is not alive
    Build build;
  };
  std::vector<Member> members;  ///< by node
};

/// Returns the reason why a build must not serve with this stored state; empty if it may.
[[nodiscard]] std::string serving_refusal(const StoredView& view, const Build& build);

/// Selects the formats that one transaction writes. Its precondition makes the transaction fail if
/// the active version has changed since.
class FeatureGate {
 public:
  explicit FeatureGate(const StoredView& view)
      : version_(view.record.active), mod_revision_(view.mod_revision) {}
  /// Returns whether the active version includes this feature.
  [[nodiscard]] bool on(Feature feature) const { return version_ >= version_of(feature); }
  /// Returns the active version.
  [[nodiscard]] int version() const { return version_; }
  /// Returns the precondition that the version record still has the revision that was read.
  [[nodiscard]] std::pair<std::string, std::uint64_t> precondition() const {
    return {kActiveKey, mod_revision_};
  }

 private:
  int version_;
  std::uint64_t mod_revision_;
};

/// A change of the version record, which any node may commit.
struct Step {
  /// settle: all data has been converted, so no other version's format is stored any more.
  enum Kind { none, raise, lower, settle } kind = none;
  VersionRecord record;  ///< the new record; commit_of() sets its tag
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
};
/// A cause that prevents a step.
struct Blocker {
  std::string by;  ///< a node, or "orders", "conversion", "record", "build"
  std::string reason;
  friend bool operator==(const Blocker&, const Blocker&) = default;
};
/// The next step, or the causes that prevent it.
struct RolloutStatus {
  Step step;
  std::vector<Blocker> blocked_by;
};
/// Decides on the next step. `names` are the node names, by index; `own` is this build; `converted`
/// says that the whole state has been read and is in the active version's format.
[[nodiscard]] RolloutStatus rollout_status(const StoredView& view,
                                           const std::vector<std::string>& names, const Build& own,
                                           bool converted);

/// Returns the transaction that makes a step. `tag`
/// names the transaction.
[[nodiscard]] wire::Transaction commit_of(const Step& step, const std::string& tag);

/// Returns the transaction that registers a node under
/// its lease; none if its build must not serve. The
/// revision of the version record is a precondition: if
/// the version were raised in between, a node that
/// cannot read the state could otherwise be registered.
[[nodiscard]] std::optional<wire::Transaction> enroll(const StoredView& view,
                                                      const std::string& node, std::uint64_t boot,
                                                      const Build& build, std::uint64_t lease);

/// An order of an operator.
struct Order {
  /// hold: the active version is at most `version`;
  /// release: that limit is removed; exclude_node: an
  /// absent node does not hold back a raise;
  /// include_node: it does again.
  enum Kind { hold, release, exclude_node, include_node } kind = hold;
  int version = 0;   ///< hold
  std::string node;  ///< exclude_node, include_node
};
/// Decodes an order. Throws wire::Malformed.
[[nodiscard]] Order decode_order(std::string_view body);
/// Encodes an order as a request body.
[[nodiscard]] std::string encode(const Order& order);
/// Returns the reason why an order is rejected; empty if
/// it is accepted.
[[nodiscard]] std::string order_refusal(const StoredView& view,
                                        const std::vector<std::string>& names, const Order& order);
/// Returns the orders `before` with one more order
/// applied.
[[nodiscard]] Orders apply_order(const Orders& before, const Order& order);
/// Returns the transaction that replaces the orders in
/// `view` by `after`. `tag` names it.
[[nodiscard]] wire::Transaction commit_of(const StoredView& view, Orders after,
                                          const std::string& tag);

}  // namespace shunttrail::schema
