#include "pbs/job.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <sstream>

#include "wire/codec.h"

namespace shunttrail::pbs {
namespace {
namespace fs = std::filesystem;

constexpr std::uint64_t kTasksMost = 100000;  // PROTOCOL: of one job
constexpr std::size_t kNameMost = 230;        // qsub(1B)
// Native ids of jobs that came by this door: a prefix that users' own ids do not have, and the
// number.
constexpr const char* kIdPrefix = "run-77";
constexpr int kIdDigits = 18;

const char* priority_name(wire::Priority p) {
  static const char* const names[] = {"critical", "high", "standard", "idle"};
  return names[static_cast<int>(p)];
}

std::string amount(double d) {
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out << d;
  return out.str();
}

bool is_name(const std::string& s) {
  if (s.empty() || std::isdigit(static_cast<unsigned char>(s[0]))) return false;
  return std::all_of(s.begin(), s.end(),
                     [](unsigned char c) { return std::isalnum(c) || c == '_'; });
}

struct Attribute {
  std::string name, value;
  std::size_t at = 0, value_at = 0;
};
// name=value parted by commas; a part without '=' belongs to the value before it.
std::vector<Attribute> attributes(const std::string& s) {
  std::vector<Attribute> out;
  for (auto [at, one] : parts(s, ',')) {
    auto eq = one.find('=');
    if (eq != std::string_view::npos)
      out.push_back(
          {std::string(one.substr(0, eq)), std::string(one.substr(eq + 1)), at, at + eq + 1});
    else if (out.empty())
      throw BadValue(at, "is not name=value");
    else
      out.back().value += "," + std::string(one);
  }
  return out;
}

class Builder {
 public:
  Builder(const Tables& tables, const Context& context) : tables_(tables), context_(context) {
    job_.name = context.script_name.substr(0, 15);
  }

  void take(const Directive& d) {
    at_ = &d;
    try {
      option(d);
    } catch (const BadValue& e) {
      fault(e.offset, e.what());
    }
  }

  Job finish(const std::string& shell_line) {
    at_ = nullptr;
    const Queue* q = tables_.queue(queue_.empty() ? tables_.default_queue : queue_);
    if (!q) return std::move(job_);  // its fault is on the list
    job_.queue = q->name;
    shape(*q);
    team(*q);
    priority(*q);
    limits(*q);
    command(*q, shell_line);
    return std::move(job_);
  }

  Job& job() { return job_; }

 private:
  static std::string label(const Directive& d) {
    return std::string("-") + d.option + (d.value.empty() ? "" : " " + d.value.substr(0, 80));
  }
  void fault(std::size_t offset, const std::string& reason) {
    job_.faults.push_back({{at_->at.line, at_->value_column + offset}, label(*at_), reason});
  }
  // Against what an earlier directive has asked for.
  void fault_of(const Directive* d, const std::string& reason) {
    Directive none;
    at_ = d ? d : &none;
    job_.faults.push_back(
        {d ? Place{d->at.line, d->value_column} : Place{}, d ? label(*d) : "", reason});
    at_ = nullptr;
  }
  void ignored(const std::string& reason) {
    job_.ignored.push_back({at_->at, label(*at_), reason});
  }

