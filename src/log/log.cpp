#include "log/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>

#include "actor/loop.h"

namespace shunttrail::log {
namespace {

// Returns the name of the program, which is one for the whole process.
std::string& program_name() {
  static std::string name;
  return name;
}

spdlog::level::level_enum level_from_environment() {
  const char* value = std::getenv("LOG_LEVEL");
  const std::string name = value ? value : "info";
  if (name == "debug") return spdlog::level::debug;
  return name == "error" ? spdlog::level::err : spdlog::level::info;
}

}  // namespace

void open(const char* program) {
  program_name() = program;
  spdlog::set_default_logger(spdlog::stderr_logger_st(program));
  spdlog::set_pattern("%v");
  spdlog::set_level(level_from_environment());
}

void write(spdlog::level::level_enum level, const char* message, nlohmann::json fields) {
  if (!spdlog::should_log(level)) return;
  fields["at"] = actor::wall_now();
  fields["level"] = spdlog::level::to_string_view(level).data();
  fields["program"] = program_name();
  fields["what"] = message;
  spdlog::log(level, "{}", fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace shunttrail::log
