#include "client_protocol/client_protocol.h"

#include "wire/fields.h"

namespace shunttrail::client_protocol {

using namespace wire;

namespace {

// Limits that the cloud and the state service enforce (PROTOCOL).
constexpr std::uint64_t kMaxRented = 50;  // machines rented by one request
constexpr std::size_t kMaxDeleted = 100;  // machines deleted by one request
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::uint64_t kMinLeaseMs = 100, kMaxLeaseMs = 600000;

const char* exit_reason_name(ExitReason reason) {
  switch (reason) {
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

Command::Op parse_operation(const std::string& name) {
  if (name == "start") return Command::Op::start;
  if (name == "halt") return Command::Op::stop;
  if (name == "reap") return Command::Op::acknowledge;
  throw Malformed("order " + name + " is unknown");
}

Command decode_command(const json& fields) {
  Command command;
  command.op = parse_operation(text(fields, "order"));
  if (command.op == Command::Op::stop)
    if (const json* grace = find(fields, "brake_s"))
      command.grace_s = as_number(*grace, "brake_s", 0);
  command.task = task_id(text(fields, "car"));
  command.attempt = whole(fields, "departure");
  return command;
}

json encode_task(const TaskStatus& task) {
  json fields = {{"car", task_name(task.task)},
                 {"departure", task.attempt},
                 {"signal", kTaskStateNames[static_cast<int>(task.state)]}};
  if (task.state != TaskState::exited) return fields;
  fields["stop_cause"] = exit_reason_name(task.exit_reason);
  if (task.exit_reason == ExitReason::stopped) fields["kept"] = task.checkpointed;
  return fields;
}

// Decodes each entry separately. An invalid entry is added to `refused`; the others are kept.
void decode_commands(const json& list, HeartbeatResponse& response) {
  if (!list.is_array()) throw Malformed("orders is not a list");
  for (std::size_t i = 0; i < list.size(); ++i) {
    try {
      response.commands.push_back(decode_command(list[i]));
    } catch (const Malformed& error) {
      response.refused.push_back("orders[" + std::to_string(i) + "]: " + error.what());
    }
  }
}

JobState parse_job_state(const std::string& name) {
  for (JobState state : {JobState::queued, JobState::running, JobState::done, JobState::cancelled})
    if (name == state_name(state)) return state;
  throw Malformed("signal is unknown");
}

std::string decode_state_key(const json& value, const char* field) {
  std::string key = as_text(value, field);
  if (key.size() > kMaxKeyBytes || key.find(' ') != std::string::npos)
    throw Malformed(std::string(field) + " is not a key");
  return key;
}

Transaction::Op decode_write(const json& write) {
  Transaction::Op operation;
  const json* key = find(write, "set");
  if (!key) {
    operation.key = decode_state_key(required(write, "drop"), "drop");
    return operation;
  }
  operation.key = decode_state_key(*key, "set");
  const auto value = write.find("value");
  if (value == write.end()) throw Malformed("value is missing");
  operation.value = value->dump();
  if (const json* lease = find(write, "block")) operation.lease = as_whole(*lease, "block");
  return operation;
}

// Returns the array field of this name, or null if it is absent. Throws Malformed if it has another
// type.
const json* find_list(const json& fields, const char* name) {
  const json* list = find(fields, name);
  if (list && !list->is_array()) throw Malformed(std::string(name) + " is not a list");
  return list;
}

std::string join(const std::vector<std::string>& items) {
  std::string out;
  for (const std::string& item : items) out += (out.empty() ? "" : ",") + item;
  return out;
}

std::string encode_event(const Event& event) {
  const std::string key = json(event.key).dump();
  const std::string change =
      event.value ? "{\"set\":" + key + ",\"value\":" + event.value->text() : "{\"drop\":" + key;
  return change + ",\"stamp\":" + std::to_string(event.mod_revision) + "}";
}

}  // namespace

std::string encode_heartbeat(const Heartbeat& heartbeat) {
  json tasks = json::array();
  for (const TaskStatus& task : heartbeat.tasks) tasks.push_back(encode_task(task));
  json fields = {{"engine", heartbeat.machine},
                 {"address", heartbeat.addr},
                 {"stock", heartbeat.type},
                 {"yard", heartbeat.zone},
                 {"borrowed_stock", heartbeat.spot},
                 {"shift", heartbeat.incarnation},
                 {"waybill", heartbeat.sequence},
                 {"staff", heartbeat.token},
                 {"recall_s", nullptr},
                 {"cars", std::move(tasks)}};
  if (heartbeat.notice_s) fields["recall_s"] = *heartbeat.notice_s;
  return fields.dump();
}

HeartbeatResponse decode_heartbeat_response(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    HeartbeatResponse response;
    if (const json* token = find(fields, "staff")) response.token = as_whole(*token, "staff");
    if (const json* incarnation = find(fields, "shift"))
      response.incarnation = as_whole(*incarnation, "shift");
    if (const json* commands = find(fields, "orders")) decode_commands(*commands, response);
    return response;
  });
}

std::string redirect_of(std::string_view body) {
  try {
    return decode_body(body, [](const json& fields) { return text_or(fields, "dispatcher", ""); });
  } catch (const Malformed&) {
    return {};
  }
}

JobAnswer decode_job_state(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    JobAnswer answer;
    answer.id = text(fields, "uid");
    answer.state = parse_job_state(text(fields, "signal"));
    if (const json* done = find(fields, "done")) answer.done = as_whole(*done, "done");
    if (const json* running = find(fields, "running"))
      answer.running = as_whole(*running, "running");
    return answer;
  });
}

