// The program of the worker agent, and of the task supervisors that it starts.
#include <signal.h>
#include <sys/wait.h>

#include <CLI/CLI.hpp>
#include <cstdlib>

#include "agent/agent.h"
#include "agent/task_supervisor.h"
#include "log/log.h"

namespace {

using namespace shunttrail;

// Lets tests kill the process at a journal step that SHUNT_KILL_AT names, for example
// "launched.after:2" for the second occurrence. Not set in production.
agent::AgentJournal::Step kill_point() {
  const char* kill_at = std::getenv("SHUNT_KILL_AT");
  if (!kill_at) return [](const std::string&) {};
  std::string text = kill_at;
  auto colon = text.rfind(':');
  auto left =
      std::make_shared<int>(colon == std::string::npos ? 1 : std::stoi(text.substr(colon + 1)));
  return [name = text.substr(0, colon), left](const std::string& step) {
    if (step == name && --*left == 0) ::kill(::getpid(), SIGKILL);
  };
}

struct Signals {
  Signals(actor::Loop& loop, agent::Agent& served) : agent(served) {
    auto add = [&](int signal, event_callback_fn callback, void* context) {
      events.emplace_back(evsignal_new(loop.base(), signal, callback, context));
      event_add(events.back().get(), nullptr);
    };
    for (int signal : {SIGTERM, SIGINT})
      add(
          signal,
          [](evutil_socket_t, short, void* context) { static_cast<actor::Loop*>(context)->stop(); },
          &loop);
    add(
        SIGUSR2,
        [](evutil_socket_t, short, void* context) {
          static_cast<agent::Agent*>(context)->give_spot_notice();
        },
        &agent);
    // Waits for ended supervisors of this process; those of an earlier one are not its children.
    add(
        SIGCHLD,
        [](evutil_socket_t, short, void*) {
          while (::waitpid(-1, nullptr, WNOHANG) > 0) {
          }
        },
        nullptr);
  }
  agent::Agent& agent;
  std::vector<actor::EventPtr> events;
};

int run(const std::string& settings_path, const std::string& dir, bool check) {
  agent::Settings settings;
  try {
    settings = agent::parse_settings(config::read_file(settings_path, "settings"));
  } catch (const config::SettingsError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  if (check) return 0;
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit then fails, as on a full disk
  log::open("shunttrail-agent");
  try {
    actor::Loop loop;
    agent::Agent worker(loop, settings, dir, kill_point());
    Signals signals(loop, worker);
    log::info("agent started", {{"machine", settings.machine}});
    loop.run();
    // The tasks continue under their supervisors until the lease expires.
    log::info("agent stopped");
  } catch (const std::exception& error) {
    log::error("agent stopped by an error", {{"why", error.what()}});
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"shunttrail-agent: runs a machine's tasks for shunttrail"};
  app.set_version_flag("--version", std::string("shunttrail-agent 0.1.0"));
  std::string settings, dir, task_dir, lease_file;
  bool check = false;
  app.add_option("--settings", settings, "the agent's settings (XML)");
  app.add_option("--dir", dir, "directory of the agent's journal, tasks and images");
  app.add_flag("--check", check, "check the settings, then exit");
  auto* end =
      app.add_subcommand("end", "kill every task of the agent in DIR, and end its incarnation");
  end->add_option("--dir", dir, "the agent's directory")->required();
  auto* supervisor =
      app.add_subcommand("shepherd", "supervise one task (started by the agent)")->group("");
  supervisor->add_option("task-dir", task_dir)->required();
  supervisor->add_option("lease-page", lease_file)->required();
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    int status = app.exit(e);
    return status == 0 ? 0 : 2;
  }
  if (supervisor->parsed()) return agent::run_task_supervisor(task_dir, lease_file);
  if (end->parsed()) {
    try {
      auto lock = agent::try_lock(agent::AgentPaths{dir}.lock());
      if (!lock) {
        std::fprintf(stderr, "%s: an agent is still running in this directory\n", dir.c_str());
        return 1;
      }
      return agent::kill_all_tasks(agent::AgentPaths{std::filesystem::absolute(dir)}) ? 0 : 1;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "%s\n", error.what());
      return 1;
    }
  }
  if (settings.empty() || (dir.empty() && !check)) {
    std::fprintf(stderr, "--settings and --dir are required; see --help\n");
    return 2;
  }
  return run(settings, dir, check);
}
