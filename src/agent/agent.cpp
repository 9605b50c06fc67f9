#include "agent/agent.h"

#include <fstream>

#include "log/log.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {
constexpr double kTick = 0.1;
constexpr std::uint64_t kSeqBlock = 10000;
constexpr std::size_t kMaxOrders = 64 * 1024;  // PROTOCOL: a request body

Fd own(const AgentPaths& p) {
  fs::create_directories(p.tasks());
  auto lock = try_lock(p.lock());
  if (!lock)
    throw std::system_error(EBUSY, std::generic_category(),
                            p.dir.string() + ": another agent has this directory");
  return std::move(*lock);
}
}  // namespace

fs::path AgentPaths::task(const Key& k) const {
  return tasks() / (k.job + "." + std::to_string(k.index) + "." + std::to_string(k.attempt));
}

bool end_all(const AgentPaths& p) {
  if (!fs::exists(p.tasks())) return true;
  // Every supervisor that is still to start reads this first, and starts nothing.
  LeaseFile(p.lease(), LeaseFile::Open::write).set(0, 0);
  return sweep(p.tasks());
}

Agent::Agent(actor::Loop& loop, Settings settings, const fs::path& dir, AgentJournal::Step step)
    : Actor(loop),
      settings_(std::move(settings)),
      places_{fs::absolute(dir)},
      lock_(own(places_)),
      journal_(places_.journal(), std::move(step)),
      lease_file_(places_.lease(), LeaseFile::Open::write),
      lease_(settings_.lease_s, boot_now()),
      artifacts_(loop, settings_.artifacts),
      images_(loop, artifacts_, places_.images(), settings_.cache_gb,
              [this] {
                post([this] {
                  for (auto& [k, l] : live_)
                    if (l.step == Live::Step::image) l.retry_at = 0;
                  tick();
                });
              }),
      rng_(std::random_device{}()),
      timer_(loop,
             [this] {
               tick();
               timer_.after(kTick);
             }),
      heartbeat_timer_(loop, [this] { send_heartbeat(); }),
      server_(loop, settings_.address, kMaxOrders, [this](net::ExchangePtr ex) { serve(ex); }) {
  for (const auto& c : settings_.controllers)
    links_.push_back(std::make_unique<net::Client>(loop, c.address, 1, 1));
  to_ = rng_() % links_.size();
  recover();
  timer_.after(0);
  heartbeat_timer_.after(0);
}

void Agent::recover() {
  auto was = journal_.load(settings_.machine);
  const std::string boot = boot_id();
  double now = boot_now();
  if (!was) {
    end_all(places_);  // of a record that somebody has removed
    // The page first: a record without it would be of a incarnation that is over.
    lease_file_.set(attempts_.incarnation, lease_.until());
    journal_.begin(settings_.machine, boot, attempts_);
  } else {
    attempts_ = *was;
    bool same_boot = journal_.boot() == boot;
    if (same_boot && lease_file_.session() == attempts_.incarnation && now <= lease_file_.until()) {
      lease_ = Lease::resumed(settings_.lease_s, lease_file_.until());
      log::info("session goes on",
                {{"session", attempts_.incarnation}, {"attempts", attempts_.attempts.size()}});
    } else {
      log::info("session is over",
                {{"session", attempts_.incarnation}, {"why", same_boot ? "lease" : "reboot"}});
      if (!end_all(places_)) throw std::system_error(EBUSY, std::generic_category(), "tasks stay");
      if (!end_incarnation()) throw JournalError("record: cannot begin the next session");
      if (!same_boot) journal_.begin(settings_.machine, boot, attempts_);
    }
  }
  // Numbers that the last process may have used are never used again.
  seq_ = attempts_.reserved;
  std::set<fs::path> known;
  for (const auto& [k, a] : attempts_.attempts) {
    known.insert(places_.task(k));
    live(k);
  }
  for (const auto& e : fs::directory_iterator(places_.tasks()))
    if (!known.contains(e.path())) fs::remove_all(e.path());
}

// Every task is gone: the book may forget them.
bool Agent::end_incarnation() {
  AttemptTable next = attempts_;
  next.next_incarnation();
  if (!commit(next, "session")) return false;
  live_.clear();
  std::error_code ignored;
  for (const auto& e : fs::directory_iterator(places_.tasks(), ignored))
    fs::remove_all(e.path(), ignored);
  lease_ = Lease(settings_.lease_s, boot_now());
  lease_file_.set(attempts_.incarnation, lease_.until());
  changed();
  return true;
}

