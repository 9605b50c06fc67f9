#include "emulators/worker.h"

#include <algorithm>

namespace shunttrail::emulators {

using wire::Command;
using wire::ExitReason;
using wire::TaskState;

namespace {
constexpr double kHeartbeatTimeoutS = 4;
constexpr double kNextNodeDelayS = 1;  // wait before the next controller is tried
constexpr double kMinHeartbeatGapS = 0.5;
constexpr double kLeaseTimerSlackS = 1e-3;  // the timer is due this long after the lease's expiry
constexpr double kCpuTolerance = 1e-9;
constexpr std::size_t kMaxRequestBytes = 64 * 1024;
constexpr double kNever = 1e18;
}  // namespace

WorkerEmulator::WorkerEmulator(actor::Loop& loop, Settings settings, Describe describe,
                               unsigned seed, Observer observer)
    : Actor(loop),
      settings_(std::move(settings)),
      describe_(std::move(describe)),
      observer_(std::move(observer)),
      rng_(seed),
      lease_renewed_at_(loop.now()),
      node_(seed % settings_.nodes.size()),
      heartbeat_timer_(loop, [this] { send_heartbeat(); }),
      task_timer_(loop, [this] { advance_tasks(); }),
      lease_timer_(loop, [this] { check_lease(); }),
      http_(loop, settings_.at, kMaxRequestBytes,
            [this](net::ExchangePtr exchange) { handle_direct(exchange); }) {
  for (const auto& [name, at] : settings_.nodes)
    nodes_.push_back(std::make_unique<net::Client>(loop, at, 1, 0));
  heartbeat_timer_.after(0);
  lease_timer_.after(settings_.lease_s);
}

// ---- heartbeats

wire::Heartbeat WorkerEmulator::heartbeat() {
  wire::Heartbeat r;
  r.machine = settings_.name;
  r.addr = settings_.at.host + ":" + std::to_string(settings_.at.port);
  r.type = settings_.type;
  r.zone = settings_.zone;
  r.spot = settings_.spot;
  r.incarnation = incarnation_;
  r.sequence = ++sequence_;
  r.token = token_;
  if (reclaimed_at_) r.notice_s = std::max(0.0, *reclaimed_at_ - loop_.now());
  for (const Task& t : tasks_)
    r.tasks.push_back({t.id, t.attempt, t.state, t.exit_reason, t.progress_saved});
  return r;
}

void WorkerEmulator::send_heartbeat() {
  check_lease();
  if (in_flight_) {
    send_soon_after_answer_ = true;
    return;
  }
  in_flight_ = true;
  send_soon_after_answer_ = false;
  sent_at_ = loop_.now();
  nodes_[node_]->request("POST", "/agent/beat", client_protocol::encode_heartbeat(heartbeat()),
                         kHeartbeatTimeoutS,
                         reply<net::Result>([this, sent_at = sent_at_,
                                             incarnation = incarnation_](net::Result result) {
                           heartbeat_answered(sent_at, incarnation, result);
                         }));
}

void WorkerEmulator::heartbeat_answered(double sent_at, std::uint64_t incarnation,
                                        const net::Result& result) {
  in_flight_ = false;
  check_lease();
  // A worker that hung may find the answer to a heartbeat that has timed out meanwhile. The answer
  // is dropped as if it had not arrived.
  if (result.status == 200 && loop_.now() - sent_at <= kHeartbeatTimeoutS)
    return take_response(sent_at, incarnation, result.body);
  if (result.status == 421) return redirect(client_protocol::redirect_of(result.body));
  switch_node((node_ + 1) % settings_.nodes.size(), kNextNodeDelayS);
}

void WorkerEmulator::take_response(double sent_at, std::uint64_t incarnation,
                                   const std::string& body) {
  try {
    const auto response = client_protocol::decode_heartbeat_response(body);
    if (incarnation == incarnation_ && response.token && *response.token >= token_) {
      lease_renewed_at_ = std::max(lease_renewed_at_, sent_at);
      execute(*response.token, response.commands);
    }
  } catch (const wire::Malformed&) {
    // A malformed response is ignored and does not renew the lease.
  }
  const double pause = settings_.heartbeat_s * std::uniform_real_distribution<>(0.75, 1.25)(rng_);
  heartbeat_timer_.after(std::max(send_soon_after_answer_ ? kMinHeartbeatGapS : pause,
                                  sent_at + kMinHeartbeatGapS - loop_.now()));
}

void WorkerEmulator::redirect(const std::string& node_name) {
  for (std::size_t n = 0; n < settings_.nodes.size(); ++n)
    if (settings_.nodes[n].first == node_name && n != node_)
      return switch_node(n, std::uniform_real_distribution<>(0, 0.5)(rng_));
  switch_node((node_ + 1) % settings_.nodes.size(), kNextNodeDelayS);
}

void WorkerEmulator::switch_node(std::size_t node, double after_s) {
  node_ = node;
  heartbeat_timer_.after(after_s);
}

void WorkerEmulator::send_heartbeat_soon() {
  if (in_flight_) {
    send_soon_after_answer_ = true;
    return;
  }
  heartbeat_timer_.after(std::max(0.0, sent_at_ + kMinHeartbeatGapS - loop_.now()));
}

void WorkerEmulator::check_lease() {
  const double remaining_s = lease_renewed_at_ + settings_.lease_s - loop_.now();
  if (remaining_s >= 0) return lease_timer_.after(remaining_s + kLeaseTimerSlackS);
  leases_lost_ += !tasks_.empty();
  tasks_.clear();
  ++incarnation_;
  lease_renewed_at_ = loop_.now();
  lease_timer_.after(settings_.lease_s);
  send_heartbeat_soon();
}

// ---- commands

void WorkerEmulator::handle_direct(const net::ExchangePtr& exchange) {
  check_lease();
  auto answer_state = [&](int status) {
    exchange->send({status, client_protocol::encode_heartbeat(heartbeat()), 0});
  };
  if (exchange->path == "/status") return answer_state(200);
  client_protocol::HeartbeatResponse message;
  try {
    message = client_protocol::decode_heartbeat_response(exchange->body);
  } catch (const wire::Malformed&) {
    return exchange->send({400, "{}", 0});
  }
  if (exchange->path != "/orders") return exchange->send({404, "{}", 0});
  if (!message.token || !message.incarnation) return exchange->send({400, "{}", 0});
  if (*message.token < token_ || *message.incarnation != incarnation_) return answer_state(409);
  execute(*message.token, message.commands);
  answer_state(200);
}

void WorkerEmulator::execute(std::uint64_t token, const std::vector<Command>& commands) {
  if (token > token_) {
    token_ = token;
    if (loop_.now() - token_reported_at_ > settings_.lease_s / 2) {
      token_reported_at_ = loop_.now();
      send_heartbeat_soon();
    }
  }
  for (const Command& command : commands) execute_one(command);
  arm_task_timer();
}

void WorkerEmulator::execute_one(const Command& command) {
  const auto task = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& t) {
    return t.id.job == command.task.job && t.id.index == command.task.index &&
           t.attempt == command.attempt;
  });
  const bool known = task != tasks_.end();
  const bool exited = known && task->state == TaskState::exited;
  if (command.op == Command::Op::start && !known) {
    start(command);
  } else if (command.op == Command::Op::stop && known && !exited) {
    stop(*task, command.grace_s);
  } else if (command.op == Command::Op::acknowledge && exited) {
    observer_.acknowledged(*this, *task);
    tasks_.erase(task);
    send_heartbeat_soon();
  }
}

