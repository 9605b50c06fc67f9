/// @file
/// The value of a key of the state service.
#pragma once
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>

namespace shunttrail::wire {

/// A JSON value, either as text or as a part of a larger response body that has been parsed
/// already. Readers cannot see in which of the two forms it is held.
class StoredValue {
 public:
  /// `text`: JSON text. It is parsed only when it is read.
  StoredValue(std::string text);  // NOLINT(google-explicit-constructor): text is a value
  /// `part`: a part of a parsed body, which the pointer keeps alive; not null.
  explicit StoredValue(std::shared_ptr<const nlohmann::json> part);

  /// Returns the value as JSON text.
  [[nodiscard]] std::string text() const;
  /// Returns the parsed value. Throws Malformed if the text is not a JSON object.
  [[nodiscard]] std::shared_ptr<const nlohmann::json> parsed() const;

 private:
  std::variant<std::string, std::shared_ptr<const nlohmann::json>> form_;
};

}  // namespace shunttrail::wire
