/// @file
/// Strict readers of JSON fields, shared by all codecs and included by codecs only. A reader
/// reports an invalid field by throwing Malformed, which names the field, and throws nothing else.
#pragma once
#include <array>
#include <cmath>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "wire/types.h"
#include "wire/user_codec.h"

namespace shunttrail::wire {

using nlohmann::json;

/// Maximum nesting depth of a body. Without a limit, a body of opening brackets alone would exhaust
/// the parser's stack.
inline constexpr int kMaxNesting = 64;
/// Maximum length of a string field, in bytes.
inline constexpr std::size_t kMaxTextBytes = 256;
/// Default maximum of a number field.
inline constexpr double kMaxNumber = 1e9;
/// Maximum time of day in a record, in seconds since 1970.
inline constexpr double kMaxTimeOfDayS = 1e12;
/// Maximum number of tasks in a job, and maximum task index in a record.
inline constexpr std::uint32_t kMaxTasks = 100000;

/// Throws Malformed if brackets outside strings are nested deeper than kMaxNesting.
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

/// Throws Malformed unless `j` is an object.
inline void check_object(const json& j) {
  if (!j.is_object()) throw Malformed::not_json("not an object");
}

/// Parses a body. Throws Malformed unless it is a JSON object.
inline json parse(std::string_view text) {
  check_nesting(text);
  json j = json::parse(text, nullptr, false);
  if (j.is_discarded()) throw Malformed::not_json("not JSON");
  check_object(j);
  return j;
}

/// Returns the field, or nullptr if it is absent or null.
inline const json* find(const json& j, const char* name) {
  check_object(j);
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}
/// Returns the field. Throws Malformed if it is absent or null.
inline const json& required(const json& j, const char* name) {
  const json* v = find(j, name);
  if (!v) throw Malformed::missing(name);
  return *v;
}

/// Reads a string of 1 to kMaxTextBytes bytes without control characters.
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
/// Reads a required string field, as as_text does.
inline std::string text(const json& j, const char* name) {
  return as_text(required(j, name), name);
}
/// Returns the field if it is a string, whatever its length and characters; otherwise `def`.
inline std::string text_or(const json& j, const char* name, std::string def) {
  const json* v = find(j, name);
  return v && v->is_string() ? v->get<std::string>() : def;
}

/// Reads a finite number from `min` to `max`, ends included.
inline double as_number(const json& v, const char* name, double min, double max = kMaxNumber) {
  if (!v.is_number()) throw Malformed::wrong_type(name, "a number");
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < min || d > max)
    throw Malformed::out_of_range(name, std::to_string(min) + " to " + std::to_string(max));
  return d;
}
/// Reads a required number field from `min` to kMaxNumber.
inline double number(const json& j, const char* name, double min) {
  return as_number(required(j, name), name, min);
}

/// Reads a whole number from 0 to the largest 64-bit value.
inline std::uint64_t as_whole(const json& v, const char* name) {
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  throw Malformed::wrong_type(name, "a count");
}
/// Reads a required field as as_whole does.
inline std::uint64_t whole(const json& j, const char* name) {
  return as_whole(required(j, name), name);
}

/// Reads a required boolean field.
inline bool flag(const json& j, const char* name) {
  const json& v = required(j, name);
  if (!v.is_boolean()) throw Malformed::wrong_type(name, "true or false");
  return v.get<bool>();
}
/// Returns true if the field is present and is the boolean true.
inline bool flag_or_false(const json& j, const char* name) {
  const json* v = find(j, name);
  return v && v->is_boolean() && v->get<bool>();
}

/// Returns a required array field.
inline const json& list(const json& j, const char* name) {
  const json& v = required(j, name);
  if (!v.is_array()) throw Malformed::wrong_type(name, "a list");
  return v;
}
/// Reads an array of strings, each as as_text does.
inline std::vector<std::string> texts(const json& array, const char* name) {
  std::vector<std::string> out;
  for (const json& v : array) out.push_back(as_text(v, name));
  return out;
}

/// Throws Malformed if a page says that another one follows but is empty. Its reader could not ask
/// for the next page, and would take everything on it for deleted.
inline void check_page(bool has_next, bool is_empty) {
  if (has_next && is_empty)
    throw Malformed::bad_value("has_next", "is true on an empty page", "false");
}

/// Returns a task's name on the wire: the job's id, a slash, and the task's index in the job.
inline std::string task_name(const TaskId& t) { return t.job + "/" + std::to_string(t.index); }
/// Reads a task's name as task_name writes it.
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

/// Wire names of task states, indexed by TaskState.
inline constexpr std::array<const char*, 4> kTaskStateNames = {"pulling", "running", "flushing",
                                                               "exited"};

/// Parses the body and applies `f` to it. Converts exceptions of the JSON library to Malformed.
template <class F>
auto decode_body(std::string_view body, F f) {
  try {
    return f(parse(body));
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}

/// Applies `f` to a stored value. Converts exceptions of the JSON library to Malformed.
template <class F>
auto decode_value(const StoredValue& value, F f) {
  const std::shared_ptr<const json> parsed = value.parsed();
  try {
    check_object(*parsed);
    return f(*parsed);
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}

/// Applies `f` to an event's value. Throws Malformed if the event is a deletion.
template <class F>
auto decode_event_value(const Event& event, F f) {
  if (!event.value) throw Malformed::not_json("a deletion has no value");
  return decode_value(*event.value, f);
}

}  // namespace shunttrail::wire
