/// @file
/// The outcome of a lookup of a job's result. A record that was found is part of the outcome: a
/// caller that looked for it in a bounded cache instead might take it for one that does not exist.
#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <variant>

#include "wire/types.h"

namespace shunttrail::jobs {

/// It is not known whether a result is stored: the read failed, or the record cannot be decoded.
struct ResultUnread {};
/// No result was stored when the read began.
struct ResultNotStored {};

using ResultLookup = std::variant<ResultUnread, ResultNotStored, wire::JobResultRecord>;

/// Returns whether the lookup failed.
[[nodiscard]] inline bool is_unread(const ResultLookup& lookup) {
  return std::holds_alternative<ResultUnread>(lookup);
}
/// Returns whether the lookup has shown that no result was stored.
[[nodiscard]] inline bool is_not_stored(const ResultLookup& lookup) {
  return std::holds_alternative<ResultNotStored>(lookup);
}
/// Returns the record that was found, or null.
[[nodiscard]] inline const wire::JobResultRecord* found_record(const ResultLookup& lookup) {
  return std::get_if<wire::JobResultRecord>(&lookup);
}

/// The outcomes of several lookups, by job.
using ResultLookups = std::map<std::string, ResultLookup>;

/// Returns whether any of the lookups failed.
[[nodiscard]] inline bool any_unread(const ResultLookups& lookups) {
  return std::any_of(lookups.begin(), lookups.end(),
                     [](const auto& lookup) { return is_unread(lookup.second); });
}

}  // namespace shunttrail::jobs
