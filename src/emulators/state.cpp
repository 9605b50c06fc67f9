#include "emulators/state.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>

#include "client_protocol/client_protocol.h"
#include "log/log.h"

namespace shunttrail::emulators {
namespace fs = std::filesystem;
using nlohmann::json;
namespace {
constexpr std::size_t kRecent = 10000;
constexpr std::size_t kPageBytes = 512 * 1024;

std::uint64_t count(const std::string& query, const char* name, std::uint64_t fallback) {
  std::string s = net::query_value(query, name);
  if (s.empty()) return fallback;
  if (s.size() > 18 || s.find_first_not_of("0123456789") != std::string::npos)
    throw wire::Malformed(std::string(name) + " is not a count");
  return std::stoull(s);
}
}  // namespace

StateServiceEmulator::StateServiceEmulator(actor::Loop& loop, const config::Endpoint& at,
                                           fs::path log)
    : Actor(loop),
      log_(std::move(log)),
      timer_(loop,
             [this] {
               tick();
               timer_.after(0.05);
             }),
      http_(
          loop, at, 64 * 1024,
          [this](net::ExchangePtr ex) {
            if (out_) return ex->send({503, "{\"error\":\"trouble\"}", 0});
            if (!requests_.take(1, loop_.now())) return ex->send({429, "{}", 0});
            if (ex->path == "/watch") return watch(ex);
            ex->send(answer(ex));
          },
          true) {
  if (!log_.empty()) load();
  timer_.after(0.05);
}
StateServiceEmulator::~StateServiceEmulator() {
  if (fd_ >= 0) ::close(fd_);
}

void StateServiceEmulator::limit(double rps, double write_rps) {
  requests_ = {rps, rps, loop_.now()};
  writes_ = {write_rps, write_rps, loop_.now()};
}
bool StateServiceEmulator::RateLimit::take(double n, double now) {
  if (per_s <= 0) return true;
  left = std::min(per_s, left + (now - at) * per_s);
  at = now;
  if (left < n) return false;
  left -= n;
  return true;
}

net::Answer StateServiceEmulator::answer(net::ExchangePtr ex) {
  try {
    if (ex->path == "/kv" && !ex->post) return page(ex->query);
    if (ex->path.starts_with("/kv/") && !ex->post) return get(ex->path.substr(4));
    if (ex->path == "/commit" && ex->post) return commit(ex->body);
    if (ex->path.starts_with("/holds")) return holds(*ex);
    return {404, "{}", 0};
  } catch (const wire::Malformed& e) {
    return {400, json{{"error", e.what()}}.dump(), 0};
  }
}

net::Answer StateServiceEmulator::get(const std::string& key) {
  auto it = keys_.find(key);
  if (it == keys_.end()) return {404, client_protocol::encode_revision(revision_), 0};
  return {200,
          client_protocol::encode_entry(key, it->second.value, it->second.mod_revision,
                                        it->second.lease),
          0};
}

net::Answer StateServiceEmulator::page(const std::string& query) {
  const std::string prefix = net::query_value(query, "starts"),
                    after = net::query_value(query, "after");
  std::uint64_t limit = std::min<std::uint64_t>(count(query, "limit", 1000), 1000);
  std::vector<std::string> entries;
  std::size_t bytes = 0;
  auto it = after > prefix ? keys_.upper_bound(after) : keys_.lower_bound(prefix);
  for (; it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (entries.size() >= limit || (bytes > 0 && bytes + it->second.value.size() > kPageBytes))
      return {200, client_protocol::encode_page(entries, true, revision_), 0};
    bytes += it->second.value.size();
    entries.push_back(client_protocol::encode_entry(it->first, it->second.value,
                                                    it->second.mod_revision, it->second.lease));
  }
  return {200, client_protocol::encode_page(entries, false, revision_), 0};
}

net::Answer StateServiceEmulator::commit(const std::string& body) {
  wire::Transaction t = client_protocol::decode_transaction(body);
  // Also of one whose conditions then fail.
  if (!writes_.take(static_cast<double>(t.ops.size()), loop_.now())) return {429, "{}", 0};
  for (const auto& op : t.ops)
    if (op.lease && !leases_.contains(op.lease)) return {400, "{\"error\":\"no such lease\"}", 0};
  std::vector<std::string> failed;
  for (const auto& [key, mod_revision] : t.preconditions) {
    auto it = keys_.find(key);
    if ((it == keys_.end() ? 0 : it->second.mod_revision) != mod_revision) failed.push_back(key);
  }
  if (!failed.empty()) return {409, client_protocol::encode_failed(failed, revision_), 0};
  if (t.ops.empty()) return {200, client_protocol::encode_revision(revision_), 0};
  write("{\"ledger\":" + std::to_string(revision_ + 1) + ",\"commit\":" + body + "}");
  apply(t, revision_ + 1);
  return {200, client_protocol::encode_revision(revision_), 0};
}

void StateServiceEmulator::apply(const wire::Transaction& t, std::uint64_t revision) {
  revision_ = revision;
  for (const auto& op : t.ops) {
    auto it = keys_.find(op.key);
    if (it != keys_.end() && it->second.lease) leases_[it->second.lease].keys.erase(op.key);
    if (op.value) {
      keys_[op.key] = {*op.value, revision, op.lease};
      if (op.lease) leases_[op.lease].keys.insert(op.key);
    } else if (it != keys_.end()) {
      keys_.erase(it);
    }
    recent_.push_back({op.key, op.value, revision});
  }
  while (recent_.size() > kRecent) {
    first_recent_ = recent_.front().mod_revision;
    recent_.pop_front();
  }
  post([this] {
    // Whoever waits for one of these is answered; the others go on waiting.
    std::deque<Watcher> still;
    for (auto& w : watchers_) {
      bool any = false;
      std::string body = changes(w.prefix, w.after, any);
      if (any)
        w.ex->send({200, body, 0});
      else
        still.push_back(std::move(w));
    }
    watchers_ = std::move(still);
  });
}

std::string StateServiceEmulator::changes(const std::string& prefix, std::uint64_t after,
                                          bool& any) const {
  std::vector<wire::Event> out;
  auto from =
      std::upper_bound(recent_.begin(), recent_.end(), after,
                       [](std::uint64_t r, const wire::Event& e) { return r < e.mod_revision; });
  for (auto it = from; it != recent_.end(); ++it)
    if (it->key.starts_with(prefix)) out.push_back(*it);
  any = !out.empty();
  return client_protocol::encode_watch(revision_, out);
}

void StateServiceEmulator::watch(net::ExchangePtr ex) {
  try {
    Watcher w{net::query_value(ex->query, "starts"), count(ex->query, "after", 0),
              loop_.now() + static_cast<double>(
                                std::min<std::uint64_t>(count(ex->query, "block_ms", 0), 60000)) /
                                1000,
              ex};
    if (w.after < first_recent_) return ex->send({410, "{}", 0});
    bool any = false;
    std::string body = changes(w.prefix, w.after, any);
    if (any || w.until <= loop_.now()) return ex->send({200, body, 0});
    watchers_.push_back(std::move(w));
  } catch (const wire::Malformed& e) {
    ex->send({400, json{{"error", e.what()}}.dump(), 0});
  }
}

net::Answer StateServiceEmulator::holds(const net::Exchange& ex) {
  if (ex.path == "/holds" && ex.post) {
    double life = static_cast<double>(client_protocol::decode_life_ms(ex.body)) / 1000;
    std::uint64_t id = next_lease_++;
    write(json{{"hold", id}, {"life_s", life}}.dump());
    leases_[id] = {life, loop_.now() + life, {}};
    return {200, client_protocol::encode_lease(id), 0};
  }
  std::string rest = ex.path.substr(std::min<std::size_t>(ex.path.size(), 7));
  bool renew = rest.ends_with("/renew");
  if (renew) rest.resize(rest.size() - 6);
  if (rest.empty() || rest.size() > 18 || rest.find_first_not_of("0123456789") != std::string::npos)
    return {404, "{}", 0};
  auto it = leases_.find(std::stoull(rest));
  if (it == leases_.end()) return {404, "{}", 0};
  if (renew && ex.post) {
    it->second.until = loop_.now() + it->second.life_s;
    return {200, client_protocol::encode_lease(it->first), 0};
  }
  if (!ex.del) return {405, "{}", 0};
  drop_lease(it->first);
  return {200, "{}", 0};
}

void StateServiceEmulator::drop_lease(std::uint64_t id) {
  wire::Transaction t;
  for (const auto& k : leases_[id].keys) t.ops.push_back({k, std::nullopt, 0});
  json drops = json::array();
  for (const auto& op : t.ops) drops.push_back(op.key);
  write(json{{"over", id}, {"ledger", revision_ + 1}, {"drops", drops}}.dump());
  if (!t.ops.empty()) apply(t, revision_ + 1);
  leases_.erase(id);
}

void StateServiceEmulator::outage(bool on) {
  out_ = on;
  if (on) return;
  for (auto& [id, l] : leases_) l.until = loop_.now() + l.life_s;
}

void StateServiceEmulator::tick() {
  if (out_) return;
  double now = loop_.now();
  std::vector<std::uint64_t> over;
  for (const auto& [id, l] : leases_)
    if (now > l.until) over.push_back(id);
  for (auto id : over) drop_lease(id);
  std::deque<Watcher> still;
  for (auto& w : watchers_) {
    if (now >= w.until)
      w.ex->send({200, client_protocol::encode_watch(revision_, {}), 0});
    else
      still.push_back(std::move(w));
  }
  watchers_ = std::move(still);
}

void StateServiceEmulator::write(const std::string& line) {
  if (fd_ < 0) return;
  std::string bytes = line + "\n";
  std::string_view left = bytes;
  while (!left.empty()) {
    ssize_t n = ::write(fd_, left.data(), left.size());
    if (n < 0 && errno == EINTR) continue;
    // Half a line may be there: only a new start finds out where the log ends.
    if (n < 0) throw std::system_error(errno, std::generic_category(), log_.string());
    left.remove_prefix(static_cast<std::size_t>(n));
  }
  if (::fdatasync(fd_) != 0) throw std::system_error(errno, std::generic_category(), log_.string());
}

void StateServiceEmulator::load() {
  fs::create_directories(log_.parent_path());
  std::ifstream in(log_);
  for (std::string line; std::getline(in, line);) {
    json j = json::parse(line, nullptr, false);
    if (!j.is_object()) break;
    if (j.contains("commit")) {
      apply(client_protocol::decode_transaction(j["commit"].dump()), j["ledger"]);
    } else if (j.contains("over")) {
      wire::Transaction t;
      for (const auto& k : j["drops"]) t.ops.push_back({k.get<std::string>(), std::nullopt, 0});
      if (!t.ops.empty()) apply(t, j["ledger"]);
      leases_.erase(j["over"].get<std::uint64_t>());
    } else if (j.contains("hold")) {
      std::uint64_t id = j["hold"];
      next_lease_ = std::max(next_lease_, id + 1);
      leases_[id].life_s = j["life_s"];
    } else if (j.contains("k")) {
      std::uint64_t lease = j["lease"];
      keys_[j["k"]] = {j["value"].dump(), j["stamp"], lease};
      if (lease) leases_[lease].keys.insert(j["k"].get<std::string>());
    } else if (j.contains("ledger")) {
      revision_ = j["ledger"];
      next_lease_ = j["next_hold"];
    }
  }
  in.close();
  // After an outage every lease has its full time again; the watch window begins anew.
  for (auto& [id, l] : leases_) l.until = loop_.now() + l.life_s;
  recent_.clear();
  first_recent_ = revision_;
  fs::path aside = log_;
  aside += ".new";
  fd_ = ::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), aside.string());
  std::ostringstream out;
  out << json{{"ledger", revision_}, {"next_hold", next_lease_}}.dump();
  for (const auto& [id, l] : leases_)
    out << "\n" << json{{"hold", id}, {"life_s", l.life_s}}.dump();
  for (const auto& [k, e] : keys_)
    out << "\n{\"k\":" << json(k).dump() << ",\"value\":" << e.value
        << ",\"stamp\":" << e.mod_revision << ",\"lease\":" << e.lease << "}";
  write(out.str());
  fs::rename(aside, log_);
}

}  // namespace shunttrail::emulators
