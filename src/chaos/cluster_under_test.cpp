#include "chaos/cluster_under_test.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

#include "agent/processes.h"
#include "agent/task_files.h"
#include "chaos/process_info.h"

namespace shunttrail::chaos {
namespace fs = std::filesystem;
namespace {

constexpr const char* kProgram = "shunttrail-local";
// The start of the line that the program prints once it serves; the URL follows.
constexpr const char* kReady = "ready ";
constexpr int kCpusPerMachine = 4;

std::string read_line(const agent::Fd& fd) {
  std::string line;
  for (char c; ::read(fd.get(), &c, 1) == 1 && c != '\n';) line += c;
  return line;
}

}  // namespace

ClusterUnderTest::ClusterUnderTest(const ChaosPlan& plan)
    : plan_(plan),
      settings_(plan.dir / "set.xml"),
      data_dir_(plan.dir / "set"),
      log_(plan.dir / "set.log") {
  fs::create_directories(plan.dir);
  write_settings();
  start();
}

void ClusterUnderTest::write_settings() const {
  const auto cpus = kCpusPerMachine * plan_.machines;
  std::ofstream(settings_)
      << "<shunt-local><zones><zone>a</zone><zone>b</zone></zones><teams><team name='t' cpus='"
      << cpus << "' cpus-max='" << cpus
      << "'/></teams><types><type name='m4' cpus='4' mem-gb='8' hourly='0.4' spot='0.1' "
         "boot-s='0.3' most='"
      << plan_.machines << "'/></types><disk-reserve-mb>1</disk-reserve-mb></shunt-local>";
}

void ClusterUnderTest::start() {
  int pipe_fds[2];
  if (::pipe2(pipe_fds, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe for the output of shunttrail-local");
  const agent::Fd output(pipe_fds[0]);
  agent::Fd child_output(pipe_fds[1]);
  pid_ = ::fork();
  if (pid_ == 0) exec(child_output.get());
  child_output = agent::Fd();
  const std::string line = read_line(output);
  if (!line.starts_with(kReady)) throw std::runtime_error("the set does not start: " + line);
  url_ = line.substr(std::string(kReady).size());
}

void ClusterUnderTest::exec(int output) const {
  const int error = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(error, STDERR_FILENO);
  ::execl((plan_.programs / kProgram).c_str(), kProgram, "--dir", data_dir_.c_str(), "--settings",
          settings_.c_str(), nullptr);
  ::_exit(127);
}

void ClusterUnderTest::end() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGTERM);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

std::vector<pid_t> ClusterUnderTest::agents() const { return children_running("shunttrail-agent"); }

std::vector<pid_t> ClusterUnderTest::controllers() const {
  return children_running("shunttrail-controller");
}

// Returns the children that run this program, without `shunttrail-agent end`, which stops a
// machine's remaining tasks and is no agent.
std::vector<pid_t> ClusterUnderTest::children_running(const std::string& program) const {
  std::vector<pid_t> found;
  for (pid_t child : agent::children_of(pid_)) {
    const auto words = command_line_of(child);
    if (words.empty() || fs::path(words[0]).filename() != program) continue;
    if (words.size() < 2 || words[1] != "end") found.push_back(child);
  }
  return found;
}

std::vector<pid_t> ClusterUnderTest::supervisors() const {
  std::vector<pid_t> found;
  std::error_code gone;
  for (const auto& machine : fs::directory_iterator(data_dir_ / "machines", gone))
    for (const auto& task : fs::directory_iterator(machine.path() / "tasks", gone)) {
      const agent::TaskDirectory directory{task.path()};
      const agent::Identity identity = agent::read_identity(directory.supervisor_identity());
      if (fs::exists(directory.end(), gone)) continue;
      if (agent::open_process(identity)) found.push_back(identity.pid);
    }
  return found;
}

}  // namespace shunttrail::chaos
