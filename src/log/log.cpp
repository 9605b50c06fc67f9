#include "log/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>

#include "actor/loop.h"

namespace shunttrail::log {
namespace {
std::string& program_name() {
  static std::string name;
  return name;
}
}  // namespace

void open(const char* program) {
  program_name() = program;
  spdlog::set_default_logger(spdlog::stderr_logger_st(program));
  spdlog::set_pattern("%v");
  const char* level = std::getenv("LOG_LEVEL");
  std::string lv = level ? level : "info";
  spdlog::set_level(lv == "debug"   ? spdlog::level::debug
                    : lv == "error" ? spdlog::level::err
                                    : spdlog::level::info);
}

void write(spdlog::level::level_enum level, const char* what, nlohmann::json f) {
  if (!spdlog::should_log(level)) return;
  f["at"] = actor::wall_now();
  f["level"] = spdlog::level::to_string_view(level).data();
  f["program"] = program_name();
  f["what"] = what;
  spdlog::log(level, "{}", f.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace shunttrail::log
