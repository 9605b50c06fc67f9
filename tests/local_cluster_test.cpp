// Tests of a whole cluster as processes on loopback, driven by its command line, and of the checker
// of task histories, which is given a history with each kind of fault.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

#include "chaos/attempts.h"
#include "chaos/chaos_run.h"
#include "cli/service_client.h"
#include "local_cluster/settings.h"

namespace shunttrail::test {
namespace {
namespace fs = std::filesystem;

struct TestCluster {
  fs::path dir;
  pid_t pid = 0;
  std::string url;
  TestCluster() {
    std::string name = fs::temp_directory_path() / "shunt-set-XXXXXX";
    dir = ::mkdtemp(name.data());
  }
  ~TestCluster() {
    end();
    fs::remove_all(dir);
  }
  void start() {
    const std::string home = dir / "set",
                      settings = std::string(SHUNTTRAIL_SOURCE) + "/deploy/local.xml",
                      log = dir / "log";
    int out[2];
    ASSERT_EQ(::pipe(out), 0);
    pid = ::fork();
    if (pid == 0) {
      ::dup2(out[1], 1);
      int err = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(err, 2);
      ::close(out[0]);
      ::close(out[1]);
      ::execl(SHUNTTRAIL_LOCAL, "shunttrail-local", "--dir", home.c_str(), "--settings",
              settings.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(out[1]);
    std::string line;
    for (char c; ::read(out[0], &c, 1) == 1 && c != '\n';) line += c;
    ::close(out[0]);
    ASSERT_TRUE(line.starts_with("ready http://127.0.0.1:")) << line;
    url = line.substr(6);
  }
  int end() {
    if (pid <= 0) return 0;
    int status = 0;
    ::kill(pid, SIGTERM);
    ::waitpid(pid, &status, 0);
    pid = 0;
    return status;
  }
  // Runs shunttrailctl with these words. Returns its exit status and its output.
  std::pair<int, std::string> run_ctl(const std::string& words) const {
    const std::string command = std::string(SHUNTTRAIL_CTL) + " --server " + url + " " + words +
                                " 2>>" + (dir / "ctl.err").string();
    FILE* output = ::popen(command.c_str(), "r");
    std::string out;
    char buffer[4096];
    for (std::size_t n; (n = ::fread(buffer, 1, sizeof buffer, output)) > 0;) out.append(buffer, n);
    int status = ::pclose(output);
    while (!out.empty() && out.back() == '\n') out.pop_back();
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
  }
  // Returns the number of processes whose command line names the cluster's directory.
  int count_processes() const {
    int count = 0;
    for (const auto& entry : fs::directory_iterator("/proc")) {
      std::ifstream in(entry.path() / "cmdline", std::ios::binary);
      std::ostringstream text;
      text << in.rdbuf();
      count += text.str().find((dir / "set").string()) != std::string::npos;
    }
    return count;
  }
};

TEST(LocalCluster, RunsCommandsShowsTheirOutputAndResumesAfterRestart) {
  TestCluster cluster;
  cluster.start();
  auto [code, id] =
      cluster.run_ctl("submit --tasks 2 --wait -- sh -c 'echo out of $SHUNT_TASK; echo e >&2'");
  EXPECT_EQ(code, 0);
  EXPECT_EQ(cluster.run_ctl("output " + id + " --task 1").second, "out of 1");
  EXPECT_EQ(cluster.run_ctl("output " + id + " --task 1 --err").second, "e");
  EXPECT_EQ(cluster.run_ctl("output " + id + " --task 2").first, 1);
  EXPECT_EQ(cluster.run_ctl("status --json " + id).second,
            R"({"done":2,"id":")" + id + R"(","running":0,"state":"done"})");
  EXPECT_EQ(cluster.run_ctl("submit --wait -- sh -c 'exit 7'").first, 7);
  auto running = cluster.run_ctl("submit -- sleep 1000").second;
  auto next = cluster.run_ctl("submit --awaits " + id + " -- echo after").second;
  EXPECT_EQ(cluster.run_ctl("wait " + next).first, 0);
  EXPECT_EQ(cluster.run_ctl("withdraw " + running).first, 0);
  EXPECT_EQ(cluster.run_ctl("wait " + running).first, 1);
  EXPECT_EQ(cluster.run_ctl("status run-123456789").first, 1);
  EXPECT_EQ(cluster.run_ctl("status nonsense").first, 2);
  EXPECT_EQ(cluster.run_ctl("submit --team nobody -- true").first, 1);
  EXPECT_EQ(cluster.run_ctl("submit --priority soon -- true").first, 2);
  EXPECT_EQ(cluster.run_ctl("submit").first, 2);
  auto unfinished = cluster.run_ctl("submit --vcpus 2 -- sh -c 'sleep 2; echo survived'").second;
  EXPECT_EQ(cluster.end(), 0);
  EXPECT_EQ(cluster.count_processes(), 0);
  cluster.start();
  EXPECT_EQ(cluster.run_ctl("status " + id).first, 0);
  EXPECT_EQ(cluster.run_ctl("wait " + unfinished).first, 0);
  EXPECT_EQ(cluster.run_ctl("output " + unfinished).second, "survived");
  EXPECT_EQ(cluster.end(), 0);
  EXPECT_EQ(cluster.count_processes(), 0);
}

// Three controllers of one build raise the schema level without an order. An order to hold lowers
// it, and an order to release raises it again.
TEST(LocalCluster, TheSchemaVersionIsRaisedHeldAndLowered) {
  TestCluster cluster;
  cluster.start();
  EXPECT_NE(cluster.run_ctl("links").second.find("passes reports on: switched off"),
            std::string::npos);
  auto levels = [&](const std::string& words) {
    return nlohmann::json::parse(cluster.run_ctl("levels --json " + words).second);
  };
  // Waits until this level is active and all stored state has its form.
  auto reaches_level = [&](int level) {
    nlohmann::json status;
    for (int i = 0; i < 300; ++i) {
      status = levels("");
      if (status["active"] == level && status["stands"] == nlohmann::json{level, level})
        return true;
      ::usleep(100000);
    }
    ADD_FAILURE() << status;
    return false;
  };
  ASSERT_TRUE(reaches_level(1));
  auto status = levels("");
  EXPECT_EQ(status["nodes"].size(), 3u);
  EXPECT_EQ(status["nodes"][0]["reads"], (nlohmann::json{0, 2}));
  EXPECT_TRUE(status["nodes"][2]["alive"]);
  // Level 2 is used only where delegation is switched on; nothing else holds it back.
  ASSERT_EQ(status["held_by"].size(), 1u);
  EXPECT_EQ(status["held_by"][0]["by"], "build");
  EXPECT_EQ(cluster.run_ctl("submit --wait -- true").first, 0);
  EXPECT_EQ(levels("--hold 0")["hold"], 0);
  ASSERT_TRUE(reaches_level(0));
  EXPECT_EQ(levels("")["held_by"][0]["by"], "orders");
  EXPECT_EQ(cluster.run_ctl("submit --wait -- true").first, 0);
  EXPECT_EQ(cluster.run_ctl("levels --gone node-0").first, 1);  // the node is alive
  EXPECT_EQ(cluster.run_ctl("levels --gone nobody").first, 1);
  EXPECT_EQ(cluster.run_ctl("levels --hold 0 --release").first, 2);
  levels("--release");
  ASSERT_TRUE(reaches_level(1));
  EXPECT_NE(cluster.run_ctl("levels").second.find("state level 1 is active"), std::string::npos);
  EXPECT_EQ(cluster.end(), 0);
}

// While the stored state has a level that no controller can read, no controller serves, is
// registered or writes. All resume without an order when they can read the state again.
TEST(LocalCluster, NoControllerServesWhileNoBuildReadsTheStoredState) {
  TestCluster cluster;
  cluster.start();
  ASSERT_EQ(cluster.run_ctl("submit --wait -- true").first, 0);
  std::ifstream in(cluster.dir / "set" / "controllers" / "node-0.json");
  cli::ServiceClient state(nlohmann::json::parse(in)["services"]["state"].get<std::string>());
  auto write_stored_level = [&](int n) {
    const std::string text = std::to_string(n);
    state.post("/commit", R"({"guards":[],"writes":[{"set":"st/l/active","value":{"level":)" +
                              text + R"(,"lowest":)" + text + R"(,"highest":)" + text +
                              R"(,"w":"x"}}]})");
  };
  auto eventually = [&](const std::function<bool()>& condition) {
    for (int i = 0; i < 300 && !condition(); ++i) ::usleep(100000);
    return condition();
  };
  auto revision = [&] {
    return nlohmann::json::parse(state.get("/kv?starts=st/n/").body)["ledger"].get<int>();
  };
  auto registered = [&] {
    return nlohmann::json::parse(state.get("/kv?starts=st/n/").body)["entries"].size();
  };
  write_stored_level(5);
  EXPECT_TRUE(eventually([&] { return registered() == 0 && cluster.run_ctl("up").first == 1; }));
  const int revision_before = revision();
  ::usleep(1500000);
  EXPECT_EQ(revision(), revision_before);
  write_stored_level(1);
  EXPECT_EQ(cluster.run_ctl("submit --wait -- true").first, 0);
  EXPECT_TRUE(eventually([&] { return registered() == 3; }));
  EXPECT_EQ(cluster.end(), 0);
}

// A shorter version of the chaos run in docs/results.md.
TEST(LocalCluster, RandomKillsLeaveEachTaskOneAnswer) {
  std::string name = fs::temp_directory_path() / "shunt-trial-XXXXXX";
  chaos::ChaosPlan plan;
  plan.dir = ::mkdtemp(name.data());
  plan.programs = fs::path(SHUNTTRAIL_LOCAL).parent_path();
  plan.tasks = 80;
  plan.machines = 4;
  plan.limit_s = 300;
  plan.seed = 20;
  chaos::ChaosResult result = chaos::run(plan);
  EXPECT_TRUE(result.faults.empty()) << chaos::to_json(result);
  EXPECT_GE(result.ends, 80u);
  fs::remove_all(plan.dir);
}

TEST(AttemptHistory, ReportsEachKindOfFault) {
  auto faults = [](const std::string& log, std::vector<std::uint64_t> answers) {
    chaos::AttemptHistory history;
    std::istringstream in(log);
    history.read(in);
    for (auto n : answers) history.record_result("run-1", 0, n);
    std::string all;
    for (const auto& f : history.faults({{"run-1", 1}})) all += f + "\n";
    return all;
  };
  const std::string good = "begin run-1 0 5 1.5\nend run-1 0 5 2.5\n";
  EXPECT_EQ(faults(good, {5}), "");
  EXPECT_EQ(faults("begin run-1 0 4 1\n" + good, {5}),
            "");  // attempt 4 was killed, and the task was retried
  EXPECT_NE(faults(good, {}).find("no final result"), std::string::npos);
  EXPECT_NE(faults(good, {5, 5}).find("2 final results"), std::string::npos);
  EXPECT_NE(faults(good, {6}).find("never ended"), std::string::npos);
  EXPECT_NE(faults(good + "overlap run-1 0 6 3\n", {5}).find("overlapped another attempt"),
            std::string::npos);
  EXPECT_NE(faults(good + "begin run-1 0 5 3\n", {5}).find("twice"), std::string::npos);
  EXPECT_NE(faults(good + "begin run-2 0 5 3\n", {5}).find("never submitted"), std::string::npos);
  EXPECT_NE(faults(good + "begin run-1 0\n", {5}).find("incomplete line"), std::string::npos);
}

// deploy/service.toml starts every controller with deploy/run.xml.
TEST(LocalSettings, DeployedTuningIsValidAndEnablesRelay) {
  auto tuning = config::parse_tuning(
      config::read_file(std::string(SHUNTTRAIL_SOURCE) + "/deploy/run.xml", "deploy/run.xml"));
  EXPECT_TRUE(tuning.relay);
}

TEST(LocalSettings, ShippedFileIsValidAndErrorsNameTheElement) {
  std::ifstream in(std::string(SHUNTTRAIL_SOURCE) + "/deploy/local.xml");
  std::ostringstream text;
  text << in.rdbuf();
  auto settings = local_cluster::parse_settings(text.str());
  EXPECT_EQ(settings.controllers, 3);
  auto expect_error = [&](const std::string& from, const std::string& to,
                          const std::string& expected) {
    std::string invalid = text.str();
    invalid.replace(invalid.find(from), from.size(), to);
    try {
      local_cluster::parse_settings(invalid);
      ADD_FAILURE() << to;
    } catch (const config::SettingsError& e) {
      EXPECT_NE(std::string(e.what()).find(expected), std::string::npos) << e.what();
    }
  };
  expect_error("<lease-s>6", "<lease-s>60", "shunt-local.cancel-s");
  expect_error("cpus-max=\"32\"", "cpus-max=\"many\"", "team@cpus-max");
  expect_error("<zones>", "<rooms/><zones>", "shunt-local.rooms");
  expect_error("</shunt-local>", "</shunt>", "line");
}

}  // namespace
}  // namespace shunttrail::test
