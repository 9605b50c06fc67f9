// In-memory state of attempts, in addition to the attempt table. It is lost when the agent's
// process ends; the next process reconstructs it.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "actor/loop.h"
#include "agent/attempt_table.h"
#include "agent/processes.h"
#include "agent/task_files.h"
#include "artifacts/archive.h"
#include "client_protocol/job_description.h"

namespace shunttrail::agent {

struct LiveAttempt {
  /// The next step before the task can be launched, in this order.
  enum class Step {
    fetch_description,
    fetch_image,
    find_result,
    find_checkpoint,
    unpack_checkpoint,
    launch
  };

  /// Distinguishes an answer for this object from one for an earlier object of the same key.
  std::uint64_t serial = 0;
  Step step = Step::fetch_description;
  bool awaits_answer = false;
  double retry_at = 0;  ///< time of the next retry, in seconds of CLOCK_BOOTTIME
  client_protocol::JobDescription description;

  /// Handle of the supervisor's process once it is known, and the event that reports its end.
  Fd supervisor;
  std::unique_ptr<std::function<void()>> supervisor_ended;
  actor::EventPtr supervisor_event;
  /// After a stop request: when the supervisor is killed if it has not ended.
  std::optional<double> supervisor_deadline;

  std::unique_ptr<artifacts::Unpacker> unpacker;
  std::unique_ptr<artifacts::Packer> packer;
  std::uint64_t packing_checkpoint = 0;   ///< the number of the checkpoint that is being packed
  std::uint64_t uploaded_checkpoint = 0;  ///< the highest number in the artifact store; 0 if none
  /// A checkpoint that has not been uploaded by then is given up.
  std::optional<double> checkpoint_deadline;

  std::optional<TaskEnd> end;
  /// Hashes of the task's output, once it is in the artifact store; empty if there is no output.
  std::optional<std::string> stdout_hash;
  std::optional<std::string> stderr_hash;
};

class LiveAttempts {
 public:
  /// Returns the attempt to which an asynchronous answer belongs, and marks the answer as received.
  /// Returns null if the attempt no longer exists.
  using Finder = std::function<LiveAttempt*()>;

  /// Returns the attempt with this key; adds it if there is none.
  LiveAttempt& get(const Key& key);
  /// Returns the attempt with this key, or null.
  [[nodiscard]] LiveAttempt* find(const Key& key);
  [[nodiscard]] Finder finder(const Key& key);
  void erase(const Key& key) { attempts_.erase(key); }
  void clear() { attempts_.clear(); }
  /// Lets attempts that wait for their image request it again at once.
  void retry_images();

 private:
  std::map<Key, LiveAttempt> attempts_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace shunttrail::agent
