// One attempt at a time: from its start command to what is reported about its end. Each step may be
// begun again from the record, by this process or the next.
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "agent/agent.h"
#include "artifacts/store.h"
#include "log/log.h"

extern char** environ;

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {

nlohmann::json about(const Key& k) {
  return {{"task", k.job + "/" + std::to_string(k.index)}, {"attempt", k.attempt}};
}

Identity read_identity(const fs::path& file) {
  auto j = nlohmann::json::parse(artifacts::read_whole(file), nullptr, false);
  if (!j.is_object()) return {};
  return {j.value("pid", 0), j.value("start", std::uint64_t{0}), j.value("boot", "")};
}

fs::path kept(const fs::path& dir, std::uint64_t n) { return dir / ("kept-" + std::to_string(n)); }

// A supervisor has to outlive the agent: a incarnation of its own, none of the agent's files.
pid_t spawn_supervisor(const fs::path& dir, const fs::path& page) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
  posix_spawn_file_actions_addopen(&actions, 2, (dir / "shepherd.log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  posix_spawnattr_t attr;
  posix_spawnattr_init(&attr);
  posix_spawnattr_setflags(&attr, POSIX_SPAWN_SETSID);
  std::string words[] = {"shunttrail-agent", "shepherd", dir.string(), page.string()};
  char* argv[] = {words[0].data(), words[1].data(), words[2].data(), words[3].data(), nullptr};
  // Known by its task's directory, as all that it starts.
  std::vector<std::string> env;
  for (char** e = environ; *e; ++e) env.emplace_back(*e);
  env.push_back(std::string(kTaskDirVariable) + "=" + dir.string());
  std::vector<char*> envp;
  for (auto& e : env) envp.push_back(e.data());
  envp.push_back(nullptr);
  pid_t pid = 0;
  int r = ::posix_spawn(&pid, "/proc/self/exe", &actions, &attr, argv, envp.data());
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attr);
  if (r != 0) throw std::system_error(r, std::generic_category(), "the shepherd");
  return pid;
}

}  // namespace

Agent::Live& Agent::live(const Key& k) {
  auto [it, fresh] = live_.try_emplace(k);
  if (fresh) it->second.serial = ++serials_;
  return it->second;
}

Agent::Guard Agent::guard(const Key& k) {
  return [this, k, serial = live(k).serial]() -> Live* {
    auto it = live_.find(k);
    if (it == live_.end() || it->second.serial != serial) return nullptr;
    it->second.busy = false;
    return &it->second;
  };
}

void Agent::later(Live& l, double seconds) { l.retry_at = boot_now() + seconds; }

void Agent::fail(const Key& k, wire::ExitReason why, const std::string& reason) {
  auto fields = about(k);
  fields["why"] = reason;
  log::info("attempt is refused or failed", fields);
  AttemptTable next = attempts_;
  next.exited(k, why);
  if (!commit(next, "exited")) later(live(k));
}

void Agent::advance(const Key& k) {
  auto it = attempts_.attempts.find(k);
  if (it == attempts_.attempts.end() || it->second.phase == Phase::exited) return;
  Live& l = live(k);
  if (l.busy || boot_now() < l.retry_at) return;
  try {
    switch (it->second.phase) {
      case Phase::accepted:
        return prepare(k, l);
      case Phase::launched:
        return watch(k, l);
      case Phase::ended:
        return store(k, l);
      case Phase::exited:
        return;
    }
  } catch (const std::exception& e) {
    // The disk, as a rule. What was begun is begun again, unless it never ran: then it may go
    // elsewhere.
    auto fields = about(k);
    fields["why"] = e.what();
    log::error("attempt is held up", fields);
    if (it->second.phase == Phase::accepted) return fail(k, wire::ExitReason::error, e.what());
    later(l);
  }
}

void Agent::prepare(const Key& k, Live& l) {
  switch (l.step) {
    case Live::Step::describe:
      return describe(k, l);
    case Live::Step::image:
      return await_image(k, l);
    case Live::Step::result:
      return look_for_result(k, l);
    case Live::Step::restore:
      return look_for_save(k, l);
    case Live::Step::unpack:
      return unpack_save(k, l);
    case Live::Step::launch:
      return launch(k, l);
  }
}

