#include "config/tuning.h"

#include <cmath>

#include "config/xml.h"

namespace shunttrail::config {
namespace {

using Reader = Readers::mapped_type;

/// Returns a reader that stores a whole number from `min` to `max` in `to`.
Reader whole_into(int& to, int min, int max) {
  return [&to, min, max](pugi::xml_node node, const std::string& path) {
    const double number = xml_number(node.child_value(), path, min, max);
    if (number != std::floor(number))
      throw_settings_error(path, "is " + number_text(number) + ", expected a whole number");
    to = static_cast<int>(number);
  };
}

/// Returns a reader that stores true or false in `to`.
Reader flag_into(bool& to) {
  return [&to](pugi::xml_node node, const std::string& path) {
    to = xml_flag(node.child_value(), path);
  };
}

}  // namespace

Tuning parse_tuning(const std::string& text) {
  Tuning tuning;
  const Readers readers = {{"waiting-bar", whole_into(tuning.waiting_bar, 0, 10000)},
                           {"ring", whole_into(tuning.ring, 1, 1000)},
                           {"lambda", xml_into(tuning.lambda, 1.0001, 100)},
                           {"idle-start-s", xml_into(tuning.idle_start_s, 0.001, 86400)},
                           {"idle-cap", xml_into(tuning.idle_cap, 1, 10000)},
                           {"wait-weight", xml_into(tuning.wait_weight, 0, 1e6)},
                           {"late-weight", xml_into(tuning.late_weight, 0, 1e9)},
                           {"hold-s", xml_into(tuning.node_lease_s, 1, 600)},
                           {"reply-hold-s", xml_into(tuning.response_hold_s, 0, 3)},
                           {"relay", flag_into(tuning.relay)},
                           {"delegation", flag_into(tuning.delegation)}};
  pugi::xml_document document;
  read_children(load_xml(document, text, "shunttrail"), "tuning", readers);
  return tuning;
}

}  // namespace shunttrail::config
