#include "wire/job_id.h"

namespace shunttrail::wire {
namespace {
/// Maximum number of digits after the prefix.
constexpr std::size_t kMaxDigits = 20;
}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kJobIdPrefix)) return false;
  const std::string_view digits = id.substr(kJobIdPrefix.size());
  if (digits.empty() || digits.size() > kMaxDigits) return false;
  return digits.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace shunttrail::wire