void Agent::describe(const Key& k, Live& l) {
  l.busy = true;
  artifacts_.get_name(
      client_protocol::description_name(k.job),
      reply<artifacts::Outcome, artifacts::Store::Named>(
          [this, k, of = guard(k)](artifacts::Outcome o, artifacts::Store::Named n) {
            Live* it = of();
            if (!it) return;
            if (o == artifacts::Outcome::later) return later(*it);
            if (o != artifacts::Outcome::ok)
              return fail(k, wire::ExitReason::unknown, "no such job in the depot");
            try {
              it->description = client_protocol::decode_description(n.value);
            } catch (const wire::Malformed& e) {
              return fail(k, wire::ExitReason::error, std::string("bad description: ") + e.what());
            }
            const auto& job = it->description.job;
            if (job.id != k.job || k.index >= job.tasks)
              return fail(k, wire::ExitReason::unknown, "the job has no such task");
            AttemptTable next = attempts_;
            bool fits = next.described(k, {job.cpus, job.gpus, job.mem_gb}, job.checkpoint_s > 0,
                                       job.save_s, settings_.room);
            if (!commit(next, "described")) return later(*it);
            if (!fits) {
              log::info("no room", about(k));
              return;
            }
            it->step = Live::Step::image;
            advance(k);
          }));
}

void Agent::await_image(const Key& k, Live& l) {
  if (!l.description.image.empty()) {
    std::string why;
    switch (images_.want(l.description.image, why)) {
      case ImageCache::State::coming:
        return later(l);
      case ImageCache::State::bad:
        return fail(k, wire::ExitReason::error, why);
      case ImageCache::State::ready:
        break;
    }
  }
  l.step = Live::Step::result;
  advance(k);
}

// A result is kept: a task that has one exits with `done` as soon as it has its image.
void Agent::look_for_result(const Key& k, Live& l) {
  l.busy = true;
  artifacts_.get_name(client_protocol::result_name(k.task()),
                      reply<artifacts::Outcome, artifacts::Store::Named>(
                          [this, k, of = guard(k)](artifacts::Outcome o, artifacts::Store::Named) {
                            Live* it = of();
                            if (!it) return;
                            if (o == artifacts::Outcome::ok) {
                              log::info("task has its result already", about(k));
                              AttemptTable next = attempts_;
                              next.exited(k, wire::ExitReason::done);
                              if (!commit(next, "exited")) later(*it);
                              return;
                            }
                            if (o != artifacts::Outcome::absent) return later(*it);
                            it->step = it->description.job.checkpoint_s > 0 ? Live::Step::restore
                                                                            : Live::Step::launch;
                            advance(k);
                          }));
}

void Agent::look_for_save(const Key& k, Live& l) {
  l.busy = true;
  const fs::path dir = places_.task(k);
  fs::remove_all(dir);
  fs::create_directories(dir / "save");
  artifacts_.get_name(
      client_protocol::checkpoint_name(k.task()),
      reply<artifacts::Outcome, artifacts::Store::Named>(
          [this, k, dir, of = guard(k)](artifacts::Outcome o, artifacts::Store::Named n) {
            Live* it = of();
            if (!it) return;
            if (o == artifacts::Outcome::absent) {
              it->step = Live::Step::launch;
              return advance(k);
            }
            auto j = nlohmann::json::parse(n.value, nullptr, false);
            if (o != artifacts::Outcome::ok || !j.is_object()) return later(*it);
            it->busy = true;
            artifacts_.get_file(j.value("hash", ""), dir / "save.tar",
                                reply<artifacts::Outcome>([this, k, of](artifacts::Outcome got) {
                                  Live* me = of();
                                  if (!me) return;
                                  if (got == artifacts::Outcome::later) return later(*me);
                                  if (got == artifacts::Outcome::ok) {
                                    me->step = Live::Step::unpack;
                                  } else {
                                    // Better from the beginning than from something else.
                                    log::error("checkpoint is lost or damaged", about(k));
                                    me->step = Live::Step::launch;
                                  }
                                  advance(k);
                                }));
          }));
}