  void option(const Directive& d) {
    const std::string& v = d.value;
    switch (d.option) {
      case 'N':
        return name(v);
      case 'q':
        return queue(d);
      case 'l':
        for (const Resource& r : read_resources(v)) resource(d, r);
        return;
      case 'J':
        array_ = read_range(v);
        array_at_ = d;
        if (array_->limit)
          throw BadValue(v.find('%'), "how many run at a time cannot be limited here");
        if (array_->size() > kTasksMost)
          throw BadValue(0, "asks for " + std::to_string(array_->size()) +
                                " tasks; a job has at most " + std::to_string(kTasksMost));
        return;
      case 'p': {
        bool minus = v.starts_with("-");
        std::uint64_t n = read_count(v.starts_with("+") || minus ? v.substr(1) : v, 1024);
        if (!minus && n > 1023) throw BadValue(0, "is not between -1024 and 1023");
        priority_ = minus ? -static_cast<int>(n) : static_cast<int>(n);
        priority_at_ = d;
        return;
      }
      case 'P':
        project_ = v;
        project_at_ = d;
        return;
      case 'W':
        for (const Attribute& a : attributes(v)) attribute(d, a);
        return;
      case 'r':
        if (v != "y" && v != "n") throw BadValue(0, "is neither y nor n");
        if (v == "n")
          throw BadValue(0, "a task whose machine is lost is run again; that cannot be ruled out");
        return;
      case 'o':
        job_.out = path(v);
        return;
      case 'e':
        job_.err = path(v);
        return;
      case 'j':
        if (v != "oe" && v != "eo" && v != "n") throw BadValue(0, "is none of oe, eo, n");
        job_.joined = v != "n";
        return;
      case 'S':
        if (v.find_first_of("@,") != std::string::npos)
          throw BadValue(v.find_first_of("@,"), "a shell for each host cannot be chosen");
        if (!v.starts_with("/")) throw BadValue(0, "is not an absolute path");
        shell_ = v;
        return;
      case 'V':
        for (const auto& [n, value] : context_.environment) job_.description.env[n] = value;
        return;
      case 'v':
        return variables(v);
      case 'u':
        if (v != context_.user) throw BadValue(0, "jobs run under the name of who submits them");
        return;
      case 'A':
        job_.description.env["PBS_ACCOUNT"] = v;
        return ignored("is passed on as PBS_ACCOUNT; nothing is charged by it");
      case 'm':
        check_letters(v, "abefjn");
        return ignored("no mail is sent");
      case 'M':
        return ignored("no mail is sent");
      case 'k':
        check_letters(v, "oedn");
        return ignored("output is kept in the depot in any case");
      case 'R':
        check_letters(v, "oen");
        return ignored("output is never removed");
      case 'c':
        return checkpoint(v);
      case 'z':
        return ignored("qsub prints the id in any case");
      case 'a':
        return fault(0, "a time to begin at cannot be set yet");
      case 'h':
        return fault(0, "a job cannot be held yet");
      case 'I':
        return fault(0, "there are no interactive jobs");
      case 'X':
        return fault(0, "there are no interactive jobs, and no X11");
      case 'C':
        return fault(0, "is for the command line only");
      default:
        return fault(0, "is not served here");
    }
  }

  void check_letters(const std::string& v, std::string_view known) {
    if (v.empty()) throw BadValue(0, "is empty");
    if (auto bad = v.find_first_not_of(known); bad != std::string::npos)
      throw BadValue(bad, "holds a letter that qsub does not know");
  }

  void checkpoint(const std::string& v) {
    bool every = v.starts_with("c=") || v.starts_with("w=");
    if (every)
      read_count(v.substr(2), 1000000);
    else if (v != "n" && v != "s" && v != "c" && v != "w" && v != "u")
      throw BadValue(0, "is none of n, s, c, c=minutes, w, w=minutes, u");
    ignored("a program saves by itself, or not at all (docs/agent.md)");
  }

  void name(const std::string& v) {
    if (v.empty() || v.size() > kNameMost) throw BadValue(0, "a name has 1 to 230 characters");
    for (std::size_t i = 0; i < v.size(); ++i) {
      unsigned char c = static_cast<unsigned char>(v[i]);
      if (!std::isgraph(c) || c == '/')
        throw BadValue(i, "a name holds no blank, slash or control character");
    }
    if (!std::isalpha(static_cast<unsigned char>(v[0])))
      throw BadValue(0, "a name begins with a letter");
    job_.name = v;
  }

  void queue(const Directive& d) {
    std::string v = d.value;
    if (auto server = v.find('@'); server != std::string::npos) {
      if (v.substr(server + 1) != tables_.server)
        throw BadValue(server + 1, "there is no other server than " + tables_.server);
      v.resize(server);
    }
    queue_ = v;
    if (!tables_.queue(v)) throw BadValue(0, "there is no queue " + v);
  }

  void variables(const std::string& v) {
    for (auto [at, one] : parts(v, ',')) {
      auto eq = one.find('=');
      std::string n(one.substr(0, eq));
      if (!is_name(n)) throw BadValue(at, "is not a variable's name");
      auto it = std::find_if(context_.environment.begin(), context_.environment.end(),
                             [&](const auto& e) { return e.first == n; });
      if (eq != std::string_view::npos)
        job_.description.env[n] = one.substr(eq + 1);
      else if (it != context_.environment.end())
        job_.description.env[n] = it->second;
      else
        throw BadValue(at, n + " is not set");
    }
  }

