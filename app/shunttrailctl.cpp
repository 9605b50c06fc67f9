// shunttrailctl: the command line of the service's users and operators.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

#include "cli/controller_status.h"
#include "cli/service_client.h"
#include "cli/submission.h"
#include "schema/schema.h"

namespace {

using namespace shunttrail;
using cli::RequestFailed;
using cli::ServiceClient;
using cli::SubmitOptions;
using nlohmann::json;
namespace fs = std::filesystem;

constexpr int kExitFailed = 1;  // the service refuses or does not answer
constexpr int kExitUsage = 2;   // the command line is invalid
constexpr double kPollIntervalS = 0.5;

// The options of all commands; each command reads only those that it has added.
struct Options {
  std::string server = "127.0.0.1:8080";
  bool as_json = false;
  SubmitOptions submit;
  std::string job_id;
  std::string team;
  double timeout_s = 0;  // 0: wait without end
  std::uint32_t task = 0;
  bool standard_error = false;
  std::optional<int> hold_level;
  bool release = false;
  std::string gone_node, returned_node;  // empty: none
};

// --- Submit's options

enum class Check { none, not_negative, task_count, directory };

struct SubmitOption {
  using Field = std::variant<std::string SubmitOptions::*, double SubmitOptions::*,
                             std::uint32_t SubmitOptions::*,
                             std::vector<std::string> SubmitOptions::*, bool SubmitOptions::*>;
  const char* name;
  Field field;
  const char* help;
  Check check = Check::none;
  bool shows_default = false;
};

constexpr bool kShowsDefault = true;

const SubmitOption kSubmitOptions[] = {
    {"--file", &SubmitOptions::file,
     "a job description or a native submission (JSON); - for standard input"},
    {"--id", &SubmitOptions::id, "the job's id (run-DIGITS); default: a new id"},
    {"--name", &SubmitOptions::job_class, "the job's class", Check::none, kShowsDefault},
    {"--team", &SubmitOptions::team, "", Check::none, kShowsDefault},
    {"--priority", &SubmitOptions::priority, "critical, high, standard or idle", Check::none,
     kShowsDefault},
    {"--tasks", &SubmitOptions::tasks, "", Check::task_count, kShowsDefault},
    {"--vcpus", &SubmitOptions::cpus, "of each task", Check::not_negative, kShowsDefault},
    {"--cards", &SubmitOptions::gpus, "of each task", Check::not_negative},
    {"--mem-gb", &SubmitOptions::memory_gb, "of each task", Check::not_negative, kShowsDefault},
    {"--run-s", &SubmitOptions::estimate_s, "expected run time of a task", Check::not_negative,
     kShowsDefault},
    {"--limit-s", &SubmitOptions::limit_s, "a task that runs longer is killed",
     Check::not_negative},
    {"--due-s", &SubmitOptions::deadline_s, "when the job should be done, from now",
     Check::not_negative},
    {"--save-every-s", &SubmitOptions::checkpoint_s, "interval between checkpoints of a task",
     Check::not_negative},
    {"--save-s", &SubmitOptions::save_s, "time that a task needs to save a checkpoint",
     Check::not_negative, kShowsDefault},
    {"--type", &SubmitOptions::machine_types, "an allowed machine type; may be repeated"},
    {"--zone", &SubmitOptions::zone, "the only allowed zone"},
    {"--same-place", &SubmitOptions::same_zone, "all tasks in one zone"},
    {"--scatter", &SubmitOptions::anti_affinity, "at most half of the tasks in one zone"},
    {"--no-spot", &SubmitOptions::no_spot, "no spot machines"},
    {"--awaits", &SubmitOptions::dependencies, "a job that has to be done first; may be repeated"},
    {"--env", &SubmitOptions::environment, "NAME=VALUE for its tasks; may be repeated"},
    {"--image", &SubmitOptions::image, "hash of an image in the depot"},
    {"--image-dir", &SubmitOptions::image_dir,
     "a directory that its tasks find as $SHUNT_IMAGE_DIR", Check::directory},
    {"--wait", &SubmitOptions::wait, "wait until it is done, as `wait` does"},
    {"COMMAND", &SubmitOptions::command, "after --: program and arguments"},
};

CLI::Option* add_field(CLI::App& command, const SubmitOption& spec, SubmitOptions& options) {
  return std::visit(
      [&](auto member) {
        auto& field = options.*member;
        if constexpr (std::is_same_v<decltype(field), bool&>)
          return command.add_flag(spec.name, field, spec.help);
        else
          return command.add_option(spec.name, field, spec.help);
      },
      spec.field);
}

void add_check(CLI::Option& option, Check check) {
  switch (check) {
    case Check::none:
      return;
    case Check::not_negative:
      option.check(CLI::NonNegativeNumber);
      return;
    case Check::task_count:
      option.check(CLI::Range(1, 100000));
      return;
    case Check::directory:
      option.check(CLI::ExistingDirectory);
      return;
  }
}

void add_submit_options(CLI::App& command, Options& options) {
  for (const SubmitOption& spec : kSubmitOptions) {
    CLI::Option* option = add_field(command, spec, options.submit);
    add_check(*option, spec.check);
    if (spec.shows_default) option->capture_default_str();
  }
}

// --- Printing of job states

void print_line(const std::string& line) { std::printf("%s\n", line.c_str()); }

json to_json(const client_protocol::JobAnswer& answer) {
  return {{"id", answer.id},
          {"state", wire::state_name(answer.state)},
          {"done", answer.done},
          {"running", answer.running}};
}

std::string progress(const client_protocol::JobAnswer& answer) {
  return std::string(wire::state_name(answer.state)) + ", " + std::to_string(answer.done) +
         " done, " + std::to_string(answer.running) + " running";
}

void print_answer(const client_protocol::JobAnswer& answer, bool as_json) {
  print_line(as_json ? to_json(answer).dump() : answer.id + " " + progress(answer));
}

void require_job_id(const std::string& id) {
  if (!wire::valid_job_id(id)) throw cli::UsageError(id + " is not a job id (run-DIGITS)");
}

client_protocol::JobAnswer require_job(ServiceClient& service, const std::string& id) {
  auto answer = service.status(id);
  if (!answer) throw RequestFailed(id + ": no such job");
  return *answer;
}

// --- Waiting for a job

bool is_finished(const client_protocol::JobAnswer& answer) {
  return answer.state == wire::JobState::done || answer.state == wire::JobState::cancelled;
}

// Returns the exit status of a job: that of its lowest-numbered task that did not exit with 0.
int exit_status_of(ServiceClient& service, const std::string& id) {
  auto description = service.description(id);
  if (!description) return 0;
  for (std::uint32_t task = 0; task < description->job.tasks; ++task)
    if (auto result = service.result({id, task}); result && result->exit != 0) return result->exit;
  return 0;
}

// Prints the outcome of a finished job and returns the program's exit status.
int report_outcome(ServiceClient& service, const client_protocol::JobAnswer& answer,
                   const std::string& id, bool as_json) {
  const bool cancelled = answer.state == wire::JobState::cancelled;
  const int exit = cancelled ? kExitFailed : exit_status_of(service, id);
  if (as_json) {
    json out = to_json(answer);
    out["exit"] = exit;
    print_line(out.dump());
  }
  if (cancelled) std::fprintf(stderr, "%s was cancelled\n", id.c_str());
  return exit;
}

int wait_for(ServiceClient& service, const std::string& id, double timeout_s, bool as_json) {
  const double deadline =
      timeout_s > 0 ? actor::steady_now() + timeout_s : std::numeric_limits<double>::infinity();
  const bool shows_progress = ::isatty(STDERR_FILENO) && !as_json;
  std::string shown;
  while (true) {
    const client_protocol::JobAnswer answer = require_job(service, id);
    const std::string line = progress(answer);
    if (shows_progress && line != shown)
      std::fprintf(stderr, "\r\033[K%s: %s", id.c_str(), line.c_str());
    shown = line;
    if (is_finished(answer)) {
      if (shows_progress) std::fprintf(stderr, "\n");
      return report_outcome(service, answer, id, as_json);
    }
    if (actor::steady_now() > deadline) throw RequestFailed(id + ": still " + shown);
    service.sleep(kPollIntervalS);
  }
}

// --- Commands

int run_submit(ServiceClient& service, const Options& options) {
  const SubmitOptions& submit = options.submit;
  const auto answer = service.submit(cli::make_description(submit, service));
  if (!options.as_json)
    print_line(answer.id);
  else if (!submit.wait)
    print_line(to_json(answer).dump());
  std::fflush(stdout);
  return submit.wait ? wait_for(service, answer.id, options.timeout_s, options.as_json) : 0;
}

void add_job_id(CLI::App& command, Options& options) {
  command.add_option("JOB", options.job_id, "the job's id")->required();
}

int run_status(ServiceClient& service, const Options& options) {
  require_job_id(options.job_id);
  print_answer(require_job(service, options.job_id), options.as_json);
  return 0;
}

void add_wait_options(CLI::App& command, Options& options) {
  add_job_id(command, options);
  command
      .add_option("--timeout-s", options.timeout_s,
                  "fail if the job is not finished after this time")
      ->check(CLI::NonNegativeNumber);
}

int run_wait(ServiceClient& service, const Options& options) {
  require_job_id(options.job_id);
  return wait_for(service, options.job_id, options.timeout_s, options.as_json);
}

int run_cancel(ServiceClient& service, const Options& options) {
  require_job_id(options.job_id);
  print_answer(service.cancel(options.job_id), options.as_json);
  return 0;
}

// Prints the service's answer, indented unless --json is given. A body that is not JSON is printed
// unchanged.
void print_body(const std::string& body, bool as_json) {
  const json parsed = json::parse(body, nullptr, false);
  print_line(parsed.is_discarded() ? body : parsed.dump(as_json ? -1 : 2));
}

void add_team_options(CLI::App& command, Options& options) {
  command.add_option("TEAM", options.team)->required();
}

int run_team(ServiceClient& service, const Options& options) {
  const net::Result result = service.get("/v2/teams/" + options.team);
  if (result.status == 404) throw RequestFailed(options.team + ": no such team");
  print_body(result.body, options.as_json);
  return 0;
}

void add_output_options(CLI::App& command, Options& options) {
  add_job_id(command, options);
  command.add_option("--task", options.task, "the task's number")->capture_default_str();
  command.add_flag("--err", options.standard_error, "print its standard error instead");
}

void copy_artifact_to_stdout(ServiceClient& service, const std::string& hash) {
  const fs::path file = fs::temp_directory_path() / ("shunttrailctl-" + std::to_string(::getpid()));
  if (!service.fetch(hash, file))
    throw RequestFailed("the output (blob " + hash + ") is missing from the depot or damaged");
  std::ifstream in(file, std::ios::binary);
  std::cout << in.rdbuf() << std::flush;
  fs::remove(file);
}

int run_output(ServiceClient& service, const Options& options) {
  const std::string& id = options.job_id;
  require_job_id(id);
  const auto description = service.description(id);
  if (!description) throw RequestFailed(id + ": no such job");
  if (options.task >= description->job.tasks)
    throw RequestFailed(id + ": has " + std::to_string(description->job.tasks) +
                        " tasks, numbered from 0");
  const auto result = service.result({id, options.task});
  if (!result) throw RequestFailed(id + "/" + std::to_string(options.task) + ": has no result yet");
  if (options.as_json) {
    print_line(client_protocol::encode_result(*result));
    return 0;
  }
  if (!result->reason.empty()) std::fprintf(stderr, "%s\n", result->reason.c_str());
  const std::string& hash = options.standard_error ? result->err : result->out;
  if (!hash.empty()) copy_artifact_to_stdout(service, hash);
  return 0;
}

void add_nothing(CLI::App&, Options&) {}

int run_up(ServiceClient& service, const Options& options) {
  const bool up = service.up();
  if (options.as_json)
    print_line(json{{"up", up}}.dump());
  else
    print_line(up ? "up" : "down");
  return up ? 0 : kExitFailed;
}

int run_metrics(ServiceClient& service, const Options& options) {
  const net::Result result = service.get("/metrics");
  if (result.status == 404) throw RequestFailed("this controller has no metrics");
  print_body(result.body, options.as_json);
  return 0;
}

// Returns a controller's status object. Throws RequestFailed(otherwise) if it lacks this field.
json require_status(const net::Result& result, const char* field, const char* otherwise) {
  json status = json::parse(result.body, nullptr, false);
  if (result.status == 404 || !status.is_object() || !status.contains(field))
    throw RequestFailed(otherwise);
  return status;
}

void add_schema_options(CLI::App& command, Options& options) {
  command
      .add_option("--hold", options.hold_level,
                  "keep the active level at or below this one, and lower it if necessary")
      ->check(CLI::Range(0, 1000));
  command.add_flag("--release", options.release, "remove the limit that --hold has set");
  command.add_option("--gone", options.gone_node,
                     "a node that will not return, and is not waited for");
  command.add_option("--here", options.returned_node, "a node that is waited for again");
}

std::optional<schema::Order> schema_order(const Options& options) {
  std::vector<schema::Order> orders;
  if (options.hold_level) orders.push_back({schema::Order::hold, *options.hold_level, {}});
  if (options.release) orders.push_back({schema::Order::release, 0, {}});
  if (!options.gone_node.empty())
    orders.push_back({schema::Order::exclude_node, 0, options.gone_node});
  if (!options.returned_node.empty())
    orders.push_back({schema::Order::include_node, 0, options.returned_node});
  if (orders.size() > 1)
    throw cli::UsageError("schema: give one of --hold, --release, --gone, --here");
  if (orders.empty()) return std::nullopt;
  return orders.front();
}

int run_schema(ServiceClient& service, const Options& options) {
  const std::optional<schema::Order> order = schema_order(options);
  const net::Result result =
      order ? service.post("/levels", schema::encode(*order)) : service.get("/levels");
  const json status = require_status(result, "active", "this controller knows no state levels");
  if (options.as_json)
    print_line(status.dump());
  else
    cli::print_schema_status(status);
  return 0;
}

int run_relay(ServiceClient& service, const Options& options) {
  const json status =
      require_status(service.get("/links"), "links", "this controller knows nothing of links");
  if (options.as_json)
    print_line(status.dump());
  else
    cli::print_relay_status(status);
  return 0;
}

struct Command {
  const char* name;
  const char* help;
  void (*add_options)(CLI::App&, Options&);
  int (*run)(ServiceClient&, const Options&);
  const char* earlier_name = nullptr;  // an older name that is accepted as well
};

const Command kCommands[] = {
    {"submit", "submit a job and print its id", add_submit_options, run_submit},
    {"status", "show a job's state", add_job_id, run_status},
    {"wait", "wait until a job is done or cancelled", add_wait_options, run_wait},
    {"withdraw", "cancel a job", add_job_id, run_cancel},
    {"team", "show a team's unfinished jobs", add_team_options, run_team},
    {"output", "print what a task wrote to its standard output", add_output_options, run_output},
    {"up", "show whether the service accepts requests", add_nothing, run_up},
    {"metrics", "print a controller's counters", add_nothing, run_metrics},
    {"schema",
     "show which schema level of the stored state is active, and what holds the next one back",
     add_schema_options, run_schema, "levels"},
    {"relay", "show which links a controller finds cut, and the heartbeats that it relays",
     add_nothing, run_relay, "links"},
};

void add_global_options(CLI::App& app, Options& options) {
  app.set_version_flag("--version", std::string("shunttrailctl 0.1.0"));
  app.add_option("--server", options.server, "the service's address, http://HOST:PORT")
      ->envname("SHUNT_SERVER")
      ->capture_default_str();
  app.add_flag("--json", options.as_json, "print answers as JSON");
  app.require_subcommand(1);
  app.fallthrough();
}

void add_commands(CLI::App& app, Options& options) {
  for (const Command& command : kCommands) {
    CLI::App* subcommand = app.add_subcommand(command.name, command.help);
    if (command.earlier_name) subcommand->alias(command.earlier_name);
    command.add_options(*subcommand, options);
  }
}

int run_parsed_command(const CLI::App& app, const Options& options) {
  ServiceClient service(options.server);
  for (const Command& command : kCommands)
    if (app.got_subcommand(command.name)) return command.run(service, options);
  return 0;
}

// Prints the error or the requested help, as CLI11 does, and returns the program's exit status.
int exit_of_parse_error(const CLI::App& app, const CLI::ParseError& error) {
  return app.exit(error) == 0 ? 0 : kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "shunttrailctl: submit jobs to shunttrail and look after them\n\n"
      "Exit status: 0, 1 if the service refuses or does not answer, 2 for a wrong command line; "
      "of\n"
      "wait and submit --wait that of the job (of its first task that failed), 1 if it was "
      "cancelled."};
  Options options;
  add_global_options(app, options);
  add_commands(app, options);
  try {
    app.parse(argc, argv);
    return run_parsed_command(app, options);
  } catch (const CLI::ParseError& error) {
    return exit_of_parse_error(app, error);
  } catch (const cli::UsageError& error) {
    return exit_of_parse_error(app, CLI::ValidationError(error.what()));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "shunttrailctl: %s\n", error.what());
    return kExitFailed;
  }
}
