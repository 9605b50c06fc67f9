/// @file
/// Strict reading of operators' XML files: what is not known is an error, and every error is a
/// SettingsError of one line that names the place.
#pragma once
#include <functional>
#include <map>
#include <pugixml.hpp>
#include <string>
#include <vector>

#include "config/settings.h"

namespace shunttrail::config {

/// Throws the error of a path in a file.
[[noreturn]] inline void throw_settings_error(const std::string& path, const std::string& why) {
  throw SettingsError(path + ": " + why);
}

/// Parses a document and returns its root element, which has to have this name. Errors name the
/// line.
pugi::xml_node load_xml(pugi::xml_document& document, const std::string& text, const char* root);

/// What reads an element, by the element's name.
using Readers = std::map<std::string, std::function<void(pugi::xml_node, const std::string& path)>>;
/// Calls the reader of each child element. A child without a reader is an error, and so is an
/// element that `required` names and that is not there.
void read_children(pugi::xml_node parent, const std::string& path, const Readers& readers,
                   const std::vector<std::string>& required = {});

/// An element's text, which must not be empty.
std::string xml_text(pugi::xml_node node, const std::string& path);
/// Reads a number from `min` to `max`, ends included.
double xml_number(const std::string& text, const std::string& path, double min, double max);
/// A reader that puts a number in this range into `to`.
std::function<void(pugi::xml_node, const std::string&)> xml_into(double& to, double min,
                                                                 double max);
/// Reads "true" or "false".
bool xml_flag(const std::string& text, const std::string& path);
/// An attribute's value, which must not be empty.
std::string xml_attribute(pugi::xml_node node, const std::string& path, const char* name);
/// Reads host:port.
Endpoint parse_endpoint(const std::string& text, const std::string& path);

}  // namespace shunttrail::config
