#include "wire/worker_codec.h"

#include <iterator>
#include <map>

#include "wire/fields.h"

namespace shunttrail::wire {
namespace {

/// Minimum of the seconds until the cloud takes the machine back; negative if that time has passed.
constexpr double kMinNoticeS = -1e9;

TaskState parse_task_state(const std::string& name) {
  for (std::size_t i = 0; i < std::size(kTaskStateNames); ++i)
    if (name == kTaskStateNames[i]) return static_cast<TaskState>(i);
  // A worker of a later version may report a state that is unknown here. The task is still on the
  // machine, so it counts as running.
  return TaskState::running;
}

ExitReason parse_exit_reason(const std::string& name) {
  static const std::map<std::string, ExitReason> kReasons = {
      {"done", ExitReason::done},          {"stopped", ExitReason::stopped},
      {"error", ExitReason::error},        {"full", ExitReason::no_room},
      {"in_use", ExitReason::busy},        {"unknown", ExitReason::unknown},
      {"mates_gone", ExitReason::stopped}, {"alone", ExitReason::stopped}};
  const auto it = kReasons.find(name);
  return it == kReasons.end() ? ExitReason::error : it->second;
}

TaskStatus task_status_from_json(const json& j) {
  TaskStatus status;
  status.task = task_id(text(j, "car"));
  status.attempt = whole(j, "departure");
  status.state = parse_task_state(text(j, "signal"));
  if (status.state == TaskState::exited) {
    status.exit_reason = parse_exit_reason(text_or(j, "stop_cause", "error"));
    status.checkpointed = flag_or_false(j, "kept");
  }
  return status;
}

Heartbeat heartbeat_from_json(const json& j) {
  Heartbeat heartbeat;
  heartbeat.machine = text(j, "engine");
  heartbeat.addr = text(j, "address");
  heartbeat.type = text(j, "stock");
  heartbeat.zone = text(j, "yard");
  heartbeat.spot = flag(j, "borrowed_stock");
  heartbeat.incarnation = whole(j, "shift");
  heartbeat.sequence = whole(j, "waybill");
  heartbeat.token = whole(j, "staff");
  if (const json* notice = find(j, "recall_s"))
    heartbeat.notice_s = as_number(*notice, "recall_s", kMinNoticeS);
  if (find(j, "cars"))
    for (const json& task : list(j, "cars")) heartbeat.tasks.push_back(task_status_from_json(task));
  return heartbeat;
}

json command_to_json(const Command& command) {
  json j = {{"car", task_name(command.task)}, {"departure", command.attempt}};
  switch (command.op) {
    case Command::Op::start:
      j["order"] = "start";
      break;
    case Command::Op::stop:
      j["order"] = "halt";
      j["brake_s"] = command.grace_s;
      break;
    case Command::Op::acknowledge:
      j["order"] = "reap";
      break;
  }
  return j;
}

json commands_to_json(const std::vector<Command>& commands) {
  json out = json::array();
  for (const Command& command : commands) out.push_back(command_to_json(command));
  return out;
}

}  // namespace

Heartbeat decode_heartbeat(std::string_view body) { return decode_body(body, heartbeat_from_json); }

std::string encode_heartbeat_response(std::uint64_t token, const std::vector<Command>& commands) {
  return json{{"staff", token}, {"orders", commands_to_json(commands)}}.dump();
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<Command>& commands) {
  return json{{"staff", token}, {"shift", incarnation}, {"orders", commands_to_json(commands)}}
      .dump();
}

std::string encode_redirect(const std::string& node) {
  return node.empty() ? "{}" : json{{"dispatcher", node}}.dump();
}

}  // namespace shunttrail::wire