void Agent::unpack_save(const Key& k, Live& l) {
  const fs::path dir = places_.task(k), aside = dir / "save" / "new";
  try {
    if (!l.unpacker) {
      fs::remove_all(aside);
      l.unpacker =
          std::make_unique<artifacts::Unpacker>(dir / "save.tar", aside, std::uint64_t{1} << 40);
    }
    if (!l.unpacker->step()) {
      l.busy = true;
      return post([this, k, of = guard(k)] {
        if (of()) advance(k);
      });
    }
    fs::rename(aside, dir / "save" / "last");
  } catch (const artifacts::BadArchive& e) {
    auto fields = about(k);
    fields["why"] = e.what();
    log::error("checkpoint is damaged", fields);
    fs::remove_all(aside);
  }
  l.unpacker.reset();
  fs::remove(dir / "save.tar");
  l.step = Live::Step::launch;
  advance(k);
}

void Agent::launch(const Key& k, Live& l) {
  const fs::path dir = places_.task(k);
  if (static_cast<double>(fs::space(places_.dir).available) < settings_.disk_reserve_mb * 1e6)
    return fail(k, wire::ExitReason::no_room, "the disk is nearly full");
  fs::create_directories(dir / "work");
  fs::create_directories(dir / "save");
  const auto& d = l.description;
  Order o;
  o.task = k.job + "/" + std::to_string(k.index);
  o.attempt = k.attempt;
  o.session = attempts_.incarnation;
  o.command = d.command;
  o.retry_exits = d.retry_exits;
  o.limit_s = d.limit_s;
  o.file_bytes = static_cast<std::uint64_t>(settings_.file_mb * 1e6);
  o.memory_bytes = settings_.memory_limit ? static_cast<std::uint64_t>(d.job.mem_gb * 1073741824)
                                          : std::uint64_t{0};
  for (const char* name : {"PATH", "HOME", "LANG", "LC_ALL", "TZ", "TMPDIR"})
    if (const char* v = std::getenv(name)) o.env[name] = v;
  for (const auto& [name, v] : d.env) o.env[name] = v;
  o.env["SHUNT_JOB"] = k.job;
  o.env["SHUNT_TASK"] = std::to_string(k.index);
  o.env["SHUNT_TASKS"] = std::to_string(d.job.tasks);
  o.env["SHUNT_ATTEMPT"] = std::to_string(k.attempt);
  o.env["SHUNT_MACHINE"] = settings_.machine;
  o.env["SHUNT_SAVE_DIR"] = (dir / "save").string();
  o.env["SHUNT_SAVED_FD"] = "3";
  if (!d.image.empty()) o.env["SHUNT_IMAGE_DIR"] = images_.path(d.image).string();
  o.env[kTaskDirVariable] = dir.string();
  artifacts::write_whole(dir / "order.json", encode(o));
  AttemptTable next = attempts_;
  next.launched(k);
  // On record before the process exists: whoever comes back after a kill looks for it.
  if (!commit(next, "launched")) return later(l);
  pid_t pid = 0;
  try {
    pid = spawn_supervisor(dir, places_.lease());
  } catch (const std::system_error& e) {
    return fail(k, wire::ExitReason::error, e.what());
  }
  // Its own child: not yet waited for, so the number is its.
  l.process = open_process(identity_of(pid));
  log::info("task started", about(k));
  if (l.process) attach(k, l);
}

void Agent::attach(const Key& k, Live& l) {
  l.ended_arg.reset(new Live::Ended{this, k, l.serial});
  l.ended.reset(event_new(
      loop_.base(), l.process.get(), EV_READ,
      [](evutil_socket_t, short, void* arg) {
        const auto& e = *static_cast<Live::Ended*>(arg);
        e.agent->post([a = e.agent, k = e.key, serial = e.serial] {
          auto it = a->live_.find(k);
          if (it == a->live_.end() || it->second.serial != serial) return;
          it->second.ended.reset();
          it->second.process = Fd();
          a->dead(k);
        });
      },
      l.ended_arg.get()));
  event_add(l.ended.get(), nullptr);
}

