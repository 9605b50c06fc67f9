// shunttrail-local: the whole service on one machine, in the foreground.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "artifacts/server.h"
#include "config/xml.h"
#include "emulators/state.h"
#include "local_cluster/local_cluster.h"
#include "log/log.h"

namespace {

using namespace shunttrail;
namespace fs = std::filesystem;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;  // the command line or the settings are invalid

fs::path own_program() { return fs::read_symlink("/proc/self/exe"); }

int serve_state(const std::string& address, const std::string& file) {
  log::open("shunttrail-state-emulator");
  actor::Loop loop;
  emulators::StateServiceEmulator state(loop, config::parse_endpoint(address, "--listen"), file);
  loop.run();
  return 0;
}

int serve_artifacts(const std::string& address, const std::string& dir) {
  log::open("shunttrail-artifacts");
  actor::Loop loop;
  artifacts::Server server(loop, config::parse_endpoint(address, "--listen"), dir);
  loop.run();
  return 0;
}

// Stops the cluster, and then the event loop, at the first SIGINT or SIGTERM.
class EndOnSignal {
 public:
  EndOnSignal(actor::Loop& loop, local_cluster::LocalCluster& cluster)
      : loop_(loop), cluster_(cluster) {
    for (int signal : {SIGINT, SIGTERM}) {
      events_.emplace_back(evsignal_new(
          loop.base(), signal,
          [](evutil_socket_t, short, void* self) { static_cast<EndOnSignal*>(self)->end(); },
          this));
      event_add(events_.back().get(), nullptr);
    }
  }

 private:
  void end() {
    cluster_.end([this] { loop_.stop(); });
  }
  actor::Loop& loop_;
  local_cluster::LocalCluster& cluster_;
  std::vector<actor::EventPtr> events_;
};

// Prints the line that tests and scripts wait for.
void print_ready(const std::string& url) {
  std::printf("ready %s\n", url.c_str());
  std::fflush(stdout);
}

int run_cluster(const local_cluster::Settings& settings, const std::string& dir,
                std::uint16_t port) {
  log::open("shunttrail-local");
  const fs::path program = own_program();
  actor::Loop loop;
  local_cluster::LocalCluster cluster(loop, settings, {dir, program.parent_path(), program, port},
                                      print_ready);
  const EndOnSignal end_on_signal(loop, cluster);
  loop.run();
  return 0;
}

struct Options {
  std::string dir, settings_file, listen, state_file;
  int controllers = 0;  // 0: the number in the settings
  int port = 0;         // 0: any free port
  bool check = false;
};

void add_options(CLI::App& app, Options& options) {
  app.set_version_flag("--version", std::string("shunttrail-local 0.1.0"));
  app.add_option("--dir", options.dir, "the directory of all files; a later start resumes from it");
  app.add_option("--settings", options.settings_file,
                 "the cluster's settings (XML); default: deploy/local.xml");
  app.add_option("--controllers", options.controllers,
                 "number of controllers, instead of the one in the settings")
      ->check(CLI::Range(1, 9));
  app.add_option("--port", options.port, "the port for users; default: any free port")
      ->check(CLI::Range(1, 65535));
  app.add_flag("--check", options.check, "check the settings, then exit");
  app.require_subcommand(0, 1);
}

CLI::App* add_state_command(CLI::App& app, Options& options) {
  CLI::App* command = app.add_subcommand("state", "the state service's emulator")->group("");
  command->add_option("--listen", options.listen)->required();
  command->add_option("--file", options.state_file);
  return command;
}

CLI::App* add_artifacts_command(CLI::App& app, Options& options) {
  CLI::App* command = app.add_subcommand("depot", "serve the depot (the artifact store) alone");
  command->add_option("--listen", options.listen, "HOST:PORT")->required();
  command->add_option("--dir", options.dir, "the depot's directory")->required();
  return command;
}

local_cluster::Settings read_settings(const Options& options) {
  fs::path file = options.settings_file;
  if (file.empty()) file = own_program().parent_path().parent_path() / "deploy" / "local.xml";
  auto settings = local_cluster::parse_settings(config::read_file(file, "settings"));
  if (options.controllers) settings.controllers = options.controllers;
  return settings;
}

int run_default(const Options& options) {
  const local_cluster::Settings settings = read_settings(options);
  if (options.check) return 0;
  if (options.dir.empty()) {
    std::fprintf(stderr, "--dir is needed; see --help\n");
    return kExitUsage;
  }
  return run_cluster(settings, options.dir, static_cast<std::uint16_t>(options.port));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"shunttrail-local: the whole service on one machine, in the foreground"};
  Options options;
  add_options(app, options);
  const CLI::App* state = add_state_command(app, options);
  const CLI::App* artifacts = add_artifacts_command(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  ::signal(SIGPIPE, SIG_IGN);
  try {
    if (state->parsed()) return serve_state(options.listen, options.state_file);
    if (artifacts->parsed()) return serve_artifacts(options.listen, options.dir);
    return run_default(options);
  } catch (const config::SettingsError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kExitUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "shunttrail-local: %s\n", error.what());
    return kExitFailed;
  }
}
