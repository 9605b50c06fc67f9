#include "local_cluster/local_cluster.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "artifacts/store.h"
#include "log/log.h"

namespace shunttrail::local_cluster {
namespace fs = std::filesystem;
namespace {

// Below the range that the system takes for its own connections.
constexpr std::uint16_t kFirstPort = 20000, kLastPort = 32000;

bool is_free(std::uint16_t port) {
  int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool ok = ::bind(s, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
  ::close(s);
  return ok;
}

agent::Fd own(const fs::path& dir) {
  fs::create_directories(dir);
  auto lock = agent::try_lock(dir / "lock");
  if (!lock) throw std::runtime_error(dir.string() + ": another set runs there");
  return std::move(*lock);
}

}  // namespace

LocalCluster::LocalCluster(actor::Loop& loop, Settings s, fs::path dir, const fs::path& programs,
                           const fs::path& self, std::uint16_t port,
                           std::function<void(std::string)> ready)
    : Actor(loop),
      settings_(std::move(s)),
      dir_(fs::absolute(std::move(dir))),
      programs_(programs),
      lock_(own(dir_)),
      // Sets that run beside one another begin to look at different places.
      next_port_(
          static_cast<std::uint16_t>(kFirstPort + ::getpid() * 97 % (kLastPort - kFirstPort))),
      children_(loop, dir_ / "logs"),
      ready_(std::move(ready)),
      timer_(loop, [this] { look(); }) {
  front_ = port ? config::Endpoint{"127.0.0.1", port} : take_address();
  state_at_ = take_address();
  artifacts_at_ = take_address();
  cloud_at_ = take_address();
  for (int i = 0; i < settings_.controllers; ++i)
    places_.push_back({"node-" + std::to_string(i),
                       settings_.zones[static_cast<std::size_t>(i) % settings_.zones.size()],
                       take_address(), take_address()});
  fs::create_directories(dir_ / "machines");
  fs::create_directories(dir_ / "controllers");
  children_.keep("state", {self.string(), "state", "--listen", text(state_at_), "--file",
                           (dir_ / "state" / "log").string()});
  children_.keep("depot", {self.string(), "depot", "--listen", text(artifacts_at_), "--dir",
                           (dir_ / "depot").string()});
  for (std::size_t i = 0; i < places_.size(); ++i) {
    fs::path file = dir_ / "controllers" / (places_[i].name + ".json");
    artifacts::write_whole(file, controller_settings(settings_, places_, i, state_at_, cloud_at_));
    children_.keep(places_[i].name,
                   {(programs_ / "shunttrail-controller").string(), "--config", file.string()});
  }
  cloud_ = std::make_unique<emulators::CloudEmulator>(
      loop, cloud_at_, settings_.types, settings_.cloud_rps, dir_ / "cloud.json",
      emulators::CloudEmulator::Power{[this] { return text(take_address()); },
                                      [this](const auto& m) { power_on(m); },
                                      [this](auto names, auto done) { power_off(names, done); }});
  std::vector<LoadBalancer::Backend> backends;
  for (const auto& p : places_) backends.push_back({p.front, p.internal});
  load_balancer_ = std::make_unique<LoadBalancer>(loop, front_, std::move(backends), artifacts_at_);
  probe_ = std::make_unique<net::Client>(loop, artifacts_at_, 1, 1);
  timer_.after(0.1);
}

config::Endpoint LocalCluster::take_address() {
  for (int i = 0; i < kLastPort - kFirstPort; ++i) {
    std::uint16_t port = next_port_++;
    if (next_port_ >= kLastPort) next_port_ = kFirstPort;
    if (taken_.contains(port) || !is_free(port)) continue;
    taken_.insert(port);
    return {"127.0.0.1", port};
  }
  throw std::runtime_error("no free port is left");
}

fs::path LocalCluster::machine_dir(const std::string& name) const {
  return dir_ / "machines" / name;
}

void LocalCluster::power_on(const emulators::CloudEmulator::Machine& m) {
  if (ending_) return;
  fs::path dir = machine_dir(m.name);
  fs::create_directories(dir);
  fs::path file = dir / "agent.xml";
  artifacts::write_whole(file, agent_settings(settings_, places_, m, artifacts_at_));
  children_.keep(m.name, {(programs_ / "shunttrail-agent").string(), "--settings", file.string(),
                          "--dir", dir.string()});
}

// As when a machine loses its power: nothing is saved, and nothing is left.
void LocalCluster::power_off(std::vector<std::string> machines, std::function<void()> done) {
  auto left = std::make_shared<std::size_t>(machines.size());
  if (machines.empty()) return done();
  for (const auto& name : machines) {
    auto over = [this, name, left, done](int status) {
      if (status != 0) log::error("machine's tasks may not be gone", {{"machine", name}});
      std::error_code ignored;
      if (!ending_) fs::remove_all(machine_dir(name), ignored);
      if (--*left == 0) done();
    };
    children_.stop(name, SIGKILL, [this, name, over] {
      if (!fs::exists(machine_dir(name))) return over(0);
      children_.once(
          "end-" + name,
          {(programs_ / "shunttrail-agent").string(), "end", "--dir", machine_dir(name).string()},
          over);
    });
  }
}

// Whether users can be served: a controller is up, and the artifact store is.
void LocalCluster::look() {
  if (ending_ || !ready_) return;
  if (!load_balancer_->healthy()) return timer_.after(0.1);
  probe_->request("GET", "/depot/up", "", 1, reply<net::Result>([this](net::Result r) {
                    if (ending_ || !ready_) return;
                    if (r.status != 200) return timer_.after(0.1);
                    std::exchange(ready_, nullptr)("http://" + text(front_));
                  }));
}

void LocalCluster::end(std::function<void()> gone) {
  if (ending_) return;
  ending_ = true;
  log::info("set ends");
  // Users first, then who could start anything, then the machines, then what keeps their record.
  load_balancer_.reset();
  auto left = std::make_shared<std::size_t>(places_.size());
  for (const auto& p : places_)
    children_.stop(p.name, SIGTERM, [this, left, gone] {
      if (--*left > 0) return;
      std::vector<std::string> machines;
      for (const auto& [name, m] : cloud_->machines()) machines.push_back(name);
      power_off(machines, [this, gone] {
        children_.stop("depot", SIGTERM,
                       [this, gone] { children_.stop("state", SIGTERM, [gone] { gone(); }); });
      });
    });
}

}  // namespace shunttrail::local_cluster
