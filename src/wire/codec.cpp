#include "wire/codec.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <unordered_map>

#include "wire/fields.h"

namespace shunttrail::wire {
namespace {

const char* const kPriorityNames[] = {"critical", "high", "standard", "idle"};

JobSpec job_of(const json& j) {
  JobSpec s;
  s.id = text(j, "uid");
  if (!valid_job_id(s.id)) throw Malformed("uid is not a job id");
  s.job_class = text(j, "consist");
  s.team = text(j, "crew");
  std::string kind = text(j, "haul");
  if (kind != "batch" && kind != "group" && kind != "service") throw Malformed("haul is unknown");
  s.service = kind == "service";
  s.gang = kind == "group";
  std::string prio = text(j, "precedence");
  int p = 0;
  while (p < kPriorities && prio != kPriorityNames[p]) ++p;
  if (p == kPriorities) throw Malformed("precedence is unknown");
  s.priority = static_cast<Priority>(p);
  std::uint64_t n = whole(j, "cars");
  if (n < 1 || n > 100000) throw Malformed("cars is out of range");
  s.tasks = static_cast<std::uint32_t>(n);
  s.cpus = number(j, "vcpus", 0);
  s.gpus = number(j, "cards", 0);
  s.mem_gb = number(j, "mem_gb", 0);
  s.image = text(j, "manifest");
  s.image_gb = number(j, "size_gb", 0);
  if (const json* v = find(j, "stock_types")) {
    if (!v->is_array() || v->size() > 1000) throw Malformed("stock_types is not a list");
    s.types.emplace();
    for (const json& t : *v) s.types->push_back(as_text(t, "stock_types"));
  }
  if (const json* v = find(j, "yard")) s.zone = as_text(*v, "yard");
  s.same_zone = flag(j, "same_place");
  s.anti_affinity = flag(j, "scatter");
  s.spot = flag(j, "borrowed_stock");
  s.estimate_s = number(j, "run_s", 0);
  s.checkpoint_s = number(j, "milepost_s", 0);
  s.save_s = number(j, "couple_s", 0);
  if (const json* v = find(j, "due_s")) s.deadline_s = as_number(*v, "due_s", 0);
  if (const json* v = find(j, "awaits")) {
    if (!v->is_array()) throw Malformed("awaits is not a list");
    std::set<std::string> names;
    for (const json& a : *v) {
      std::string name = as_text(a, "awaits");
      if (!valid_job_id(name)) throw Malformed("awaits holds what is not a job id");
      names.insert(std::move(name));
      if (names.size() > kMaxDependencies) throw Malformed("awaits names too many jobs");
    }
    s.dependencies.assign(names.begin(), names.end());
  }
  return s;
}

json job_json(const JobSpec& s) {
  json j = {{"uid", s.id},
            {"consist", s.job_class},
            {"crew", s.team},
            {"haul", s.service ? "service"
                     : s.gang  ? "group"
                               : "batch"},
            {"precedence", kPriorityNames[static_cast<int>(s.priority)]},
            {"cars", s.tasks},
            {"vcpus", s.cpus},
            {"cards", s.gpus},
            {"mem_gb", s.mem_gb},
            {"manifest", s.image},
            {"size_gb", s.image_gb},
            {"same_place", s.same_zone},
            {"scatter", s.anti_affinity},
            {"borrowed_stock", s.spot},
            {"run_s", s.estimate_s},
            {"milepost_s", s.checkpoint_s},
            {"couple_s", s.save_s}};
  if (s.types) j["stock_types"] = *s.types;
  if (s.zone) j["yard"] = *s.zone;
  if (s.deadline_s) j["due_s"] = *s.deadline_s;
  return j;
}

std::string escape(const std::string& s) {
  static const char hex[] = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : s) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += hex[c >> 4];
      out += hex[c & 15];
    }
  }
  return out;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() < 5 || id.size() > 24 || id.substr(0, 4) != "run-") return false;
  return id.find_first_not_of("0123456789", 4) == std::string_view::npos;
}

JobSpec decode_job(std::string_view body) { return guarded(body, job_of); }
std::string job_id_of(std::string_view body) {
  try {
    std::string id = guarded(body, [](const json& j) { return text(j, "uid"); });
    return valid_job_id(id) ? id : "";
  } catch (const Malformed&) {
    return "";
  }
}
std::string encode_job(const JobSpec& s) {
  json j = job_json(s);
  if (!s.dependencies.empty()) j["awaits"] = s.dependencies;
  return j.dump();
}

const char* state_name(JobState s) {
  static const char* const names[] = {"queued", "running", "done", "cancelled"};
  return names[static_cast<int>(s)];
}