  std::string path(const std::string& v) {
    std::string p = v;
    if (auto colon = v.find(':'); colon != std::string::npos) {
      if (v.substr(0, colon) != context_.host)
        throw BadValue(0, "output is brought to the submitting host only");
      p = v.substr(colon + 1);
    }
    if (p.empty()) throw BadValue(0, "is empty");
    fs::path home = fs::path(context_.home).lexically_normal();
    fs::path full = (fs::path(context_.dir) / p).lexically_normal();
    auto [end, ignored_] = std::mismatch(home.begin(), home.end(), full.begin(), full.end());
    bool inside = end == home.end() || (end->empty() && std::next(end) == home.end());
    if (context_.home.empty() || !inside)
      throw BadValue(0, "leaves the directory of its owner, " + context_.home);
    return p;
  }

  void resource(const Directive& d, const Resource& r) {
    auto value = [&](auto read) {
      try {
        return read(std::string_view(r.value));
      } catch (const BadValue& e) {
        throw BadValue(r.value_at + e.offset, r.name + " " + e.what());
      }
    };
    if (r.name == "select") {
      select_ = value(read_select);
      select_at_ = d;
      offset_ = r.value_at;
    } else if (r.name == "nodes") {
      nodes_ = value(read_nodes);
      nodes_at_ = d;
      offset_ = r.value_at;
    } else if (r.name == "place") {
      place(r);
    } else if (r.name == "walltime") {
      walltime_ = value(read_seconds);
      walltime_at_ = d;
      if (*walltime_ < 1) throw BadValue(r.value_at, "walltime is less than a second");
    } else if (r.name == "ncpus" || r.name == "ngpus") {
      (r.name == "ncpus" ? ncpus_ : ngpus_) =
          static_cast<double>(value([](std::string_view s) { return read_count(s, 100000); }));
      old_at_ = d;
    } else if (r.name == "mem") {
      mem_ = value(read_size_gb);
      old_at_ = d;
    } else {
      throw BadValue(r.at, r.name + " is not a resource of this service");
    }
  }

  void place(const Resource& r) {
    std::istringstream in(r.value);
    one_zone_ = spread_ = false;
    for (std::string part; std::getline(in, part, ':');) {
      if (part == "pack")
        one_zone_ = true;
      else if (part == "scatter")
        spread_ = true;
      else if (part != "free" && part != "shared")
        throw BadValue(r.value_at,
                       "place=" + part + " cannot be promised here (free, pack, scatter)");
    }
  }

  void attribute(const Directive& d, const Attribute& a) {
    if (a.name == "depend") {
      std::vector<Dependency> list;
      try {
        list = read_dependencies(a.value);
      } catch (const BadValue& e) {
        throw BadValue(a.value_at + e.offset, e.what());
      }
      for (const Dependency& dep : list) depend(a, dep);
    } else if (a.name == "group_list") {
      project_ = a.value;
      project_at_ = d;
    } else {
      fault(a.at, a.name + " is not served here");
    }
  }

  void depend(const Attribute& a, const Dependency& dep) {
    if (dep.type != "afterok" && dep.type != "afterany")
      return fault(a.value_at + dep.at,
                   dep.type + " cannot be kept here (afterok and afterany can)");
    if (dep.ids.empty()) return fault(a.value_at + dep.at, dep.type + " names no job");
    for (const auto& id : dep.ids) {
      auto native = native_id(id, tables_.server);
      if (!native) {
        fault(a.value_at + dep.at, id + " is no job of " + tables_.server);
        continue;
      }
      auto& awaits = job_.description.job.dependencies;
      if (std::find(awaits.begin(), awaits.end(), *native) == awaits.end())
        awaits.push_back(*native);
      if (dep.type == "afterok") job_.after_ok.push_back(*native);
      if (awaits.size() > wire::kMaxDependencies)
        return fault(a.value_at + dep.at,
                     "names more than " + std::to_string(wire::kMaxDependencies) + " jobs");
    }
  }

