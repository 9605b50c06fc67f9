// What all codecs share: strict reading of JSON fields. Everything here throws Malformed with the
// field's name, and nothing else. Included by codecs only.
#pragma once
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "wire/codec.h"

namespace shunttrail::wire {

using nlohmann::json;

inline json parse(std::string_view text) {
  // Depth is bounded here: a body of brackets alone must not exhaust the stack.
  int depth = 0;
  bool in_string = false, escaped = false;
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
      if (++depth > 64) throw Malformed("nested too deep");
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  json j = json::parse(text, nullptr, false);
  if (j.is_discarded()) throw Malformed("not JSON");
  if (!j.is_object()) throw Malformed("not an object");
  return j;
}

inline const json* find(const json& j, const char* name) {
  if (!j.is_object()) throw Malformed("not an object");
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}
inline const json& need(const json& j, const char* name) {
  const json* v = find(j, name);
  if (!v) throw Malformed(std::string(name) + " is missing");
  return *v;
}
inline std::string as_text(const json& v, const char* name) {
  if (!v.is_string()) throw Malformed(std::string(name) + " is not a string");
  const auto& s = v.get_ref<const std::string&>();
  if (s.empty() || s.size() > 256) throw Malformed(std::string(name) + " has a bad length");
  for (unsigned char c : s)
    if (c < 0x20) throw Malformed(std::string(name) + " holds a control character");
  return s;
}
inline std::string text(const json& j, const char* name) { return as_text(need(j, name), name); }
inline std::string text_or(const json& j, const char* name, std::string def) {
  const json* v = find(j, name);
  return v && v->is_string() ? v->get<std::string>() : def;
}
inline double as_number(const json& v, const char* name, double least, double most = 1e9) {
  if (!v.is_number()) throw Malformed(std::string(name) + " is not a number");
  double d = v.get<double>();
  if (!std::isfinite(d) || d < least || d > most)
    throw Malformed(std::string(name) + " is out of range");
  return d;
}
inline double number(const json& j, const char* name, double least) {
  return as_number(need(j, name), name, least);
}
inline std::uint64_t as_whole(const json& v, const char* name) {
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  throw Malformed(std::string(name) + " is not a count");
}
inline std::uint64_t whole(const json& j, const char* name) {
  return as_whole(need(j, name), name);
}
inline bool flag(const json& j, const char* name) {
  const json& v = need(j, name);
  if (!v.is_boolean()) throw Malformed(std::string(name) + " is not true or false");
  return v.get<bool>();
}
inline const json& list(const json& j, const char* name) {
  const json& v = need(j, name);
  if (!v.is_array()) throw Malformed(std::string(name) + " is not a list");
  return v;
}

inline std::string task_name(const TaskId& t) { return t.job + "/" + std::to_string(t.index); }
inline TaskId task_id(const std::string& s) {
  auto slash = s.find('/');
  if (slash == std::string::npos) throw Malformed("a task's name has no number");
  TaskId t;
  t.job = s.substr(0, slash);
  std::string n = s.substr(slash + 1);
  if (!valid_job_id(t.job) || n.empty() || n.size() > 6 ||
      n.find_first_not_of("0123456789") != std::string::npos)
    throw Malformed("a task's name is bad");
  t.index = static_cast<std::uint32_t>(std::stoul(n));
  return t;
}

inline constexpr const char* const kTaskStateNames[] = {"pulling", "running", "flushing", "exited"};

// A decoder's errors are Malformed and nothing else, whatever the JSON library throws.
template <class F>
auto guarded(std::string_view body, F f) {
  try {
    return f(parse(body));
  } catch (const json::exception& e) {
    throw Malformed(e.what());
  }
}

// The value of an event, parsed once only.
template <class F>
auto of_value(const Event& e, F f) {
  if (!e.parsed) return guarded(e.value ? std::string_view(*e.value) : std::string_view(), f);
  try {
    const json& j = *static_cast<const json*>(e.parsed.get());
    if (!j.is_object()) throw Malformed("not an object");
    return f(j);
  } catch (const json::exception& x) {
    throw Malformed(x.what());
  }
}

}  // namespace shunttrail::wire
