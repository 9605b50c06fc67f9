// From a script's directives to the one job that the core knows: the same submission that a native
// user would make, so that nothing downstream can tell by which door it came. Free of I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "client_protocol/job_description.h"
#include "pbs/script.h"
#include "pbs/tables.h"
#include "pbs/values.h"

namespace shunttrail::pbs {

// What is not in the script.
struct Context {
  std::string script_name = "STDIN";                             // for the job's name
  std::string user, home, host, dir;                             // PBS_O_*
  std::vector<std::pair<std::string, std::string>> environment;  // for -V and -v NAME
};

struct Job {
  client_protocol::JobDescription description;  // its id is the caller's to set
  std::string name, queue;
  std::optional<Range> array;
  std::vector<std::string> after_ok;  // native ids whose tasks must all have exited with 0
  std::string out, err;               // paths asked for; empty: the usual ones
  bool joined = false;                // -j oe
  std::vector<Ignored> ignored;
  std::vector<Fault> faults;  // not empty: the rest means nothing
};

Job make_job(const Script& script, const Script& command_line, const std::string& text,
             const Tables& tables, const Context& context);

// "123.shunttrail" and "123[].shunttrail" are the native id made of 123, and back. Numbers come
// from the state service, so an id names one job whatever door is asked. Nothing: not such an id.
std::optional<std::string> native_id(const std::string& pbs_id, const std::string& server);
std::string pbs_id(std::uint64_t number, bool array, const std::string& server);

}  // namespace shunttrail::pbs
