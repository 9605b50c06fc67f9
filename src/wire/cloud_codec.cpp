#include "wire/cloud_codec.h"

#include <cctype>

#include "wire/fields.h"

namespace shunttrail::wire {
namespace {

/// Minimum age of a machine. Ages may be negative, since the cloud's clock may be behind this one.
constexpr double kMinAgeS = -1e9;
/// Path of the list of rented machines, with the largest page that the protocol allows: 4,000
/// machines take 8 pages.
constexpr const char* kListPath = "/rentals?limit=500";

/// Percent-encodes every byte except letters, digits and the characters - _ . /
std::string escape(const std::string& value) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : value) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kHexDigits[c >> 4];
      out += kHexDigits[c & 15];
    }
  }
  return out;
}

MachineType machine_type_from_json(const json& j) {
  MachineType type;
  type.name = text(j, "name");
  type.cpus = number(j, "vcpus", 0);
  type.gpus = number(j, "cards", 0);
  type.mem_gb = number(j, "mem_gb", 0);
  type.price = number(j, "hourly", 0);
  const json* spot_price = find(j, "market_price");
  type.spot_price = spot_price ? as_number(*spot_price, "market_price", 0) : type.price;
  type.boot_s = number(j, "startup_s", 0);
  if (const json* cache = find(j, "local_gb")) type.cache_gb = as_number(*cache, "local_gb", 0);
  type.zones = texts(list(j, "yards"), "yards");
  return type;
}

ListedMachine listed_machine_from_json(const json& j) {
  ListedMachine machine;
  machine.name = text(j, "uid");
  machine.addr = text_or(j, "address", "");
  machine.type = text(j, "stock");
  machine.zone = text(j, "yard");
  machine.spot = flag(j, "borrowed_stock");
  machine.state = text(j, "signal");
  machine.age_s = number(j, "held_s", kMinAgeS);
  return machine;
}

}  // namespace

std::vector<MachineType> decode_types(std::string_view body) {
  return decode_body(body, [](const json& j) {
    std::vector<MachineType> out;
    for (const json& type : list(j, "stock_types")) out.push_back(machine_type_from_json(type));
    return out;
  });
}

std::string encode_rent(const std::string& request, const std::string& type,
                        const std::string& zone, bool spot, int count) {
  return json{{"charter", request},
              {"stock", type},
              {"yard", zone},
              {"borrowed_stock", spot},
              {"count", count}}
      .dump();
}

std::vector<std::string> decode_rented(std::string_view body) {
  return decode_body(body, [](const json& j) { return texts(list(j, "engines"), "engines"); });
}

std::string encode_delete(const std::vector<std::string>& machines) {
  return json{{"engines", machines}}.dump();
}

std::string machines_path(const std::string& after) {
  return kListPath + (after.empty() ? "" : "&after=" + escape(after));
}

MachineList decode_machines(std::string_view body) {
  return decode_body(body, [](const json& j) {
    MachineList out;
    for (const json& machine : list(j, "engines"))
      out.machines.push_back(listed_machine_from_json(machine));
    out.more = flag(j, "has_next");
    check_page(out.more, out.machines.empty());
    return out;
  });
}

}  // namespace shunttrail::wire
