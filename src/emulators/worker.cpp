#include "emulators/worker.h"

#include <algorithm>

namespace shunttrail::emulators {

using wire::Command;
using wire::ExitReason;
using wire::TaskState;

namespace {
constexpr double kPatience = 4;    // for the answer to a report
constexpr double kNextNode = 1;    // before the next node is tried
constexpr double kLeastGap = 0.5;  // between two reports
}  // namespace

WorkerEmulator::WorkerEmulator(actor::Loop& loop, Settings s, Describe describe, unsigned seed,
                               Watched watched)
    : Actor(loop),
      s_(std::move(s)),
      describe_(std::move(describe)),
      watched_(std::move(watched)),
      rng_(seed),
      leased_from_(loop.now()),
      node_(seed % s_.nodes.size()),
      report_timer_(loop, [this] { report(); }),
      task_timer_(loop, [this] { advance(); }),
      lease_timer_(loop, [this] { expire(); }),
      http_(loop, s_.at, 64 * 1024, [this](net::ExchangePtr ex) { direct(ex); }) {
  for (const auto& [name, at] : s_.nodes)
    nodes_.push_back(std::make_unique<net::Client>(loop, at, 1, 0));
  report_timer_.after(0);
  lease_timer_.after(s_.lease_s);
}

wire::Heartbeat WorkerEmulator::state() {
  wire::Heartbeat r;
  r.machine = s_.name;
  r.addr = s_.at.host + ":" + std::to_string(s_.at.port);
  r.type = s_.type;
  r.zone = s_.zone;
  r.spot = s_.spot;
  r.incarnation = session_;
  r.sequence = ++seq_;
  r.token = token_;
  if (taken_at_) r.notice_s = std::max(0.0, *taken_at_ - loop_.now());
  for (const Task& t : tasks_) r.tasks.push_back({t.id, t.attempt, t.state, t.why, t.kept});
  return r;
}

// ---- reports

void WorkerEmulator::report() {
  expire();
  if (out_) {
    again_ = true;
    return;
  }
  out_ = true;
  again_ = false;
  sent_at_ = loop_.now();
  nodes_[node_]->request("POST", "/agent/beat", client_protocol::encode_heartbeat(state()),
                         kPatience,
                         reply<net::Result>([this, sent = sent_at_, of = session_](net::Result r) {
                           answered(sent, of, r);
                         }));
}

void WorkerEmulator::answered(double sent, std::uint64_t of, const net::Result& r) {
  out_ = false;
  expire();
  // One that hung may find an answer that it has waited for too long: dropped as if none had come.
  if (r.status == 200 && loop_.now() - sent <= kPatience) {
    try {
      client_protocol::HeartbeatResponse o = client_protocol::decode_heartbeat_response(r.body);
      if (of == session_ && o.token && *o.token >= token_) {
        leased_from_ = std::max(leased_from_, sent);
        obey(*o.token, o.commands);
      }
    } catch (const wire::Malformed&) {
    }
    const double pause = s_.report_s * std::uniform_real_distribution<>(0.75, 1.25)(rng_);
    report_timer_.after(std::max(again_ ? kLeastGap : pause, sent + kLeastGap - loop_.now()));
    return;
  }
  if (r.status == 421) {
    const std::string to = client_protocol::redirect_of(r.body);
    for (std::size_t n = 0; n < s_.nodes.size(); ++n)
      if (s_.nodes[n].first == to && n != node_)
        return go_to(n, std::uniform_real_distribution<>(0, 0.5)(rng_));
  }
  go_to((node_ + 1) % s_.nodes.size(), kNextNode);
}
void WorkerEmulator::go_to(std::size_t node, double after) {
  node_ = node;
  report_timer_.after(after);
}

void WorkerEmulator::changed() {
  if (out_) {
    again_ = true;
    return;
  }
  report_timer_.after(std::max(0.0, sent_at_ + kLeastGap - loop_.now()));
}

void WorkerEmulator::expire() {
  const double left = leased_from_ + s_.lease_s - loop_.now();
  if (left >= 0) return lease_timer_.after(left + 1e-3);
  leases_lost_ += !tasks_.empty();
  tasks_.clear();
  ++session_;
  leased_from_ = loop_.now();
  lease_timer_.after(s_.lease_s);
  changed();
}

// ---- commands

void WorkerEmulator::direct(const net::ExchangePtr& ex) {
  expire();
  if (ex->path == "/status") return ex->send({200, client_protocol::encode_heartbeat(state()), 0});
  client_protocol::HeartbeatResponse o;
  try {
    o = client_protocol::decode_heartbeat_response(ex->body);
  } catch (const wire::Malformed&) {
    return ex->send({400, "{}", 0});
  }
  if (ex->path != "/orders") return ex->send({404, "{}", 0});
  if (!o.token || !o.session) return ex->send({400, "{}", 0});
  if (*o.token < token_ || *o.session != session_)
    return ex->send({409, client_protocol::encode_heartbeat(state()), 0});
  obey(*o.token, o.commands);
  ex->send({200, client_protocol::encode_heartbeat(state()), 0});
}

void WorkerEmulator::obey(std::uint64_t token, const std::vector<Command>& commands) {
  if (token > token_) {
    token_ = token;
    if (loop_.now() - token_told_ > s_.lease_s / 2) {
      token_told_ = loop_.now();
      changed();
    }
  }
  for (const Command& c : commands) {
    auto t = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& k) {
      return k.id.job == c.task.job && k.id.index == c.task.index && k.attempt == c.attempt;
    });
    if (c.op == Command::Op::start && t == tasks_.end()) {
      start(c);
    } else if (c.op == Command::Op::stop && t != tasks_.end() && t->state != TaskState::exited) {
      stop(*t, c.grace_s);
    } else if (c.op == Command::Op::acknowledge && t != tasks_.end() &&
               t->state == TaskState::exited) {
      watched_.acknowledged(*t);
      tasks_.erase(t);
      changed();
    }
  }
  arm();
}

