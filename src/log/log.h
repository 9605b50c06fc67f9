// Structured logs of this project's programs: one JSON object per line on standard error.
#pragma once
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace shunttrail::log {

/// Sets the program's name, which each line holds, and the level from LOG_LEVEL (error, info or
/// debug; `info` if it is not set). Must be called once, before the first line is written.
void open(const char* program);
/// Writes a line with the fields and with `at` (wall clock time, for readers only; no decision
/// depends on it), `level`, `program` and `what`, which is `message`.
void write(spdlog::level::level_enum level, const char* message, nlohmann::json fields);

inline void error(const char* message, nlohmann::json fields = nlohmann::json::object()) {
  write(spdlog::level::err, message, std::move(fields));
}
inline void info(const char* message, nlohmann::json fields = nlohmann::json::object()) {
  write(spdlog::level::info, message, std::move(fields));
}
inline void debug(const char* message, nlohmann::json fields = nlohmann::json::object()) {
  write(spdlog::level::debug, message, std::move(fields));
}

}  // namespace shunttrail::log
