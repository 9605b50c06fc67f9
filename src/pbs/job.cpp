#include "pbs/job.h"

#include <algorithm>
#include <locale>
#include <sstream>
#include <utility>

#include "pbs/job_request.h"
#include "pbs/limits.h"
#include "wire/codec.h"

namespace shunttrail::pbs {
namespace {

constexpr double kRoundingSlack = 1e-9;
constexpr std::uint64_t kMaxCount = 100000;  // largest number of CPUs, GPUs or threads

const char* priority_name(wire::Priority priority) {
  static constexpr const char* kNames[] = {"critical", "high", "standard", "idle"};
  return kNames[static_cast<int>(priority)];
}

std::string format_amount(double amount) {
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out << amount;
  return out.str();
}

template <class T>
const Directive* directive_of(const std::optional<Requested<T>>& requested) {
  return requested ? &requested->directive : nullptr;
}

// The resources of one task.
struct TaskShape {
  double cpus = 0;
  double mem_gb = 0;
  double gpus = 0;
  friend bool operator==(const TaskShape&, const TaskShape&) = default;
};

// Makes the job of a request and checks it against the limits of the operator's tables.
class JobBuilder {
 public:
  JobBuilder(const JobRequest& request, const Tables& tables, const Context& context, Job& job)
      : request_(request), tables_(tables), context_(context), job_(job) {}

  void build(const std::string& script_shell) {
    const std::string& name = request_.queue.empty() ? tables_.default_queue : request_.queue;
    job_.name = request_.name;
    const Queue* queue = tables_.queue(name);
    if (!queue) return;  // DirectiveReader has reported the unknown queue
    job_.queue = queue->name;
    set_tasks();
    set_run_time();
    const Team* team = set_team(*queue);
    set_priority(*queue);
    check_queue_limits(*queue);
    if (team) check_team_limit(*team);
    set_command(*queue, script_shell);
  }

 private:
  wire::JobSpec& spec() { return job_.description.job; }

  void fault(const Directive* directive, const std::string& reason) {
    if (directive)
      job_.faults.push_back(
          {{directive->at.line, directive->value_column}, label(*directive), reason});
    else
      job_.faults.push_back({Position{}, "", reason});
  }

  // Sets the number of tasks and their resources. Each chunk becomes a task; all have one shape.
  void set_tasks() {
    TaskShape shape{request_.ncpus.value_or(tables_.ncpus),
                    request_.mem_gb.value_or(tables_.mem_gb), request_.ngpus.value_or(0)};
    if (request_.select && request_.nodes)
      fault(&request_.nodes->directive, "nodes and select cannot both be asked for");
    const auto& chunks = request_.select ? request_.select : request_.nodes;
    if (chunks && (request_.ncpus || request_.mem_gb || request_.ngpus))
      fault(&*request_.whole_job_directive,
            "ncpus, mem and ngpus of the whole job cannot be asked for beside chunks");
    std::uint64_t tasks = chunks ? read_chunks(*chunks, shape) : 1;
    if (request_.array) {
      if (tasks > 1) fault(&request_.array->directive, "an array's jobs have one chunk each");
      tasks = request_.array->value.size();
      job_.array = request_.array->value;
    }
    spec().tasks = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(tasks, 1, kMaxTasks));
    spec().cpus = shape.cpus;
    spec().mem_gb = shape.mem_gb;
    spec().gpus = shape.gpus;
    spec().same_zone = request_.same_zone;
    spec().anti_affinity = request_.anti_affinity;
  }

