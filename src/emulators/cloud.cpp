#include "emulators/cloud.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "artifacts/store.h"
#include "client_protocol/client_protocol.h"

namespace shunttrail::emulators {
using nlohmann::json;

namespace {
constexpr std::size_t kMaxRequestBytes = 64 * 1024;
constexpr std::size_t kMaxPageMachines = 500;
constexpr std::size_t kMaxLimitDigits = 5;
constexpr double kBurstS = 2;  // a burst holds as many requests as the rate allows in this time
constexpr double kMinBootS = 0.1;
constexpr std::size_t kNameDigits = 6;

// Returns the largest number of machines in an answer: the query's limit if it is valid.
std::size_t page_size(const std::string& query) {
  const std::string limit = net::query_value(query, "limit");
  if (limit.empty() || limit.size() > kMaxLimitDigits ||
      limit.find_first_not_of("0123456789") != std::string::npos)
    return kMaxPageMachines;
  return std::min<std::size_t>(kMaxPageMachines, std::stoul(limit));
}
}  // namespace

CloudEmulator::CloudEmulator(actor::Loop& loop, const config::Endpoint& at,
                             std::vector<EmulatedMachineType> types, double rps,
                             std::filesystem::path file, Power power, unsigned seed)
    : Actor(loop),
      types_(std::move(types)),
      rps_(rps),
      request_tokens_(kBurstS * rps),
      refilled_at_(loop.now()),
      file_(std::move(file)),
      power_(std::move(power)),
      rng_(seed),
      timer_(loop, [this] { boot_due_machines(); }),
      http_(loop, at, kMaxRequestBytes, [this](net::ExchangePtr exchange) { handle(exchange); }) {
  load();
  timer_.after(0);
}

// ---- requests

void CloudEmulator::handle(const net::ExchangePtr& exchange) {
  if (!take_token()) return exchange->send({429, "{}", 0});
  try {
    dispatch(exchange);
  } catch (const wire::Malformed& e) {
    exchange->send({400, json{{"error", e.what()}}.dump(), 0});
  }
}

void CloudEmulator::dispatch(const net::ExchangePtr& exchange) {
  const std::string& path = exchange->path;
  if (path == "/machine_types" && !exchange->post) return exchange->send(list_types());
  if (path == "/rentals" && exchange->post) return exchange->send(rent(exchange->body));
  if (path == "/rentals/delete" && exchange->post) return remove(exchange);
  if (path == "/rentals") return exchange->send(list(exchange->query));
  exchange->send({404, "{}", 0});
}

bool CloudEmulator::take_token() {
  const double now = loop_.now();
  request_tokens_ = std::min(kBurstS * rps_, request_tokens_ + (now - refilled_at_) * rps_);
  refilled_at_ = now;
  if (request_tokens_ < 1) return false;
  request_tokens_ -= 1;
  return true;
}

net::Answer CloudEmulator::list_types() const {
  std::vector<wire::MachineType> all;
  for (const auto& type : types_) all.push_back(type.spec);
  return {200, client_protocol::encode_types(all), 0};
}

// ---- rentals

net::Answer CloudEmulator::rent(const std::string& body) {
  const client_protocol::RentRequest request = client_protocol::decode_rent(body);
  if (auto earlier = rented_by_request_.find(request.name); earlier != rented_by_request_.end())
    return {200, client_protocol::encode_rented(earlier->second), 0};
  const EmulatedMachineType& type = find_type(request.type, request.zone);
  const int count = std::min<int>(request.count, capacity(type, request.zone));
  if (count <= 0) return {503, "{\"error\":\"no capacity\"}", 0};
  auto& names = rented_by_request_[request.name];
  for (int i = 0; i < count; ++i)
    names.push_back(add_machine(type.spec, request.zone, request.spot));
  save();
  timer_.after(0);
  return {200, client_protocol::encode_rented(names), 0};
}

// Throws wire::Malformed if the zone has no machines of this type.
const EmulatedMachineType& CloudEmulator::find_type(const std::string& name,
                                                    const std::string& zone) const {
  const auto type = std::find_if(types_.begin(), types_.end(),
                                 [&](const auto& t) { return t.spec.name == name; });
  if (type == types_.end() ||
      std::find(type->spec.zones.begin(), type->spec.zones.end(), zone) == type->spec.zones.end())
    throw wire::Malformed("no such type or zone");
  return *type;
}

// Returns how many more machines of the type can be rented in the zone now.
int CloudEmulator::capacity(const EmulatedMachineType& type, const std::string& zone) const {
  const auto none = refused_until_.find(zone);
  if (refuses_rentals_ || (none != refused_until_.end() && none->second > loop_.now())) return 0;
  const auto rented = std::count_if(machines_.begin(), machines_.end(),
                                    [&](const auto& m) { return m.second.type == type.spec.name; });
  return type.max_machines - static_cast<int>(rented);
}

std::string CloudEmulator::add_machine(const wire::MachineType& type, const std::string& zone,
                                       bool spot) {
  const std::string number = std::to_string(next_number_++);
  Machine m;
  m.name = "m-" + std::string(kNameDigits - std::min(kNameDigits, number.size()), '0') + number;
  m.type = type.name;
  m.zone = zone;
  m.spot = spot;
  m.address = power_.address();
  m.rented_at = loop_.wall_now();
  m.added_at = loop_.now();
  m.boots_at = loop_.now() + boot_time_s(type);
  std::string name = m.name;
  machines_[name] = std::move(m);
  return name;
}

double CloudEmulator::boot_time_s(const wire::MachineType& type) {
  if (max_boot_s_ > 0)
    return std::uniform_real_distribution<>(std::min(kMinBootS, max_boot_s_), max_boot_s_)(rng_);
  return type.boot_s * std::uniform_real_distribution<>(0.6, 1.5)(rng_);
}

void CloudEmulator::remove(const net::ExchangePtr& exchange) {
  std::vector<std::string> rented;
  for (const auto& name : client_protocol::decode_delete(exchange->body))
    if (auto it = machines_.find(name); it != machines_.end()) {
      it->second.deleting = true;
      rented.push_back(name);
    }
  // The machines stay listed, and the request stays unanswered, until they are off.
  power_.off(rented, reply<>([this, exchange, rented] {
               for (const auto& name : rented)
                 if (auto m = machines_.extract(name); m && lag_s_ > 0)
                   deleted_[name] = {m.mapped(), loop_.now()};
               save();
               exchange->send({200, "{}", 0});
             }));
}

std::map<std::string, const CloudEmulator::Machine*> CloudEmulator::machines_as_of(
    double as_of) const {
  std::map<std::string, const Machine*> listed;
  for (const auto& [name, machine] : machines_)
    if (machine.added_at <= as_of) listed[name] = &machine;
  for (const auto& [name, gone] : deleted_)
    if (gone.machine.added_at <= as_of && gone.deleted_at > as_of) listed[name] = &gone.machine;
  return listed;
}

net::Answer CloudEmulator::list(const std::string& query) {
  const std::size_t limit = page_size(query);
  const double age = lag_s_ > 0 ? lag_s_ * std::uniform_real_distribution<>(0.5, 2)(rng_) : 0;
  const double as_of = loop_.now() - age;
  std::erase_if(deleted_,
                [&](const auto& g) { return g.second.deleted_at < loop_.now() - 2 * lag_s_; });
  const auto listed = machines_as_of(as_of);
  wire::MachineList page;
  for (auto it = listed.upper_bound(net::query_value(query, "after")); it != listed.end(); ++it) {
    if (page.machines.size() >= limit) {
      page.more = true;
      break;
    }
    const Machine& m = *it->second;
    const char* state = m.booted && m.booted_at <= as_of ? "running" : "booting";
    page.machines.push_back(
        {m.name, m.address, m.type, m.zone, state, m.spot, loop_.wall_now() - m.rented_at - age});
  }
  return {200, client_protocol::encode_machines(page), 0};
}

void CloudEmulator::boot_due_machines() {
  double now = loop_.now(), next = now + 1;
  for (auto& [name, m] : machines_) {
    if (m.booted || m.deleting) continue;
    if (m.boots_at <= now) {
      m.booted = true;
      m.booted_at = now;
      power_.on(m);
    } else {
      next = std::min(next, m.boots_at);
    }
  }
  timer_.after(next - now);
}

void CloudEmulator::save() const {
  if (file_.empty()) return;
  json j = {{"next", next_number_}, {"requests", rented_by_request_}, {"machines", json::array()}};
  for (const auto& [name, m] : machines_)
    j["machines"].push_back({{"name", name},
                             {"type", m.type},
                             {"zone", m.zone},
                             {"spot", m.spot},
                             {"rented_at", m.rented_at}});
  artifacts::replace_file(file_, j.dump());
}

void CloudEmulator::load() {
  std::ifstream in(file_);
  if (!in) return;
  json j = json::parse(in, nullptr, false);
  if (!j.is_object())
    throw std::runtime_error(file_.string() + " is damaged: it holds no JSON object");
  next_number_ = j["next"];
  rented_by_request_ = j["requests"].get<decltype(rented_by_request_)>();
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
