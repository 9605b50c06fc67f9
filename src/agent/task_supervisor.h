// The supervisor: a small process of its own for each task. It starts the task, keeps the lease,
// passes the stop signal on, ends whatever the task has left, and writes down how it ended. It goes
// on when the agent dies, hangs or is replaced; the two speak through files of the task's
// directory.
//
//   lock           held by the supervisor as long as it lives
//   order.json     what to run; taken away by an agent that has given this attempt up, so that a
//                  supervisor that comes late finds nothing to start
//   supervisor.json  its identity
//   stop.json      how to stop; a SIGUSR1 asks it to look
//   end.json       how the task ended: there only when none of its processes is left
//   work/          the task's working directory
//   stdout, stderr
//   save/next      what the task is saving; moved to kept-N when the task says that it is whole
//   save/last      what an earlier attempt had saved
#pragma once
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "wire/types.h"

namespace shunttrail::agent {

struct Order {
  static constexpr int kFormat = 1;
  std::string task;
  std::uint64_t attempt = 0, session = 0;
  std::vector<std::string> command;
  std::map<std::string, std::string> env;  // the task's own, whole
  std::vector<int> retry_exits;
  double limit_s = 0;              // 0: none
  std::uint64_t file_bytes = 0;    // largest file that the task may write; 0: no limit
  std::uint64_t memory_bytes = 0;  // of data; 0: no limit
};
std::string encode(const Order& o);
Order decode_order(const std::string& text);  // wire::Malformed

struct Stop {
  bool save = false;
  double grace_s = 0;
};
std::string encode(const Stop& s);
Stop decode_stop(const std::string& text);

struct End {
  static constexpr int kFormat = 1;
  wire::ExitReason why = wire::ExitReason::error;  // done, stopped or error
  int exit = 0;
  std::string reason;
  std::uint64_t kept = 0;  // the highest kept-N; 0: none
  bool saved = false;      // saved after it was told to stop
  double ran_s = 0;
};
std::string encode(const End& e);
End decode_end(const std::string& text);

// The highest N of the directory's kept-N; 0: there is none.
std::uint64_t highest_kept(const std::filesystem::path& dir);

// The whole life of a supervisor process for this directory; its exit status.
int run_task_supervisor(const std::filesystem::path& dir, const std::filesystem::path& lease_page);

}  // namespace shunttrail::agent
