// State levels: which forms of what is kept in the state service are in use. A rollout brings
// builds that know a new form to the nodes one by one; the form begins when every node has such a
// build, and never before. Free of I/O: what the state service holds is handed in, and commits are
// handed out.
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

// What a build can do with the stored state. One that announces nothing is of level 0.
struct Build {
  int lowest = 0, highest = 0;  // it reads the forms of these levels, ends included
  int writes = 0;               // it takes part in raising the active level to this one at most
  bool reads(int from, int to) const { return lowest <= from && to <= highest; }
  friend bool operator==(const Build&, const Build&) = default;
};

struct Version {
  int number;
  const char* name;
  const char* description;
  // It can be lowered again: what was written under it is brought back to the form before.
  bool downgrade;
};
// Every level that this build knows, from 0; the number is the place in the table.
const std::vector<Version>& table();
// Whether an active level can be lowered again. One that this build does not know cannot.
bool can_downgrade(int level);
// This build.
Build current_build();

// A behaviour that changes what is stored, by the level that switches it on.
enum class Feature {
  machine_ages,  // the inventory tells when each machine was rented
};
int version_of(Feature f);

// The durable record, st/l/active; without one the level is 0. Forms of the levels from `lowest` to
// `highest` may stand: both are the active level once everything has been converted.
struct VersionRecord {
  int active = 0, lowest = 0, highest = 0;
  std::string tag;
  bool settled() const { return lowest == active && highest == active; }
  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};
// What the operators have ordered, st/l/orders.
struct Orders {
  std::optional<int> max_version;  // the active level is at most this
  std::set<std::string> gone;      // nodes that are not waited for
  std::string tag;
  friend bool operator==(const Orders&, const Orders&) = default;
};

inline constexpr const char* kActiveKey = "st/l/active";
inline constexpr const char* kOrdersKey = "st/l/orders";

// Codecs. A record is read strictly: a field that is not known may say that the rest means
// something else. Decoders throw wire::Malformed.
std::string encode(const VersionRecord& r);
VersionRecord decode_record(const wire::Event& e);
std::string encode(const Orders& o);
Orders decode_orders(const wire::Event& e);
// The value of a node key.
std::string encode_member(std::uint64_t boot, const Build& b);
Build decode_member(const wire::Event& e);  // what announces nothing, or garbage, is level 0

// What one read of the state service says of all this; kept up by state::World.
struct StoredView {
  VersionRecord record;
  std::uint64_t mod_revision = 0;  // of the record; 0: there is none
  std::string unreadable;          // why the record cannot be read; empty: it can
  Orders orders;
  std::uint64_t orders_revision = 0;
  bool orders_unreadable = false;
  struct Member {
    std::uint64_t mod_revision = 0;  // of the node key; 0: not alive
    Build build;
  };
  std::vector<Member> members;  // by node
};

// Why a build must not serve beside this state; empty: it may.
std::string refusal(const StoredView& v, const Build& b);

// Asked once a transaction: which forms it is to be written in. The record's revision goes into its
// preconditions, so that it fails if the level has changed since.
class FeatureGate {
 public:
  explicit FeatureGate(const StoredView& v)
      : version_(v.record.active), mod_revision_(v.mod_revision) {}
  bool on(Feature f) const { return version_ >= version_of(f); }
  int version() const { return version_; }
  std::pair<std::string, std::uint64_t> precondition() const { return {kActiveKey, mod_revision_}; }

 private:
  int version_;
  std::uint64_t mod_revision_;
};

// The next step of the active level, if there is one: a guarded commit that any node may make. What
// is in the way otherwise.
struct Step {
  enum Kind { none, raise, lower, settle } kind = none;
  VersionRecord record;  // its tag is the writer's to fill in
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
};
struct Blocker {
  std::string by;  // a node, or "orders", "conversion", "record"
  std::string reason;
  friend bool operator==(const Blocker&, const Blocker&) = default;
};
struct RolloutStatus {
  Step step;
  std::vector<Blocker> blocked_by;  // what holds the next raise or lowering back
};
// `names`: of the nodes, by index. `converted`: everything that the cache holds, read in full, has
// the active level's form.
RolloutStatus rollout_status(const StoredView& v, const std::vector<std::string>& names,
                             const Build& own, bool converted);

// A step as a transaction.
wire::Transaction commit_of(const Step& s, const std::string& tag);

// A node's registration under its hold. The record by which its build was found fit is among the
// preconditions: were the level raised in between, it would be registered beside state that it
// cannot read. None: its build must not serve.
std::optional<wire::Transaction> enroll(const StoredView& v, const std::string& node,
                                        std::uint64_t boot, const Build& b, std::uint64_t hold);

// An operator's order, applied to the orders as they stand. `refused` says why not; empty: taken.
struct Order {
  enum Kind { hold, release, gone, here } kind = hold;
  int version = 0;   // hold
  std::string node;  // gone, here
};
// Throws wire::Malformed, naming the field.
Order decode_order(std::string_view body);
std::string encode(const Order& o);
std::string refused(const StoredView& v, const std::vector<std::string>& names, const Order& o);
Orders with(const Orders& before, const Order& o);
wire::Transaction commit_of(const StoredView& v, Orders after, const std::string& tag);

}  // namespace shunttrail::schema
