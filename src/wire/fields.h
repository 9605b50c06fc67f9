/// @file
/// Strict reading of JSON fields, shared by all codecs and included by codecs only. Every function
/// throws Malformed, which names the field, and nothing else.
#pragma once
#include <array>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "wire/types.h"
#include "wire/user_codec.h"

namespace shunttrail::wire {

using nlohmann::json;

/// A body of brackets alone must not exhaust the parser's stack.
inline constexpr int kMaxNesting = 64;
/// Of a string field, in bytes.
inline constexpr std::size_t kMaxTextBytes = 256;
/// The largest number that most fields accept.
inline constexpr double kMaxNumber = 1e9;
/// The largest time of day that a record may hold, in seconds.
inline constexpr double kMaxTimeOfDayS = 1e12;
/// The largest number of tasks in a job, and the largest task index in a record.
inline constexpr std::uint32_t kMaxTasks = 100000;

/// Throws if brackets outside strings are nested deeper than kMaxNesting.
inline void check_nesting(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  bool escaped = false;
  for (char c : text) {
    if (in_string) {
      if (escaped)
        escaped = false;
      else if (c == '\\')
        escaped = true;
      else if (c == '"')
        in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) throw Malformed::not_json("nested too deep");
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
}

/// Throws unless `j` is an object.
inline void check_object(const json& j) {
  if (!j.is_object()) throw Malformed::not_json("not an object");
}

/// Parses a body, which has to be a JSON object.
inline json parse(std::string_view text) {
  check_nesting(text);
  json j = json::parse(text, nullptr, false);
  if (j.is_discarded()) throw Malformed::not_json("not JSON");
  check_object(j);
  return j;
}

/// The field, or nullptr where it is absent or null.
inline const json* find(const json& j, const char* name) {
  check_object(j);
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}
/// A required field.
inline const json& required(const json& j, const char* name) {
  const json* v = find(j, name);
  if (!v) throw Malformed::missing(name);
  return *v;
}

/// A string of 1 to kMaxTextBytes bytes without control characters.
inline std::string as_text(const json& v, const char* name) {
  if (!v.is_string()) throw Malformed::wrong_type(name, "a string");
  const auto& s = v.get_ref<const std::string&>();
  if (s.empty() || s.size() > kMaxTextBytes)
    throw Malformed::bad_value(name, "has a bad length",
                               "1 to " + std::to_string(kMaxTextBytes) + " bytes");
  for (unsigned char c : s)
    if (c < 0x20)
      throw Malformed::bad_value(name, "holds a control character", "printable characters");
  return s;
}
/// A required string; see as_text.
inline std::string text(const json& j, const char* name) {
  return as_text(required(j, name), name);
}
/// Any string, or `def` where the field is absent or no string.
inline std::string text_or(const json& j, const char* name, std::string def) {
  const json* v = find(j, name);
  return v && v->is_string() ? v->get<std::string>() : def;
}

/// A finite number from `min` to `max`, ends included.
inline double as_number(const json& v, const char* name, double min, double max = kMaxNumber) {
  if (!v.is_number()) throw Malformed::wrong_type(name, "a number");
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < min || d > max)
    throw Malformed::out_of_range(name, std::to_string(min) + " to " + std::to_string(max));
  return d;
}
/// A required number of at least `min`.
inline double number(const json& j, const char* name, double min) {
  return as_number(required(j, name), name, min);
}

/// A whole number that is not negative.
inline std::uint64_t as_whole(const json& v, const char* name) {
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  throw Malformed::wrong_type(name, "a count");
}
/// A required whole number that is not negative.
inline std::uint64_t whole(const json& j, const char* name) {
  return as_whole(required(j, name), name);
}

/// A required boolean.
inline bool flag(const json& j, const char* name) {
  const json& v = required(j, name);
  if (!v.is_boolean()) throw Malformed::wrong_type(name, "true or false");
  return v.get<bool>();
}
/// Whether the field is there and true.
inline bool flag_or_false(const json& j, const char* name) {
  const json* v = find(j, name);
  return v && v->is_boolean() && v->get<bool>();
}

/// A required array.
inline const json& list(const json& j, const char* name) {
  const json& v = required(j, name);
  if (!v.is_array()) throw Malformed::wrong_type(name, "a list");
  return v;
}
/// An array of strings, each as as_text reads it.
inline std::vector<std::string> texts(const json& array, const char* name) {
  std::vector<std::string> out;
  for (const json& v : array) out.push_back(as_text(v, name));
  return out;
}

/// A task's name on the wire: the job's id, a slash, and the index in the job.
inline std::string task_name(const TaskId& t) { return t.job + "/" + std::to_string(t.index); }
/// Reads a task's name.
inline TaskId task_id(const std::string& name) {
  constexpr std::size_t kMaxIndexDigits = 6;
  constexpr const char* kExpected = "a job id, a slash and a task index";
  const auto slash = name.find('/');
  if (slash == std::string::npos)
    throw Malformed::bad_value("a task's name", "has no number", kExpected);
  const std::string job = name.substr(0, slash);
  const std::string index = name.substr(slash + 1);
  const bool is_index = !index.empty() && index.size() <= kMaxIndexDigits &&
                        index.find_first_not_of("0123456789") == std::string::npos;
  if (!valid_job_id(job) || !is_index)
    throw Malformed::bad_value("a task's name", "is bad", kExpected);
  return {job, static_cast<std::uint32_t>(std::stoul(index))};
}

/// The wire names of task states, by TaskState.
inline constexpr std::array<const char*, 4> kTaskStateNames = {"pulling", "running", "flushing",
                                                               "exited"};

/// Applies `f` to the parsed body, and turns whatever the JSON library throws into Malformed.
template <class F>
auto decode_body(std::string_view body, F f) {
  try {
    return f(parse(body));
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}

/// Applies `f` to an event's value, which is not parsed again where that has been done already.
template <class F>
auto decode_event_value(const Event& event, F f) {
  if (!event.parsed)
    return decode_body(event.value ? std::string_view{*event.value} : std::string_view{}, f);
  try {
    const json& value = *static_cast<const json*>(event.parsed.get());
    check_object(value);
    return f(value);
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}

}  // namespace shunttrail::wire
