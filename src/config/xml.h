// Operators' XML files, read strictly: what is not known is an error, and every error is one line
// that names the place.
#pragma once
#include <functional>
#include <map>
#include <pugixml.hpp>
#include <string>

#include "config/settings.h"

namespace shunttrail::config {

[[noreturn]] inline void bad_at(const std::string& place, const std::string& why) {
  throw SettingsError(place + ": " + why);
}
// The document's root element, which has to have this name. Errors name the line.
pugi::xml_node load_xml(pugi::xml_document& doc, const std::string& text, const char* root);
// Calls the reader of each child's name; a child without one is an error, and so is an element
// that `required` names and that is not there.
using Readers =
    std::map<std::string, std::function<void(pugi::xml_node, const std::string& place)>>;
void read_children(pugi::xml_node n, const std::string& place, const Readers& readers,
                   const std::vector<std::string>& required = {});
std::string xml_text(pugi::xml_node n, const std::string& place);
double xml_number(const std::string& text, const std::string& place, double least, double most);
// A reader that puts a number in this range into `to`.
std::function<void(pugi::xml_node, const std::string&)> xml_into(double& to, double least,
                                                                 double most);
bool xml_flag(const std::string& text, const std::string& place);
std::string xml_attribute(pugi::xml_node n, const std::string& place, const char* name);
Endpoint parse_endpoint(const std::string& text, const std::string& place);

}  // namespace shunttrail::config
