#include "agent/attempt_context.h"

#include "log/log.h"

namespace shunttrail::agent {

void AttemptContext::retry_later(LiveAttempt& attempt, double delay_s) const {
  attempt.retry_at = boot_now() + delay_s;
}

void AttemptContext::fail(const Key& key, wire::ExitReason exit_reason,
                          const std::string& why) const {
  log::info("attempt refused or failed before its task started", log_fields(key, why));
  AttemptTable next = state.attempts();
  next.exited(key, exit_reason);
  if (!state.commit(std::move(next), "exited")) retry_later(live.get(key));
}

bool AttemptContext::commit_or_retry(AttemptTable next, const std::string& step,
                                     LiveAttempt& attempt) const {
  if (state.commit(std::move(next), step)) return true;
  retry_later(attempt);
  return false;
}

nlohmann::json log_fields(const Key& key) {
  return {{"task", key.job + "/" + std::to_string(key.index)}, {"attempt", key.attempt}};
}

nlohmann::json log_fields(const Key& key, const std::string& why) {
  nlohmann::json fields = log_fields(key);
  fields["why"] = why;
  return fields;
}

}  // namespace shunttrail::agent
