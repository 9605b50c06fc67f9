// Reads a script's directives one by one into a request. The operator's limits are applied later,
// in make_job().
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pbs/job.h"

namespace shunttrail::pbs {

/// A value, and the directive that requests it.
template <class T>
struct Requested {
  T value;
  Directive directive;
};

/// The requests of all directives; of several directives of one kind, the last one holds.
struct JobRequest {
  std::string name;
  std::string queue;  ///< empty: the default queue
  std::string shell;  ///< empty: the shell of the script's "#!" line
  std::optional<Requested<Range>> array;
  std::optional<Requested<int>> priority;
  std::optional<Requested<std::string>> project;
  std::optional<Requested<std::vector<Chunk>>> select;
  std::optional<Requested<std::vector<Chunk>>> nodes;
  std::size_t chunks_offset = 0;  ///< offset of the chunks in their directive's value
  std::optional<Requested<double>> walltime_s;
  /// Resources of the whole job, which is the older form, and the last directive that sets one of
  /// them.
  std::optional<double> ncpus, ngpus, mem_gb;
  std::optional<Directive> whole_job_directive;
  bool same_zone = false;      ///< place=pack
  bool anti_affinity = false;  ///< place=scatter
};

/// Returns a directive as shown to users: its option and the beginning of its value.
[[nodiscard]] std::string label(const Directive& directive);

/// Reads directives into a request. Environment, dependencies and output, which need no table, go
/// directly into the job, and so do faults.
class DirectiveReader {
 public:
  DirectiveReader(const Tables& tables, const Context& context, Job& job);

  void read(const Directive& directive);
  [[nodiscard]] const JobRequest& request() const { return request_; }

 private:
  void read_option(const Directive& directive);
  void read_unsupported(const Directive& directive);
  void read_without_effect(const Directive& directive);
  void read_name(const std::string& value);
  void read_queue(const std::string& value);
  void read_array(const Directive& directive);
  void read_priority(const Directive& directive);
  void read_rerunnable(const std::string& value) const;
  void read_join(const std::string& value);
  void read_shell(const std::string& value);
  void read_variables(const std::string& value);
  void read_user(const std::string& value) const;
  void read_checkpoint(const std::string& value);
  void read_resource(const Directive& directive, const Resource& resource);
  void read_placement(const Resource& resource);
  void read_attributes(const Directive& directive);
  void read_dependency_list(std::size_t value_offset, const std::string& value);
  void add_dependency(std::size_t offset, const Dependency& dependency);
  [[nodiscard]] std::string read_path(const std::string& value) const;

  void fault(std::size_t offset, const std::string& reason);
  void ignored(const std::string& reason);

  const Tables& tables_;
  const Context& context_;
  Job& job_;
  JobRequest request_;
  const Directive* directive_ = nullptr;  // the directive that is being read
};

}  // namespace shunttrail::pbs