  // Returns the number of chunks, and sets `shape` to the resources that each of them requests.
  std::uint64_t read_chunks(const Requested<std::vector<Chunk>>& chunks, TaskShape& shape) {
    const Directive* directive = &chunks.directive;
    std::uint64_t tasks = 0;
    std::optional<TaskShape> first;
    shape.cpus = tables_.ncpus;
    for (const Chunk& chunk : chunks.value) {
      TaskShape own{tables_.ncpus, tables_.mem_gb, 0};
      for (const Resource& resource : chunk.resources)
        read_chunk_resource(*directive, resource, own);
      if (first && *first != own) {
        fault(directive, "its chunks differ; all tasks of a job have one shape");
        break;
      }
      first = shape = own;
      tasks += chunk.count;
    }
    if (tasks == 0) fault(directive, "requests no chunks");
    if (tasks > kMaxTasks)
      fault(directive, "asks for " + std::to_string(tasks) + " chunks; a job has at most " +
                           std::to_string(kMaxTasks) + " tasks");
    return tasks;
  }

  void read_chunk_resource(const Directive& directive, const Resource& resource, TaskShape& shape) {
    try {
      set_chunk_resource(resource, shape);
    } catch (const InvalidValue& error) {
      const std::size_t column = directive.value_column + request_.chunks_offset + resource.at;
      job_.faults.push_back(
          {{directive.at.line, column}, label(directive), resource.name + " " + error.what()});
    }
  }

  void set_chunk_resource(const Resource& resource, TaskShape& shape) {
    const std::string& name = resource.name;
    if (name == "ncpus" || name == "ppn")
      shape.cpus = static_cast<double>(read_count(resource.value, kMaxCount));
    else if (name == "mem")
      shape.mem_gb = read_size_gb(resource.value);
    else if (name == "ngpus" || name == "gpus")
      shape.gpus = static_cast<double>(read_count(resource.value, kMaxCount));
    else if (name == "ompthreads")
      job_.description.env["OMP_NUM_THREADS"] =
          std::to_string(read_count(resource.value, kMaxCount));
    else
      throw InvalidValue(0, "is not a resource of this service's chunks");
  }

  void set_run_time() {
    spec().estimate_s = request_.walltime_s ? request_.walltime_s->value : tables_.walltime_s;
    job_.description.limit_s = spec().estimate_s;
  }

  // Sets and returns the team: that of the project, or else of the queue. Returns null if there is
  // no such project.
  const Team* set_team(const Queue& queue) {
    const Team* team = tables_.team(queue.team);
    if (request_.project && !request_.project->value.empty()) {
      const std::string& project = request_.project->value;
      team = tables_.team_of(project);
      if (!team) {
        fault(&request_.project->directive, "no team has a project or group " + project);
        return nullptr;
      }
    }
    spec().team = team->name;
    const bool may_use_queue =
        team->queues.empty() ||
        std::find(team->queues.begin(), team->queues.end(), queue.name) != team->queues.end();
    if (!may_use_queue)
      fault(directive_of(request_.project),
            "team " + team->name + " may not use queue " + queue.name);
    return team;
  }

  // A script may request a lower priority than its queue's, but not a higher one.
  void set_priority(const Queue& queue) {
    spec().priority = queue.priority;
    if (!request_.priority) return;
    auto above = tables_.priorities.upper_bound(request_.priority->value);
    if (above == tables_.priorities.begin()) return;
    const wire::Priority requested = std::prev(above)->second;
    if (requested < queue.priority)
      fault(&request_.priority->directive, std::string("means priority ") +
                                               priority_name(requested) + "; queue " + queue.name +
                                               " allows " + priority_name(queue.priority));
    spec().priority = std::max(requested, queue.priority);
  }

  // Returns the directive that requests the tasks' resources, or null if there is none.
  const Directive* shape_directive() const {
    if (request_.select) return &request_.select->directive;
    if (request_.nodes) return &request_.nodes->directive;
    return request_.whole_job_directive ? &*request_.whole_job_directive : nullptr;
  }