std::string encode_job_state(const std::string& id, JobState s, std::uint64_t done,
                             std::uint64_t running, bool counts) {
  json j = {{"uid", id}, {"signal", state_name(s)}};
  if (counts) {
    j["done"] = done;
    j["running"] = running;
  }
  return j.dump();
}

Heartbeat decode_heartbeat(std::string_view body) {
  return guarded(body, [](const json& j) {
    Heartbeat r;
    r.machine = text(j, "engine");
    r.addr = text(j, "address");
    r.type = text(j, "stock");
    r.zone = text(j, "yard");
    r.spot = flag(j, "borrowed_stock");
    r.incarnation = whole(j, "shift");
    r.sequence = whole(j, "waybill");
    r.token = whole(j, "staff");
    if (const json* v = find(j, "recall_s")) r.notice_s = as_number(*v, "recall_s", -1e9);
    if (const json* v = find(j, "cars")) {
      if (!v->is_array()) throw Malformed("cars is not a list");
      for (const json& c : *v) {
        TaskStatus t;
        t.task = task_id(text(c, "car"));
        t.attempt = whole(c, "departure");
        std::string s = text(c, "signal");
        int k = 0;
        while (k < 4 && s != kTaskStateNames[k]) ++k;
        // A state this version has no word for is a task that is there.
        t.state = k < 4 ? static_cast<TaskState>(k) : TaskState::running;
        if (t.state == TaskState::exited) {
          static const std::map<std::string, ExitReason> whys = {
              {"done", ExitReason::done},          {"stopped", ExitReason::stopped},
              {"error", ExitReason::error},        {"full", ExitReason::no_room},
              {"in_use", ExitReason::busy},        {"unknown", ExitReason::unknown},
              {"mates_gone", ExitReason::stopped}, {"alone", ExitReason::stopped}};
          auto it = whys.find(text_or(c, "stop_cause", "error"));
          t.exit_reason = it == whys.end() ? ExitReason::error : it->second;
          const json* kept = find(c, "kept");
          t.checkpointed = kept && kept->is_boolean() && kept->get<bool>();
        }
        r.tasks.push_back(std::move(t));
      }
    }
    return r;
  });
}

namespace {
json commands_json(const std::vector<Command>& commands) {
  json list = json::array();
  for (const Command& c : commands) {
    json o = {{"car", task_name(c.task)}, {"departure", c.attempt}};
    switch (c.op) {
      case Command::Op::start:
        o["order"] = "start";
        break;
      case Command::Op::stop:
        o["order"] = "halt";
        o["brake_s"] = c.grace_s;
        break;
      case Command::Op::acknowledge:
        o["order"] = "reap";
        break;
    }
    list.push_back(std::move(o));
  }
  return list;
}
}  // namespace

std::string encode_heartbeat_response(std::uint64_t token, const std::vector<Command>& commands) {
  return json{{"staff", token}, {"orders", commands_json(commands)}}.dump();
}
std::string encode_direct_commands(std::uint64_t token, std::uint64_t session,
                                   const std::vector<Command>& commands) {
  return json{{"staff", token}, {"shift", session}, {"orders", commands_json(commands)}}.dump();
}

std::string encode_redirect(const std::string& node) {
  return node.empty() ? "{}" : json{{"dispatcher", node}}.dump();
}

std::vector<MachineType> decode_types(std::string_view body) {
  return guarded(body, [](const json& j) {
    std::vector<MachineType> out;
    for (const json& t : list(j, "stock_types")) {
      MachineType m;
      m.name = text(t, "name");
      m.cpus = number(t, "vcpus", 0);
      m.gpus = number(t, "cards", 0);
      m.mem_gb = number(t, "mem_gb", 0);
      m.price = number(t, "hourly", 0);
      const json* spot = find(t, "market_price");
      m.spot_price = spot ? as_number(*spot, "market_price", 0) : m.price;
      m.boot_s = number(t, "startup_s", 0);
      if (const json* cache = find(t, "local_gb")) m.cache_gb = as_number(*cache, "local_gb", 0);
      for (const json& z : list(t, "yards")) m.zones.push_back(as_text(z, "yards"));
      out.push_back(std::move(m));
    }
    return out;
  });
}