std::string encode_types(const std::vector<MachineType>& types) {
  json list = json::array();
  for (const MachineType& type : types)
    list.push_back({{"name", type.name},
                    {"vcpus", type.cpus},
                    {"cards", type.gpus},
                    {"mem_gb", type.mem_gb},
                    {"local_gb", type.cache_gb},
                    {"hourly", type.price},
                    {"market_price", type.spot_price},
                    {"startup_s", type.boot_s},
                    {"yards", type.zones}});
  return json{{"stock_types", std::move(list)}}.dump();
}

RentRequest decode_rent(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    RentRequest request{text(fields, "charter"), text(fields, "stock"), text(fields, "yard"),
                        flag(fields, "borrowed_stock"), 0};
    const std::uint64_t count = whole(fields, "count");
    if (count < 1 || count > kMaxRented) throw Malformed("count is out of range");
    request.count = static_cast<int>(count);
    return request;
  });
}

std::string encode_rented(const std::vector<std::string>& machines) {
  return json{{"engines", machines}}.dump();
}

std::string encode_machines(const MachineList& list) {
  json machines = json::array();
  for (const ListedMachine& machine : list.machines)
    machines.push_back({{"uid", machine.name},
                        {"address", machine.addr},
                        {"stock", machine.type},
                        {"yard", machine.zone},
                        {"borrowed_stock", machine.spot},
                        {"signal", machine.state},
                        {"held_s", machine.age_s}});
  return json{{"engines", std::move(machines)}, {"has_next", list.more}}.dump();
}

std::vector<std::string> decode_delete(std::string_view body) {
  auto names = decode_rented(body);
  if (names.size() > kMaxDeleted) throw Malformed("engines names too many");
  return names;
}

Transaction decode_transaction(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    Transaction transaction;
    if (const json* guards = find_list(fields, "guards"))
      for (const json& guard : *guards)
        transaction.preconditions.emplace_back(decode_state_key(required(guard, "k"), "k"),
                                               whole(guard, "stamp"));
    if (const json* writes = find_list(fields, "writes"))
      for (const json& write : *writes) transaction.ops.push_back(decode_write(write));
    return transaction;
  });
}

std::uint64_t decode_life_ms(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    const std::uint64_t life_ms = whole(fields, "life_ms");
    if (life_ms < kMinLeaseMs || life_ms > kMaxLeaseMs) throw Malformed("life_ms is out of range");
    return life_ms;
  });
}

std::string encode_entry(const std::string& key, const std::string& value,
                         std::uint64_t mod_revision, std::uint64_t lease) {
  std::string entry = "{\"k\":" + json(key).dump() + ",\"value\":" + value +
                      ",\"stamp\":" + std::to_string(mod_revision);
  if (lease) entry += ",\"block\":" + std::to_string(lease);
  return entry + "}";
}

std::string encode_watch(std::uint64_t revision, const std::vector<Event>& events) {
  std::vector<std::string> encoded;
  for (const Event& event : events) encoded.push_back(encode_event(event));
  return "{\"ledger\":" + std::to_string(revision) + ",\"events\":[" + join(encoded) + "]}";
}

std::string encode_page(const std::vector<std::string>& entries, bool more,
                        std::uint64_t revision) {
  return "{\"entries\":[" + join(entries) + "],\"has_next\":" + (more ? "true" : "false") +
         ",\"ledger\":" + std::to_string(revision) + "}";
}

std::string encode_failed(const std::vector<std::string>& keys, std::uint64_t revision) {
  return json{{"failed", keys}, {"ledger", revision}}.dump();
}

std::string encode_revision(std::uint64_t revision) { return json{{"ledger", revision}}.dump(); }

std::string encode_lease(std::uint64_t lease) { return json{{"block", lease}}.dump(); }

}  // namespace shunttrail::client_protocol