  // Chunks become tasks of one shape.
  void shape(const Queue&) {
    auto& s = job_.description.job;
    if (select_ && nodes_) fault_of(&*nodes_at_, "nodes and select cannot both be asked for");
    const auto& chunks = select_ ? select_ : nodes_;
    const Directive* at = select_ ? &*select_at_ : nodes_ ? &*nodes_at_ : nullptr;
    if (chunks && (ncpus_ || mem_ || ngpus_))
      fault_of(&*old_at_,
               "ncpus, mem and ngpus of the whole job cannot be asked for beside chunks");
    s.cpus = ncpus_.value_or(tables_.ncpus);
    s.mem_gb = mem_.value_or(tables_.mem_gb);
    s.gpus = ngpus_.value_or(0);
    std::uint64_t tasks = 1;
    if (chunks) {
      s.cpus = tables_.ncpus;
      tasks = 0;
      std::optional<std::tuple<double, double, double>> first;
      for (const Chunk& c : *chunks) {
        double cpus = tables_.ncpus, mem = tables_.mem_gb, gpus = 0;
        for (const Resource& r : c.resources) chunk_resource(at, r, cpus, mem, gpus);
        std::tuple shape(cpus, mem, gpus);
        if (first && *first != shape) {
          fault_of(at, "its chunks differ; all tasks of a job have one shape");
          break;
        }
        first = shape;
        std::tie(s.cpus, s.mem_gb, s.gpus) = shape;
        tasks += c.count;
      }
      if (tasks == 0) fault_of(at, "asks for no chunk at all");
      if (tasks > kTasksMost)
        fault_of(at, "asks for " + std::to_string(tasks) + " chunks; a job has at most " +
                         std::to_string(kTasksMost) + " tasks");
    }
    if (array_) {
      if (tasks > 1) fault_of(&*array_at_, "an array's jobs have one chunk each");
      tasks = array_->size();
    }
    s.tasks = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(tasks, 1, kTasksMost));
    s.same_zone = one_zone_;
    s.anti_affinity = spread_;
    s.estimate_s = walltime_.value_or(tables_.walltime_s);
    job_.description.limit_s = s.estimate_s;
    job_.array = array_;
  }

  void chunk_resource(const Directive* at, const Resource& r, double& cpus, double& mem,
                      double& gpus) {
    try {
      if (r.name == "ncpus" || r.name == "ppn")
        cpus = static_cast<double>(read_count(r.value, 100000));
      else if (r.name == "mem")
        mem = read_size_gb(r.value);
      else if (r.name == "ngpus" || r.name == "gpus")
        gpus = static_cast<double>(read_count(r.value, 100000));
      else if (r.name == "ompthreads")
        job_.description.env["OMP_NUM_THREADS"] = std::to_string(read_count(r.value, 100000));
      else
        throw BadValue(0, "is not a resource of this service's chunks");
    } catch (const BadValue& e) {
      at_ = at;
      fault(offset_ + r.at, r.name + " " + e.what());
      at_ = nullptr;
    }
  }

  void team(const Queue& q) {
    const Team* t = tables_.team(q.team);
    if (!project_.empty()) {
      t = tables_.team_of(project_);
      if (!t) return fault_of(&*project_at_, "no team has a project or group " + project_);
    }
    team_ = t;
    job_.description.job.team = t->name;
    if (!t->queues.empty() &&
        std::find(t->queues.begin(), t->queues.end(), q.name) == t->queues.end())
      fault_of(project_at_ ? &*project_at_ : nullptr,
               "team " + t->name + " may not use queue " + q.name);
  }

  // A script may stand back, not push forward: what its queue allows is the most it gets.
  void priority(const Queue& q) {
    auto& s = job_.description.job;
    s.priority = q.priority;
    if (!priority_) return;
    auto it = tables_.priorities.upper_bound(*priority_);
    if (it == tables_.priorities.begin()) return;
    wire::Priority asked = std::prev(it)->second;
    if (asked < q.priority)
      fault_of(&*priority_at_, std::string("means priority ") + priority_name(asked) + "; queue " +
                                   q.name + " allows " + priority_name(q.priority));
    s.priority = std::max(asked, q.priority);
  }

  void limits(const Queue& q) {
    const auto& s = job_.description.job;
    const Directive* chunk_at = select_   ? &*select_at_
                                : nodes_  ? &*nodes_at_
                                : old_at_ ? &*old_at_
                                          : nullptr;
    auto over = [&](const Directive* at, double asked, const std::optional<double>& most,
                    const std::string& what) {
      if (most && asked > *most + 1e-9)
        fault_of(at, "asks for " + amount(asked) + " " + what + "; queue " + q.name + " allows " +
                         amount(*most));
    };
    over(chunk_at, s.cpus, q.limits.cpus, "CPUs a task");
    over(chunk_at, s.mem_gb, q.limits.mem_gb, "GB a task");
    over(chunk_at, s.gpus, q.limits.gpus, "GPUs a task");
    over(walltime_at_ ? &*walltime_at_ : nullptr, s.estimate_s, q.limits.walltime_s, "seconds");
    if (q.limits.tasks) over(array_at_ ? &*array_at_ : chunk_at, s.tasks, *q.limits.tasks, "tasks");
    if (team_ && team_->cpus_max > 0 && s.cpus > team_->cpus_max + 1e-9)
      fault_of(chunk_at, "asks for " + amount(s.cpus) + " CPUs a task; team " + team_->name +
                             " may use " + amount(team_->cpus_max));
  }

