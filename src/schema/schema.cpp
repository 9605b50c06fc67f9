#include "schema/schema.h"

#include <algorithm>
#include <utility>

namespace shunttrail::schema {

const std::vector<Version>& known_versions() {
  static const std::vector<Version> kAll = {
      {0, "first", "the formats of builds without schema versions", false},
      {1, "machine-ages", "inventory pages record when each machine was rented", true},
      {2, "delegation", "job records name the tasks that another shard may run", true},
  };
  return kAll;
}

bool can_downgrade(int version) {
  const auto position = static_cast<std::size_t>(version);
  return version > 0 && position < known_versions().size() && known_versions()[position].downgrade;
}

Build current_build(bool delegation) {
  const int highest = static_cast<int>(known_versions().size()) - 1;
  return {0, highest, delegation ? highest : version_of(Feature::delegation) - 1};
}

int version_of(Feature feature) {
  switch (feature) {
    case Feature::machine_ages:
      return 1;
    case Feature::delegation:
      return 2;
  }
  return 0;
}

namespace {

std::string version_text(int version) { return "level " + std::to_string(version); }

std::string range_text(int from, int to) {
  if (from == to) return std::to_string(from);
  return std::to_string(from) + " to " + std::to_string(to);
}

std::string node_key(const std::string& node) { return "st/n/" + node; }

/// What a change of the active version requires of the nodes.
struct Requirement {
  int from = 0;               ///< every alive node reads the formats from this version
  int to = 0;                 ///< every alive node reads the formats up to this version
  bool all_present = false;   ///< every node is alive or excluded by an order
  std::optional<int> writes;  ///< every alive node agrees to this active version
};

/// Returns the reason why a node does not meet the requirement; none if it does.
std::optional<std::string> unmet_requirement(const StoredView::Member& member, bool is_excluded,
                                             const Requirement& requirement) {
  const bool is_alive = member.mod_revision != 0;
  if (!is_alive) {
    if (requirement.all_present && !is_excluded) return "is not registered";
    return std::nullopt;
  }
  if (!member.build.reads(requirement.from, requirement.to)) {
    const bool is_from_unreadable = member.build.lowest > requirement.from;
    return "cannot read " + version_text(is_from_unreadable ? requirement.from : requirement.to);
  }
  if (requirement.writes && member.build.writes < *requirement.writes)
    return "does not write " + version_text(*requirement.writes) + " yet";
  return std::nullopt;
}

/// Plans the next step of the active version.
class RolloutPlan {
 public:
  RolloutPlan(const StoredView& view, const std::vector<std::string>& names, const Build& own)
      : view_(view), names_(names), own_(own) {}

  /// Plans the end of a conversion. Versions change one at a time: data in other formats is
  /// converted before the next step.
  void plan_settling(bool converted) {
    if (converted)
      make(Step::settle, {active(), active(), active(), {}});
    else
      block("conversion", "is under way");
  }

  /// Plans a raise or a lowering of the active version, or no step.
  void plan_change() {
    if (view_.orders_unreadable) {
      block("orders", "cannot be read");
      return;
    }
    const std::optional<int>& limit = view_.orders.max_version;
    if (limit && *limit < active())
      plan_lowering();
    else
      plan_raise();
    if (out_.step.kind == Step::none) out_.step.preconditions.clear();
  }

  void block(const std::string& by, const std::string& reason) {
    out_.blocked_by.push_back({by, reason});
  }
  RolloutStatus take() { return std::move(out_); }

 private:
  [[nodiscard]] int active() const { return view_.record.active; }

  void plan_lowering() {
    if (!can_downgrade(active())) {
      block("orders", version_text(active()) + " cannot be lowered");
      return;
    }
    const int target = active() - 1;
    require({target, active(), false, std::nullopt});
    if (out_.blocked_by.empty()) make(Step::lower, {target, target, active(), {}});
  }

  void plan_raise() {
    const int target = active() + 1;
    // Only a build that knows a higher version reports what prevents it.
    if (target > own_.highest) return;
    if (own_.writes < target) {
      block("build", "does not write " + version_text(target) + " yet");
      return;
    }
    const std::optional<int>& limit = view_.orders.max_version;
    if (limit && *limit < target) block("orders", "hold " + version_text(*limit));
    require({active(), target, true, target});
    if (out_.blocked_by.empty()) make(Step::raise, {target, active(), target, {}});
  }

