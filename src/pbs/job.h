// From a script's directives to the one job that the controllers know: the same submission that a
// native user would make, so that nothing downstream can tell the two apart. Free of I/O.
#pragma once
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "client_protocol/job_description.h"
#include "pbs/job_id.h"
#include "pbs/script.h"
#include "pbs/tables.h"
#include "pbs/values.h"

namespace shunttrail::pbs {

/// What is not in the script: where and by whom it is submitted.
struct Context {
  std::string script_name = "STDIN";                             ///< for the job's name
  std::string user, home, host, dir;                             ///< for PBS_O_*
  std::vector<std::pair<std::string, std::string>> environment;  ///< for -V and -v NAME
};

struct Job {
  client_protocol::JobDescription description;  ///< its id is the caller's to set
  std::string name, queue;
  std::optional<Range> array;
  std::vector<std::string> after_ok;  ///< native ids whose tasks must all have exited with 0
  std::string out, err;               ///< paths asked for; empty: the usual ones
  bool joined = false;                ///< -j oe
  std::vector<Ignored> ignored;
  std::vector<Fault> faults;  ///< not empty: the rest means nothing
};

/// The job that the script and the command line ask for. What stands later counts, and the command
/// line after the script. Every fault is reported at once.
[[nodiscard]] Job make_job(const Script& script, const Script& command_line,
                           const std::string& text, const Tables& tables, const Context& context);

}  // namespace shunttrail::pbs
