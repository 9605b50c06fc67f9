#include "rehearsal/set.h"

#include <algorithm>

namespace shunt::rehearsal {

using wire::RunState;

namespace {
constexpr double kLook = 0.25;  // between two looks at the rules
constexpr double kBoot = 3;
}  // namespace

Set::Set(unsigned seed, const Scale& scale)
    : scale_(scale),
      sim_(seed),
      cuts_(static_cast<std::size_t>(scale.controllers)),
      refused_until_(static_cast<std::size_t>(scale.controllers), 0) {
  sim_.way = [this](const Request& r) { return way(r); };
  sim_.hold_answer = [this](const Request& r) { return hold_answer(r); };
  tuning_.relay = scale.relay;
  config::Settings& s = base_;
  for (int n = 0; n < scale.controllers; ++n) s.nodes.push_back("node-" + std::to_string(n));
  s.zones = {"a", "b"};
  s.teams = {{"red", scale.team_limit / 2, scale.team_limit, 0, 0},
             {"blue", scale.team_limit / 2, scale.team_limit, 0, 0}};
  s.team_shard = {0, std::min(1, scale.controllers - 1)};
  s.report_s = scale.report_s;
  s.lease_s = scale.lease_s;
  s.cancel_s = scale.told_cancel_s > 0 ? scale.told_cancel_s : scale.cancel_s;
  s.state_limits = s.state_next = {3000, 1000, 16, 16};
  s.cloud_rps = 60;
  s.list_lag_s = 1;
  s.state = {"state", 1};
  s.cloud = {"cloud", 1};

  state_host_ = std::make_unique<Host>(sim_, "state");
  cloud_host_ = std::make_unique<Host>(sim_, "cloud");
  users_host_ = std::make_unique<Host>(sim_, "users");
  state_ = std::make_unique<standins::State>(state_host_->loop(), s.state, "");
  wire::MachineType type{"t4", scale.machine_cpus, 0, 64, 0.4, 0.1, kBoot, s.zones};
  std::vector<standins::CloudType> types{{type, scale.machines}};
  types.insert(types.end(), scale.more_types.begin(), scale.more_types.end());
  cloud_ = std::make_unique<standins::Cloud>(
      cloud_host_->loop(), s.cloud, std::move(types), 60, "",
      standins::Cloud::Power{
          [this] { return "w-" + std::to_string(++addresses_) + ":9"; },
          [this](const standins::Cloud::Machine& m) { power_on(m); },
          [this](std::vector<std::string> names, const std::function<void()>& gone) {
            for (const auto& m : machines_)
              if (std::find(names.begin(), names.end(), m->name) != names.end() && m->worker) {
                lost_before_ += m->worker->leases_lost();
                m->worker.reset();
                m->host.reset();
              }
            gone();
          }},
      seed);
  nodes_.resize(static_cast<std::size_t>(scale.controllers));
  for (int n = 0; n < scale.controllers; ++n) start(n);
}

Set::~Set() {
  asked_.clear();
  for (auto& n : nodes_) n.controller.reset();
  for (auto& m : machines_) m->worker.reset();
  cloud_.reset();
  state_.reset();
}

void Set::start(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (n.controller) return;
  // Steady clocks drift apart by as much as the protocol allows.
  n.host = std::make_unique<Host>(sim_, base_.nodes[static_cast<std::size_t>(node)],
                                  1 + (node % 3 - 1) * 0.00025);
  n.settings = base_;
  n.settings.node = n.host->name();
  n.settings.self = node;
  n.settings.zone = base_.zones[static_cast<std::size_t>(node) % base_.zones.size()];
  n.settings.front = {n.host->name(), 80};
  n.settings.internal = {n.host->name(), 81};
  for (const auto& other : base_.nodes)
    if (other != n.settings.node) n.settings.peers.push_back({other, "a", {other, 81}});
  n.controller = std::make_unique<front::Controller>(n.host->loop(), n.settings, tuning_);
}

void Set::power_on(const standins::Cloud::Machine& m) {
  auto machine = std::make_unique<Machine>();
  machine->name = m.name;
  const std::string host = m.address.substr(0, m.address.find(':'));
  machine->host = std::make_unique<Host>(sim_, host, 1 + sim_.draw(-0.00025, 0.00025));
  standins::Worker::Settings s;
  s.name = m.name;
  s.type = m.type;
  s.zone = m.zone;
  s.spot = m.spot;
  s.at = {host, 9};
  s.cpus = scale_.machine_cpus;
  s.report_s = scale_.report_s;
  s.lease_s = scale_.lease_s;
  for (const auto& n : base_.nodes) s.nodes.emplace_back(n, config::Endpoint{n, 80});
  machine_by_host_[host] = machines_.size();
  machine->worker = std::make_unique<standins::Worker>(
      machine->host->loop(), std::move(s),
      [this](const wire::TaskId& t) -> std::optional<standins::Worker::Work> {
        auto j = jobs_.find(t.job);
        if (j == jobs_.end()) return std::nullopt;
        // A result that is kept: the task exits as soon as it has its image.
        const double run = j->second.spec.service          ? 1e9
                           : results_.contains(name_of(t)) ? 0.01
                                                           : j->second.run_s * (1 + t.index % 3);
        return standins::Worker::Work{j->second.spec.cpus, 1, run};
      },
      static_cast<unsigned>(sim_.rng()()),
      standins::Worker::Watched{
          [this](const standins::Worker& w, const standins::Worker::Task& t) { moved(w, t); },
          [this](const standins::Worker::Task& t) {
            if (t.why == wire::Why::done) reaped_.insert(name_of(t.id));
          }});
  machines_.push_back(std::move(machine));
}

void Set::pass(double seconds) {
  for (const double until = sim_.now() + seconds; sim_.now() < until;) {
    sim_.run_until(std::min(until, sim_.now() + kLook));
    check();
  }
}

std::uint64_t Set::leases_lost() const {
  std::uint64_t n = lost_before_;
  for (const auto& m : machines_)
    if (m->worker) n += m->worker->leases_lost();
  return n;
}

// ---- rules on the machines

void Set::broke(const std::string& what) {
  broken_.push_back("at " + std::to_string(sim_.now()) + ": " + what);
}

void Set::moved(const standins::Worker& w, const standins::Worker::Task& t) {
  const std::string name = name_of(t.id);
  if (t.state == RunState::fetching) {
    ++starts_;
    begun_again_ += reaped_.contains(name);
  }
  if (t.state == RunState::exited && t.why == wire::Why::done && results_.insert(name).second)
    task_done(t.id.job);
  if (t.state != RunState::running) return;
  const wire::JobSpec& spec = jobs_[t.id.job].spec;
  std::uint32_t here = 0, elsewhere = 0;  // the job's tasks by zone
  for (const auto& m : machines_) {
    if (!m->worker) continue;
    for (const auto& other : m->worker->tasks()) {
      if (other.state == RunState::exited || other.state == RunState::fetching ||
          other.id.job != t.id.job)
        continue;
      ++(m->worker->settings().zone == w.settings().zone ? here : elsewhere);
      if (m->worker.get() != &w && name_of(other.id) == name)
        broke("ran_twice: " + name + " on " + w.settings().name + " and " + m->name);
    }
  }
  if ((spec.one_zone && elsewhere) || (spec.spread && here > (spec.tasks + 1) / 2) ||
      (spec.zone && *spec.zone != w.settings().zone))
    broke("wrong_place: " + name + " in zone " + w.settings().zone);
  // Not a rule of the protocol, but of what users are promised: README, "Jobs that await others".
  for (const auto& a : spec.awaits)
    for (std::uint32_t i = 0; i < jobs_[a].spec.tasks; ++i)
      if (!results_.contains(name_of({a, i}))) broke("too_early: " + name + " before " + a);
  check();
}

// Rules: quota, ran_cancelled, also of what awaits a cancelled job.
void Set::check() {
  std::map<std::string, double> used;
  for (const auto& m : machines_) {
    if (!m->worker) continue;
    for (const auto& t : m->worker->tasks()) {
      if (t.state == RunState::exited || t.state == RunState::fetching) continue;
      const Job& j = jobs_[t.id.job];
      used[j.spec.team] += j.spec.cpus;
      if (j.told_cancelled >= 0 && sim_.now() - j.told_cancelled > scale_.cancel_s)
        broke("ran_cancelled: " + name_of(t.id) + ", " +
              std::to_string(sim_.now() - j.told_cancelled) + " s after its user was told");
    }
  }
  for (const auto& [team, cpus] : used)
    if (cpus > scale_.team_limit + 1e-9) broke("quota: " + team);
}

}  // namespace shunt::rehearsal
