#include "wire/state_codec.h"

#include <memory>

#include "wire/fields.h"

namespace shunttrail::wire {
namespace {

std::string precondition_text(const std::pair<std::string, std::uint64_t>& precondition) {
  return "{\"k\":" + json(precondition.first).dump() +
         ",\"stamp\":" + std::to_string(precondition.second) + "}";
}

std::string op_text(const Transaction::Op& op) {
  if (!op.value) return "{\"drop\":" + json(op.key).dump() + "}";
  std::string out = "{\"set\":" + json(op.key).dump() + ",\"value\":" + *op.value;
  if (op.lease) out += ",\"block\":" + std::to_string(op.lease);
  return out + "}";
}

/// Applies `f` to the parsed body and to a function that makes a pointer to a part of it; the body
/// lives as long as any such pointer.
template <class F>
auto guarded_shared(std::string_view body, F f) {
  try {
    auto document = std::make_shared<const json>(parse(body));
    return f(*document, [&document](const json& part) {
      return std::shared_ptr<const void>(document, &part);
    });
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}

template <class Share>
Event event_from_json(const json& j, Share share) {
  Event event;
  if (const json* key = find(j, "set")) {
    event.key = as_text(*key, "set");
    event.parsed = share(need(j, "value"));
  } else {
    event.key = text(j, "drop");
  }
  event.mod_revision = whole(j, "stamp");
  return event;
}

}  // namespace

std::string encode_transaction(const Transaction& transaction) {
  // Values are JSON text already: they are joined, not parsed once more.
  std::string out = "{\"guards\":[";
  const char* separator = "";
  for (const auto& precondition : transaction.preconditions) {
    out += separator + precondition_text(precondition);
    separator = ",";
  }
  out += "],\"writes\":[";
  separator = "";
  for (const Transaction::Op& op : transaction.ops) {
    out += separator + op_text(op);
    separator = ",";
  }
  return out + "]}";
}

std::uint64_t decode_revision(std::string_view body) {
  return guarded(body, [](const json& j) { return whole(j, "ledger"); });
}

std::vector<std::string> decode_failed(std::string_view body) {
  return guarded(body, [](const json& j) {
    const json* keys = find(j, "failed");
    return keys ? texts(*keys, "failed") : std::vector<std::string>();
  });
}

bool lease_missing(std::string_view body) {
  return body.find("no such lease") != std::string_view::npos;
}

std::string encode_lease(double life_s) {
  return json{{"life_ms", static_cast<std::uint64_t>(life_s * 1000)}}.dump();
}

std::uint64_t decode_lease(std::string_view body) {
  return guarded(body, [](const json& j) { return whole(j, "block"); });
}

std::string watch_path(const std::string& prefix, std::uint64_t after, int block_ms) {
  return "/watch?starts=" + prefix + "&after=" + std::to_string(after) +
         "&block_ms=" + std::to_string(block_ms);
}

WatchAnswer decode_watch(std::string_view body) {
  return guarded_shared(body, [](const json& j, auto share) {
    WatchAnswer out;
    out.revision = whole(j, "ledger");
    for (const json& event : list(j, "events")) out.events.push_back(event_from_json(event, share));
    return out;
  });
}

std::string keys_path(const std::string& prefix, const std::string& after) {
  return "/kv?starts=" + prefix + "&limit=1000" + (after.empty() ? "" : "&after=" + after);
}

KeyPage decode_keys(std::string_view body) {
  return guarded_shared(body, [](const json& j, auto share) {
    KeyPage out;
    out.revision = whole(j, "ledger");
    out.more = flag_or_false(j, "has_next");
    for (const json& entry : list(j, "entries"))
      out.items.push_back(
          {text(entry, "k"), std::nullopt, whole(entry, "stamp"), share(need(entry, "value"))});
    return out;
  });
}

Event decode_key(std::string_view body) {
  return guarded(body, [](const json& j) {
    return Event{text(j, "k"), need(j, "value").dump(), whole(j, "stamp")};
  });
}

}  // namespace shunttrail::wire
