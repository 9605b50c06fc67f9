#include "emulators/worker.h"

#include <algorithm>

namespace shunt::standins {

using wire::Command;
using wire::RunState;
using wire::Why;

namespace {
constexpr double kPatience = 4;    // for the answer to a report
constexpr double kNextNode = 1;    // before the next node is tried
constexpr double kLeastGap = 0.5;  // between two reports
}  // namespace

Worker::Worker(actor::Loop& loop, Settings s, Describe describe, unsigned seed, Watched watched)
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

wire::Report Worker::state() {
  wire::Report r;
  r.machine = s_.name;
  r.addr = s_.at.host + ":" + std::to_string(s_.at.port);
  r.type = s_.type;
  r.zone = s_.zone;
  r.spot = s_.spot;
  r.session = session_;
  r.seq = ++seq_;
  r.token = token_;
  if (taken_at_) r.notice_s = std::max(0.0, *taken_at_ - loop_.now());
  for (const Task& t : tasks_) r.tasks.push_back({t.id, t.attempt, t.state, t.why, t.kept});
  return r;
}

// ---- reports

void Worker::report() {
  expire();
  if (out_) {
    again_ = true;
    return;
  }
  out_ = true;
  again_ = false;
  sent_at_ = loop_.now();
  nodes_[node_]->request("POST", "/agent/beat", far::encode_report(state()), kPatience,
                         reply<net::Result>([this, sent = sent_at_, of = session_](net::Result r) {
                           answered(sent, of, r);
                         }));
}

void Worker::answered(double sent, std::uint64_t of, const net::Result& r) {
  out_ = false;
  expire();
  // One that hung may find an answer that it has waited for too long: dropped as if none had come.
  if (r.status == 200 && loop_.now() - sent <= kPatience) {
    try {
      far::Orders o = far::decode_orders(r.body);
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
    const std::string to = far::redirect_of(r.body);
    for (std::size_t n = 0; n < s_.nodes.size(); ++n)
      if (s_.nodes[n].first == to && n != node_)
        return go_to(n, std::uniform_real_distribution<>(0, 0.5)(rng_));
  }
  go_to((node_ + 1) % s_.nodes.size(), kNextNode);
}
void Worker::go_to(std::size_t node, double after) {
  node_ = node;
  report_timer_.after(after);
}

void Worker::changed() {
  if (out_) {
    again_ = true;
    return;
  }
  report_timer_.after(std::max(0.0, sent_at_ + kLeastGap - loop_.now()));
}

void Worker::expire() {
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

void Worker::direct(const net::ExchangePtr& ex) {
  expire();
  if (ex->path == "/status") return ex->send({200, far::encode_report(state()), 0});
  far::Orders o;
  try {
    o = far::decode_orders(ex->body);
  } catch (const wire::Malformed&) {
    return ex->send({400, "{}", 0});
  }
  if (ex->path != "/orders") return ex->send({404, "{}", 0});
  if (!o.token || !o.session) return ex->send({400, "{}", 0});
  if (*o.token < token_ || *o.session != session_)
    return ex->send({409, far::encode_report(state()), 0});
  obey(*o.token, o.commands);
  ex->send({200, far::encode_report(state()), 0});
}

void Worker::obey(std::uint64_t token, const std::vector<Command>& commands) {
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
    } else if (c.op == Command::Op::stop && t != tasks_.end() && t->state != RunState::exited) {
      stop(*t, c.grace_s);
    } else if (c.op == Command::Op::forget && t != tasks_.end() && t->state == RunState::exited) {
      watched_.reaped(*t);
      tasks_.erase(t);
      changed();
    }
  }
  arm();
}

void Worker::start(const Command& c) {
  Task t{c.task, c.attempt, RunState::fetching, Why::none, {}, 0};
  const auto work = describe_(c.task);
  double used = 0;
  bool busy = false;
  for (const Task& k : tasks_) {
    if (k.state == RunState::exited) continue;
    used += k.work.cpus;
    busy |= k.id.job == c.task.job && k.id.index == c.task.index;
  }
  if (!work || busy || used + work->cpus > s_.cpus + 1e-9) {
    t.state = RunState::exited;
    t.why = !work ? Why::unknown : busy ? Why::busy : Why::no_room;
  } else {
    t.work = *work;
    t.next = loop_.now() + work->fetch_s;
  }
  tasks_.push_back(t);
  watched_.moved(*this, tasks_.back(), t.state);
  changed();
}

void Worker::stop(Task& t, double grace_s) {
  const RunState was = t.state;
  if (was == RunState::saving) {
    // Only one without any time ends it; one with time to save prolongs nothing.
    if (grace_s > 0) return;
  } else if (was == RunState::running && t.work.checkpoint_s > 0 && grace_s >= t.work.save_s) {
    t.state = RunState::saving;
    t.next = loop_.now() + t.work.save_s;
    watched_.moved(*this, t, was);
    return changed();
  }
  t.state = RunState::exited;
  t.why = Why::stopped;
  watched_.moved(*this, t, was);
  changed();
}

void Worker::notice(double recall_s) {
  taken_at_ = loop_.now() + recall_s;
  changed();
}

// ---- tasks

void Worker::stood_still(double seconds) {
  for (Task& t : tasks_) t.next += seconds;
  arm();
}

void Worker::arm() {
  double next = 1e18;
  for (const Task& t : tasks_)
    if (t.state != RunState::exited) next = std::min(next, t.next);
  if (next < 1e18) task_timer_.after(std::max(0.0, next - loop_.now()));
}
void Worker::advance() {
  expire();
  const double now = loop_.now();
  for (Task& t : tasks_) {
    if (t.state == RunState::exited || t.next > now) continue;
    const RunState was = t.state;
    if (was == RunState::fetching) {
      t.state = RunState::running;
      t.next = now + t.work.run_s;
    } else {
      t.state = RunState::exited;
      t.kept = was == RunState::saving;
      t.why = t.kept ? Why::stopped : Why::done;
    }
    watched_.moved(*this, t, was);
    changed();
  }
  arm();
}

}  // namespace shunt::standins
