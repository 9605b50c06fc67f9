#include "pbs/job_id.h"

#include <cstdio>

namespace shunttrail::pbs {
namespace {

// The native id of a job submitted through PBS's commands is this prefix, which users' own ids do
// not have, followed by the number.
constexpr const char* kIdPrefix = "run-77";
constexpr int kIdDigits = 18;
constexpr std::size_t kMaxNumberDigits = 12;

}  // namespace

std::string pbs_id(std::uint64_t number, bool array, const std::string& server) {
  return std::to_string(number) + (array ? "[]" : "") + "." + server;
}

std::optional<std::string> native_id(const std::string& pbs_id, const std::string& server) {
  const auto number_end = pbs_id.find_first_not_of("0123456789");
  const std::string number = pbs_id.substr(0, number_end);
  std::string rest = number_end == std::string::npos ? "" : pbs_id.substr(number_end);
  if (number.empty() || number.size() > kMaxNumberDigits) return std::nullopt;
  if (rest.starts_with("[]")) rest.erase(0, 2);
  if (!rest.empty() && rest != "." + server) return std::nullopt;
  char id[32];
  std::snprintf(id, sizeof id, "%s%0*llu", kIdPrefix, kIdDigits,
                static_cast<unsigned long long>(std::stoull(number)));
  return id;
}

}  // namespace shunttrail::pbs