// A task that may have a process: told apart from one that has none any more.
void Agent::watch(const Key& k, Live& l) {
  const fs::path dir = places_.task(k);
  if (l.process) {
    // A supervisor that is held up (stopped, above all) does not keep a task that has to go.
    if (l.gone_by && boot_now() > *l.gone_by) signal_process(l.process, SIGKILL);
    if (attempts_.attempts.at(k).saves) upload_save(k, l);
    return;
  }
  if (fs::exists(dir / "end.json")) return dead(k);
  // The lock tells whether its supervisor lives, whatever has become of process numbers.
  fs::create_directories(dir);
  if (auto lock = try_lock(dir / "lock")) {
    // None, and none that comes late will start it: its order is taken away under the lock.
    fs::remove(dir / "order.json");
    return dead(k);
  }
  l.process = open_process(read_identity(dir / "shepherd.json"));
  if (!l.process) return later(l, 0.2);  // it has not written down who it is yet, or is just going
  attach(k, l);
  try {
    Order o = decode_order(artifacts::read_whole(dir / "order.json"));
    if (auto image = o.env.find("SHUNT_IMAGE_DIR"); image != o.env.end())
      l.description.image = fs::path(image->second).filename();
  } catch (const wire::Malformed&) {
    // Its order is gone or torn: it runs without this agent knowing which image it uses.
  }
  // A stop that the last process was killed in the middle of is said again.
  const Attempt& a = attempts_.attempts.at(k);
  if (a.stopping) {
    double grace = a.saving ? std::max(a.save_s, settings_.report_s) : 0;
    if (a.saving) l.give_up_at = boot_now() + grace;
    stop(k, {a.saving, grace});
  }
}

void Agent::stop(const Key& k, const Stop& s) {
  const fs::path dir = places_.task(k);
  Live& l = live(k);
  l.gone_by = boot_now() + s.grace_s + 2;
  try {
    artifacts::write_whole(dir / "stop.json", encode(s));
  } catch (const std::exception& e) {
    // A full disk does not keep a task alive: without its file it is ended the hard way.
    auto fields = about(k);
    fields["why"] = e.what();
    log::error("stop cannot be written down", fields);
    signal_process(l.process, SIGKILL);
    return;
  }
  signal_process(l.process, SIGUSR1);
}

void Agent::drop(const Key& k) {
  live_.erase(k);
  std::error_code ignored;
  fs::remove_all(places_.task(k), ignored);
}

// Its supervisor is gone, and with it every process of the task.
void Agent::dead(const Key& k) {
  auto it = attempts_.attempts.find(k);
  if (it == attempts_.attempts.end() || it->second.phase != Phase::launched) return;
  Live& l = live(k);
  const fs::path dir = places_.task(k);
  End end;
  try {
    end = decode_end(artifacts::read_whole(dir / "end.json"));
  } catch (const wire::Malformed&) {
    // Killed: the task went with it, but what it had started elsewhere may not have.
    end = {wire::ExitReason::error, 0, "its shepherd was lost"};
    if (!sweep(dir)) return later(l);
    end.kept = highest_kept(dir);
    if (it->second.stopping) end.why = wire::ExitReason::stopped;
  }
  l.end = end;
  auto fields = about(k);
  fields["exit"] = end.exit;
  fields["ran_s"] = end.ran_s;
  fields["why"] = end.why == wire::ExitReason::done      ? "done"
                  : end.why == wire::ExitReason::stopped ? "stopped"
                                                         : "error";
  fields["reason"] = end.reason;
  log::info("task ended", fields);
  AttemptTable next = attempts_;
  if (end.why == wire::ExitReason::done)
    next.ended(k, wire::ExitReason::done, false);
  else if (end.kept > l.uploaded)
    next.ended(k, end.why, false);
  else
    next.exited(k, end.why, end.why == wire::ExitReason::stopped && end.kept > 0);
  if (!commit(next, "ended")) return later(l);
  advance(k);
}

