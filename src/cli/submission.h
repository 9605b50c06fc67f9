// The options of `shunttrailctl submit`, and the job description that is made from them.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/service_client.h"
#include "client_protocol/job_description.h"

namespace shunttrail::cli {

/// The command line is invalid. The message is one line that names the option and the reason.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The options of `submit`. Durations are in seconds, memory is in GB; 0 means "none" where a field
/// says so.
struct SubmitOptions {
  std::string file;  ///< a JSON file with the job, "-" for standard input; empty: the fields below
  std::string id;    ///< empty: a new id is generated
  std::string job_class = "job";
  std::string team = "default";
  std::string priority = "standard";  ///< a name of wire::Priority
  std::uint32_t tasks = 1;
  double cpus = 1;          ///< of each task
  double gpus = 0;          ///< of each task
  double memory_gb = 0.5;   ///< of each task
  double estimate_s = 60;   ///< how long a task is expected to run
  double limit_s = 0;       ///< a task that runs longer is killed; 0: no limit
  double deadline_s = 0;    ///< when the job should be done, from now; 0: no deadline
  double checkpoint_s = 0;  ///< interval between checkpoints; 0: its tasks save none
  double save_s = 5;        ///< time that saving a checkpoint takes
  std::vector<std::string> machine_types;  ///< allowed machine types; empty: all
  std::string zone;                        ///< the only allowed zone; empty: all
  bool same_zone = false;
  bool anti_affinity = false;
  bool no_spot = false;
  std::vector<std::string> dependencies;  ///< ids of jobs that have to be done first
  std::vector<std::string> environment;   ///< NAME=VALUE
  std::string image;                      ///< hash of an image in the artifact store
  std::string image_dir;                  ///< a directory to upload as the image instead
  bool wait = false;                      ///< wait until the job is done
  std::vector<std::string> command;       ///< program and arguments
};

/// Returns the job description for these options. Packs an image directory and uploads it to the
/// artifact store. Throws UsageError if the options are invalid, RequestFailed if the upload fails,
/// and std::filesystem::filesystem_error if the directory cannot be read.
client_protocol::JobDescription make_description(const SubmitOptions& options,
                                                 ServiceClient& service);

}  // namespace shunttrail::cli
