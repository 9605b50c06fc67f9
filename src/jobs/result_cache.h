/// @file
/// A bounded cache of job results.
#pragma once
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "wire/types.h"

namespace shunttrail::jobs {

/// Holds the results that were added last. The absence of a result proves nothing: it may have been
/// dropped. A result never changes.
class ResultCache {
 public:
  explicit ResultCache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the job's result, or null. The pointer is valid until the next call of `add`.
  [[nodiscard]] const wire::JobResultRecord* find(const std::string& id) const;
  /// Adds a job's result, and drops the oldest one if there are too many. No effect if the job's
  /// result is in the cache.
  void add(const std::string& id, const wire::JobResultRecord& result);

 private:
  const std::size_t capacity_;
  std::unordered_map<std::string, wire::JobResultRecord> results_;  ///< by job
  std::deque<std::string> ids_by_age_;                              ///< oldest first
};

}  // namespace shunttrail::jobs