  void check_queue_limits(const Queue& queue) {
    const Limits& limits = queue.limits;
    const std::string owner = "queue " + queue.name + " allows ";
    auto check = [&](const Directive* directive, double requested,
                     const std::optional<double>& most, const std::string& what) {
      if (most) check_limit(directive, requested, *most, what, owner);
    };
    check(shape_directive(), spec().cpus, limits.cpus, "CPUs a task");
    check(shape_directive(), spec().mem_gb, limits.mem_gb, "GB a task");
    check(shape_directive(), spec().gpus, limits.gpus, "GPUs a task");
    check(directive_of(request_.walltime_s), spec().estimate_s, limits.walltime_s, "seconds");
    const Directive* tasks_directive =
        request_.array ? &request_.array->directive : shape_directive();
    check(tasks_directive, spec().tasks, limits.tasks, "tasks");
  }

  void check_team_limit(const Team& team) {
    if (team.cpus_max > 0)
      check_limit(shape_directive(), spec().cpus, team.cpus_max, "CPUs a task",
                  "team " + team.name + " may use ");
  }

  void check_limit(const Directive* directive, double requested, double most,
                   const std::string& what, const std::string& owner) {
    if (requested > most + kRoundingSlack)
      fault(directive, "asks for " + format_amount(requested) + " " + what + "; " + owner +
                           format_amount(most));
  }

  void set_command(const Queue& queue, const std::string& script_shell) {
    auto& description = job_.description;
    spec().job_class = queue.job_class;
    spec().spot = queue.spot;
    spec().image = "none";
    description.retry_exits.clear();
    set_environment(queue);
    const std::string shell = !request_.shell.empty() ? request_.shell
                              : !script_shell.empty() ? script_shell
                                                      : "/bin/sh";
    // The image of the job contains the script.
    description.command = {"/bin/sh", "-c",
                           task_setup() + "exec \"$0\" \"$SHUNT_IMAGE_DIR/script\"", shell};
  }

  void set_environment(const Queue& queue) {
    auto set = [&](const char* name, const std::string& value) {
      if (!value.empty()) job_.description.env[name] = value;
    };
    set("PBS_ENVIRONMENT", "PBS_BATCH");
    set("PBS_JOBNAME", job_.name);
    set("PBS_QUEUE", queue.name);
    set("PBS_O_QUEUE", request_.queue.empty() ? queue.name : request_.queue);
    set("PBS_SERVER", tables_.server);
    set("PBS_O_LOGNAME", context_.user);
    set("PBS_O_HOME", context_.home);
    set("PBS_O_HOST", context_.host);
    set("PBS_O_WORKDIR", context_.dir);
  }

  // Returns shell commands that set those of PBS's variables that are known only on the task's
  // machine.
  std::string task_setup() const {
    const std::string node_file =
        "echo $SHUNT_MACHINE > nodefile; export PBS_NODEFILE=$PWD/nodefile; ";
    if (!job_.array) return node_file + "export PBS_NODENUM=$SHUNT_TASK; ";
    return node_file + "export PBS_ARRAY_INDEX=$((" + std::to_string(job_.array->first) + " + " +
           std::to_string(job_.array->step) + " * SHUNT_TASK)); ";
  }

  const JobRequest& request_;
  const Tables& tables_;
  const Context& context_;
  Job& job_;
};

void sort_faults(std::vector<Fault>& faults) {
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
  });
}

}  // namespace

Job make_job(const Script& script, const Script& command_line, const std::string& text,
             const Tables& tables, const Context& context) {
  Job job;
  DirectiveReader reader(tables, context, job);
  for (const Script* source : {&script, &command_line}) {
    job.ignored.insert(job.ignored.end(), source->ignored.begin(), source->ignored.end());
    job.faults.insert(job.faults.end(), source->faults.begin(), source->faults.end());
  }
  for (const Script* source : {&script, &command_line})
    for (const Directive& directive : source->directives) reader.read(directive);
  JobBuilder(reader.request(), tables, context, job).build(script.shell);
  const bool is_empty = text.find_first_not_of(" \t\r\n") == std::string::npos;
  if (is_empty && job.faults.empty()) job.faults.push_back({{1, 1}, "", "the script is empty"});
  sort_faults(job.faults);
  return job;
}

}  // namespace shunttrail::pbs
