// The records of the state levels, and the operators' orders, as JSON.
#include <algorithm>

#include "schema/schema.h"
#include "wire/fields.h"

namespace shunttrail::schema {

using wire::json;
using wire::Malformed;

namespace {

constexpr int kHighest = 1000;

int level(const json& v, const char* name) {
  std::uint64_t n = wire::as_whole(v, name);
  if (n > kHighest) throw Malformed(std::string(name) + " is out of range");
  return static_cast<int>(n);
}
void only(const json& j, std::initializer_list<const char*> known) {
  for (auto it = j.begin(); it != j.end(); ++it)
    if (std::none_of(known.begin(), known.end(), [&](const char* k) { return it.key() == k; }))
      throw Malformed(it.key().substr(0, 64) + " is not a known field");
}

}  // namespace

std::string encode(const VersionRecord& r) {
  return json{{"level", r.active}, {"lowest", r.lowest}, {"highest", r.highest}, {"w", r.tag}}
      .dump();
}
VersionRecord decode_record(const wire::Event& e) {
  return wire::of_value(e, [](const json& j) {
    if (!j.is_object()) throw Malformed("not an object");
    only(j, {"level", "lowest", "highest", "w"});
    VersionRecord r{level(wire::need(j, "level"), "level"),
                    level(wire::need(j, "lowest"), "lowest"),
                    level(wire::need(j, "highest"), "highest"), wire::text(j, "w")};
    if (r.active < r.lowest || r.active > r.highest) throw Malformed("level is out of its range");
    return r;
  });
}

std::string encode(const Orders& o) {
  json j = {{"gone", o.gone}, {"w", o.tag}};
  if (o.max_version) j["most"] = *o.max_version;
  return j.dump();
}
Orders decode_orders(const wire::Event& e) {
  return wire::of_value(e, [](const json& j) {
    if (!j.is_object()) throw Malformed("not an object");
    only(j, {"gone", "most", "w"});
    Orders o;
    for (const json& n : wire::list(j, "gone")) o.gone.insert(wire::as_text(n, "gone"));
    if (const json* m = wire::find(j, "most")) o.max_version = level(*m, "most");
    o.tag = wire::text(j, "w");
    return o;
  });
}

std::string encode_member(std::uint64_t boot, const Build& b) {
  return json{{"boot", boot}, {"levels", {b.lowest, b.highest, b.writes}}}.dump();
}
Build decode_member(const wire::Event& e) {
  try {
    return wire::of_value(e, [](const json& j) {
      const json* l = wire::find(j, "levels");
      if (!l) return Build{};
      if (!l->is_array() || l->size() != 3) throw Malformed("levels is bad");
      Build b{level((*l)[0], "levels"), level((*l)[1], "levels"), level((*l)[2], "levels")};
      if (b.lowest > b.highest || b.writes > b.highest) throw Malformed("levels is bad");
      return b;
    });
  } catch (const Malformed&) {
    return {};
  }
}

std::string encode(const Order& o) {
  switch (o.kind) {
    case Order::hold:
      return json{{"hold", o.version}}.dump();
    case Order::release:
      return json{{"hold", nullptr}}.dump();
    case Order::gone:
      return json{{"gone", o.node}}.dump();
    case Order::here:
      return json{{"here", o.node}}.dump();
  }
  return "{}";
}
Order decode_order(std::string_view body) {
  return wire::guarded(body, [](const json& j) {
    only(j, {"hold", "gone", "here"});
    if (j.size() != 1) throw Malformed("give one of hold, gone, here");
    Order o;
    if (j.contains("hold")) {
      o.kind = j["hold"].is_null() ? Order::release : Order::hold;
      if (o.kind == Order::hold) o.version = level(j["hold"], "hold");
    } else {
      o.kind = j.contains("gone") ? Order::gone : Order::here;
      o.node = wire::text(j, o.kind == Order::gone ? "gone" : "here");
    }
    return o;
  });
}

}  // namespace shunttrail::schema
