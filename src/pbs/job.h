// Makes a job from a script's directives. The result is the same submission that a user of the
// native interface would make, so controllers need not distinguish the two. Does no I/O.
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

/// The user, host, directory and environment from which a script is submitted.
struct Context {
  std::string script_name = "STDIN";                             ///< for the job's name
  std::string user, home, host, dir;                             ///< for PBS_O_*
  std::vector<std::pair<std::string, std::string>> environment;  ///< for -V and -v NAME
};

struct Job {
  client_protocol::JobDescription description;  ///< the caller sets its id
  std::string name, queue;
  std::optional<Range> array;
  std::vector<std::string> after_ok;  ///< native ids whose tasks must all have exited with 0
  std::string out, err;               ///< requested paths; empty: the default ones
  bool joined = false;                ///< -j oe
  std::vector<Ignored> ignored;
  std::vector<Fault> faults;  ///< if not empty, all other fields are meaningless
};

/// Returns the job that the script and the command line request. Later directives override earlier
/// ones, and the command line overrides the script. The result lists every fault.
[[nodiscard]] Job make_job(const Script& script, const Script& command_line,
                           const std::string& text, const Tables& tables, const Context& context);

}  // namespace shunttrail::pbs
