// Structured logs of the product's own programs: one JSON object a line on standard error.
#pragma once
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace shunttrail::log {

/// Names the program in each line, and sets the level from LOG_LEVEL (error, info or debug; `info`
/// if it is not set). Called once, before the first line.
void open(const char* program);
/// Writes a line: the fields, and `at` (wall clock, for people; nothing is decided by it), `level`,
/// `program` and `what`.
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