  void command(const Queue& q, const std::string& shell_line) {
    auto& d = job_.description;
    auto& s = d.job;
    s.job_class = q.cls;
    s.spot = q.spot;
    s.image = "none";
    d.retry_exits.clear();
    auto put = [&](const char* n, const std::string& v) {
      if (!v.empty()) d.env[n] = v;
    };
    put("PBS_ENVIRONMENT", "PBS_BATCH");
    put("PBS_JOBNAME", job_.name);
    put("PBS_QUEUE", q.name);
    put("PBS_O_QUEUE", queue_.empty() ? q.name : queue_);
    put("PBS_SERVER", tables_.server);
    put("PBS_O_LOGNAME", context_.user);
    put("PBS_O_HOME", context_.home);
    put("PBS_O_HOST", context_.host);
    put("PBS_O_WORKDIR", context_.dir);
    std::string shell = !shell_.empty() ? shell_ : !shell_line.empty() ? shell_line : "/bin/sh";
    std::string before = "echo $SHUNT_MACHINE > nodefile; export PBS_NODEFILE=$PWD/nodefile; ";
    if (job_.array)
      before += "export PBS_ARRAY_INDEX=$((" + std::to_string(job_.array->first) + " + " +
                std::to_string(job_.array->step) + " * SHUNT_TASK)); ";
    else
      before += "export PBS_NODENUM=$SHUNT_TASK; ";
    // The script itself is the job's image.
    d.command = {"/bin/sh", "-c", before + "exec \"$0\" \"$SHUNT_IMAGE_DIR/script\"", shell};
  }

  const Tables& tables_;
  const Context& context_;
  Job job_;
  const Directive* at_ = nullptr;
  std::string queue_, project_, shell_;
  std::optional<int> priority_;
  std::optional<Range> array_;
  std::optional<std::vector<Chunk>> select_, nodes_;
  std::optional<double> walltime_, ncpus_, mem_, ngpus_;
  std::optional<Directive> array_at_, priority_at_, project_at_, select_at_, nodes_at_,
      walltime_at_, old_at_;
  std::size_t offset_ = 0;
  bool one_zone_ = false, spread_ = false;
  const Team* team_ = nullptr;
};

}  // namespace

Job make_job(const Script& script, const Script& command_line, const std::string& text,
             const Tables& tables, const Context& context) {
  Builder b(tables, context);
  for (const Script* s : {&script, &command_line}) {
    b.job().ignored.insert(b.job().ignored.end(), s->ignored.begin(), s->ignored.end());
    b.job().faults.insert(b.job().faults.end(), s->faults.begin(), s->faults.end());
  }
  // What stands later counts, and the command line after the script.
  for (const Script* s : {&script, &command_line})
    for (const Directive& d : s->directives) b.take(d);
  Job out = b.finish(script.shell);
  if (text.find_first_not_of(" \t\r\n") == std::string::npos && out.faults.empty())
    out.faults.push_back({{1, 1}, "", "the script is empty"});
  std::stable_sort(out.faults.begin(), out.faults.end(), [](const Fault& a, const Fault& c) {
    return std::pair(a.at.line, a.at.column) < std::pair(c.at.line, c.at.column);
  });
  return out;
}

std::string pbs_id(std::uint64_t number, bool array, const std::string& server) {
  return std::to_string(number) + (array ? "[]" : "") + "." + server;
}

std::optional<std::string> native_id(const std::string& id, const std::string& server) {
  auto digits = id.find_first_not_of("0123456789");
  std::string number = id.substr(0, digits),
              rest = digits == std::string::npos ? "" : id.substr(digits);
  if (number.empty() || number.size() > 12) return std::nullopt;
  if (rest.starts_with("[]")) rest.erase(0, 2);
  if (!rest.empty() && rest != "." + server) return std::nullopt;
  char out[32];
  std::snprintf(out, sizeof out, "%s%0*llu", kIdPrefix, kIdDigits,
                static_cast<unsigned long long>(std::stoull(number)));
  return out;
}

}  // namespace shunttrail::pbs
