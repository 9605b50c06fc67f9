#include "schema/schema.h"

#include <algorithm>

namespace shunttrail::schema {

const std::vector<Version>& table() {
  static const std::vector<Version> all = {
      {0, "first", "the forms of builds that know no levels", false},
      {1, "machine-ages", "roster pages tell when each machine was rented", true},
  };
  return all;
}

bool can_downgrade(int level) {
  const auto n = static_cast<std::size_t>(level);
  return level > 0 && n < table().size() && table()[n].downgrade;
}

Build current_build() { return {0, static_cast<int>(table().size()) - 1, 1}; }

int version_of(Feature f) {
  switch (f) {
    case Feature::machine_ages:
      return 1;
  }
  return 0;
}

std::string refusal(const StoredView& v, const Build& b) {
  if (!v.unreadable.empty()) return "the level record cannot be read: " + v.unreadable;
  const VersionRecord& r = v.record;
  if (b.reads(r.lowest, r.highest)) return {};
  auto range = [](int from, int to) {
    return from == to ? std::to_string(from) : std::to_string(from) + " to " + std::to_string(to);
  };
  return "state of level " + range(r.lowest, r.highest) + " stands, this build reads " +
         range(b.lowest, b.highest);
}

namespace {

std::string version_text(int n) { return "level " + std::to_string(n); }

// Guards that make a change of the level hold only while every node can do with what may stand
// then: each is registered, with the key that was read, or is declared gone and is not there.
void members_can(const StoredView& v, const std::vector<std::string>& names, int from, int to,
                 bool all, std::optional<int> writes, RolloutStatus& out) {
  for (std::size_t n = 0; n < names.size(); ++n) {
    const StoredView::Member& m = v.members[n];
    const bool gone = v.orders.gone.contains(names[n]);
    if (!m.mod_revision && all && !gone) {
      out.blocked_by.push_back({names[n], "is not there"});
      continue;
    }
    if (m.mod_revision && !m.build.reads(from, to)) {
      out.blocked_by.push_back(
          {names[n], "cannot read " + version_text(m.build.lowest > from ? from : to)});
      continue;
    }
    if (m.mod_revision && writes && m.build.writes < *writes) {
      out.blocked_by.push_back({names[n], "does not write " + version_text(*writes) + " yet"});
      continue;
    }
    // Absent ones as well: one that comes back in between makes the commit fail.
    out.step.preconditions.emplace_back("st/n/" + names[n], m.mod_revision);
  }
}

}  // namespace

RolloutStatus rollout_status(const StoredView& v, const std::vector<std::string>& names,
                             const Build& own, bool converted) {
  RolloutStatus out;
  if (!v.unreadable.empty()) {
    out.blocked_by.push_back({"record", v.unreadable});
    return out;
  }
  if (!refusal(v, own).empty()) return out;  // this build has no part in it
  const VersionRecord& r = v.record;
  auto step = [&](Step::Kind kind, VersionRecord to) {
    out.step.kind = kind;
    out.step.record = std::move(to);
    out.step.preconditions.emplace_back(kActiveKey, v.mod_revision);
    out.step.preconditions.emplace_back(kOrdersKey, v.orders_revision);
  };
  if (!r.settled()) {
    // One level at a time: what stands in another form is brought over first.
    if (converted) {
      step(Step::settle, {r.active, r.active, r.active, {}});
    } else {
      out.blocked_by.push_back({"conversion", "is under way"});
    }
    return out;
  }
  if (v.orders_unreadable) {
    out.blocked_by.push_back({"orders", "cannot be read"});
    return out;
  }
  if (v.orders.max_version && *v.orders.max_version < r.active) {
    const int to = r.active - 1;
    if (!can_downgrade(r.active)) {
      out.blocked_by.push_back({"orders", version_text(r.active) + " cannot be lowered"});
      return out;
    }
    members_can(v, names, to, r.active, false, std::nullopt, out);
    if (out.blocked_by.empty()) step(Step::lower, {to, to, r.active, {}});
  } else {
    const int to = r.active + 1;
    // Whoever knows of a higher level says what holds it back.
    if (to > own.highest) return out;
    if (own.writes < to) {
      out.blocked_by.push_back({"build", "does not write " + version_text(to) + " yet"});
      return out;
    }
    if (v.orders.max_version && *v.orders.max_version < to)
      out.blocked_by.push_back({"orders", "hold " + version_text(*v.orders.max_version)});
    members_can(v, names, r.active, to, true, to, out);
    if (out.blocked_by.empty()) step(Step::raise, {to, r.active, to, {}});
  }
  if (out.step.kind == Step::none) out.step.preconditions.clear();
  return out;
}

wire::Transaction commit_of(const Step& s, const std::string& tag) {
  VersionRecord to = s.record;
  to.tag = tag;
  return {s.preconditions, {{kActiveKey, encode(to), 0}}};
}

std::optional<wire::Transaction> enroll(const StoredView& v, const std::string& node,
                                        std::uint64_t boot, const Build& b, std::uint64_t hold) {
  if (!refusal(v, b).empty()) return std::nullopt;
  return wire::Transaction{{{kActiveKey, v.mod_revision}},
                           {{"st/n/" + node, encode_member(boot, b), hold}}};
}

wire::Transaction commit_of(const StoredView& v, Orders after, const std::string& tag) {
  after.tag = tag;
  return {{{kOrdersKey, v.orders_revision}, {kActiveKey, v.mod_revision}},
          {{kOrdersKey, encode(after), 0}}};
}

std::string refused(const StoredView& v, const std::vector<std::string>& names, const Order& o) {
  if (!v.unreadable.empty()) return "the level record cannot be read: " + v.unreadable;
  if (v.orders_unreadable) return "the orders as they stand cannot be read";
  switch (o.kind) {
    case Order::hold:
      for (int n = v.record.active; n > o.version; --n)
        if (!can_downgrade(n))
          return "hold: " + version_text(n) + " is active and cannot be lowered";
      return {};
    case Order::release:
      return {};
    case Order::gone:
    case Order::here: {
      const char* field = o.kind == Order::gone ? "gone: " : "here: ";
      auto at = std::find(names.begin(), names.end(), o.node);
      if (at == names.end()) return field + o.node + " is none of the nodes";
      if (o.kind == Order::gone &&
          v.members[static_cast<std::size_t>(at - names.begin())].mod_revision != 0)
        return field + o.node + " is there";
      return {};
    }
  }
  return {};
}

Orders with(const Orders& before, const Order& o) {
  Orders after = before;
  switch (o.kind) {
    case Order::hold:
      after.max_version = o.version;
      break;
    case Order::release:
      after.max_version.reset();
      break;
    case Order::gone:
      after.gone.insert(o.node);
      break;
    case Order::here:
      after.gone.erase(o.node);
      break;
  }
  return after;
}

}  // namespace shunttrail::schema
