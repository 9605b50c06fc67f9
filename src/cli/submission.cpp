#include "cli/submission.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "artifacts/archive.h"
#include "wire/codec.h"

namespace shunttrail::cli {
namespace fs = std::filesystem;
using client_protocol::JobDescription;
using nlohmann::json;
namespace {

// An image name holds these leading digits of the hash, enough to distinguish images.
constexpr std::size_t kImageNameDigits = 16;

wire::Priority parse_priority(const std::string& name) {
  if (name == "critical") return wire::Priority::critical;
  if (name == "high") return wire::Priority::high;
  if (name == "standard") return wire::Priority::standard;
  if (name == "idle") return wire::Priority::idle;
  throw UsageError("--priority: " + name + " is not one of critical, high, standard, idle");
}

std::string read_input(const std::string& file) {
  std::ostringstream content;
  if (file == "-") {
    content << std::cin.rdbuf();
    return content.str();
  }
  std::ifstream input(file, std::ios::binary);
  if (!input) throw UsageError(file + ": cannot be read");
  content << input.rdbuf();
  return content.str();
}

void ensure_id(json& job) {
  if (!job.contains("uid")) job["uid"] = new_job_id();
}

// Reads a file that holds either a whole job description, or a submission in PROTOCOL's form, which
// has no command.
JobDescription read_description(const std::string& file) {
  json content = json::parse(read_input(file), nullptr, false);
  if (!content.is_object()) throw UsageError(file + ": is not a JSON object");
  JobDescription description;
  try {
    if (content.contains("job")) {
      ensure_id(content["job"]);
      description = client_protocol::decode_description(content.dump());
    } else {
      ensure_id(content);
      description.job = wire::decode_job(content.dump());
    }
  } catch (const wire::Malformed& error) {
    throw UsageError(file + ": " + error.what());
  }
  return description;
}

JobDescription describe(const SubmitOptions& options) {
  JobDescription description;
  auto& job = description.job;
  job.id = options.id.empty() ? new_job_id() : options.id;
  job.job_class = options.job_class;
  job.team = options.team;
  job.priority = parse_priority(options.priority);
  job.tasks = options.tasks;
  job.cpus = options.cpus;
  job.gpus = options.gpus;
  job.mem_gb = options.memory_gb;
  job.image = "none";
  if (!options.machine_types.empty()) job.types = options.machine_types;
  if (!options.zone.empty()) job.zone = options.zone;
  job.same_zone = options.same_zone;
  job.anti_affinity = options.anti_affinity;
  job.spot = !options.no_spot;
  job.estimate_s = options.estimate_s;
  job.checkpoint_s = options.checkpoint_s;
  job.save_s = options.checkpoint_s > 0 ? options.save_s : 0;
  if (options.deadline_s > 0) job.deadline_s = options.deadline_s;
  job.dependencies = options.dependencies;
  description.limit_s = options.limit_s;
  if (!wire::valid_job_id(job.id))
    throw UsageError("--id: " + job.id + " is not a job id (run-DIGITS)");
  return description;
}

void add_environment(const std::vector<std::string>& entries, JobDescription& description) {
  for (const std::string& entry : entries) {
    const auto equals = entry.find('=');
    if (equals == 0 || equals == std::string::npos)
      throw UsageError("--env: " + entry + " is not NAME=VALUE");
    description.env[entry.substr(0, equals)] = entry.substr(equals + 1);
  }
}

void set_image(const std::string& hash, JobDescription& description) {
  description.image = hash;
  description.job.image = "img-" + hash.substr(0, kImageNameDigits);
}

void upload_image(const std::string& directory, ServiceClient& service,
                  JobDescription& description) {
  const fs::path archive = fs::temp_directory_path() / (description.job.id + ".tar");
  artifacts::Packer packer(directory, archive);
  while (!packer.step()) {
  }
  set_image(service.upload(archive), description);
  description.job.image_gb = static_cast<double>(fs::file_size(archive)) / 1e9;
  fs::remove(archive);
}

}  // namespace

JobDescription make_description(const SubmitOptions& options, ServiceClient& service) {
  JobDescription description =
      options.file.empty() ? describe(options) : read_description(options.file);
  if (!options.command.empty()) description.command = options.command;
  if (description.command.empty())
    throw UsageError("no command: shunttrailctl submit [flags] -- COMMAND ARGS");
  add_environment(options.environment, description);
  if (!options.image_dir.empty())
    upload_image(options.image_dir, service, description);
  else if (!options.image.empty())
    set_image(options.image, description);
  return description;
}

}  // namespace shunttrail::cli
