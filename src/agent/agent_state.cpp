#include "agent/agent_state.h"

#include <algorithm>
#include <set>
#include <system_error>

#include "log/log.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {

constexpr std::uint64_t kSequenceBlock = 10000;  // sequence numbers reserved per journal write

Fd lock_directory(const AgentPaths& paths) {
  fs::create_directories(paths.tasks());
  auto lock = try_lock(paths.lock());
  if (!lock)
    throw std::system_error(
        EBUSY, std::generic_category(),
        paths.dir.string() + ": another agent process has locked this directory");
  return std::move(*lock);
}

}  // namespace

AgentState::AgentState(const Settings& settings, const AgentPaths& paths, AgentJournal::Step step,
                       Listener listener)
    : settings_(settings),
      paths_(paths),
      listener_(std::move(listener)),
      lock_(lock_directory(paths_)),
      journal_(paths_.journal(), std::move(step)),
      lease_file_(paths_.lease(), LeaseFile::Open::write),
      lease_(settings_.lease_s, boot_now()) {}

void AgentState::recover() {
  auto recorded = journal_.load(settings_.machine);
  const std::string boot = boot_id();
  if (recorded) {
    attempts_ = std::move(*recorded);
    resume(boot);
  } else {
    begin_first_incarnation(boot);
  }
  // Sequence numbers that the previous process may have used are never used again.
  sequence_ = attempts_.reserved;
  remove_unknown_task_directories();
}

void AgentState::begin_first_incarnation(const std::string& boot) {
  kill_all_tasks(paths_);  // tasks may be left if somebody has removed the journal
  // The lease file is written first: without it, the journaled incarnation counts as ended.
  lease_file_.set(attempts_.incarnation, lease_.until());
  journal_.begin(settings_.machine, boot, attempts_);
}

void AgentState::resume(const std::string& boot) {
  const bool same_boot = journal_.boot() == boot;
  if (same_boot && lease_file_.incarnation() == attempts_.incarnation &&
      boot_now() <= lease_file_.until()) {
    lease_ = Lease::resumed(settings_.lease_s, lease_file_.until());
    log::info("incarnation resumed: its lease is still valid",
              {{"session", attempts_.incarnation}, {"attempts", attempts_.attempts.size()}});
    return;
  }
  log::info("previous incarnation ended: ending its tasks",
            {{"session", attempts_.incarnation}, {"why", same_boot ? "lease" : "reboot"}});
  if (!kill_all_tasks(paths_))
    throw std::system_error(
        EBUSY, std::generic_category(),
        "tasks of incarnation " + std::to_string(attempts_.incarnation) + " cannot be killed");
  if (!end_incarnation())
    throw JournalError("agent journal: the incarnation after " +
                       std::to_string(attempts_.incarnation) + " cannot be recorded");
  if (!same_boot) journal_.begin(settings_.machine, boot, attempts_);
}

void AgentState::remove_unknown_task_directories() {
  std::set<fs::path> known;
  for (const auto& [key, attempt] : attempts_.attempts) known.insert(paths_.task(key).path);
  for (const auto& entry : fs::directory_iterator(paths_.tasks()))
    if (!known.contains(entry.path())) fs::remove_all(entry.path());
}

// The caller has killed every task, so the attempt table may drop them all.
bool AgentState::end_incarnation() {
  AttemptTable next = attempts_;
  next.next_incarnation();
  if (!commit(std::move(next), "session")) return false;
  listener_.incarnation_ended();
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(paths_.tasks(), ignored))
    fs::remove_all(entry.path(), ignored);
  lease_ = Lease(settings_.lease_s, boot_now());
  lease_file_.set(attempts_.incarnation, lease_.until());
  listener_.changed();
  return true;
}

bool AgentState::check_lease() {
  if (!lease_.has_expired(boot_now())) return true;
  log::info("lease expired: ending all tasks",
            {{"session", attempts_.incarnation}, {"attempts", attempts_.attempts.size()}});
  if (!kill_all_tasks(paths_)) {
    log::error("lease expired, but some task processes cannot be killed",
               {{"session", attempts_.incarnation}});
    return false;
  }
  return end_incarnation();
}

void AgentState::renew_lease(double sent_at) {
  lease_.extend(sent_at);
  lease_file_.set(attempts_.incarnation, lease_.until());
}

bool AgentState::commit(AttemptTable next, const std::string& step) {
  try {
    journal_.save(attempts_, next, step);
  } catch (const JournalError& error) {
    if (!journal_failed_) log::error("agent journal cannot be written", {{"why", error.what()}});
    journal_failed_ = true;
    return false;
  }
  if (journal_failed_) log::info("agent journal can be written again");
  journal_failed_ = false;
  const bool heartbeats_change =
      attempts_.attempts != next.attempts || attempts_.incarnation != next.incarnation;
  attempts_ = std::move(next);
  if (heartbeats_change) listener_.changed();
  return true;
}

std::uint64_t AgentState::next_sequence() {
  // A number is used only after the journal has reserved its block.
  if (sequence_ >= attempts_.reserved) {
    AttemptTable next = attempts_;
    next.reserved = std::max(sequence_, attempts_.reserved) + kSequenceBlock;
    if (!commit(std::move(next), "seq")) return 0;
  }
  return ++sequence_;
}

}  // namespace shunttrail::agent
