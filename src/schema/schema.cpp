#include "schema/schema.h"

#include <algorithm>

namespace shunt::levels {

const std::vector<Level>& table() {
  static const std::vector<Level> all = {
      {0, "first", "the forms of builds that know no levels", false},
      {1, "machine-ages", "roster pages tell when each machine was rented", true},
  };
  return all;
}

bool can_go_back(int level) {
  const auto n = static_cast<std::size_t>(level);
  return level > 0 && n < table().size() && table()[n].back;
}

Build here() { return {0, static_cast<int>(table().size()) - 1, 1}; }

int level_of(Feature f) {
  switch (f) {
    case Feature::machine_ages:
      return 1;
  }
  return 0;
}

std::string refusal(const View& v, const Build& b) {
  if (!v.unreadable.empty()) return "the level record cannot be read: " + v.unreadable;
  const Record& r = v.record;
  if (b.reads(r.lowest, r.highest)) return {};
  auto range = [](int from, int to) {
    return from == to ? std::to_string(from) : std::to_string(from) + " to " + std::to_string(to);
  };
  return "state of level " + range(r.lowest, r.highest) + " stands, this build reads " +
         range(b.lowest, b.highest);
}

namespace {

std::string level_text(int n) { return "level " + std::to_string(n); }

// Guards that make a change of the level hold only while every node can do with what may stand
// then: each is registered, with the key that was read, or is declared gone and is not there.
void members_can(const View& v, const std::vector<std::string>& names, int from, int to, bool all,
                 std::optional<int> writes, Outlook& out) {
  for (std::size_t n = 0; n < names.size(); ++n) {
    const View::Member& m = v.members[n];
    const bool gone = v.orders.gone.contains(names[n]);
    if (!m.stamp && all && !gone) {
      out.held_by.push_back({names[n], "is not there"});
      continue;
    }
    if (m.stamp && !m.build.reads(from, to)) {
      out.held_by.push_back(
          {names[n], "cannot read " + level_text(m.build.lowest > from ? from : to)});
      continue;
    }
    if (m.stamp && writes && m.build.writes < *writes) {
      out.held_by.push_back({names[n], "does not write " + level_text(*writes) + " yet"});
      continue;
    }
    // Absent ones as well: one that comes back in between makes the commit fail.
    out.step.guards.emplace_back("st/n/" + names[n], m.stamp);
  }
}

}  // namespace

Outlook outlook(const View& v, const std::vector<std::string>& names, const Build& own,
                bool converted) {
  Outlook out;
  if (!v.unreadable.empty()) {
    out.held_by.push_back({"record", v.unreadable});
    return out;
  }
  if (!refusal(v, own).empty()) return out;  // this build has no part in it
  const Record& r = v.record;
  auto step = [&](Step::Kind kind, Record to) {
    out.step.kind = kind;
    out.step.record = std::move(to);
    out.step.guards.emplace_back(kActiveKey, v.stamp);
    out.step.guards.emplace_back(kOrdersKey, v.orders_stamp);
  };
  if (!r.settled()) {
    // One level at a time: what stands in another form is brought over first.
    if (converted) {
      step(Step::settle, {r.active, r.active, r.active, {}});
    } else {
      out.held_by.push_back({"conversion", "is under way"});
    }
    return out;
  }
  if (v.orders_unreadable) {
    out.held_by.push_back({"orders", "cannot be read"});
    return out;
  }
  if (v.orders.most && *v.orders.most < r.active) {
    const int to = r.active - 1;
    if (!can_go_back(r.active)) {
      out.held_by.push_back({"orders", level_text(r.active) + " cannot be lowered"});
      return out;
    }
    members_can(v, names, to, r.active, false, std::nullopt, out);
    if (out.held_by.empty()) step(Step::lower, {to, to, r.active, {}});
  } else {
    const int to = r.active + 1;
    // Whoever knows of a higher level says what holds it back.
    if (to > own.highest) return out;
    if (own.writes < to) {
      out.held_by.push_back({"build", "does not write " + level_text(to) + " yet"});
      return out;
    }
    if (v.orders.most && *v.orders.most < to)
      out.held_by.push_back({"orders", "hold " + level_text(*v.orders.most)});
    members_can(v, names, r.active, to, true, to, out);
    if (out.held_by.empty()) step(Step::raise, {to, r.active, to, {}});
  }
  if (out.step.kind == Step::none) out.step.guards.clear();
  return out;
}

wire::Txn commit_of(const Step& s, const std::string& tag) {
  Record to = s.record;
  to.tag = tag;
  return {s.guards, {{kActiveKey, encode(to), 0}}};
}

std::optional<wire::Txn> enroll(const View& v, const std::string& node, std::uint64_t boot,
                                const Build& b, std::uint64_t hold) {
  if (!refusal(v, b).empty()) return std::nullopt;
  return wire::Txn{{{kActiveKey, v.stamp}}, {{"st/n/" + node, encode_member(boot, b), hold}}};
}

wire::Txn commit_of(const View& v, Orders after, const std::string& tag) {
  after.tag = tag;
  return {{{kOrdersKey, v.orders_stamp}, {kActiveKey, v.stamp}}, {{kOrdersKey, encode(after), 0}}};
}

std::string refused(const View& v, const std::vector<std::string>& names, const Order& o) {
  if (!v.unreadable.empty()) return "the level record cannot be read: " + v.unreadable;
  if (v.orders_unreadable) return "the orders as they stand cannot be read";
  switch (o.kind) {
    case Order::hold:
      for (int n = v.record.active; n > o.level; --n)
        if (!can_go_back(n)) return "hold: " + level_text(n) + " is active and cannot be lowered";
      return {};
    case Order::release:
      return {};
    case Order::gone:
    case Order::here: {
      const char* field = o.kind == Order::gone ? "gone: " : "here: ";
      auto at = std::find(names.begin(), names.end(), o.node);
      if (at == names.end()) return field + o.node + " is none of the nodes";
      if (o.kind == Order::gone &&
          v.members[static_cast<std::size_t>(at - names.begin())].stamp != 0)
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
      after.most = o.level;
      break;
    case Order::release:
      after.most.reset();
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

}  // namespace shunt::levels