// What has ended is put into the artifact store before it is reported.
void Agent::store(const Key& k, Live& l) {
  const fs::path dir = places_.task(k);
  if (!l.end) {
    try {
      l.end = decode_end(artifacts::read_whole(dir / "end.json"));
    } catch (const wire::Malformed&) {
      // Its supervisor was lost, and the agent after that: what it was found to be is on record.
      wire::ExitReason why = attempts_.attempts.at(k).exit_reason;
      l.end = End{why == wire::ExitReason::done ? wire::ExitReason::error : why, 0,
                  "its shepherd was lost", highest_kept(dir)};
    }
  }
  if (l.end->why != wire::ExitReason::done) {
    double now = boot_now();
    if (!l.give_up_at) l.give_up_at = now + settings_.lease_s / 2;
    bool lost = now > *l.give_up_at;
    if (l.end->kept <= l.uploaded || lost) {
      AttemptTable next = attempts_;
      next.exited(k, l.end->why, l.uploaded > 0);
      if (!commit(next, "exited")) later(l);
      return;
    }
    return upload_save(k, l);
  }
  for (auto [file, hash] : {std::pair("stdout", &l.out), std::pair("stderr", &l.err)}) {
    if (hash->has_value()) continue;
    l.busy = true;
    artifacts_.put_file(
        dir / file, reply<artifacts::Outcome, std::string>(
                        [this, k, hash, of = guard(k)](artifacts::Outcome o, std::string h) {
                          Live* me = of();
                          if (!me) return;
                          if (o == artifacts::Outcome::later || o == artifacts::Outcome::refused)
                            return later(*me);
                          *hash = o == artifacts::Outcome::ok ? h : "";
                          advance(k);
                        }));
    return;
  }
  client_protocol::TaskResult r{k.attempt, settings_.machine, l.end->exit, l.end->reason, *l.out,
                                *l.err,    l.end->ran_s};
  l.busy = true;
  artifacts_.put_name(client_protocol::result_name(k.task()), {client_protocol::encode_result(r)},
                      reply<artifacts::Outcome, artifacts::Store::Named>(
                          [this, k, of = guard(k)](artifacts::Outcome o, artifacts::Store::Named) {
                            Live* me = of();
                            if (!me) return;
                            if (o == artifacts::Outcome::later) return later(*me);
                            // Refused: an earlier attempt's result got there after all, and is the
                            // one.
                            AttemptTable next = attempts_;
                            next.exited(k, wire::ExitReason::done);
                            if (!commit(next, "exited")) later(*me);
                          }));
}

void Agent::upload_save(const Key& k, Live& l) {
  const fs::path dir = places_.task(k);
  // One that is being packed is finished before a later one is taken.
  std::uint64_t n = l.packer ? l.packing : highest_kept(dir);
  if (n <= l.uploaded) return;
  l.packing = n;
  try {
    if (!l.packer) l.packer = std::make_unique<artifacts::Packer>(kept(dir, n), dir / "kept.tar");
    if (!l.packer->step()) {
      l.busy = true;
      return post([this, k, of = guard(k)] {
        if (Live* me = of()) upload_save(k, *me);
      });
    }
  } catch (const std::exception& e) {
    // The disk. The checkpoint is tried again; the task's end does not wait for it.
    auto fields = about(k);
    fields["why"] = e.what();
    log::error("checkpoint cannot be packed", fields);
    l.packer.reset();
    return later(l);
  }
  l.packer.reset();
  l.busy = true;
  artifacts_.put_file(
      dir / "kept.tar",
      reply<artifacts::Outcome, std::string>([this, k, n, dir, of = guard(k)](artifacts::Outcome o,
                                                                              std::string hash) {
        Live* me = of();
        if (!me) return;
        if (o != artifacts::Outcome::ok) return later(*me);
        me->busy = true;
        artifacts_.put_name(
            client_protocol::checkpoint_name(k.task()),
            {nlohmann::json{{"hash", hash}, {"machine", settings_.machine}}.dump(), k.attempt, n},
            reply<artifacts::Outcome, artifacts::Store::Named>(
                [this, k, n, dir, of](artifacts::Outcome put, artifacts::Store::Named) {
                  Live* it = of();
                  if (!it) return;
                  if (put == artifacts::Outcome::later) return later(*it);
                  for (std::uint64_t i = std::max<std::uint64_t>(it->uploaded, 1); i < n; ++i) {
                    std::error_code ignored;
                    fs::remove_all(kept(dir, i), ignored);
                  }
                  it->uploaded = n;
                  auto fields = about(k);
                  fields["n"] = n;
                  log::info("checkpoint is in the depot", fields);
                  advance(k);
                }));
      }));
}

}  // namespace shunttrail::agent
