// The whole service on one machine: controllers, a artifact store, a state service and a cloud
// whose machines are agents, all of them processes of this one. State stays in its directory; a
// second start goes on with it.
#pragma once
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "actor/loop.h"
#include "agent/processes.h"
#include "emulators/cloud.h"
#include "local_cluster/children.h"
#include "local_cluster/load_balancer.h"
#include "local_cluster/settings.h"

namespace shunttrail::local_cluster {

class LocalCluster : public actor::Actor {
 public:
  // `programs`: where shunttrail and shunt-agent are. `self`: this program, which also serves as
  // the state service and the artifact store. Throws std::runtime_error: another set has the
  // directory, or an address cannot be had.
  LocalCluster(actor::Loop& loop, Settings s, std::filesystem::path dir,
               const std::filesystem::path& programs, const std::filesystem::path& self,
               std::uint16_t port, std::function<void(std::string url)> ready);

  // Ends every process and every task, in an order that loses nothing; `gone` runs then.
  void end(std::function<void()> gone);

  Children& children() { return children_; }
  emulators::CloudEmulator& cloud() { return *cloud_; }
  std::filesystem::path machine_dir(const std::string& name) const;

 private:
  config::Endpoint take_address();
  void power_on(const emulators::CloudEmulator::Machine& m);
  void power_off(std::vector<std::string> machines, std::function<void()> done);
  void look();

  Settings settings_;
  std::filesystem::path dir_, programs_;
  agent::Fd lock_;
  std::set<std::uint16_t> taken_;
  std::uint16_t next_port_ = 20000;
  std::vector<AgentPlace> places_;
  config::Endpoint front_, state_at_, artifacts_at_, cloud_at_;
  Children children_;
  std::unique_ptr<emulators::CloudEmulator> cloud_;
  std::unique_ptr<LoadBalancer> load_balancer_;
  std::unique_ptr<net::Client> probe_;
  std::function<void(std::string)> ready_;
  bool ending_ = false;
  actor::Timer timer_;
};

}  // namespace shunttrail::local_cluster
