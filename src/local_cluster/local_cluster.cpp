#include "local_cluster/local_cluster.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

#include "artifacts/store.h"
#include "log/log.h"

namespace shunttrail::local_cluster {
namespace fs = std::filesystem;
namespace {

// The range is below the kernel's ephemeral ports.
constexpr std::uint16_t kFirstPort = 20000, kLastPort = 32000;
constexpr int kPortStride = 97;  // concurrent clusters start their search at different ports
constexpr const char* kLoopback = "127.0.0.1";
constexpr double kReadyIntervalS = 0.1, kReadyTimeoutS = 1;

// Names of child processes, and of their log files.
constexpr const char* kStateService = "state";
constexpr const char* kArtifactStore = "depot";

bool is_free(std::uint16_t port) {
  const agent::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::bind(socket.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

std::uint16_t first_port() {
  return static_cast<std::uint16_t>(kFirstPort +
                                    ::getpid() * kPortStride % (kLastPort - kFirstPort));
}

agent::Fd lock_directory(const fs::path& dir) {
  fs::create_directories(dir);
  auto lock = agent::try_lock(dir / "lock");
  if (!lock) throw std::runtime_error(dir.string() + ": another set runs there");
  return std::move(*lock);
}

ClusterOptions absolute(ClusterOptions options) {
  options.dir = fs::absolute(options.dir);
  return options;
}

// Returns a function that calls `done` at its own `count`-th call.
std::function<void()> after_calls(std::size_t count, const std::function<void()>& done) {
  return [left = std::make_shared<std::size_t>(count), done] {
    if (--*left == 0) done();
  };
}

}  // namespace

LocalCluster::LocalCluster(actor::Loop& loop, Settings settings, ClusterOptions options,
                           std::function<void(std::string)> ready)
    : Actor(loop),
      settings_(std::move(settings)),
      options_(absolute(std::move(options))),
      lock_(lock_directory(options_.dir)),
      next_port_(first_port()),
      children_(loop, options_.dir / "logs"),
      ready_(std::move(ready)),
      timer_(loop, [this] { check_ready(); }) {
  take_addresses();
  start_services();
  start_controllers();
  start_cloud();
  start_load_balancer();
  artifacts_probe_ = std::make_unique<net::Client>(loop, artifacts_address_, 1, 1);
  timer_.after(kReadyIntervalS);
}

void LocalCluster::take_addresses() {
  front_address_ = options_.port ? config::Endpoint{kLoopback, options_.port} : take_address();
  state_address_ = take_address();
  artifacts_address_ = take_address();
  cloud_address_ = take_address();
  for (int i = 0; i < settings_.controllers; ++i) {
    const auto& zone = settings_.zones[static_cast<std::size_t>(i) % settings_.zones.size()];
    const config::Endpoint front = take_address();
    const config::Endpoint internal = take_address();
    controllers_.push_back({"node-" + std::to_string(i), zone, front, internal});
  }
}

config::Endpoint LocalCluster::take_address() {
  for (int i = 0; i < kLastPort - kFirstPort; ++i) {
    const std::uint16_t port = next_port_++;
    if (next_port_ >= kLastPort) next_port_ = kFirstPort;
    if (taken_ports_.contains(port) || !is_free(port)) continue;
    taken_ports_.insert(port);
    return {kLoopback, port};
  }
  throw std::runtime_error("no free port for the local cluster between " +
                           std::to_string(kFirstPort) + " and " + std::to_string(kLastPort));
}

void LocalCluster::start_services() {
  fs::create_directories(options_.dir / "machines");
  fs::create_directories(options_.dir / "controllers");
  const std::string program = options_.services_program.string();
  children_.keep_running(kStateService, {program, "state", "--listen", to_text(state_address_),
                                         "--file", (options_.dir / "state" / "log").string()});
  children_.keep_running(kArtifactStore, {program, "depot", "--listen", to_text(artifacts_address_),
                                          "--dir", (options_.dir / "depot").string()});
}

void LocalCluster::start_controllers() {
  const std::string program = options_.programs / "shunttrail-controller";
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    const fs::path file = options_.dir / "controllers" / (controllers_[i].name + ".json");
    artifacts::replace_file(
        file, controller_settings(settings_, controllers_, i, state_address_, cloud_address_));
    children_.keep_running(controllers_[i].name, {program, "--config", file.string()});
  }
}

void LocalCluster::start_cloud() {
  cloud_ = std::make_unique<emulators::CloudEmulator>(
      loop_, cloud_address_, settings_.types, settings_.cloud_rps, options_.dir / "cloud.json",
      emulators::CloudEmulator::Power{
          [this] { return to_text(take_address()); },
          [this](const auto& machine) { power_on(machine); },
          [this](auto machines, auto done) { power_off(machines, done); }});
}

void LocalCluster::start_load_balancer() {
  std::vector<LoadBalancer::Backend> backends;
  for (const auto& controller : controllers_)
    backends.push_back({controller.front, controller.internal});
  load_balancer_ = std::make_unique<LoadBalancer>(loop_, front_address_, std::move(backends),
                                                  artifacts_address_);
}

fs::path LocalCluster::machine_dir(const std::string& name) const {
  return options_.dir / "machines" / name;
}

std::string LocalCluster::agent_program() const { return options_.programs / "shunttrail-agent"; }

void LocalCluster::power_on(const emulators::CloudEmulator::Machine& machine) {
  if (is_ending_) return;
  const fs::path dir = machine_dir(machine.name);
  fs::create_directories(dir);
  const fs::path file = dir / "agent.xml";
  artifacts::replace_file(file,
                          agent_settings(settings_, controllers_, machine, artifacts_address_));
  children_.keep_running(machine.name,
                         {agent_program(), "--settings", file.string(), "--dir", dir.string()});
}

// Emulates a power failure: kills the agents and tasks without saving. Removes the machines' files,
// unless the whole cluster stops.
void LocalCluster::power_off(const std::vector<std::string>& machines,
                             const std::function<void()>& done) {
  if (machines.empty()) return done();
  const auto one_done = after_calls(machines.size(), done);
  for (const std::string& machine : machines) power_off_one(machine, one_done);
}

void LocalCluster::power_off_one(const std::string& machine, const std::function<void()>& done) {
  auto tasks_ended = [this, machine, done](int exit_status) {
    if (exit_status != 0)
      log::error("ending the tasks of a powered-off machine failed; some may still run",
                 {{"machine", machine}, {"status", exit_status}});
    std::error_code ignored;
    if (!is_ending_) fs::remove_all(machine_dir(machine), ignored);
    done();
  };
  children_.stop(machine, SIGKILL,
                 [this, machine, tasks_ended] { end_tasks(machine, tasks_ended); });
}

void LocalCluster::end_tasks(const std::string& machine, const std::function<void(int)>& done) {
  const fs::path dir = machine_dir(machine);
  if (!fs::exists(dir)) return done(0);
  children_.run_once("end-" + machine, {agent_program(), "end", "--dir", dir.string()}, done);
}

// Calls ready_ once a controller is healthy and the artifact store answers; otherwise checks again
// after kReadyIntervalS.
void LocalCluster::check_ready() {
  if (is_ending_ || !ready_) return;
  if (!load_balancer_->healthy()) return timer_.after(kReadyIntervalS);
  artifacts_probe_->request("GET", "/depot/up", "", kReadyTimeoutS,
                            reply<net::Result>([this](net::Result result) {
                              if (is_ending_ || !ready_) return;
                              if (result.status != 200) return timer_.after(kReadyIntervalS);
                              std::exchange(ready_, nullptr)("http://" + to_text(front_address_));
                            }));
}

void LocalCluster::end(std::function<void()> done) {
  if (is_ending_) return;
  is_ending_ = true;
  log::info("local cluster stops");
  // The order is: the load balancer, then the controllers, which could start tasks, then the
  // machines, and last the services that store their state.
  load_balancer_.reset();
  const auto controller_ended =
      after_calls(controllers_.size(), [this, done] { end_machines(done); });
  for (const auto& controller : controllers_)
    children_.stop(controller.name, SIGTERM, controller_ended);
}

void LocalCluster::end_machines(const std::function<void()>& done) {
  std::vector<std::string> machines;
  for (const auto& [name, machine] : cloud_->machines()) machines.push_back(name);
  power_off(machines, [this, done] { end_services(done); });
}

void LocalCluster::end_services(const std::function<void()>& done) {
  children_.stop(kArtifactStore, SIGTERM,
                 [this, done] { children_.stop(kStateService, SIGTERM, done); });
}

}  // namespace shunttrail::local_cluster