void WorkerEmulator::start(const Command& c) {
  Task t{c.task, c.attempt, TaskState::fetching, ExitReason::none, {}, 0};
  const auto work = describe_(c.task);
  double used = 0;
  bool busy = false;
  for (const Task& k : tasks_) {
    if (k.state == TaskState::exited) continue;
    used += k.work.cpus;
    busy |= k.id.job == c.task.job && k.id.index == c.task.index;
  }
  if (!work || busy || used + work->cpus > s_.cpus + 1e-9) {
    t.state = TaskState::exited;
    t.why = !work ? ExitReason::unknown : busy ? ExitReason::busy : ExitReason::no_room;
  } else {
    t.work = *work;
    t.next = loop_.now() + work->fetch_s;
  }
  tasks_.push_back(t);
  watched_.moved(*this, tasks_.back(), t.state);
  changed();
}

void WorkerEmulator::stop(Task& t, double grace_s) {
  const TaskState was = t.state;
  if (was == TaskState::saving) {
    // Only one without any time ends it; one with time to save prolongs nothing.
    if (grace_s > 0) return;
  } else if (was == TaskState::running && t.work.checkpoint_s > 0 && grace_s >= t.work.save_s) {
    t.state = TaskState::saving;
    t.next = loop_.now() + t.work.save_s;
    watched_.moved(*this, t, was);
    return changed();
  }
  t.state = TaskState::exited;
  t.why = ExitReason::stopped;
  watched_.moved(*this, t, was);
  changed();
}

void WorkerEmulator::notice(double recall_s) {
  taken_at_ = loop_.now() + recall_s;
  changed();
}

// ---- tasks

void WorkerEmulator::stood_still(double seconds) {
  for (Task& t : tasks_) t.next += seconds;
  arm();
}

void WorkerEmulator::arm() {
  double next = 1e18;
  for (const Task& t : tasks_)
    if (t.state != TaskState::exited) next = std::min(next, t.next);
  if (next < 1e18) task_timer_.after(std::max(0.0, next - loop_.now()));
}
void WorkerEmulator::advance() {
  expire();
  const double now = loop_.now();
  for (Task& t : tasks_) {
    if (t.state == TaskState::exited || t.next > now) continue;
    const TaskState was = t.state;
    if (was == TaskState::fetching) {
      t.state = TaskState::running;
      t.next = now + t.work.run_s;
    } else {
      t.state = TaskState::exited;
      t.kept = was == TaskState::saving;
      t.why = t.kept ? ExitReason::stopped : ExitReason::done;
    }
    watched_.moved(*this, t, was);
    changed();
  }
  arm();
}

}  // namespace shunttrail::emulators
