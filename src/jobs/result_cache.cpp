#include "jobs/result_cache.h"

namespace shunttrail::jobs {

const wire::JobResultRecord* ResultCache::find(const std::string& id) const {
  const auto result = results_.find(id);
  return result == results_.end() ? nullptr : &result->second;
}

void ResultCache::add(const std::string& id, const wire::JobResultRecord& result) {
  if (!results_.emplace(id, result).second) return;
  ids_by_age_.push_back(id);
  if (ids_by_age_.size() <= capacity_) return;
  results_.erase(ids_by_age_.front());
  ids_by_age_.pop_front();
}

}  // namespace shunttrail::jobs
