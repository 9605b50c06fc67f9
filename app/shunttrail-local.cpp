// The whole service on one machine, in the foreground.
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

int serve_state(const std::string& at, const std::string& file) {
  log::open("shunttrail-state-emulator");
  actor::Loop loop;
  emulators::StateServiceEmulator state(loop, config::parse_endpoint(at, "--listen"), file);
  loop.run();
  return 0;
}

int serve_depot(const std::string& at, const std::string& dir) {
  log::open("shunttrail-artifacts");
  actor::Loop loop;
  artifacts::Server server(loop, config::parse_endpoint(at, "--listen"), dir);
  loop.run();
  return 0;
}

int run(const local_cluster::Settings& settings, const std::string& dir, std::uint16_t port) {
  log::open("shunttrail-local");
  fs::path self = fs::read_symlink("/proc/self/exe");
  actor::Loop loop;
  local_cluster::LocalCluster set(loop, settings, dir, self.parent_path(), self, port,
                                  [](std::string url) {
                                    std::printf("ready %s\n", url.c_str());
                                    std::fflush(stdout);
                                  });
  struct Context {
    local_cluster::LocalCluster& set;
    actor::Loop& loop;
  } context{set, loop};
  std::vector<actor::EventPtr> events;
  for (int n : {SIGINT, SIGTERM}) {
    events.emplace_back(evsignal_new(
        loop.base(), n,
        [](evutil_socket_t, short, void* arg) {
          auto& c = *static_cast<Context*>(arg);
          c.set.end([&c] { c.loop.stop(); });
        },
        &context));
    event_add(events.back().get(), nullptr);
  }
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"shunttrail-local: the whole service on one machine, in the foreground"};
  app.set_version_flag("--version", std::string("shunttrail-local 0.1.0"));
  std::string dir, settings_path, listen, file;
  int controllers = 0, port = 0;
  bool check = false;
  app.add_option("--dir", dir, "where everything is kept; a second start goes on with it");
  app.add_option("--settings", settings_path, "the set's settings (XML); deploy/local.xml");
  app.add_option("--controllers", controllers, "how many controllers, instead of the settings'")
      ->check(CLI::Range(1, 9));
  app.add_option("--port", port, "the users' port; a free one if it is not given")
      ->check(CLI::Range(1, 65535));
  app.add_flag("--check", check, "check the settings, then exit");
  auto* state = app.add_subcommand("state", "the state service's stand-in")->group("");
  state->add_option("--listen", listen)->required();
  state->add_option("--file", file);
  auto* artifacts = app.add_subcommand("depot", "the depot alone");
  artifacts->add_option("--listen", listen, "HOST:PORT")->required();
  artifacts->add_option("--dir", dir, "where it is kept")->required();
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    int r = app.exit(e);
    return r == 0 ? 0 : 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  try {
    if (state->parsed()) return serve_state(listen, file);
    if (artifacts->parsed()) return serve_depot(listen, dir);
    if (settings_path.empty())
      settings_path =
          fs::read_symlink("/proc/self/exe").parent_path().parent_path() / "deploy" / "local.xml";
    auto settings = local_cluster::parse_settings(config::read_file(settings_path, "settings"));
    if (controllers) settings.controllers = controllers;
    if (check) return 0;
    if (dir.empty()) {
      std::fprintf(stderr, "--dir is needed; see --help\n");
      return 2;
    }
    return run(settings, dir, static_cast<std::uint16_t>(port));
  } catch (const config::SettingsError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "shunttrail-local: %s\n", e.what());
    return 1;
  }
}