std::string encode_rent(const std::string& request, const std::string& type,
                        const std::string& zone, bool spot, int count) {
  return json{{"charter", request},
              {"stock", type},
              {"yard", zone},
              {"borrowed_stock", spot},
              {"count", count}}
      .dump();
}
std::vector<std::string> decode_rented(std::string_view body) {
  return guarded(body, [](const json& j) {
    std::vector<std::string> out;
    for (const json& m : list(j, "engines")) out.push_back(as_text(m, "engines"));
    return out;
  });
}
std::string encode_delete(const std::vector<std::string>& machines) {
  return json{{"engines", machines}}.dump();
}
std::string machines_path(const std::string& after) {
  // As many as the protocol allows; 4,000 machines are 8 pages.
  return "/rentals?limit=500" + (after.empty() ? "" : "&after=" + escape(after));
}
MachineList decode_machines(std::string_view body) {
  return guarded(body, [](const json& j) {
    MachineList out;
    for (const json& m : list(j, "engines")) {
      ListedMachine l;
      l.name = text(m, "uid");
      l.addr = text_or(m, "address", "");
      l.type = text(m, "stock");
      l.zone = text(m, "yard");
      l.spot = flag(m, "borrowed_stock");
      l.state = text(m, "signal");
      l.age_s = number(m, "held_s", -1e9);
      out.machines.push_back(std::move(l));
    }
    out.more = flag(j, "has_next");
    return out;
  });
}

