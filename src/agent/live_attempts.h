// What the agent knows of attempts beyond the attempt table; it is lost with the process, and found
// again by the next one.
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
  /// What has to be done next before the task can be launched, in this order.
  enum class Step {
    fetch_description,
    fetch_image,
    find_result,
    find_checkpoint,
    unpack_checkpoint,
    launch
  };

  /// Tells an answer for this attempt from one for an earlier attempt of the same key.
  std::uint64_t serial = 0;
  Step step = Step::fetch_description;
  bool awaits_answer = false;
  double retry_at = 0;  ///< nothing is tried before; CLOCK_BOOTTIME
  client_protocol::JobDescription description;

  /// Its supervisor, once it is known, and the event of its end.
  Fd supervisor;
  std::unique_ptr<std::function<void()>> supervisor_ended;
  actor::EventPtr supervisor_event;
  /// Told to stop, its supervisor has to be gone by then.
  std::optional<double> supervisor_deadline;

  std::unique_ptr<artifacts::Unpacker> unpacker;
  std::unique_ptr<artifacts::Packer> packer;
  std::uint64_t packing_checkpoint = 0;   ///< the number of the checkpoint that is being packed
  std::uint64_t uploaded_checkpoint = 0;  ///< the highest number in the artifact store; 0: none
  /// A checkpoint that is not in the artifact store by then is lost.
  std::optional<double> checkpoint_deadline;

  std::optional<TaskEnd> end;
  /// Hashes of its output, once it is in the artifact store; empty: there is none.
  std::optional<std::string> stdout_hash;
  std::optional<std::string> stderr_hash;
};

class LiveAttempts {
 public:
  /// Finds the attempt that a late answer is for, which awaits it no more; null if it is gone.
  using Finder = std::function<LiveAttempt*()>;

  /// The attempt of this key; it is added if there is none.
  LiveAttempt& get(const Key& key);
  /// Null: there is none.
  [[nodiscard]] LiveAttempt* find(const Key& key);
  [[nodiscard]] Finder finder(const Key& key);
  void erase(const Key& key) { attempts_.erase(key); }
  void clear() { attempts_.clear(); }
  /// Those that wait for their image may ask for it at once.
  void retry_images();

 private:
  std::map<Key, LiveAttempt> attempts_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace shunttrail::agent
