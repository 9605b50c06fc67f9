#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>

#include "controller/controller.h"

int main(int argc, char** argv) {
  CLI::App app{"shunttrail-controller: a controller of the cluster scheduler"};
  std::string config_path, tuning_path;
  bool check_only = false;
  app.add_option("--config", config_path, "settings of this node (JSON)")->required();
  app.add_option("--tuning", tuning_path, "operators' tuning (XML)");
  app.add_flag("--check", check_only, "check the settings and tuning, then exit");
  const auto build = shunttrail::schema::current_build();
  app.set_version_flag("--version", "shunttrail-controller 0.1.0, state levels " +
                                        std::to_string(build.lowest) + " to " +
                                        std::to_string(build.highest) + ", writes " +
                                        std::to_string(build.writes));
  CLI11_PARSE(app, argc, argv);

  spdlog::set_default_logger(spdlog::stderr_logger_st("shunttrail"));
  spdlog::set_pattern("%l %v");
  const char* level_variable = std::getenv("LOG_LEVEL");
  std::string level = level_variable ? level_variable : "error";
  spdlog::set_level(level == "debug"  ? spdlog::level::debug
                    : level == "info" ? spdlog::level::info
                                      : spdlog::level::err);
  std::signal(SIGPIPE, SIG_IGN);

  using namespace shunttrail;
  config::Settings settings;
  config::Tuning tuning;
  try {
    settings = config::parse_settings(config::read_file(config_path, "settings"));
    if (!tuning_path.empty())
      tuning = config::parse_tuning(config::read_file(tuning_path, "tuning"));
  } catch (const config::SettingsError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  if (check_only) return 0;
  try {
    actor::Loop loop;
    controller::Controller controller(loop, settings, tuning);
    loop.run();
  } catch (const std::exception& error) {
    spdlog::error("the controller ends after an error: {}", error.what());
    return 1;
  }
  return 0;
}
