// shunttrail-chaos: executes a chaos run on one machine and prints its measurements. Exits with 1
// if a task's history has a fault.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "chaos/chaos_run.h"

int main(int argc, char** argv) {
  using namespace shunttrail;
  CLI::App app{
      "shunttrail-chaos: kill processes of a local cluster at random and check its tasks' results"};
  app.set_version_flag("--version", std::string("shunttrail-chaos 0.1.0"));
  chaos::ChaosPlan plan;
  std::string dir;
  app.add_option("--dir", dir, "an empty directory")->required();
  app.add_option("--tasks", plan.tasks)->check(CLI::Range(1, 100000))->capture_default_str();
  app.add_option("--machines", plan.machines)->check(CLI::Range(1, 100))->capture_default_str();
  app.add_option("--kill-every-s", plan.kill_every_s, "mean interval between kills; 0: no kills")
      ->capture_default_str();
  app.add_option("--limit-s", plan.limit_s)->capture_default_str();
  app.add_option("--seed", plan.seed)->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  plan.dir = std::filesystem::absolute(dir);
  plan.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  try {
    chaos::ChaosResult result = chaos::run(plan);
    std::printf("%s\n", chaos::to_json(result).c_str());
    return result.faults.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "shunttrail-chaos: %s\n", error.what());
    return 1;
  }
}
