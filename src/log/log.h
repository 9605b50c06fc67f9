// Structured logs of the product's own programs: one JSON object a line on standard error.
#pragma once
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace shunttrail::log {

// Sets the level from LOG_LEVEL (error, info or debug; `info` if it is not set) and the form.
void open(const char* program);
// Times are wall clock, for people; nothing is decided by them.
void write(spdlog::level::level_enum level, const char* what, nlohmann::json fields);

inline void error(const char* what, nlohmann::json f = nlohmann::json::object()) {
  write(spdlog::level::err, what, std::move(f));
}
inline void info(const char* what, nlohmann::json f = nlohmann::json::object()) {
  write(spdlog::level::info, what, std::move(f));
}
inline void debug(const char* what, nlohmann::json f = nlohmann::json::object()) {
  write(spdlog::level::debug, what, std::move(f));
}

}  // namespace shunttrail::log