std::string encode_transaction(const Transaction& t) {
  // Values are JSON text already: they are joined, not parsed once more.
  std::string s = "{\"guards\":[";
  for (std::size_t i = 0; i < t.preconditions.size(); ++i) {
    if (i) s += ',';
    s += "{\"k\":" + json(t.preconditions[i].first).dump() +
         ",\"stamp\":" + std::to_string(t.preconditions[i].second) + "}";
  }
  s += "],\"writes\":[";
  for (std::size_t i = 0; i < t.ops.size(); ++i) {
    if (i) s += ',';
    const auto& o = t.ops[i];
    if (o.value) {
      s += "{\"set\":" + json(o.key).dump() + ",\"value\":" + *o.value;
      if (o.lease) s += ",\"block\":" + std::to_string(o.lease);
      s += "}";
    } else {
      s += "{\"drop\":" + json(o.key).dump() + "}";
    }
  }
  return s + "]}";
}
std::uint64_t decode_revision(std::string_view body) {
  return guarded(body, [](const json& j) { return whole(j, "ledger"); });
}
std::vector<std::string> decode_failed(std::string_view body) {
  return guarded(body, [](const json& j) {
    std::vector<std::string> out;
    if (const json* v = find(j, "failed"))
      for (const json& k : *v) out.push_back(as_text(k, "failed"));
    return out;
  });
}
bool lease_missing(std::string_view body) {
  return body.find("no such lease") != std::string_view::npos;
}
std::uint64_t decode_lease(std::string_view body) {
  return guarded(body, [](const json& j) { return whole(j, "block"); });
}
std::string encode_lease(double life_s) {
  return json{{"life_ms", static_cast<std::uint64_t>(life_s * 1000)}}.dump();
}
std::string watch_path(const std::string& prefix, std::uint64_t after, int block_ms) {
  return "/watch?starts=" + prefix + "&after=" + std::to_string(after) +
         "&block_ms=" + std::to_string(block_ms);
}
namespace {
// The answer is kept as long as its values are.
template <class F>
auto guarded_kept(std::string_view body, F f) {
  try {
    auto doc = std::make_shared<const json>(parse(body));
    return f(*doc, [&doc](const json& v) { return std::shared_ptr<const void>(doc, &v); });
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}
}  // namespace
WatchAnswer decode_watch(std::string_view body) {
  return guarded_kept(body, [](const json& j, auto keep) {
    WatchAnswer w;
    w.revision = whole(j, "ledger");
    for (const json& e : list(j, "events")) {
      Event ev;
      if (const json* k = find(e, "set")) {
        ev.key = as_text(*k, "set");
        ev.parsed = keep(need(e, "value"));
      } else {
        ev.key = text(e, "drop");
      }
      ev.mod_revision = whole(e, "stamp");
      w.events.push_back(std::move(ev));
    }
    return w;
  });
}
std::string keys_path(const std::string& prefix, const std::string& after) {
  // As many as the protocol allows (and 512 KiB): page follows page until there are no more.
  return "/kv?starts=" + prefix + "&limit=1000" + (after.empty() ? "" : "&after=" + after);
}
KeyPage decode_keys(std::string_view body) {
  return guarded_kept(body, [](const json& j, auto keep) {
    KeyPage p;
    p.revision = whole(j, "ledger");
    const json* more = find(j, "has_next");
    p.more = more && more->is_boolean() && more->get<bool>();
    for (const json& e : list(j, "entries"))
      p.items.push_back({text(e, "k"), std::nullopt, whole(e, "stamp"), keep(need(e, "value"))});
    return p;
  });
}
Event decode_key(std::string_view body) {
  return guarded(body, [](const json& j) {
    return Event{text(j, "k"), need(j, "value").dump(), whole(j, "stamp")};
  });
}

std::string encode_record(const JobRecord& r) {
  json j = job_json(r.spec);
  j["at"] = r.submitted_at;
  if (r.ready_at > 0) j["ready"] = r.ready_at;
  // What is awaited is kept without what all ids begin with: a value has little room.
  std::string needs;
  for (const auto& a : r.spec.dependencies) needs += (needs.empty() ? "" : " ") + a.substr(4);
  if (!needs.empty()) j["needs"] = needs;
  return j.dump();
}
JobRecord decode_job_record(const Event& e) {
  return of_value(e, [](const json& j) {
    JobRecord r{job_of(j), as_number(need(j, "at"), "at", 0, 1e12), 0};
    if (const json* v = find(j, "ready")) r.ready_at = as_number(*v, "ready", 0, 1e12);
    if (const json* v = find(j, "needs")) {
      if (!v->is_string()) throw Malformed("needs is not a string");
      std::istringstream in(v->get<std::string>());
      for (std::string n; in >> n;) {
        r.spec.dependencies.push_back("run-" + n);
        if (!valid_job_id(r.spec.dependencies.back())) throw Malformed("needs holds a bad id");
      }
    }
    return r;
  });
}

namespace {
// When machines were rented, in whole seconds after the first of them, in the order of their names;
// null where it is not known.
json ages_json(const InventoryPageRecord& r, const json& machines) {
  std::map<std::string, double> at;
  double base = 0;
  for (const auto& m : r.machines) {
    at[m.name] = m.rented_at;
    if (m.rented_at > 0 && (base == 0 || m.rented_at < base)) base = m.rented_at;
  }
  const auto first = static_cast<std::uint64_t>(base);
  json after = json::array();
  for (auto it = machines.begin(); it != machines.end(); ++it) {
    double t = at[it.key()];
    if (t > 0)
      after.push_back(static_cast<std::uint64_t>(t) - first);
    else
      after.push_back(nullptr);
  }
  return {first, std::move(after)};
}
}  // namespace

std::string encode_record(const InventoryPageRecord& r) {
  json machines = json::object();
  for (const auto& m : r.machines)
    machines[m.name] = json::array({m.type, m.zone, m.spot ? 1 : 0, m.shard, m.token});
  json out = {{"w", r.tag}};
  if (r.form >= 1) out["t"] = ages_json(r, machines);
  out["m"] = std::move(machines);
  return out.dump();
}
InventoryPageRecord decode_inventory_page(const Event& e) {
  return of_value(e, [](const json& j) {
    InventoryPageRecord r;
    r.tag = text_or(j, "w", "");
    const json& machines = need(j, "m");
    if (!machines.is_object()) throw Malformed("m is not an object");
    for (auto it = machines.begin(); it != machines.end(); ++it) {
      const json& l = it.value();
      if (!l.is_array() || l.size() != 5) throw Malformed("a machine is bad");
      auto shard = as_whole(l[3], "shard");
      if (shard > 1000) throw Malformed("a shard is out of range");
      r.machines.push_back({it.key(), as_text(l[0], "type"), as_text(l[1], "zone"),
                            as_whole(l[2], "spot") != 0, static_cast<int>(shard),
                            as_whole(l[4], "token")});
    }
    if (const json* t = find(j, "t")) {
      r.form = 1;
      if (!t->is_array() || t->size() != 2 || !(*t)[1].is_array() ||
          (*t)[1].size() != r.machines.size())
        throw Malformed("t is bad");
      const std::uint64_t first = as_whole((*t)[0], "t");
      for (std::size_t i = 0; i < r.machines.size(); ++i)
        if (const json& after = (*t)[1][i]; !after.is_null())
          r.machines[i].rented_at = static_cast<double>(first + as_whole(after, "t"));
    }
    return r;
  });
}

// Machines are named once and referred to by position; attempts are counted from the lowest.
std::string encode_record(const PlacementPageRecord& r, const TeamName& names) {
  std::uint64_t base = 0;
  bool any = false;
  for (const auto& g : r.jobs)
    for (const auto& p : g.placements) {
      base = any ? std::min(base, p.attempt) : p.attempt;
      any = true;
    }
  json machines = json::array(), jobs = json::object();
  std::unordered_map<std::string, std::size_t> position;
  for (const auto& g : r.jobs) {
    json places = json::array(), done = json::object();
    for (const auto& p : g.placements) {
      auto [it, fresh] = position.try_emplace(p.machine, position.size());
      if (fresh) machines.push_back(p.machine);
      places.push_back(it->second);
      places.push_back(p.task);
      places.push_back(p.attempt - base);
    }
    for (const auto& [chunk, list] : g.done) {
      json& l = done[std::to_string(chunk)] = json::array();
      for (auto [a, b] : list) {
        l.push_back(a);
        l.push_back(b);
      }
    }
    json& out = jobs[g.job] = {{"t", names(g.team)}, {"c", g.cpus}, {"g", g.gpus}, {"m", g.mem_gb}};
    if (!places.empty()) out["l"] = std::move(places);
    if (!done.empty()) out["d"] = std::move(done);
  }
  return json{{"w", r.tag}, {"b", base}, {"m", std::move(machines)}, {"j", std::move(jobs)}}.dump();
}
PlacementPageRecord decode_placement_page(const Event& e, const TeamIndex& index) {
  return of_value(e, [&](const json& j) {
    PlacementPageRecord r;
    r.tag = text_or(j, "w", "");
    std::uint64_t base = whole(j, "b");
    const json& machines = list(j, "m");
    const json& jobs = need(j, "j");
    if (!jobs.is_object()) throw Malformed("j is not an object");
    for (auto it = jobs.begin(); it != jobs.end(); ++it) {
      const json& g = it.value();
      JobPlacements out;
      out.job = it.key();
      out.team = index(text(g, "t"));
      out.cpus = number(g, "c", 0);
      out.gpus = number(g, "g", 0);
      out.mem_gb = number(g, "m", 0);
      if (const json* l = find(g, "l")) {
        if (!l->is_array() || l->size() % 3) throw Malformed("l is bad");
        for (std::size_t i = 0; i < l->size(); i += 3) {
          auto m = as_whole((*l)[i], "l");
          auto task = as_whole((*l)[i + 1], "l");
          if (m >= machines.size() || task > 100000) throw Malformed("a placement is bad");
          out.placements.push_back({as_text(machines[m], "m"), static_cast<std::uint32_t>(task),
                                    base + as_whole((*l)[i + 2], "l")});
        }
      }
      if (const json* d = find(g, "d")) {
        if (!d->is_object()) throw Malformed("d is not an object");
        for (auto c = d->begin(); c != d->end(); ++c) {
          Intervals done;
          const json& l = c.value();
          if (!l.is_array() || l.size() % 2) throw Malformed("an interval is bad");
          for (std::size_t i = 0; i < l.size(); i += 2) {
            auto a = as_whole(l[i], "d"), b = as_whole(l[i + 1], "d");
            if (a > b || b > 100000) throw Malformed("an interval is bad");
            done.emplace_back(static_cast<std::uint32_t>(a), static_cast<std::uint32_t>(b));
          }
          out.done.emplace_back(
              static_cast<std::uint32_t>(std::strtoul(c.key().c_str(), nullptr, 10)),
              std::move(done));
        }
      }
      r.jobs.push_back(std::move(out));
    }
    return r;
  });
}
std::string encode_record(const JobResultRecord& r) {
  json j = {
      {"s", r.cancelled ? "cancelled" : "done"}, {"n", r.tasks}, {"team", r.team}, {"w", r.tag}};
  if (r.service) j["svc"] = 1;
  return j.dump();
}
JobResultRecord cancelled_record(const JobSpec& s, const std::string& tag) {
  return {true, s.tasks, s.team, tag, s.service};
}
JobResultRecord decode_job_result(std::string_view body) {
  return guarded(body, [](const json& j) {
    JobResultRecord r;
    r.cancelled = text(j, "s") == "cancelled";
    r.tasks = static_cast<std::uint32_t>(whole(j, "n"));
    r.team = text_or(j, "team", "");
    r.tag = text_or(j, "w", "");
    r.service = find(j, "svc") != nullptr;
    return r;
  });
}
std::string encode_record(const LeaderRecord& r) {
  return json{{"node", r.node}, {"w", r.tag}}.dump();
}
LeaderRecord decode_leader_record(const Event& e) {
  return of_value(e, [](const json& j) {
    return LeaderRecord{text(j, "node"), text_or(j, "w", "")};
  });
}

Intervals intervals(const std::vector<bool>& bits) {
  Intervals l;
  for (std::size_t i = 0; i < bits.size(); ++i) {
    if (!bits[i]) continue;
    std::size_t e = i;
    while (e + 1 < bits.size() && bits[e + 1]) ++e;
    l.emplace_back(static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(e));
    i = e;
  }
  return l;
}

}  // namespace shunttrail::wire
