#include "client_protocol/job_description.h"

#include "wire/fields.h"

namespace shunttrail::client_protocol {

using namespace wire;

namespace {

constexpr std::size_t kMaxArgumentBytes = 32768;
constexpr std::size_t kHashDigits = 64;
constexpr std::uint64_t kMinExitStatus = 1, kMaxExitStatus = 255;

// Longer than other texts, and of any bytes but NUL, which no argument can hold.
std::string decode_argument(const json& value, const char* name) {
  if (!value.is_string()) throw Malformed(std::string(name) + " holds what is not a string");
  const auto& argument = value.get_ref<const std::string&>();
  if (argument.size() > kMaxArgumentBytes) throw Malformed(std::string(name) + " is too long");
  if (argument.find('\0') != std::string::npos) throw Malformed(std::string(name) + " holds a NUL");
  return argument;
}

std::vector<std::string> decode_command(const json& arguments) {
  std::vector<std::string> command;
  for (const json& argument : arguments) command.push_back(decode_argument(argument, "command"));
  if (command.empty() || command[0].empty()) throw Malformed("command is empty");
  return command;
}

std::map<std::string, std::string> decode_environment(const json& fields) {
  if (!fields.is_object()) throw Malformed("env is not an object");
  std::map<std::string, std::string> environment;
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    if (it.key().empty() || it.key().find('=') != std::string::npos)
      throw Malformed("env holds a bad name");
    environment[it.key()] = decode_argument(it.value(), "env");
  }
  return environment;
}

std::string decode_image(const json& value) {
  std::string hash = as_text(value, "image");
  if (hash.size() != kHashDigits || hash.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw Malformed("image is not a hash");
  return hash;
}

std::vector<int> decode_retry_exits(const json& list) {
  if (!list.is_array()) throw Malformed("retry_exits is not a list");
  std::vector<int> exits;
  for (const json& value : list) {
    const std::uint64_t exit = as_whole(value, "retry_exits");
    if (exit < kMinExitStatus || exit > kMaxExitStatus)
      throw Malformed("retry_exits is out of range");
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
