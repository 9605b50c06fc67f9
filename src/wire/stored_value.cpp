#include "wire/stored_value.h"

#include <utility>

#include "wire/fields.h"

namespace shunttrail::wire {

StoredValue::StoredValue(std::string text) : form_(std::move(text)) {}

StoredValue::StoredValue(std::shared_ptr<const json> part) : form_(std::move(part)) {}

std::string StoredValue::text() const {
  if (const auto* text = std::get_if<std::string>(&form_)) return *text;
  return std::get<std::shared_ptr<const json>>(form_)->dump();
}

std::shared_ptr<const json> StoredValue::parsed() const {
  if (const auto* part = std::get_if<std::shared_ptr<const json>>(&form_)) return *part;
  try {
    return std::make_shared<const json>(parse(std::get<std::string>(form_)));
  } catch (const json::exception& error) {
    throw Malformed(error.what());
  }
}

}  // namespace shunttrail::wire
