#include "config/xml.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace shunttrail::config {

pugi::xml_node load_xml(pugi::xml_document& doc, const std::string& text, const char* root) {
  auto ok = doc.load_buffer(text.data(), text.size());
  if (!ok) {
    auto upto = text.begin() + std::min<std::ptrdiff_t>(ok.offset, std::ssize(text));
    bad_at("line " + std::to_string(1 + std::count(text.begin(), upto, '\n')), ok.description());
  }
  pugi::xml_node n = doc.child(root);
  if (!n) bad_at(root, "is not the root element");
  return n;
}

void read_children(pugi::xml_node n, const std::string& place, const Readers& readers,
                   const std::vector<std::string>& required) {
  for (pugi::xml_node c : n.children()) {
    if (c.type() != pugi::node_element) continue;
    std::string at = place + "." + c.name();
    auto it = readers.find(c.name());
    if (it == readers.end()) bad_at(at, "is not a known setting");
    it->second(c, at);
  }
  for (const auto& r : required)
    if (!n.child(r.c_str())) bad_at(place + "." + r, "is missing");
}

std::string xml_text(pugi::xml_node n, const std::string& place) {
  std::string s = n.child_value();
  if (s.empty()) bad_at(place, "is empty");
  return s;
}
double xml_number(const std::string& text, const std::string& place, double least, double most) {
  std::istringstream in(text);
  in.imbue(std::locale::classic());
  double v = 0;
  std::string rest;
  if (!(in >> v) || (in >> rest) || !std::isfinite(v) || v < least || v > most)
    bad_at(place, "is not a number in range");
  return v;
}
std::function<void(pugi::xml_node, const std::string&)> xml_into(double& to, double least,
                                                                 double most) {
  return [&to, least, most](pugi::xml_node n, const std::string& place) {
    to = xml_number(n.child_value(), place, least, most);
  };
}
bool xml_flag(const std::string& text, const std::string& place) {
  if (text != "true" && text != "false") bad_at(place, "is neither true nor false");
  return text == "true";
}
std::string xml_attribute(pugi::xml_node n, const std::string& place, const char* name) {
  std::string s = n.attribute(name).value();
  if (s.empty()) bad_at(place, std::string("has no ") + name);
  return s;
}

Endpoint parse_endpoint(const std::string& s, const std::string& place) {
  auto colon = s.rfind(':');
  Endpoint e;
  if (colon == std::string::npos || colon == 0) bad_at(place, "is not host:port");
  e.host = s.substr(0, colon);
  std::string p = s.substr(colon + 1);
  if (p.empty() || p.size() > 5 || p.find_first_not_of("0123456789") != std::string::npos)
    bad_at(place, "has a bad port");
  int port = std::stoi(p);
  if (port < 1 || port > 65535) bad_at(place, "has a bad port");
  e.port = static_cast<std::uint16_t>(port);
  return e;
}

}  // namespace shunttrail::config
