// The command line of a user of the service.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "artifacts/archive.h"
#include "cli/service_client.h"
#include "schema/schema.h"

namespace {

using namespace shunttrail;
using nlohmann::json;
namespace fs = std::filesystem;

struct Options {
  std::string server = "127.0.0.1:8080", id;
  bool as_json = false;
  // submit
  std::string file, name = "job", team = "default", priority = "standard", zone, image, image_dir;
  std::vector<std::string> types, awaits, env, command;
  std::uint32_t tasks = 1;
  double cpus = 1, gpus = 0, mem_gb = 0.5, run_s = 60, save_every_s = 0, save_s = 5, due_s = 0,
         limit_s = 0;
  bool no_spot = false, one_zone = false, spread = false, wait = false;
  // output
  std::uint32_t task = 0;
  bool err = false;
  double timeout_s = 0;
  // levels
  int hold = 0;
  std::string gone, here;
  bool release = false;
};

[[noreturn]] void usage(const std::string& why) { throw CLI::ValidationError(why); }

wire::Priority priority(const std::string& name) {
  if (name == "critical") return wire::Priority::critical;
  if (name == "high") return wire::Priority::high;
  if (name == "standard") return wire::Priority::standard;
  if (name == "idle") return wire::Priority::idle;
  usage("--priority: " + name + " is none of critical, high, standard, idle");
}

std::string read_input(const std::string& file) {
  std::ostringstream out;
  if (file == "-") {
    out << std::cin.rdbuf();
  } else {
    std::ifstream in(file, std::ios::binary);
    if (!in) usage(file + ": cannot be read");
    out << in.rdbuf();
  }
  return out.str();
}

// A description from flags, or from a file: a description, or a native submission with flags.
client_protocol::JobDescription description(const Options& o, cli::ServiceClient& service) {
  client_protocol::JobDescription d;
  if (!o.file.empty()) {
    json j = json::parse(read_input(o.file), nullptr, false);
    if (!j.is_object()) usage(o.file + ": is not a JSON object");
    try {
      if (j.contains("job")) {
        if (!j["job"].contains("uid")) j["job"]["uid"] = cli::fresh_id();
        d = client_protocol::decode_description(j.dump());
      } else {
        if (!j.contains("uid")) j["uid"] = cli::fresh_id();
        d.job = wire::decode_job(j.dump());
      }
    } catch (const wire::Malformed& e) {
      usage(o.file + ": " + e.what());
    }
  } else {
    auto& s = d.job;
    s.id = o.id.empty() ? cli::fresh_id() : o.id;
    s.job_class = o.name;
    s.team = o.team;
    s.priority = priority(o.priority);
    s.tasks = o.tasks;
    s.cpus = o.cpus;
    s.gpus = o.gpus;
    s.mem_gb = o.mem_gb;
    s.image = "none";
    if (!o.types.empty()) s.types = o.types;
    if (!o.zone.empty()) s.zone = o.zone;
    s.same_zone = o.one_zone;
    s.anti_affinity = o.spread;
    s.spot = !o.no_spot;
    s.estimate_s = o.run_s;
    s.checkpoint_s = o.save_every_s;
    s.save_s = o.save_every_s > 0 ? o.save_s : 0;
    if (o.due_s > 0) s.deadline_s = o.due_s;
    s.dependencies = o.awaits;
    d.limit_s = o.limit_s;
    if (!wire::valid_job_id(s.id)) usage("--id: " + s.id + " is no job id (run-DIGITS)");
  }
  if (!o.command.empty()) d.command = o.command;
  if (d.command.empty()) usage("no command: shunttrailctl submit [flags] -- COMMAND ARGS");
  for (const auto& e : o.env) {
    auto eq = e.find('=');
    if (eq == 0 || eq == std::string::npos) usage("--env: " + e + " is not NAME=VALUE");
    d.env[e.substr(0, eq)] = e.substr(eq + 1);
  }
  if (!o.image_dir.empty()) {
    fs::path tar = fs::temp_directory_path() / (d.job.id + ".tar");
    artifacts::Packer packer(o.image_dir, tar);
    while (!packer.step()) {
    }
    d.image = service.upload(tar);
    d.job.image = "img-" + d.image.substr(0, 16);
    d.job.image_gb = static_cast<double>(fs::file_size(tar)) / 1e9;
    fs::remove(tar);
  } else if (!o.image.empty()) {
    d.image = o.image;
    d.job.image = "img-" + d.image.substr(0, 16);
  }
  return d;
}

json as_json(const client_protocol::JobAnswer& a) {
  return {
      {"id", a.id}, {"state", wire::state_name(a.state)}, {"done", a.done}, {"running", a.running}};
}
void show(const client_protocol::JobAnswer& a, const Options& o) {
  if (o.as_json)
    std::printf("%s\n", as_json(a).dump().c_str());
  else
    std::printf("%s %s, %llu done, %llu running\n", a.id.c_str(), wire::state_name(a.state),
                static_cast<unsigned long long>(a.done),
                static_cast<unsigned long long>(a.running));
}

// The exit status of a job: that of its first task, by number, that did not end with 0.
int exit_of(cli::ServiceClient& service, const std::string& id) {
  auto d = service.description(id);
  if (!d) return 0;
  for (std::uint32_t i = 0; i < d->job.tasks; ++i)
    if (auto r = service.result({id, i}); r && r->exit != 0) return r->exit;
  return 0;
}

int wait_for(cli::ServiceClient& service, const Options& o) {
  double until = o.timeout_s > 0 ? actor::steady_now() + o.timeout_s : 1e18;
  bool tty = ::isatty(2) && !o.as_json;
  std::string shown;
  while (true) {
    auto a = service.status(o.id);
    if (!a) throw cli::RequestFailed(o.id + ": no such job");
    bool over = a->state == wire::JobState::done || a->state == wire::JobState::cancelled;
    std::string line = std::string(wire::state_name(a->state)) + ", " + std::to_string(a->done) +
                       " done, " + std::to_string(a->running) + " running";
    if (tty && line != shown) std::fprintf(stderr, "\r\033[K%s: %s", o.id.c_str(), line.c_str());
    shown = line;
    if (over) {
      if (tty) std::fprintf(stderr, "\n");
      int exit = a->state == wire::JobState::done ? exit_of(service, o.id) : 1;
      if (o.as_json) {
        json j = as_json(*a);
        j["exit"] = exit;
        std::printf("%s\n", j.dump().c_str());
      }
      if (a->state == wire::JobState::cancelled)
        std::fprintf(stderr, "%s was cancelled\n", o.id.c_str());
      return exit;
    }
    if (actor::steady_now() > until) throw cli::RequestFailed(o.id + ": still " + shown);
    service.sleep(0.5);
  }
}

int submit(cli::ServiceClient& service, Options& o) {
  client_protocol::JobDescription d = description(o, service);
  client_protocol::JobAnswer a = service.submit(d);
  if (o.as_json && !o.wait)
    std::printf("%s\n", as_json(a).dump().c_str());
  else if (!o.as_json)
    std::printf("%s\n", a.id.c_str());
  std::fflush(stdout);
  if (!o.wait) return 0;
  o.id = a.id;
  return wait_for(service, o);
}

int output(cli::ServiceClient& service, const Options& o) {
  auto d = service.description(o.id);
  if (!d) throw cli::RequestFailed(o.id + ": no such job");
  if (o.task >= d->job.tasks)
    throw cli::RequestFailed(o.id + ": has " + std::to_string(d->job.tasks) +
                             " tasks, numbered from 0");
  auto r = service.result({o.id, o.task});
  if (!r) throw cli::RequestFailed(o.id + "/" + std::to_string(o.task) + ": has not ended");
  if (o.as_json) {
    std::printf("%s\n", client_protocol::encode_result(*r).c_str());
    return 0;
  }
  if (!r->reason.empty()) std::fprintf(stderr, "%s\n", r->reason.c_str());
  const std::string& hash = o.err ? r->err : r->out;
  if (hash.empty()) return 0;
  fs::path file = fs::temp_directory_path() / ("shunttrailctl-" + std::to_string(::getpid()));
  if (!service.fetch(hash, file)) throw cli::RequestFailed("the output is lost or damaged");
  std::ifstream in(file, std::ios::binary);
  std::cout << in.rdbuf() << std::flush;
  fs::remove(file);
  return 0;
}

// The active state level, which builds the nodes have, and what holds the next one back.
void show_levels(const json& j) {
  const json& stands = j.at("stands");
  std::printf("state level %d is active", j.at("active").get<int>());
  if (stands[0] != stands[1])
    std::printf("; forms of %d to %d stand, %.0f%% converted", stands[0].get<int>(),
                stands[1].get<int>(), 100 * j.at("converted").get<double>());
  std::printf("\n");
  for (const auto& n : j.at("nodes")) {
    std::printf("  %s: ", n.at("name").get<std::string>().c_str());
    if (!n.at("alive").get<bool>())
      std::printf("not there%s\n", n.value("gone", false) ? ", declared gone" : "");
    else
      std::printf("reads %d to %d, writes %d\n", n.at("reads")[0].get<int>(),
                  n.at("reads")[1].get<int>(), n.at("writes").get<int>());
  }
  if (j.contains("hold")) std::printf("held at %d by order\n", j["hold"].get<int>());
  for (const auto& h : j.at("held_by"))
    std::printf("held back by %s, which %s, for %.0f s\n", h.at("by").get<std::string>().c_str(),
                h.at("why").get<std::string>().c_str(), h.at("since_s").get<double>());
  if (j.contains("serves_nothing"))
    std::printf("%s serves nothing: %s\n", j.at("node").get<std::string>().c_str(),
                j["serves_nothing"].get<std::string>().c_str());
}

int levels_command(cli::ServiceClient& service, const Options& o, const CLI::App& c) {
  std::vector<schema::Order> orders;
  if (c.count("--hold")) orders.push_back({schema::Order::hold, o.hold, {}});
  if (o.release) orders.push_back({schema::Order::release, 0, {}});
  if (!o.gone.empty()) orders.push_back({schema::Order::gone, 0, o.gone});
  if (!o.here.empty()) orders.push_back({schema::Order::here, 0, o.here});
  if (orders.size() > 1) usage("levels: give one of --hold, --release, --gone, --here");
  net::Result r = orders.empty() ? service.get("/levels")
                                 : service.order("/levels", schema::encode(orders.front()));
  auto j = json::parse(r.body, nullptr, false);
  if (r.status == 404 || !j.is_object() || !j.contains("active"))
    throw cli::RequestFailed("this controller knows no state levels");
  if (o.as_json)
    std::printf("%s\n", j.dump().c_str());
  else
    show_levels(j);
  return 0;
}

// Which links a controller finds cut, and what it passes on for its siblings.
int links_command(cli::ServiceClient& service, const Options& o) {
  net::Result r = service.get("/links");
  auto j = json::parse(r.body, nullptr, false);
  if (r.status == 404 || !j.is_object() || !j.contains("links"))
    throw cli::RequestFailed("this controller knows nothing of links");
  if (o.as_json) {
    std::printf("%s\n", j.dump().c_str());
    return 0;
  }
  const std::string node = j.at("node").get<std::string>();
  std::printf("%s passes reports on: %s\n", node.c_str(),
              j.at("relay").get<bool>() ? "yes" : "switched off");
  for (const auto& l : j.at("links"))
    std::printf("workers in %s do not reach %s, for %.0f s: by way of %s\n",
                l.at("workers_in").get<std::string>().c_str(),
                l.at("to").get<std::string>().c_str(), l.at("since_s").get<double>(),
                l.at("by").get<std::string>().c_str());
  for (const auto& c : j.at("reports"))
    std::printf("  %s: %llu passed on to it, %llu of them unanswered, %llu taken from it\n",
                c.at("to").get<std::string>().c_str(), c.at("passed").get<unsigned long long>(),
                c.at("unanswered").get<unsigned long long>(),
                c.at("taken").get<unsigned long long>());
  return 0;
}

void add_id(CLI::App* c, Options& o) { c->add_option("JOB", o.id, "the job's id")->required(); }

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "shunttrailctl: submit jobs to shunttrail and look after them\n\n"
      "Exit status: 0, 1 if the service refuses or does not answer, 2 for a wrong command line; "
      "of\n"
      "wait and submit --wait that of the job (of its first task that failed), 1 if it was "
      "cancelled."};
  app.set_version_flag("--version", std::string("shunttrailctl 0.1.0"));
  Options o;
  app.add_option("--server", o.server, "where the service is, http://HOST:PORT")
      ->envname("SHUNT_SERVER")
      ->capture_default_str();
  app.add_flag("--json", o.as_json, "answers as JSON");
  app.require_subcommand(1);
  app.fallthrough();

  auto* sub = app.add_subcommand("submit", "submit a job and print its id");
  sub->add_option("--file", o.file,
                  "a description or a native submission (JSON); - for standard input");
  sub->add_option("--id", o.id, "the job's id (run-DIGITS); made up if it is not given");
  sub->add_option("--name", o.name, "the class of jobs that it belongs to")->capture_default_str();
  sub->add_option("--team", o.team)->capture_default_str();
  sub->add_option("--priority", o.priority, "critical, high, standard or idle")
      ->capture_default_str();
  sub->add_option("--tasks", o.tasks)->check(CLI::Range(1, 100000))->capture_default_str();
  sub->add_option("--vcpus", o.cpus, "of each task")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  sub->add_option("--cards", o.gpus, "of each task")->check(CLI::NonNegativeNumber);
  sub->add_option("--mem-gb", o.mem_gb, "of each task")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  sub->add_option("--run-s", o.run_s, "how long a task is thought to run")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  sub->add_option("--limit-s", o.limit_s, "a task that runs longer is killed")
      ->check(CLI::NonNegativeNumber);
  sub->add_option("--due-s", o.due_s, "when the job should be done, from now")
      ->check(CLI::NonNegativeNumber);
  sub->add_option("--save-every-s", o.save_every_s, "its tasks save a checkpoint so often")
      ->check(CLI::NonNegativeNumber);
  sub->add_option("--save-s", o.save_s, "time that a task needs to save")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  sub->add_option("--type", o.types, "an allowed machine type; may be repeated");
  sub->add_option("--zone", o.zone, "the only allowed zone");
  sub->add_flag("--same-place", o.one_zone, "all tasks in one zone");
  sub->add_flag("--scatter", o.spread, "at most half of the tasks in one zone");
  sub->add_flag("--no-spot", o.no_spot, "no machines that may be taken back");
  sub->add_option("--awaits", o.awaits, "a job that has to be done first; may be repeated");
  sub->add_option("--env", o.env, "NAME=VALUE for its tasks; may be repeated");
  sub->add_option("--image", o.image, "hash of an image in the depot");
  sub->add_option("--image-dir", o.image_dir, "a directory that its tasks find as $SHUNT_IMAGE_DIR")
      ->check(CLI::ExistingDirectory);
  sub->add_flag("--wait", o.wait, "wait until it is done, as `wait` does");
  sub->add_option("COMMAND", o.command, "after --: program and arguments");
  auto* status = app.add_subcommand("status", "show a job's state");
  add_id(status, o);
  auto* wait = app.add_subcommand("wait", "wait until a job is done or cancelled");
  add_id(wait, o);
  wait->add_option("--timeout-s", o.timeout_s, "give up after so long")
      ->check(CLI::NonNegativeNumber);
  auto* withdraw = app.add_subcommand("withdraw", "cancel a job");
  add_id(withdraw, o);
  auto* team = app.add_subcommand("team", "show a team's live jobs");
  team->add_option("TEAM", o.team)->required();
  auto* out = app.add_subcommand("output", "print what a task wrote to its standard output");
  add_id(out, o);
  out->add_option("--task", o.task, "the task's number")->capture_default_str();
  out->add_flag("--err", o.err, "its standard error instead");
  auto* up = app.add_subcommand("up", "whether the service can take requests");
  auto* metrics = app.add_subcommand("metrics", "a controller's counters");
  auto* levels_cmd = app.add_subcommand(
      "levels", "which form of the stored state is in use, and what holds the next one back");
  levels_cmd->add_option("--hold", o.hold, "the active level is at most this, lowered if need be")
      ->check(CLI::Range(0, 1000));
  levels_cmd->add_flag("--release", o.release, "no longer held");
  levels_cmd->add_option("--gone", o.gone, "a node that will not come back, and is not waited for");
  levels_cmd->add_option("--here", o.here, "a node that is waited for again");

  auto* links_cmd = app.add_subcommand(
      "links", "which links a controller finds cut, and what it passes on for others");

  try {
    app.parse(argc, argv);
    cli::ServiceClient service(o.server);
    for (auto* c : {status, wait, withdraw, out})
      if (c->parsed() && !wire::valid_job_id(o.id)) usage(o.id + " is no job id (run-DIGITS)");
    if (sub->parsed()) return submit(service, o);
    if (status->parsed()) {
      auto a = service.status(o.id);
      if (!a) throw cli::RequestFailed(o.id + ": no such job");
      show(*a, o);
      return 0;
    }
    if (wait->parsed()) return wait_for(service, o);
    if (withdraw->parsed()) {
      show(service.withdraw(o.id), o);
      return 0;
    }
    if (out->parsed()) return output(service, o);
    if (links_cmd->parsed()) return links_command(service, o);
    if (levels_cmd->parsed()) return levels_command(service, o, *levels_cmd);
    if (up->parsed()) {
      bool ok = service.up();
      std::printf("%s\n", o.as_json ? (ok ? "{\"up\":true}" : "{\"up\":false}")
                          : ok      ? "up"
                                    : "down");
      return ok ? 0 : 1;
    }
    if (team->parsed() || metrics->parsed()) {
      net::Result r = service.get(team->parsed() ? "/v2/teams/" + o.team : "/metrics");
      if (r.status == 404)
        throw cli::RequestFailed(team->parsed() ? o.team + ": no such team" : "no figures");
      auto j = json::parse(r.body, nullptr, false);
      std::printf("%s\n", j.is_discarded() ? r.body.c_str() : j.dump(o.as_json ? -1 : 2).c_str());
    }
    return 0;
  } catch (const CLI::ParseError& e) {
    int r = app.exit(e);
    return r == 0 ? 0 : 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "shunttrailctl: %s\n", e.what());
    return 1;
  }
}
