#include "client_protocol/client_protocol.h"

#include "wire/fields.h"

namespace shunttrail::client_protocol {

using namespace wire;

namespace {
const char* why_name(ExitReason w) {
  switch (w) {
    case ExitReason::done:
      return "done";
    case ExitReason::stopped:
      return "stopped";
    case ExitReason::no_room:
      return "full";
    case ExitReason::busy:
      return "in_use";
    case ExitReason::unknown:
      return "unknown";
    default:
      return "error";
  }
}

Command command_of(const json& j) {
  Command c;
  std::string op = text(j, "order");
  if (op == "start") {
    c.op = Command::Op::start;
  } else if (op == "halt") {
    c.op = Command::Op::stop;
    if (const json* g = find(j, "brake_s")) c.grace_s = as_number(*g, "brake_s", 0);
  } else if (op == "reap") {
    c.op = Command::Op::acknowledge;
  } else {
    throw Malformed("order " + op + " is unknown");
  }
  c.task = task_id(text(j, "car"));
  c.attempt = whole(j, "departure");
  return c;
}
}  // namespace

std::string encode_heartbeat(const Heartbeat& r) {
  json cars = json::array();
  for (const TaskStatus& t : r.tasks) {
    json c = {{"car", task_name(t.task)},
              {"departure", t.attempt},
              {"signal", kTaskStateNames[static_cast<int>(t.state)]}};
    if (t.state == TaskState::exited) {
      c["stop_cause"] = why_name(t.exit_reason);
      if (t.exit_reason == ExitReason::stopped) c["kept"] = t.checkpointed;
    }
    cars.push_back(std::move(c));
  }
  json j = {{"engine", r.machine},    {"address", r.addr},        {"stock", r.type},
            {"yard", r.zone},         {"borrowed_stock", r.spot}, {"shift", r.incarnation},
            {"waybill", r.sequence},  {"staff", r.token},         {"recall_s", nullptr},
            {"cars", std::move(cars)}};
  if (r.notice_s) j["recall_s"] = *r.notice_s;
  return j.dump();
}

HeartbeatResponse decode_heartbeat_response(std::string_view body) {
  return guarded(body, [](const json& j) {
    HeartbeatResponse o;
    if (const json* v = find(j, "staff")) o.token = as_whole(*v, "staff");
    if (const json* v = find(j, "shift")) o.session = as_whole(*v, "shift");
    if (const json* v = find(j, "orders")) {
      if (!v->is_array()) throw Malformed("orders is not a list");
      for (std::size_t i = 0; i < v->size(); ++i) {
        try {
          o.commands.push_back(command_of((*v)[i]));
        } catch (const Malformed& e) {
          o.refused.push_back("orders[" + std::to_string(i) + "]: " + e.what());
        }
      }
    }
    return o;
  });
}

std::string redirect_of(std::string_view body) {
  try {
    return guarded(body, [](const json& j) { return text_or(j, "dispatcher", ""); });
  } catch (const Malformed&) {
    return {};
  }
}

JobAnswer decode_job_state(std::string_view body) {
  return guarded(body, [](const json& j) {
    JobAnswer a;
    a.id = text(j, "uid");
    std::string s = text(j, "signal");
    int k = 0;
    while (k < 4 && s != state_name(static_cast<JobState>(k))) ++k;
    if (k == 4) throw Malformed("signal is unknown");
    a.state = static_cast<JobState>(k);
    if (const json* v = find(j, "done")) a.done = as_whole(*v, "done");
    if (const json* v = find(j, "running")) a.running = as_whole(*v, "running");
    return a;
  });
}

std::string encode_types(const std::vector<MachineType>& types) {
  json l = json::array();
  for (const auto& t : types)
    l.push_back({{"name", t.name},
                 {"vcpus", t.cpus},
                 {"cards", t.gpus},
                 {"mem_gb", t.mem_gb},
                 {"local_gb", t.cache_gb},
                 {"hourly", t.price},
                 {"market_price", t.spot_price},
                 {"startup_s", t.boot_s},
                 {"yards", t.zones}});
  return json{{"stock_types", std::move(l)}}.dump();
}
RentRequest decode_rent(std::string_view body) {
  return guarded(body, [](const json& j) {
    RentRequest r{text(j, "charter"), text(j, "stock"), text(j, "yard"), flag(j, "borrowed_stock"),
                  0};
    std::uint64_t n = whole(j, "count");
    if (n < 1 || n > 50) throw Malformed("count is out of range");
    r.count = static_cast<int>(n);
    return r;
  });
}
std::string encode_rented(const std::vector<std::string>& machines) {
  return json{{"engines", machines}}.dump();
}
std::string encode_machines(const MachineList& list) {
  json l = json::array();
  for (const auto& m : list.machines)
    l.push_back({{"uid", m.name},
                 {"address", m.addr},
                 {"stock", m.type},
                 {"yard", m.zone},
                 {"borrowed_stock", m.spot},
                 {"signal", m.state},
                 {"held_s", m.age_s}});
  return json{{"engines", std::move(l)}, {"has_next", list.more}}.dump();
}
std::vector<std::string> decode_delete(std::string_view body) {
  auto names = decode_rented(body);
  if (names.size() > 100) throw Malformed("engines names too many");
  return names;
}

Transaction decode_transaction(std::string_view body) {
  return guarded(body, [](const json& j) {
    auto key = [](const json& v, const char* name) {
      std::string k = as_text(v, name);
      if (k.size() > 200 || k.find(' ') != std::string::npos)
        throw Malformed(std::string(name) + " is not a key");
      return k;
    };
    Transaction t;
    if (const json* v = find(j, "guards")) {
      if (!v->is_array()) throw Malformed("guards is not a list");
      for (const json& g : *v)
        t.preconditions.emplace_back(key(need(g, "k"), "k"), whole(g, "stamp"));
    }
    if (const json* v = find(j, "writes")) {
      if (!v->is_array()) throw Malformed("writes is not a list");
      for (const json& w : *v) {
        Transaction::Op op;
        if (const json* k = find(w, "set")) {
          op.key = key(*k, "set");
          auto value = w.find("value");
          if (value == w.end()) throw Malformed("value is missing");
          op.value = value->dump();
          if (const json* b = find(w, "block")) op.lease = as_whole(*b, "block");
        } else {
          op.key = key(need(w, "drop"), "drop");
        }
        t.ops.push_back(std::move(op));
      }
    }
    return t;
  });
}
std::uint64_t decode_life_ms(std::string_view body) {
  return guarded(body, [](const json& j) {
    std::uint64_t ms = whole(j, "life_ms");
    if (ms < 100 || ms > 600000) throw Malformed("life_ms is out of range");
    return ms;
  });
}
std::string encode_entry(const std::string& key, const std::string& value,
                         std::uint64_t mod_revision, std::uint64_t lease) {
  std::string s = "{\"k\":" + json(key).dump() + ",\"value\":" + value +
                  ",\"stamp\":" + std::to_string(mod_revision);
  if (lease) s += ",\"block\":" + std::to_string(lease);
  return s + "}";
}
std::string encode_watch(std::uint64_t revision, const std::vector<Event>& events) {
  std::string s = "{\"ledger\":" + std::to_string(revision) + ",\"events\":[";
  for (std::size_t i = 0; i < events.size(); ++i) {
    const Event& e = events[i];
    if (i) s += ',';
    s += e.value ? "{\"set\":" + json(e.key).dump() + ",\"value\":" + *e.value
                 : "{\"drop\":" + json(e.key).dump();
    s += ",\"stamp\":" + std::to_string(e.mod_revision) + "}";
  }
  return s + "]}";
}
std::string encode_page(const std::vector<std::string>& entries, bool more,
                        std::uint64_t revision) {
  std::string s = "{\"entries\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (i) s += ',';
    s += entries[i];
  }
  return s + "],\"has_next\":" + (more ? "true" : "false") +
         ",\"ledger\":" + std::to_string(revision) + "}";
}
std::string encode_failed(const std::vector<std::string>& keys, std::uint64_t revision) {
  return json{{"failed", keys}, {"ledger", revision}}.dump();
}
std::string encode_revision(std::uint64_t revision) { return json{{"ledger", revision}}.dump(); }
std::string encode_lease(std::uint64_t lease) { return json{{"block", lease}}.dump(); }

}  // namespace shunttrail::client_protocol
