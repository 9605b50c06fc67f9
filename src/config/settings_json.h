/// @file
/// Strict reading of the settings' JSON. Errors name a field by its path, such as
/// "cluster.workers.lease_s". Included by settings.cpp only.
#pragma once
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "config/xml.h"

namespace shunttrail::config {

/// The largest number where nothing else is said.
inline constexpr double kMaxSetting = 1e12;

/// An object of the settings, with its path for errors; the root's path is empty.
class Section {
 public:
  Section(const nlohmann::json& value, std::string path) : value_(value), path_(std::move(path)) {}

  /// The path of a field.
  [[nodiscard]] std::string path(const char* name) const {
    return path_.empty() ? name : path_ + "." + name;
  }
  /// A required field.
  [[nodiscard]] const nlohmann::json& required(const char* name) const {
    if (!value_.is_object()) throw_settings_error(path_, "is not an object");
    const auto field = value_.find(name);
    if (field == value_.end()) throw_settings_error(path(name), "is missing");
    return *field;
  }
  /// A required section.
  [[nodiscard]] Section section(const char* name) const { return {required(name), path(name)}; }
  /// Whether a field is there.
  [[nodiscard]] bool contains(const char* name) const { return value_.contains(name); }
  /// A required string that is not empty.
  [[nodiscard]] std::string text(const char* name) const {
    const nlohmann::json& field = required(name);
    if (!field.is_string() || field.get_ref<const std::string&>().empty())
      throw_settings_error(path(name), "is not a non-empty string");
    return field.get<std::string>();
  }
  /// A required number from `min` to `max`, ends included.
  [[nodiscard]] double number(const char* name, double min, double max = kMaxSetting) const {
    const nlohmann::json& field = required(name);
    if (!field.is_number()) throw_settings_error(path(name), "is not a number");
    const double number = field.get<double>();
    if (!std::isfinite(number) || number < min || number > max)
      throw_settings_error(path(name), "is out of range");
    return number;
  }
  /// A required number, rounded towards zero.
  [[nodiscard]] int whole(const char* name, double min, double max = kMaxSetting) const {
    return static_cast<int>(number(name, min, max));
  }
  /// A number as above, or `otherwise` where it is absent.
  [[nodiscard]] double number_or(const char* name, double otherwise, double min,
                                 double max = kMaxSetting) const {
    return contains(name) ? number(name, min, max) : otherwise;
  }
  /// A required host and port.
  [[nodiscard]] Endpoint endpoint(const char* name) const {
    return parse_endpoint(text(name), path(name));
  }

 private:
  const nlohmann::json& value_;
  std::string path_;
};

}  // namespace shunttrail::config
