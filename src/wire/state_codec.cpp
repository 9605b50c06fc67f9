#include "wire/state_codec.h"

#include <memory>

#include "wire/fields.h"

namespace shunttrail::wire {
namespace {

void append_precondition(const std::pair<std::string, std::uint64_t>& precondition,
                         std::string& out) {
  out += R"({"k":)";
  out += json(precondition.first).dump();
  out += R"(,"stamp":)";
  out += std::to_string(precondition.second);
  out += '}';
}

void append_op(const Transaction::Op& op, std::string& out) {
  out += op.value ? R"({"set":)" : R"({"drop":)";
  out += json(op.key).dump();
  if (op.value) {
    // The value is JSON text already.
    out += R"(,"value":)";
    out += *op.value;
    if (op.lease) {
      out += R"(,"block":)";
      out += std::to_string(op.lease);
    }
  }
  out += '}';
}

/// Parses the body and applies `f` to it and to a function that makes a value of a part of the
/// body. The parsed body lives as long as any such value.
template <class F>
auto decode_shared_body(std::string_view body, F f) {
  try {
    auto document = std::make_shared<const json>(parse(body));
    return f(*document, [&document](const json& part) {
      return StoredValue(std::shared_ptr<const json>(document, &part));
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
    event.value = share(required(j, "value"));
  } else {
    event.key = text(j, "drop");
  }
  event.mod_revision = whole(j, "stamp");
  return event;
}

}  // namespace

std::string encode_transaction(const Transaction& transaction) {
  // The values are JSON text already. Joining text avoids parsing them again, which would be slow.
  std::string out = R"({"guards":[)";
  const char* separator = "";
  for (const auto& precondition : transaction.preconditions) {
    out += separator;
    append_precondition(precondition, out);
    separator = ",";
  }
  out += R"(],"writes":[)";
  separator = "";
  for (const Transaction::Op& op : transaction.ops) {
    out += separator;
    append_op(op, out);
    separator = ",";
  }
  out += "]}";
  return out;
}

std::uint64_t decode_revision(std::string_view body) {
  return decode_body(body, [](const json& j) { return whole(j, "ledger"); });
}

std::vector<std::string> decode_failed(std::string_view body) {
  return decode_body(body, [](const json& j) {
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
  return decode_body(body, [](const json& j) { return whole(j, "block"); });
}

std::string watch_path(const std::string& prefix, std::uint64_t after, int block_ms) {
  return "/watch?starts=" + prefix + "&after=" + std::to_string(after) +
         "&block_ms=" + std::to_string(block_ms);
}

WatchAnswer decode_watch(std::string_view body) {
  return decode_shared_body(body, [](const json& j, auto share) {
    WatchAnswer out;
    out.revision = whole(j, "ledger");
    for (const json& event : list(j, "events")) out.events.push_back(event_from_json(event, share));
    return out;
  });
}

std::string keys_path(const std::string& prefix, const std::string& after) {
  // 1,000 keys (and 512 KiB) are the largest page that the protocol allows. The caller reads pages
  // until none follows.
  return "/kv?starts=" + prefix + "&limit=1000" + (after.empty() ? "" : "&after=" + after);
}

KeyPage decode_keys(std::string_view body) {
  return decode_shared_body(body, [](const json& j, auto share) {
    KeyPage out;
    out.revision = whole(j, "ledger");
    out.more = flag_or_false(j, "has_next");
    for (const json& entry : list(j, "entries"))
      out.items.push_back(
          {text(entry, "k"), share(required(entry, "value")), whole(entry, "stamp")});
    check_page(out.more, out.items.empty());
    return out;
  });
}

Event decode_key(std::string_view body) {
  return decode_shared_body(body, [](const json& j, auto share) {
    return Event{text(j, "k"), share(required(j, "value")), whole(j, "stamp")};
  });
}

}  // namespace shunttrail::wire
