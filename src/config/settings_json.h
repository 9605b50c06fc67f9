/// @file
/// Strict readers of the settings' JSON. Errors name a field by its path, such as
/// "cluster.workers.lease_s". Included by settings.cpp only.
#pragma once
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "config/xml.h"

namespace shunttrail::config {

/// Default maximum of a number.
inline constexpr double kMaxSetting = 1e12;

/// A JSON object of the settings with its path, which errors name. The root's path is empty.
class Section {
 public:
  Section(const nlohmann::json& value, std::string path) : value_(value), path_(std::move(path)) {}

  /// Returns the path of a field.
  [[nodiscard]] std::string path(const char* name) const {
    return path_.empty() ? name : path_ + "." + name;
  }
  /// Returns a required field.
  [[nodiscard]] const nlohmann::json& required(const char* name) const {
    if (!value_.is_object()) throw_settings_error(path_, "is not an object");
    const auto field = value_.find(name);
    if (field == value_.end()) throw_settings_error(path(name), "is missing");
    return *field;
  }
  /// Returns a required nested object.
  [[nodiscard]] Section section(const char* name) const { return {required(name), path(name)}; }
  /// Returns true if the field is present, even if it is null.
  [[nodiscard]] bool contains(const char* name) const { return value_.contains(name); }
  /// Reads a required string that is not empty.
  [[nodiscard]] std::string text(const char* name) const {
    const nlohmann::json& field = required(name);
    if (!field.is_string() || field.get_ref<const std::string&>().empty())
      throw_settings_error(path(name), "is not a non-empty string");
    return field.get<std::string>();
  }
  /// Reads a required number from `min` to `max`, ends included.
  [[nodiscard]] double number(const char* name, double min, double max = kMaxSetting) const {
    const nlohmann::json& field = required(name);
    if (!field.is_number()) throw_settings_error(path(name), "is not a number");
    const double number = field.get<double>();
    if (!std::isfinite(number) || number < min || number > max)
      throw_settings_error(path(name), "is " + field.dump() + ", expected " + range_text(min, max));
    return number;
  }
  /// Reads a required number as `number` does and rounds it towards zero.
  [[nodiscard]] int whole(const char* name, double min, double max = kMaxSetting) const {
    return static_cast<int>(number(name, min, max));
  }
  /// Reads a number as `number` does, or returns `otherwise` if the field is absent.
  [[nodiscard]] double number_or(const char* name, double otherwise, double min,
                                 double max = kMaxSetting) const {
    return contains(name) ? number(name, min, max) : otherwise;
  }
  /// Reads a required host and port.
  [[nodiscard]] Endpoint endpoint(const char* name) const {
    return parse_endpoint(text(name), path(name));
  }

 private:
  const nlohmann::json& value_;
  std::string path_;
};

}  // namespace shunttrail::config
