#include "client_protocol/job_description.h"

#include "wire/fields.h"

namespace shunttrail::client_protocol {

using namespace wire;

namespace {

constexpr std::size_t kMaxArgumentBytes = 32768;
/// Length of an image's hash, in hexadecimal digits.
constexpr std::size_t kHashDigits = 64;
constexpr std::uint64_t kMinExitStatus = 1, kMaxExitStatus = 255;

// Reads an argument or a variable's value. It may be longer than other texts and hold any bytes but
// NUL, which ends an argument of a process.
std::string decode_argument(const json& value, const char* name) {
  if (!value.is_string())
    throw Malformed(std::string(name) + " holds an element that is not a string");
  const auto& argument = value.get_ref<const std::string&>();
  if (argument.size() > kMaxArgumentBytes)
    throw Malformed(std::string(name) + " holds an element of " + std::to_string(argument.size()) +
                    " bytes, expected at most " + std::to_string(kMaxArgumentBytes));
  if (argument.find('\0') != std::string::npos)
    throw Malformed(std::string(name) + " holds an element with a NUL byte");
  return argument;
}

std::vector<std::string> decode_command(const json& arguments) {
  std::vector<std::string> command;
  for (const json& argument : arguments) command.push_back(decode_argument(argument, "command"));
  if (command.empty() || command[0].empty()) throw Malformed("command names no program");
  return command;
}

std::map<std::string, std::string> decode_environment(const json& fields) {
  if (!fields.is_object()) throw Malformed("env is not an object");
  std::map<std::string, std::string> environment;
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    if (it.key().empty() || it.key().find('=') != std::string::npos)
      throw Malformed("env holds the variable name " + json(it.key()).dump() +
                      ", expected a non-empty name without =");
    environment[it.key()] = decode_argument(it.value(), "env");
  }
  return environment;
}

std::string decode_image(const json& value) {
  std::string hash = as_text(value, "image");
  if (hash.size() != kHashDigits || hash.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw Malformed("image is not a hash of " + std::to_string(kHashDigits) +
                    " lowercase hexadecimal digits");
  return hash;
}

std::vector<int> decode_retry_exits(const json& list) {
  if (!list.is_array()) throw Malformed("retry_exits is not a list");
  std::vector<int> exits;
  for (const json& value : list) {
    const std::uint64_t exit = as_whole(value, "retry_exits");
    if (exit < kMinExitStatus || exit > kMaxExitStatus)
      throw Malformed("retry_exits holds " + std::to_string(exit) + ", expected " +
                      std::to_string(kMinExitStatus) + " to " + std::to_string(kMaxExitStatus));
    exits.push_back(static_cast<int>(exit));
  }
  return exits;
}

}  // namespace

std::string encode_description(const JobDescription& description) {
  json fields = {{"job", json::parse(encode_job(description.job))},
                 {"command", description.command}};
  if (!description.env.empty()) fields["env"] = description.env;
  if (!description.image.empty()) fields["image"] = description.image;
  if (description.limit_s > 0) fields["limit_s"] = description.limit_s;
  fields["retry_exits"] = description.retry_exits;
  return fields.dump();
}

JobDescription decode_description(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    JobDescription description;
    description.job = decode_job(required(fields, "job").dump());
    description.command = decode_command(list(fields, "command"));
    if (const json* environment = find(fields, "env"))
      description.env = decode_environment(*environment);
    if (const json* image = find(fields, "image")) description.image = decode_image(*image);
    if (const json* limit = find(fields, "limit_s"))
      description.limit_s = as_number(*limit, "limit_s", 0);
    if (const json* exits = find(fields, "retry_exits"))
      description.retry_exits = decode_retry_exits(*exits);
    return description;
  });
}

std::string encode_result(const TaskResult& result) {
  json fields = {{"attempt", result.attempt},
                 {"machine", result.machine},
                 {"exit", result.exit},
                 {"ran_s", result.ran_s}};
  if (!result.reason.empty()) fields["reason"] = result.reason;
  if (!result.out.empty()) fields["out"] = result.out;
  if (!result.err.empty()) fields["err"] = result.err;
  return fields.dump();
}

TaskResult decode_result(std::string_view body) {
  return decode_body(body, [](const json& fields) {
    TaskResult result;
    result.attempt = whole(fields, "attempt");
    result.machine = text_or(fields, "machine", "");
    result.exit = static_cast<int>(whole(fields, "exit"));
    result.reason = text_or(fields, "reason", "");
    result.out = text_or(fields, "out", "");
    result.err = text_or(fields, "err", "");
    result.ran_s = number(fields, "ran_s", 0);
    return result;
  });
}

}  // namespace shunttrail::client_protocol
