#include "agent/task_files.h"

#include <algorithm>

#include "artifacts/store.h"
#include "wire/fields.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
using wire::json;
namespace {

constexpr std::string_view kCheckpointPrefix = "kept-";
constexpr std::size_t kMaxCheckpointName =
    20;  // longest name whose number is sure to fit into 64 bits

void require_format(const json& fields, int known) {
  if (wire::whole(fields, "format") != static_cast<std::uint64_t>(known))
    throw wire::Malformed("format is not " + std::to_string(known));
}

// Returns the number in a checkpoint's directory name, or 0 if the name is not a checkpoint's.
std::uint64_t checkpoint_number(const std::string& name) {
  if (!name.starts_with(kCheckpointPrefix) || name.size() > kMaxCheckpointName) return 0;
  const std::string digits = name.substr(kCheckpointPrefix.size());
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos) return 0;
  return std::stoull(digits);
}

wire::ExitReason parse_exit_reason(const std::string& name) {
  if (name == "done") return wire::ExitReason::done;
  if (name == "stopped") return wire::ExitReason::stopped;
  return wire::ExitReason::error;
}

}  // namespace

fs::path TaskDirectory::checkpoint(std::uint64_t number) const {
  return path / (std::string(kCheckpointPrefix) + std::to_string(number));
}

std::uint64_t TaskDirectory::highest_checkpoint() const {
  std::uint64_t highest = 0;
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(path, ignored))
    highest = std::max(highest, checkpoint_number(entry.path().filename()));
  return highest;
}

std::string encode(const LaunchOrder& order) {
  return json{{"format", LaunchOrder::kFormat},   {"task", order.task},
              {"attempt", order.attempt},         {"session", order.incarnation},
              {"command", order.command},         {"env", order.env},
              {"retry_exits", order.retry_exits}, {"limit_s", order.limit_s},
              {"file_bytes", order.file_bytes},   {"memory_bytes", order.memory_bytes}}
      .dump();
}

LaunchOrder decode_order(const std::string& text) {
  return wire::decode_body(text, [](const json& fields) {
    require_format(fields, LaunchOrder::kFormat);
    LaunchOrder order;
    order.task = wire::text(fields, "task");
    order.attempt = wire::whole(fields, "attempt");
    order.incarnation = wire::whole(fields, "session");
    order.command = wire::required(fields, "command").get<std::vector<std::string>>();
    order.env = wire::required(fields, "env").get<std::map<std::string, std::string>>();
    order.retry_exits = wire::required(fields, "retry_exits").get<std::vector<int>>();
    order.limit_s = wire::number(fields, "limit_s", 0);
    order.file_bytes = wire::whole(fields, "file_bytes");
    order.memory_bytes = wire::whole(fields, "memory_bytes");
    if (order.command.empty()) throw wire::Malformed("command is empty");
    return order;
  });
}

std::string encode(const StopOrder& order) {
  return json{{"save", order.save}, {"grace_s", order.grace_s}}.dump();
}

StopOrder decode_stop(const std::string& text) {
  return wire::decode_body(text, [](const json& fields) {
    return StopOrder{wire::flag(fields, "save"), wire::number(fields, "grace_s", 0)};
  });
}

const char* exit_reason_name(wire::ExitReason reason) {
  if (reason == wire::ExitReason::done) return "done";
  if (reason == wire::ExitReason::stopped) return "stopped";
  return "error";
}

std::string encode(const TaskEnd& end) {
  return json{{"format", TaskEnd::kFormat},
              {"why", exit_reason_name(end.exit_reason)},
              {"exit", end.exit_status},
              {"reason", end.detail},
              {"kept", end.highest_checkpoint},
              {"saved", end.saved_after_stop},
              {"ran_s", end.ran_s}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

TaskEnd decode_end(const std::string& text) {
  return wire::decode_body(text, [](const json& fields) {
    require_format(fields, TaskEnd::kFormat);
    TaskEnd end;
    end.exit_reason = parse_exit_reason(wire::text(fields, "why"));
    end.exit_status = static_cast<int>(wire::whole(fields, "exit"));
    end.detail = wire::text_or(fields, "reason", "");
    end.highest_checkpoint = wire::whole(fields, "kept");
    end.saved_after_stop = wire::flag(fields, "saved");
    end.ran_s = wire::number(fields, "ran_s", 0);
    return end;
  });
}

std::string encode(const Identity& identity) {
  return json{{"pid", identity.pid}, {"start", identity.start}, {"boot", identity.boot}}.dump();
}

Identity read_identity(const fs::path& file) {
  const json fields = json::parse(artifacts::read_file_or_empty(file), nullptr, false);
  if (!fields.is_object()) return {};
  return {fields.value("pid", 0), fields.value("start", std::uint64_t{0}),
          fields.value("boot", "")};
}

}  // namespace shunttrail::agent
