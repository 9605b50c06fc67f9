#include "agent/live_attempts.h"

namespace shunttrail::agent {

LiveAttempt& LiveAttempts::get(const Key& key) {
  auto [it, is_new] = attempts_.try_emplace(key);
  if (is_new) it->second.serial = ++last_serial_;
  return it->second;
}

LiveAttempt* LiveAttempts::find(const Key& key) {
  auto it = attempts_.find(key);
  return it == attempts_.end() ? nullptr : &it->second;
}

LiveAttempts::Finder LiveAttempts::finder(const Key& key) {
  return [this, key, serial = get(key).serial]() -> LiveAttempt* {
    LiveAttempt* attempt = find(key);
    if (!attempt || attempt->serial != serial) return nullptr;
    attempt->awaits_answer = false;
    return attempt;
  };
}

void LiveAttempts::retry_images() {
  for (auto& [key, attempt] : attempts_)
    if (attempt.step == LiveAttempt::Step::fetch_image) attempt.retry_at = 0;
}

}  // namespace shunttrail::agent
