#include "client_protocol/job_description.h"

#include "wire/fields.h"

namespace shunttrail::client_protocol {

using namespace wire;

namespace {
// Longer than other texts, and of any bytes but NUL, which no argument can hold.
std::string argument(const json& v, const char* name) {
  if (!v.is_string()) throw Malformed(std::string(name) + " holds what is not a string");
  const auto& s = v.get_ref<const std::string&>();
  if (s.size() > 32768) throw Malformed(std::string(name) + " is too long");
  if (s.find('\0') != std::string::npos) throw Malformed(std::string(name) + " holds a NUL");
  return s;
}
}  // namespace

std::string encode_description(const JobDescription& d) {
  json j = {{"job", json::parse(encode_job(d.job))}, {"command", d.command}};
  if (!d.env.empty()) j["env"] = d.env;
  if (!d.image.empty()) j["image"] = d.image;
  if (d.limit_s > 0) j["limit_s"] = d.limit_s;
  j["retry_exits"] = d.retry_exits;
  return j.dump();
}

JobDescription decode_description(std::string_view body) {
  return guarded(body, [](const json& j) {
    JobDescription d;
    d.job = decode_job(need(j, "job").dump());
    for (const json& a : list(j, "command")) d.command.push_back(argument(a, "command"));
    if (d.command.empty() || d.command[0].empty()) throw Malformed("command is empty");
    if (const json* env = find(j, "env")) {
      if (!env->is_object()) throw Malformed("env is not an object");
      for (auto it = env->begin(); it != env->end(); ++it) {
        if (it.key().empty() || it.key().find('=') != std::string::npos)
          throw Malformed("env holds a bad name");
        d.env[it.key()] = argument(it.value(), "env");
      }
    }
    if (const json* v = find(j, "image")) {
      d.image = as_text(*v, "image");
      if (d.image.size() != 64 ||
          d.image.find_first_not_of("0123456789abcdef") != std::string::npos)
        throw Malformed("image is not a hash");
    }
    if (const json* v = find(j, "limit_s")) d.limit_s = as_number(*v, "limit_s", 0);
    if (const json* v = find(j, "retry_exits")) {
      d.retry_exits.clear();
      if (!v->is_array()) throw Malformed("retry_exits is not a list");
      for (const json& e : *v) {
        auto n = as_whole(e, "retry_exits");
        if (n < 1 || n > 255) throw Malformed("retry_exits is out of range");
        d.retry_exits.push_back(static_cast<int>(n));
      }
    }
    return d;
  });
}

std::string encode_result(const TaskResult& r) {
  json j = {{"attempt", r.attempt}, {"machine", r.machine}, {"exit", r.exit}, {"ran_s", r.ran_s}};
  if (!r.reason.empty()) j["reason"] = r.reason;
  if (!r.out.empty()) j["out"] = r.out;
  if (!r.err.empty()) j["err"] = r.err;
  return j.dump();
}
TaskResult decode_result(std::string_view body) {
  return guarded(body, [](const json& j) {
    TaskResult r;
    r.attempt = whole(j, "attempt");
    r.machine = text_or(j, "machine", "");
    r.exit = static_cast<int>(whole(j, "exit"));
    r.reason = text_or(j, "reason", "");
    r.out = text_or(j, "out", "");
    r.err = text_or(j, "err", "");
    r.ran_s = number(j, "ran_s", 0);
    return r;
  });
}

}  // namespace shunttrail::client_protocol
