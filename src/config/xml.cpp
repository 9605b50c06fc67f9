#include "config/xml.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shunttrail::config {
namespace {

constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;

std::uint16_t parse_port(const std::string& text, const std::string& path) {
  const std::string problem =
      "has port " + quoted_text(text) + ", expected 1 to " + std::to_string(kMaxPort);
  if (text.empty() || text.size() > kMaxPortDigits ||
      text.find_first_not_of("0123456789") != std::string::npos)
    throw_settings_error(path, problem);
  const int port = std::stoi(text);
  if (port < 1 || port > kMaxPort) throw_settings_error(path, problem);
  return static_cast<std::uint16_t>(port);
}

}  // namespace

std::string quoted_text(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string number_text(double number) {
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out << number;
  return out.str();
}

std::string range_text(double min, double max) {
  return number_text(min) + " to " + number_text(max);
}

pugi::xml_node load_xml(pugi::xml_document& document, const std::string& text, const char* root) {
  const pugi::xml_parse_result result = document.load_buffer(text.data(), text.size());
  if (!result) {
    const auto error_at = text.begin() + std::min<std::ptrdiff_t>(result.offset, std::ssize(text));
    const auto line = 1 + std::count(text.begin(), error_at, '\n');
    throw_settings_error("line " + std::to_string(line), result.description());
  }
  const pugi::xml_node node = document.child(root);
  if (!node) throw_settings_error(root, "is not the root element");
  return node;
}

void read_children(pugi::xml_node parent, const std::string& path, const Readers& readers,
                   const std::vector<std::string>& required) {
  const std::string prefix = path + ".";
  for (pugi::xml_node child : parent.children()) {
    if (child.type() != pugi::node_element) continue;
    const std::string child_path = prefix + child.name();
    const auto reader = readers.find(child.name());
    if (reader == readers.end()) throw_settings_error(child_path, "is not a known setting");
    reader->second(child, child_path);
  }
  for (const std::string& name : required)
    if (!parent.child(name.c_str())) throw_settings_error(prefix + name, "is missing");
}

std::string xml_text(pugi::xml_node node, const std::string& path) {
  std::string text = node.child_value();
  if (text.empty()) throw_settings_error(path, "is empty");
  return text;
}

double xml_number(const std::string& text, const std::string& path, double min, double max) {
  std::istringstream in(text);
  in.imbue(std::locale::classic());
  double number = 0;
  std::string rest;
  const bool is_number = (in >> number) && !(in >> rest) && std::isfinite(number);
  if (!is_number || number < min || number > max)
    throw_settings_error(
        path, "is " + quoted_text(text) + ", expected a number from " + range_text(min, max));
  return number;
}

std::function<void(pugi::xml_node, const std::string&)> xml_into(double& to, double min,
                                                                 double max) {
  return [&to, min, max](pugi::xml_node node, const std::string& path) {
    to = xml_number(node.child_value(), path, min, max);
  };
}

bool xml_flag(const std::string& text, const std::string& path) {
  if (text != "true" && text != "false")
    throw_settings_error(path, "is " + quoted_text(text) + ", expected true or false");
  return text == "true";
}

std::string xml_attribute(pugi::xml_node node, const std::string& path, const char* name) {
  std::string value = node.attribute(name).value();
  if (value.empty()) throw_settings_error(path, std::string("has no attribute ") + name);
  return value;
}

Endpoint parse_endpoint(const std::string& text, const std::string& path) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    throw_settings_error(path, "is " + quoted_text(text) + ", expected host:port");
  return {text.substr(0, colon), parse_port(text.substr(colon + 1), path)};
}

}  // namespace shunttrail::config