// Returns why a task cannot be started, or ExitReason::none if it can.
ExitReason WorkerEmulator::refusal_reason(const wire::TaskId& task,
                                          const std::optional<Work>& work) const {
  if (!work) return ExitReason::unknown;
  if (fault_ == Fault::starts_refused) return ExitReason::no_room;
  double used = 0;
  for (const Task& other : tasks_) {
    if (other.state == TaskState::exited) continue;
    if (other.id.job == task.job && other.id.index == task.index) return ExitReason::busy;
    used += other.work.cpus;
  }
  return used + work->cpus > settings_.cpus + kCpuTolerance ? ExitReason::no_room
                                                            : ExitReason::none;
}

void WorkerEmulator::start(const Command& command) {
  Task task{command.task, command.attempt, TaskState::fetching, ExitReason::none, false, {}, 0};
  const auto work = describe_(command.task);
  task.exit_reason = refusal_reason(command.task, work);
  if (task.exit_reason != ExitReason::none) {
    task.state = TaskState::exited;
  } else {
    task.work = *work;
    task.phase_ends_at = loop_.now() + work->fetch_s;
  }
  tasks_.push_back(task);
  observer_.state_changed(*this, tasks_.back(), task.state);
  send_heartbeat_soon();
}

void WorkerEmulator::stop(Task& task, double grace_s) {
  const TaskState was = task.state;
  // A saving task is ended only by a stop without a grace period. Another stop with one does not
  // extend the save.
  if (was == TaskState::saving && grace_s > 0) return;
  if (was == TaskState::running && task.work.checkpoint_s > 0 && grace_s >= task.work.save_s) {
    task.state = TaskState::saving;
    task.phase_ends_at = loop_.now() + task.work.save_s;
  } else {
    task.state = TaskState::exited;
    task.exit_reason = ExitReason::stopped;
  }
  observer_.state_changed(*this, task, was);
  send_heartbeat_soon();
}

void WorkerEmulator::announce_reclaim(double recall_s) {
  reclaimed_at_ = loop_.now() + recall_s;
  send_heartbeat_soon();
}

// ---- tasks

void WorkerEmulator::extend_tasks(double seconds) {
  for (Task& task : tasks_) task.phase_ends_at += seconds;
  arm_task_timer();
}

void WorkerEmulator::arm_task_timer() {
  double next = kNever;
  for (const Task& task : tasks_)
    if (task.state != TaskState::exited) next = std::min(next, task.phase_ends_at);
  if (next < kNever) task_timer_.after(std::max(0.0, next - loop_.now()));
}

void WorkerEmulator::advance_tasks() {
  check_lease();
  const double now = loop_.now();
  for (Task& task : tasks_)
    if (task.state != TaskState::exited && task.phase_ends_at <= now) advance(task, now);
  arm_task_timer();
}

void WorkerEmulator::advance(Task& task, double now) {
  const TaskState was = task.state;
  if (was == TaskState::fetching && fault_ == Fault::tasks_fail) {
    task.state = TaskState::exited;
    task.exit_reason = ExitReason::error;
  } else if (was == TaskState::fetching) {
    task.state = TaskState::running;
    task.phase_ends_at = now + task.work.run_s;
  } else {
    task.state = TaskState::exited;
    task.progress_saved = was == TaskState::saving;
    task.exit_reason = task.progress_saved ? ExitReason::stopped : ExitReason::done;
  }
  observer_.state_changed(*this, task, was);
  send_heartbeat_soon();
}

}  // namespace shunttrail::emulators