// False: the lease is over and something of its incarnation is still there; nothing may be said.
bool Agent::check_lease() {
  if (!lease_.over(boot_now())) return true;
  log::info("lease ran out",
            {{"session", attempts_.incarnation}, {"attempts", attempts_.attempts.size()}});
  if (!end_all(places_)) {
    log::error("tasks do not go", {{"session", attempts_.incarnation}});
    return false;
  }
  return end_incarnation();
}

bool Agent::commit(AttemptTable next, const std::string& step) {
  try {
    journal_.save(attempts_, next, step);
  } catch (const JournalError& e) {
    if (!disk_trouble_) log::error("record cannot be written", {{"why", e.what()}});
    disk_trouble_ = true;
    return false;
  }
  if (disk_trouble_) log::info("record can be written again");
  disk_trouble_ = false;
  bool seen = attempts_.attempts != next.attempts || attempts_.incarnation != next.incarnation;
  attempts_ = std::move(next);
  if (seen) changed();
  return true;
}

void Agent::apply(const std::vector<Effect>& effects) {
  for (const Effect& e : effects) {
    switch (e.kind) {
      case Effect::Kind::fetch:
        live(e.key);
        post([this, k = e.key] { advance(k); });
        break;
      case Effect::Kind::abandon:
        live_.erase(e.key);
        break;
      case Effect::Kind::save:
        live(e.key).give_up_at = boot_now() + e.grace_s;
        stop(e.key, {true, e.grace_s});
        break;
      case Effect::Kind::kill:
        stop(e.key, {false, 0});
        break;
      case Effect::Kind::drop:
        drop(e.key);
        break;
    }
  }
}

std::uint64_t Agent::next_seq() {
  // Never used before it is reserved: with a record that can't be written there is no message.
  if (seq_ >= attempts_.reserved) {
    AttemptTable next = attempts_;
    next.reserved = std::max(seq_, attempts_.reserved) + kSeqBlock;
    if (!commit(next, "seq")) return 0;
  }
  return ++seq_;
}

wire::Heartbeat Agent::heartbeat() {
  wire::Heartbeat r;
  r.machine = settings_.machine;
  r.addr = settings_.address.host + ":" + std::to_string(settings_.address.port);
  r.type = settings_.type;
  r.zone = settings_.zone;
  r.spot = settings_.spot;
  r.incarnation = attempts_.incarnation;
  r.sequence = next_seq();
  r.token = attempts_.token;
  if (spot_notice_at_) r.notice_s = std::max(0.0, *spot_notice_at_ - boot_now());
  r.tasks = attempts_.tasks();
  return r;
}

void Agent::changed() {
  dirty_ = true;
  heartbeat_timer_.after(0);
}

void Agent::notice() {
  if (spot_notice_at_) return;
  spot_notice_at_ = boot_now() + settings_.recall_s;
  log::info("machine is called back", {{"in_s", settings_.recall_s}});
  changed();
}

// Whoever knows that the machine goes writes the seconds into the file; it may be taken away again.
void Agent::check_spot_notice() {
  if (!fs::exists(places_.spot_notice())) return;
  double seconds = settings_.recall_s;
  std::ifstream in(places_.spot_notice());
  if (!(in >> seconds) || seconds < 0) seconds = settings_.recall_s;
  in.close();
  std::error_code ignored;
  fs::remove(places_.spot_notice(), ignored);
  spot_notice_at_ = boot_now() + seconds;
  log::info("machine is called back", {{"in_s", seconds}});
  changed();
}

void Agent::tick() {
  if (!check_lease()) return;
  check_spot_notice();
  std::vector<Key> keys;
  std::set<std::string> images;
  for (const auto& [k, a] : attempts_.attempts) {
    if (a.phase == Phase::exited) continue;
    keys.push_back(k);
    if (auto it = live_.find(k); it != live_.end() && !it->second.description.image.empty())
      images.insert(it->second.description.image);
  }
  images_.keep(images);
  for (const Key& k : keys) advance(k);
}

}  // namespace shunttrail::agent
