/// @file
/// The JSON formats of the schema version records and of the operators' orders.
#include <algorithm>

#include "schema/schema.h"
#include "wire/fields.h"

namespace shunttrail::schema {

using wire::json;
using wire::Malformed;

namespace {

constexpr int kMaxVersion = 1000;
/// The number of characters of an unknown field's name that an error message quotes.
constexpr std::size_t kMaxNameInError = 64;

int read_version(const json& v, const char* name) {
  const std::uint64_t number = wire::as_whole(v, name);
  if (number > kMaxVersion)
    throw Malformed::out_of_range(name, "0 to " + std::to_string(kMaxVersion));
  return static_cast<int>(number);
}

/// Throws if the object has a field that is not in `known`.
void check_known_fields(const json& j, std::initializer_list<const char*> known) {
  for (auto it = j.begin(); it != j.end(); ++it) {
    const std::string& name = it.key();
    if (std::none_of(known.begin(), known.end(), [&](const char* k) { return name == k; }))
      throw Malformed::wrong_type(name.substr(0, kMaxNameInError), "a known field");
  }
}

Build build_from_json(const json& levels) {
  const std::string expected = "the lowest, highest and written level";
  if (!levels.is_array() || levels.size() != 3)
    throw Malformed::bad_value("levels", "does not list three versions", expected);
  const Build build{read_version(levels[0], "levels"), read_version(levels[1], "levels"),
                    read_version(levels[2], "levels")};
  if (build.lowest > build.highest || build.writes > build.highest)
    throw Malformed::bad_value("levels", "has a lowest or written version above the highest",
                               expected);
  return build;
}

}  // namespace

std::string encode(const VersionRecord& record) {
  return json{{"level", record.active},
              {"lowest", record.lowest},
              {"highest", record.highest},
              {"w", record.tag}}
      .dump();
}

VersionRecord decode_record(const wire::Event& event) {
  return wire::decode_event_value(event, [](const json& j) {
    wire::check_object(j);
    check_known_fields(j, {"level", "lowest", "highest", "w"});
    VersionRecord r{read_version(wire::required(j, "level"), "level"),
                    read_version(wire::required(j, "lowest"), "lowest"),
                    read_version(wire::required(j, "highest"), "highest"), wire::text(j, "w")};
    if (r.active < r.lowest || r.active > r.highest)
      throw Malformed::bad_value("level",
                                 "is " + std::to_string(r.active) + ", outside " +
                                     std::to_string(r.lowest) + " to " + std::to_string(r.highest),
                                 "lowest to highest");
    return r;
  });
}

std::string encode(const Orders& orders) {
  json j = {{"gone", orders.excluded_nodes}, {"w", orders.tag}};
  if (orders.max_version) j["most"] = *orders.max_version;
  return j.dump();
}

Orders decode_orders(const wire::Event& event) {
  return wire::decode_event_value(event, [](const json& j) {
    wire::check_object(j);
    check_known_fields(j, {"gone", "most", "w"});
    Orders o;
    for (const json& n : wire::list(j, "gone")) o.excluded_nodes.insert(wire::as_text(n, "gone"));
    if (const json* m = wire::find(j, "most")) o.max_version = read_version(*m, "most");
    o.tag = wire::text(j, "w");
    return o;
  });
}

std::string encode_member(std::uint64_t boot, const Build& build) {
  return json{{"boot", boot}, {"levels", {build.lowest, build.highest, build.writes}}}.dump();
}

Build decode_member(const wire::Event& event) {
  try {
    return wire::decode_event_value(event, [](const json& j) {
      const json* levels = wire::find(j, "levels");
      return levels ? build_from_json(*levels) : Build{};
    });
  } catch (const Malformed&) {
    return {};
  }
}

std::string encode(const Order& order) {
  switch (order.kind) {
    case Order::hold:
      return json{{"hold", order.version}}.dump();
    case Order::release:
      return json{{"hold", nullptr}}.dump();
    case Order::exclude_node:
      return json{{"gone", order.node}}.dump();
    case Order::include_node:
      return json{{"here", order.node}}.dump();
  }
  return "{}";
}

Order decode_order(std::string_view body) {
  return wire::decode_body(body, [](const json& j) {
    check_known_fields(j, {"hold", "gone", "here"});
    if (j.size() != 1) throw Malformed("give one of hold, gone, here");
    Order o;
    if (j.contains("hold")) {
      o.kind = j["hold"].is_null() ? Order::release : Order::hold;
      if (o.kind == Order::hold) o.version = read_version(j["hold"], "hold");
    } else {
      o.kind = j.contains("gone") ? Order::exclude_node : Order::include_node;
      o.node = wire::text(j, o.kind == Order::exclude_node ? "gone" : "here");
    }
    return o;
  });
}

}  // namespace shunttrail::schema