  /// Adds preconditions so that the step is committed only while every node can read and write the
  /// formats that may then be stored. Otherwise reports the nodes that cannot.
  void require(const Requirement& requirement) {
    for (std::size_t n = 0; n < names_.size(); ++n) {
      const StoredView::Member& member = view_.members[n];
      const bool is_excluded = view_.orders.excluded_nodes.contains(names_[n]);
      if (const auto reason = unmet_requirement(member, is_excluded, requirement))
        block(names_[n], *reason);
      else
        // Absent nodes need preconditions too: if one registers in between, the commit fails.
        out_.step.preconditions.emplace_back(node_key(names_[n]), member.mod_revision);
    }
  }

  void make(Step::Kind kind, VersionRecord record) {
    out_.step.kind = kind;
    out_.step.record = std::move(record);
    out_.step.preconditions.emplace_back(kActiveKey, view_.mod_revision);
    out_.step.preconditions.emplace_back(kOrdersKey, view_.orders_revision);
  }

  const StoredView& view_;
  const std::vector<std::string>& names_;
  const Build& own_;
  RolloutStatus out_;
};

}  // namespace

std::string serving_refusal(const StoredView& view, const Build& build) {
  if (!view.unreadable.empty()) return "the level record cannot be read: " + view.unreadable;
  const VersionRecord& record = view.record;
  if (build.reads(record.lowest, record.highest)) return {};
  return "stored data has level " + range_text(record.lowest, record.highest) +
         ", this build reads only level " + range_text(build.lowest, build.highest);
}

RolloutStatus rollout_status(const StoredView& view, const std::vector<std::string>& names,
                             const Build& own, bool converted) {
  RolloutPlan plan(view, names, own);
  if (!view.unreadable.empty())
    plan.block("record", view.unreadable);
  else if (!serving_refusal(view, own).empty())
    return {};  // a build that must not serve commits no step
  else if (!view.record.settled())
    plan.plan_settling(converted);
  else
    plan.plan_change();
  return plan.take();
}

wire::Transaction commit_of(const Step& step, const std::string& tag) {
  VersionRecord record = step.record;
  record.tag = tag;
  return {step.preconditions, {{kActiveKey, encode(record), 0}}};
}

std::optional<wire::Transaction> enroll(const StoredView& view, const std::string& node,
                                        std::uint64_t boot, const Build& build,
                                        std::uint64_t lease) {
  if (!serving_refusal(view, build).empty()) return std::nullopt;
  return wire::Transaction{{{kActiveKey, view.mod_revision}},
                           {{node_key(node), encode_member(boot, build), lease}}};
}

wire::Transaction commit_of(const StoredView& view, Orders after, const std::string& tag) {
  after.tag = tag;
  return {{{kOrdersKey, view.orders_revision}, {kActiveKey, view.mod_revision}},
          {{kOrdersKey, encode(after), 0}}};
}

namespace {

std::string hold_refusal(const StoredView& view, int version) {
  for (int active = view.record.active; active > version; --active)
    if (!can_downgrade(active))
      return "hold: " + version_text(active) + " is active and cannot be lowered";
  return {};
}

std::string node_refusal(const StoredView& view, const std::vector<std::string>& names,
                         const Order& order) {
  const bool is_excluded = order.kind == Order::exclude_node;
  const std::string field = is_excluded ? "gone: " : "here: ";
  const auto name = std::find(names.begin(), names.end(), order.node);
  if (name == names.end()) return field + order.node + " is not a node of this cluster";
  const auto node = static_cast<std::size_t>(name - names.begin());
  if (is_excluded && view.members[node].mod_revision != 0) return field + order.node + " is alive";
  return {};
}

}  // namespace

std::string order_refusal(const StoredView& view, const std::vector<std::string>& names,
                          const Order& order) {
  if (!view.unreadable.empty()) return "the level record cannot be read: " + view.unreadable;
  if (view.orders_unreadable) return "the stored orders cannot be read";
  switch (order.kind) {
    case Order::hold:
      return hold_refusal(view, order.version);
    case Order::release:
      return {};
    case Order::exclude_node:
    case Order::include_node:
      return node_refusal(view, names, order);
  }
  return {};
}

Orders apply_order(const Orders& before, const Order& order) {
  Orders after = before;
  switch (order.kind) {
    case Order::hold:
      after.max_version = order.version;
      break;
    case Order::release:
      after.max_version.reset();
      break;
    case Order::exclude_node:
      after.excluded_nodes.insert(order.node);
      break;
    case Order::include_node:
      after.excluded_nodes.erase(order.node);
      break;
  }
  return after;
}

}  // namespace shunttrail::schema
