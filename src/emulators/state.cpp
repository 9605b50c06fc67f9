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
constexpr std::size_t kMaxWindowEvents = 10000;
constexpr std::size_t kMaxPageBytes = 512 * 1024;
constexpr std::uint64_t kMaxPageEntries = 1000;
constexpr std::uint64_t kMaxWatchMs = 60000;
constexpr std::size_t kMaxRequestBytes = 64 * 1024;
constexpr std::size_t kMaxNumberDigits = 18;  // any number of 18 digits fits into 64 bits
constexpr std::size_t kPreconditionsPerOp = 4;
constexpr double kTickS = 0.05;
constexpr std::string_view kLeasesPath = "/holds";
constexpr std::string_view kRenewSuffix = "/renew";

bool is_number(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNumberDigits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

std::uint64_t parse_count(const std::string& query, const char* name, std::uint64_t fallback) {
  std::string s = net::query_value(query, name);
  if (s.empty()) return fallback;
  if (!is_number(s)) throw wire::Malformed(std::string(name) + " is not a count");
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
               timer_.after(kTickS);
             }),
      http_(
          loop, at, kMaxRequestBytes, [this](net::ExchangePtr exchange) { handle(exchange); },
          true) {
  if (!log_.empty()) load();
  timer_.after(kTickS);
}

StateServiceEmulator::~StateServiceEmulator() {
  if (fd_ >= 0) ::close(fd_);
}

void StateServiceEmulator::set_rate_limits(double rps, double write_rps) {
  request_limit_ = {rps, rps, loop_.now()};
  write_limit_ = {write_rps, write_rps, loop_.now()};
}

void StateServiceEmulator::set_size_limits(std::size_t value_bytes, std::size_t ops) {
  max_value_bytes_ = value_bytes;
  max_ops_ = ops;
}

bool StateServiceEmulator::RateLimit::take(double n, double now) {
  if (per_s <= 0) return true;
  tokens = std::min(per_s, tokens + (now - at) * per_s);
  at = now;
  if (tokens < n) return false;
  tokens -= n;
  return true;
}

// ---- requests

void StateServiceEmulator::handle(const net::ExchangePtr& exchange) {
  if (in_outage_) return exchange->send({503, "{\"error\":\"trouble\"}", 0});
  if (!request_limit_.take(1, loop_.now())) return exchange->send({429, "{}", 0});
  if (exchange->path == "/watch") return watch(exchange);
  exchange->send(answer(*exchange));
}

