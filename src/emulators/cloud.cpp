#include "emulators/cloud.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "artifacts/store.h"
#include "client_protocol/client_protocol.h"

namespace shunttrail::emulators {
using nlohmann::json;

CloudEmulator::CloudEmulator(actor::Loop& loop, const config::Endpoint& at,
                             std::vector<EmulatedMachineType> types, double rps,
                             std::filesystem::path file, Power power, unsigned seed)
    : Actor(loop),
      types_(std::move(types)),
      rps_(rps),
      tokens_(2 * rps),
      refilled_(loop.now()),
      file_(std::move(file)),
      power_(std::move(power)),
      rng_(seed),
      timer_(loop, [this] { boot(); }),
      http_(loop, at, 64 * 1024, [this](net::ExchangePtr ex) {
        if (!paced()) return ex->send({429, "{}", 0});
        try {
          if (ex->path == "/machine_types" && !ex->post) {
            std::vector<wire::MachineType> all;
            for (const auto& t : types_) all.push_back(t.spec);
            return ex->send({200, client_protocol::encode_types(all), 0});
          }
          if (ex->path == "/rentals" && ex->post) return ex->send(rent(ex->body));
          if (ex->path == "/rentals/delete" && ex->post) return remove(ex);
          if (ex->path == "/rentals") return ex->send(list(ex->query));
          ex->send({404, "{}", 0});
        } catch (const wire::Malformed& e) {
          ex->send({400, json{{"error", e.what()}}.dump(), 0});
        }
      }) {
  load();
  timer_.after(0);
}

bool CloudEmulator::paced() {
  double now = loop_.now();
  tokens_ = std::min(2 * rps_, tokens_ + (now - refilled_) * rps_);
  refilled_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

net::Answer CloudEmulator::rent(const std::string& body) {
  client_protocol::RentRequest r = client_protocol::decode_rent(body);
  if (auto it = requests_.find(r.name); it != requests_.end())
    return {200, client_protocol::encode_rented(it->second), 0};
  auto type = std::find_if(types_.begin(), types_.end(),
                           [&](const EmulatedMachineType& t) { return t.spec.name == r.type; });
  if (type == types_.end() ||
      std::find(type->spec.zones.begin(), type->spec.zones.end(), r.zone) == type->spec.zones.end())
    throw wire::Malformed("no such type or zone");
  auto up = std::count_if(machines_.begin(), machines_.end(),
                          [&](const auto& m) { return m.second.type == r.type; });
  int n = std::min<int>(r.count, type->most - static_cast<int>(up));
  const auto none = none_until_.find(r.zone);
  if (n <= 0 || refusing_ || (none != none_until_.end() && none->second > loop_.now()))
    return {503, "{\"error\":\"no capacity\"}", 0};
  auto& names = requests_[r.name];
  for (int i = 0; i < n; ++i) {
    std::string number = std::to_string(next_++);
    Machine m;
    m.name = "m-" + std::string(6 - std::min<std::size_t>(6, number.size()), '0') + number;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    m.address = power_.address();
    m.rented_at = loop_.wall_now();
    m.known_at = loop_.now();
    m.boots_at =
        loop_.now() +
        (quick_s_ > 0 ? std::uniform_real_distribution<>(std::min(0.1, quick_s_), quick_s_)(rng_)
                      : type->spec.boot_s * std::uniform_real_distribution<>(0.6, 1.5)(rng_));
    names.push_back(m.name);
    machines_[m.name] = std::move(m);
  }
  save();
  timer_.after(0);
  return {200, client_protocol::encode_rented(names), 0};
}

void CloudEmulator::remove(net::ExchangePtr ex) {
  std::vector<std::string> there;
  for (const auto& name : client_protocol::decode_delete(ex->body))
    if (auto it = machines_.find(name); it != machines_.end()) {
      it->second.going = true;
      there.push_back(name);
    }
  // They stay listed until they are gone, and are answered for only then.
  power_.off(there, reply<>([this, ex, there] {
               for (const auto& name : there)
                 if (auto m = machines_.extract(name); m && lag_s_ > 0)
                   gone_[name] = {m.mapped(), loop_.now()};
               save();
               ex->send({200, "{}", 0});
             }));
}

net::Answer CloudEmulator::list(const std::string& query) {
  std::string after = net::query_value(query, "after"), limit = net::query_value(query, "limit");
  std::size_t most = 500;
  if (!limit.empty() && limit.size() < 6 &&
      limit.find_first_not_of("0123456789") == std::string::npos)
    most = std::min<std::size_t>(most, std::stoul(limit));
  const double old = lag_s_ > 0 ? lag_s_ * std::uniform_real_distribution<>(0.5, 2)(rng_) : 0;
  const double as_of = loop_.now() - old;
  std::erase_if(gone_, [&](const auto& g) { return g.second.second < loop_.now() - 2 * lag_s_; });
  std::map<std::string, const Machine*> listed;
  for (const auto& [name, m] : machines_)
    if (m.known_at <= as_of) listed[name] = &m;
  for (const auto& [name, g] : gone_)
    if (g.first.known_at <= as_of && g.second > as_of) listed[name] = &g.first;
  wire::MachineList l;
  for (auto it = listed.upper_bound(after); it != listed.end(); ++it) {
    if (l.machines.size() >= most) {
      l.more = true;
      break;
    }
    const Machine& m = *it->second;
    l.machines.push_back({m.name, m.address, m.type, m.zone,
                          m.on && m.on_at <= as_of ? "running" : "booting", m.spot,
                          loop_.wall_now() - m.rented_at - old});
  }
  return {200, client_protocol::encode_machines(l), 0};
}

void CloudEmulator::boot() {
  double now = loop_.now(), next = now + 1;
  for (auto& [name, m] : machines_) {
    if (m.on || m.going) continue;
    if (m.boots_at <= now) {
      m.on = true;
      m.on_at = now;
      power_.on(m);
    } else {
      next = std::min(next, m.boots_at);
    }
  }
  timer_.after(next - now);
}

void CloudEmulator::save() const {
  if (file_.empty()) return;
  json j = {{"next", next_}, {"requests", requests_}, {"machines", json::array()}};
  for (const auto& [name, m] : machines_)
    j["machines"].push_back({{"name", name},
                             {"type", m.type},
                             {"zone", m.zone},
                             {"spot", m.spot},
                             {"rented_at", m.rented_at}});
  artifacts::write_whole(file_, j.dump());
}

void CloudEmulator::load() {
  std::ifstream in(file_);
  if (!in) return;
  json j = json::parse(in, nullptr, false);
  if (!j.is_object()) throw std::runtime_error(file_.string() + " is damaged");
  next_ = j["next"];
  requests_ = j["requests"].get<decltype(requests_)>();
  for (const auto& e : j["machines"]) {
    Machine m;
    m.name = e["name"];
    m.type = e["type"];
    m.zone = e["zone"];
    m.spot = e["spot"];
    m.rented_at = e["rented_at"];
    m.address = power_.address();
    machines_[m.name] = std::move(m);
  }
}

}  // namespace shunttrail::emulators
