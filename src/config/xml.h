/// @file
/// Strict readers of operators' XML files. An unknown element is an error. Every error is a
/// SettingsError of one line that names the path of the element.
#pragma once
#include <functional>
#include <map>
#include <pugixml.hpp>
#include <string>
#include <vector>

#include "config/settings.h"

namespace shunttrail::config {

/// Throws a SettingsError that names the path of the setting and the reason.
[[noreturn]] inline void throw_settings_error(const std::string& path, const std::string& why) {
  throw SettingsError(path + ": " + why);
}

/// Returns a text for an error: in quotation marks, and on one line.
std::string quoted_text(const std::string& text);
/// Returns a number for an error text, such as "1e+12".
std::string number_text(double number);
/// Returns a range for an error text, such as "0 to 1e+12".
std::string range_text(double min, double max);

/// Parses a document and returns its root element. Throws SettingsError with the number of the line
/// if the document is not XML, and with the name `root` if the root element has another name.
pugi::xml_node load_xml(pugi::xml_document& document, const std::string& text, const char* root);

/// Functions that read an element, by the element's name.
using Readers = std::map<std::string, std::function<void(pugi::xml_node, const std::string& path)>>;
/// Calls the reader of each child element. Throws SettingsError if a child has no reader, or if an
/// element that `required` names is absent.
void read_children(pugi::xml_node parent, const std::string& path, const Readers& readers,
                   const std::vector<std::string>& required = {});

/// Returns an element's text. Throws SettingsError if it is empty.
std::string xml_text(pugi::xml_node node, const std::string& path);
/// Reads a number from `min` to `max`, ends included.
double xml_number(const std::string& text, const std::string& path, double min, double max);
/// Returns a reader that stores a number from `min` to `max` in `to`.
std::function<void(pugi::xml_node, const std::string&)> xml_into(double& to, double min,
                                                                 double max);
/// Reads "true" or "false".
bool xml_flag(const std::string& text, const std::string& path);
/// Returns an attribute's value. Throws SettingsError if it is absent or empty.
std::string xml_attribute(pugi::xml_node node, const std::string& path, const char* name);
/// Parses host:port. Throws SettingsError with `path` if the text has another form.
Endpoint parse_endpoint(const std::string& text, const std::string& path);

}  // namespace shunttrail::config
