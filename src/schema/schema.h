/// @file
/// State levels: which forms of the stored data are in use (docs/schema.md). A rollout brings
/// builds that know a new form to the nodes one by one; the form is used once every node has such a
/// build, and never before. Free of I/O: what the state service holds is handed in, and
/// transactions are handed out.
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

/// What a build can do with the stored state. One that announces nothing is of level 0.
struct Build {
  int lowest = 0;   ///< the lowest level whose forms it reads
  int highest = 0;  ///< the highest level whose forms it reads
  int writes = 0;   ///< it takes part in raising the active level up to this one
  /// Whether it reads the forms of all levels from `from` to `to`, ends included.
  [[nodiscard]] bool reads(int from, int to) const { return lowest <= from && to <= highest; }
  friend bool operator==(const Build&, const Build&) = default;
};

/// A level.
struct Version {
  int number;
  const char* name;
  const char* description;
  /// Whether it can be lowered again: what was written under it is converted back.
  bool downgrade;
};
/// All levels that this build knows; a level's number is its position.
const std::vector<Version>& known_versions();
/// Whether an active level can be lowered again; false for one that this build does not know.
[[nodiscard]] bool can_downgrade(int version);
/// What this build can do. It takes part in delegation only where the operators have said so
/// (config::Tuning), since builds that know no levels do not count delegated tasks.
[[nodiscard]] Build current_build(bool delegation = false);

/// A change of what is stored, which a level switches on.
enum class Feature {
  machine_ages,  ///< inventory pages tell when each machine was rented
  delegation,    ///< job records tell which tasks another shard may run
};
/// The level that switches a feature on.
[[nodiscard]] int version_of(Feature feature);

/// The stored record of the active level; where there is none, the level is 0. Forms of the levels
/// from `lowest` to `highest` may be stored.
struct VersionRecord {
  int active = 0;
  int lowest = 0;
  int highest = 0;
  std::string tag;  ///< names the transaction that wrote it
  /// Whether everything has been converted to the active level's forms.
  [[nodiscard]] bool settled() const { return lowest == active && highest == active; }
  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};
/// The stored orders of the operators.
struct Orders {
  std::optional<int> max_version;        ///< the active level is at most this
  std::set<std::string> excluded_nodes;  ///< nodes that are not waited for
  std::string tag;                       ///< names the transaction that wrote them
  friend bool operator==(const Orders&, const Orders&) = default;
};

/// The key of the VersionRecord.
inline constexpr const char* kActiveKey = "st/l/active";
/// The key of the Orders.
inline constexpr const char* kOrdersKey = "st/l/orders";

// The codecs read records strictly: an unknown field may change the meaning of the others. Decoders
// throw wire::Malformed.

/// The value of the record's key.
[[nodiscard]] std::string encode(const VersionRecord& record);
/// Reads the value of the record's key.
[[nodiscard]] VersionRecord decode_record(const wire::Event& event);
/// The value of the orders' key.
[[nodiscard]] std::string encode(const Orders& orders);
/// Reads the value of the orders' key.
[[nodiscard]] Orders decode_orders(const wire::Event& event);
/// The value of a node's key. `boot` distinguishes the node's processes.
[[nodiscard]] std::string encode_member(std::uint64_t boot, const Build& build);
/// Reads a node's build from its key. One that announces none, or is malformed, is of level 0.
[[nodiscard]] Build decode_member(const wire::Event& event);

/// What the state service holds of all this; kept by state::StateCache.
struct StoredView {
  VersionRecord record;
  std::uint64_t mod_revision = 0;  ///< of the record; 0: there is none
  std::string unreadable;          ///< why the record cannot be read; empty: it can
  Orders orders;
  std::uint64_t orders_revision = 0;  ///< 0: there are none
  bool orders_unreadable = false;
  /// A node.
  struct Member {
    std::uint64_t mod_revision = 0;  ///< of its key; 0: it is not alive
    Build build;
  };
  std::vector<Member> members;  ///< by node
};

/// Why a build must not serve with this state; empty: it may.
[[nodiscard]] std::string serving_refusal(const StoredView& view, const Build& build);

/// Decides for one transaction in which forms it writes. Its precondition makes the transaction
/// fail if the level has changed since.
class FeatureGate {
 public:
  explicit FeatureGate(const StoredView& view)
      : version_(view.record.active), mod_revision_(view.mod_revision) {}
  /// Whether the active level has this feature.
  [[nodiscard]] bool on(Feature feature) const { return version_ >= version_of(feature); }
  /// The active level.
  [[nodiscard]] int version() const { return version_; }
  /// That the record still has its revision.
  [[nodiscard]] std::pair<std::string, std::uint64_t> precondition() const {
    return {kActiveKey, mod_revision_};
  }

 private:
  int version_;
  std::uint64_t mod_revision_;
};

/// A change of the active level, which any node may commit.
struct Step {
  /// settle: everything has been converted, and other forms are not stored any more.
  enum Kind { none, raise, lower, settle } kind = none;
  VersionRecord record;  ///< the new one; the committing node fills in its tag
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
};
/// What prevents a step.
struct Blocker {
  std::string by;  ///< a node, or "orders", "conversion", "record", "build"
  std::string reason;
  friend bool operator==(const Blocker&, const Blocker&) = default;
};
/// The next step, or what prevents it.
struct RolloutStatus {
  Step step;
  std::vector<Blocker> blocked_by;
};
/// Decides on the next step. `names`: of the nodes, by index; `own`: this build; `converted`: the
/// whole state has been read, and all of it has the active level's form.
[[nodiscard]] RolloutStatus rollout_status(const StoredView& view,
                                           const std::vector<std::string>& names, const Build& own,
                                           bool converted);

/// The transaction that makes a step. `tag` names it.
[[nodiscard]] wire::Transaction commit_of(const Step& step, const std::string& tag);

/// The transaction that registers a node under its lease; none: its build must not serve. The
/// record that says so is among the preconditions: otherwise, if the level were raised in between,
/// a node could be registered that cannot read the state.
[[nodiscard]] std::optional<wire::Transaction> enroll(const StoredView& view,
                                                      const std::string& node, std::uint64_t boot,
                                                      const Build& build, std::uint64_t lease);

/// An order of an operator.
struct Order {
  /// hold: the level is at most `version`; release: it is not limited any more; gone, here: a node
  /// is not waited for, or is again.
  enum Kind { hold, release, exclude_node, include_node } kind = hold;
  int version = 0;   ///< hold
  std::string node;  ///< gone, here
};
/// Reads an order. Throws wire::Malformed.
[[nodiscard]] Order decode_order(std::string_view body);
/// The body of an order.
[[nodiscard]] std::string encode(const Order& order);
/// Why an order is not accepted; empty: it is.
[[nodiscard]] std::string order_refusal(const StoredView& view,
                                        const std::vector<std::string>& names, const Order& order);
/// The stored orders after one more.
[[nodiscard]] Orders apply_order(const Orders& before, const Order& order);
/// The transaction that stores the orders `after` in place of those in `view`. `tag` names it.
[[nodiscard]] wire::Transaction commit_of(const StoredView& view, Orders after,
                                          const std::string& tag);

}  // namespace shunttrail::schema