net::Answer StateServiceEmulator::answer(const net::Exchange& exchange) {
  const std::string& path = exchange.path;
  try {
    if (path == "/kv" && !exchange.post) return list(exchange.query);
    if (path.starts_with("/kv/") && !exchange.post) return get(path.substr(4));
    if (path == "/commit" && exchange.post) return commit(exchange.body);
    if (path.starts_with(kLeasesPath)) return handle_lease(exchange);
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

net::Answer StateServiceEmulator::list(const std::string& query) {
  const std::string prefix = net::query_value(query, "starts"),
                    after = net::query_value(query, "after");
  const std::uint64_t limit =
      std::min(parse_count(query, "limit", kMaxPageEntries), kMaxPageEntries);
  std::vector<std::string> entries;
  std::size_t bytes = 0;
  auto it = after > prefix ? keys_.upper_bound(after) : keys_.lower_bound(prefix);
  for (; it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (entries.size() >= limit || (bytes > 0 && bytes + it->second.value.size() > kMaxPageBytes))
      return {200, client_protocol::encode_page(entries, true, revision_), 0};
    bytes += it->second.value.size();
    entries.push_back(client_protocol::encode_entry(it->first, it->second.value,
                                                    it->second.mod_revision, it->second.lease));
  }
  return {200, client_protocol::encode_page(entries, false, revision_), 0};
}

net::Answer StateServiceEmulator::commit(const std::string& body) {
  wire::Transaction t = client_protocol::decode_transaction(body);
  // A transaction counts against the write rate even if its preconditions fail.
  if (!write_limit_.take(static_cast<double>(t.ops.size()), loop_.now())) return {429, "{}", 0};
  if (is_oversized(t)) {
    ++oversized_transactions_;
    return {400, "{\"error\":\"too large\"}", 0};
  }
  for (const auto& op : t.ops)
    if (op.lease && !leases_.contains(op.lease)) return {400, "{\"error\":\"no such lease\"}", 0};
  std::vector<std::string> failed;
  for (const auto& [key, mod_revision] : t.preconditions) {
    auto it = keys_.find(key);
    if ((it == keys_.end() ? 0 : it->second.mod_revision) != mod_revision) failed.push_back(key);
  }
  if (!failed.empty()) return {409, client_protocol::encode_failed(failed, revision_), 0};
  if (t.ops.empty()) return {200, client_protocol::encode_revision(revision_), 0};
  append("{\"ledger\":" + std::to_string(revision_ + 1) + ",\"commit\":" + body + "}");
  apply(t, revision_ + 1);
  return {200, client_protocol::encode_revision(revision_), 0};
}

bool StateServiceEmulator::is_oversized(const wire::Transaction& transaction) const {
  const auto is_long = [this](const wire::Transaction::Op& op) {
    return op.value && op.value->size() > max_value_bytes_;
  };
  const auto& ops = transaction.ops;
  const std::size_t ops_for_preconditions =
      (transaction.preconditions.size() + kPreconditionsPerOp - 1) / kPreconditionsPerOp;
  return std::max(ops.size(), ops_for_preconditions) > max_ops_ ||
         std::any_of(ops.begin(), ops.end(), is_long);
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
    window_.push_back({op.key, op.value, revision});
  }
  while (window_.size() > kMaxWindowEvents) {
    window_start_ = window_.front().mod_revision;
    window_.pop_front();
  }
  post([this] { answer_watchers(); });
}

// ---- watches

// Answers the watches for which there are events and keeps the others open.
void StateServiceEmulator::answer_watchers() {
  std::deque<Watcher> waiting;
  for (auto& w : watchers_) {
    if (const auto body = encode_changes(w.prefix, w.after))
      w.exchange->send({200, *body, 0});
    else
      waiting.push_back(std::move(w));
  }
  watchers_ = std::move(waiting);
}

std::optional<std::string> StateServiceEmulator::encode_changes(const std::string& prefix,
                                                                std::uint64_t after) const {
  std::vector<wire::Event> out;
  auto from =
      std::upper_bound(window_.begin(), window_.end(), after,
                       [](std::uint64_t r, const wire::Event& e) { return r < e.mod_revision; });
  for (auto it = from; it != window_.end(); ++it)
    if (it->key.starts_with(prefix)) out.push_back(*it);
  if (out.empty()) return std::nullopt;
  return client_protocol::encode_watch(revision_, out);
}

void StateServiceEmulator::watch(const net::ExchangePtr& exchange) {
  const std::string& query = exchange->query;
  try {
    const std::string prefix = net::query_value(query, "starts");
    const std::uint64_t after = parse_count(query, "after", 0);
    const std::uint64_t wait_ms = std::min(parse_count(query, "block_ms", 0), kMaxWatchMs);
    const double until = loop_.now() + static_cast<double>(wait_ms) / 1000;
    if (after < window_start_) return exchange->send({410, "{}", 0});
    const auto body = encode_changes(prefix, after);
    if (body) return exchange->send({200, *body, 0});
    if (until <= loop_.now())
      return exchange->send({200, client_protocol::encode_watch(revision_, {}), 0});
    watchers_.push_back({prefix, after, until, exchange});
  } catch (const wire::Malformed& e) {
    exchange->send({400, json{{"error", e.what()}}.dump(), 0});
  }
}

// ---- leases

net::Answer StateServiceEmulator::handle_lease(const net::Exchange& exchange) {
  if (exchange.path == kLeasesPath && exchange.post) return grant_lease(exchange.body);
  std::string id = exchange.path.substr(std::min(exchange.path.size(), kLeasesPath.size() + 1));
  const bool renew = id.ends_with(kRenewSuffix);
  if (renew) id.resize(id.size() - kRenewSuffix.size());
  if (!is_number(id)) return {404, "{}", 0};
  auto lease = leases_.find(std::stoull(id));
  if (lease == leases_.end()) return {404, "{}", 0};
  if (renew && exchange.post) {
    lease->second.until = loop_.now() + lease->second.ttl_s;
    return {200, client_protocol::encode_lease(lease->first), 0};
  }
  if (!exchange.del) return {405, "{}", 0};
  drop_lease(lease->first);
  return {200, "{}", 0};
}

net::Answer StateServiceEmulator::grant_lease(const std::string& body) {
  const double ttl_s = static_cast<double>(client_protocol::decode_life_ms(body)) / 1000;
  const std::uint64_t id = next_lease_++;
  append(json{{"hold", id}, {"life_s", ttl_s}}.dump());
  leases_[id] = {ttl_s, loop_.now() + ttl_s, {}};
  return {200, client_protocol::encode_lease(id), 0};
}

void StateServiceEmulator::drop_lease(std::uint64_t id) {
  wire::Transaction t;
  for (const auto& k : leases_[id].keys) t.ops.push_back({k, std::nullopt, 0});
  json drops = json::array();
  for (const auto& op : t.ops) drops.push_back(op.key);
  append(json{{"over", id}, {"ledger", revision_ + 1}, {"drops", drops}}.dump());
  if (!t.ops.empty()) apply(t, revision_ + 1);
  leases_.erase(id);
}

void StateServiceEmulator::set_outage(bool on) {
  in_outage_ = on;
  if (!on) renew_all_leases();
}

void StateServiceEmulator::renew_all_leases() {
  for (auto& [id, lease] : leases_) lease.until = loop_.now() + lease.ttl_s;
}

void StateServiceEmulator::tick() {
  if (in_outage_) return;
  drop_expired_leases();
  // Watches with events are answered before expired ones are ended. An expired watch is answered
  // with the new revision and no events, so its client would never get the deletions that the
  // expired leases have just caused.
  answer_watchers();
  end_expired_watches();
}

void StateServiceEmulator::drop_expired_leases() {
  const double now = loop_.now();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (now > lease.until) expired.push_back(id);
  for (const auto id : expired) drop_lease(id);
}

void StateServiceEmulator::end_expired_watches() {
  const double now = loop_.now();
  std::deque<Watcher> waiting;
  for (auto& w : watchers_) {
    if (now >= w.until)
      w.exchange->send({200, client_protocol::encode_watch(revision_, {}), 0});
    else
      waiting.push_back(std::move(w));
  }
  watchers_ = std::move(waiting);
}

// ---- the log

void StateServiceEmulator::append(const std::string& line) {
  if (fd_ < 0) return;
  std::string bytes = line + "\n";
  std::string_view unwritten = bytes;
  while (!unwritten.empty()) {
    ssize_t n = ::write(fd_, unwritten.data(), unwritten.size());
    if (n < 0 && errno == EINTR) continue;
    // The line may be written in part, and only a new start can find the end of the log.
    if (n < 0) throw std::system_error(errno, std::generic_category(), log_.string());
    unwritten.remove_prefix(static_cast<std::size_t>(n));
  }
  if (::fdatasync(fd_) != 0) throw std::system_error(errno, std::generic_category(), log_.string());
}

void StateServiceEmulator::load() {
  fs::create_directories(log_.parent_path());
  read_log();
  // As after an outage, every lease is renewed for its full time to live. The watch window is
  // empty.
  renew_all_leases();
  window_.clear();
  window_start_ = revision_;
  write_compacted_log();
}

void StateServiceEmulator::read_log() {
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
      leases_[id].ttl_s = j["life_s"];
    } else if (j.contains("k")) {
      std::uint64_t lease = j["lease"];
      keys_[j["k"]] = {j["value"].dump(), j["stamp"], lease};
      if (lease) leases_[lease].keys.insert(j["k"].get<std::string>());
    } else if (j.contains("ledger")) {
      revision_ = j["ledger"];
      next_lease_ = j["next_hold"];
    }
  }
}

// Writes the log to a temporary file, which replaces the old log once it is complete.
void StateServiceEmulator::write_compacted_log() {
  fs::path temporary = log_;
  temporary += ".new";
  fd_ = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), temporary.string());
  std::ostringstream out;
  out << json{{"ledger", revision_}, {"next_hold", next_lease_}}.dump();
  for (const auto& [id, l] : leases_) out << "\n" << json{{"hold", id}, {"life_s", l.ttl_s}}.dump();
  for (const auto& [k, e] : keys_)
    out << "\n{\"k\":" << json(k).dump() << ",\"value\":" << e.value
        << ",\"stamp\":" << e.mod_revision << ",\"lease\":" << e.lease << "}";
  append(out.str());
  fs::rename(temporary, log_);
}

}  // namespace shunttrail::emulators
