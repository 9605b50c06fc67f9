#include "pbs/job_request.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <sstream>

#include "pbs/limits.h"
#include "wire/codec.h"

namespace shunttrail::pbs {
namespace {
namespace fs = std::filesystem;

constexpr std::size_t kMaxNameBytes = 230;       // qsub(1B)
constexpr std::size_t kMaxScriptNameBytes = 15;  // a job name taken from the script's file name
constexpr std::size_t kMaxLabelValueBytes = 80;  // part of a directive's value shown to users
constexpr std::uint64_t kMaxPriority = 1023;     // the minimum is -1024
constexpr std::uint64_t kMaxCount = 100000;      // largest number of CPUs or GPUs
constexpr std::uint64_t kMaxCheckpointMinutes = 1000000;

bool is_variable_name(const std::string& text) {
  if (text.empty() || std::isdigit(static_cast<unsigned char>(text[0]))) return false;
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isalnum(c) || c == '_'; });
}

// One attribute of the -W option.
struct Attribute {
  std::string name, value;
  std::size_t offset = 0, value_offset = 0;
};

// Reads name=value pairs separated by commas. A part without '=' belongs to the preceding value.
std::vector<Attribute> read_attribute_list(const std::string& text) {
  std::vector<Attribute> attributes;
  for (auto [offset, part] : split_at(text, ',')) {
    const auto equals = part.find('=');
    if (equals != std::string_view::npos)
      attributes.push_back({std::string(part.substr(0, equals)),
                            std::string(part.substr(equals + 1)), offset, offset + equals + 1});
    else if (attributes.empty())
      throw InvalidValue(offset, "is not name=value");
    else
      attributes.back().value += "," + std::string(part);
  }
  return attributes;
}

// Reads a resource's value. Faults are reported with their offset in the directive's value.
template <class Read>
auto read_value(const Resource& resource, Read read) {
  try {
    return read(std::string_view(resource.value));
  } catch (const InvalidValue& error) {
    throw InvalidValue(resource.value_at + error.offset, resource.name + " " + error.what());
  }
}

double read_resource_count(const Resource& resource) {
  return static_cast<double>(
      read_value(resource, [](std::string_view text) { return read_count(text, kMaxCount); }));
}

void check_letters(const std::string& value, std::string_view known) {
  if (value.empty()) throw InvalidValue(0, "is empty");
  if (auto bad = value.find_first_not_of(known); bad != std::string::npos)
    throw InvalidValue(bad, "contains a letter that qsub does not define");
}

// Returns whether `path` is `parent` or below it. Both paths have to be in normal form.
bool is_inside(const fs::path& path, const fs::path& parent) {
  auto [end, unused] = std::mismatch(parent.begin(), parent.end(), path.begin(), path.end());
  return end == parent.end() || (end->empty() && std::next(end) == parent.end());
}

}  // namespace

std::string label(const Directive& directive) {
  const std::string value = directive.value.substr(0, kMaxLabelValueBytes);
  return std::string("-") + directive.option + (value.empty() ? "" : " " + value);
}

DirectiveReader::DirectiveReader(const Tables& tables, const Context& context, Job& job)
    : tables_(tables), context_(context), job_(job) {
  request_.name = context.script_name.substr(0, kMaxScriptNameBytes);
}

void DirectiveReader::read(const Directive& directive) {
  directive_ = &directive;
  try {
    read_option(directive);
  } catch (const InvalidValue& error) {
    fault(error.offset, error.what());
  }
}

void DirectiveReader::fault(std::size_t offset, const std::string& reason) {
  job_.faults.push_back(
      {{directive_->at.line, directive_->value_column + offset}, label(*directive_), reason});
}

void DirectiveReader::ignored(const std::string& reason) {
  job_.ignored.push_back({directive_->at, label(*directive_), reason});
}

void DirectiveReader::read_option(const Directive& directive) {
  const std::string& value = directive.value;
  switch (directive.option) {
    case 'N':
      return read_name(value);
    case 'q':
      return read_queue(value);
    case 'l':
      for (const Resource& resource : read_resources(value)) read_resource(directive, resource);
      return;
    case 'J':
      return read_array(directive);
    case 'p':
      return read_priority(directive);
    case 'P':
      request_.project = {value, directive};
      return;
    case 'W':
      return read_attributes(directive);
    case 'r':
      return read_rerunnable(value);
    case 'o':
      job_.out = read_path(value);
      return;
    case 'e':
      job_.err = read_path(value);
      return;
    case 'j':
      return read_join(value);
    case 'S':
      return read_shell(value);
    case 'V':
      for (const auto& [name, variable] : context_.environment)
        job_.description.env[name] = variable;
      return;
    case 'v':
      return read_variables(value);
    case 'u':
      return read_user(value);
    case 'A':
      job_.description.env["PBS_ACCOUNT"] = value;
      return ignored("is passed on as PBS_ACCOUNT; nothing is charged by it");
    case 'c':
      return read_checkpoint(value);
    case 'm':
    case 'M':
    case 'k':
    case 'R':
    case 'z':
      return read_without_effect(directive);
    default:
      return read_unsupported(directive);
  }
}

void DirectiveReader::read_without_effect(const Directive& directive) {
  switch (directive.option) {
    case 'm':
      check_letters(directive.value, "abefjn");
      return ignored("no mail is sent");
    case 'M':
      return ignored("no mail is sent");
    case 'k':
      check_letters(directive.value, "oedn");
      return ignored("output is kept in the depot in any case");
    case 'R':
      check_letters(directive.value, "oen");
      return ignored("output is never removed");
    default:
      return ignored("qsub prints the id in any case");
  }
}

void DirectiveReader::read_unsupported(const Directive& directive) {
  switch (directive.option) {
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
      return fault(0, "is not supported here");
  }
}

void DirectiveReader::read_name(const std::string& value) {
  if (value.empty() || value.size() > kMaxNameBytes)
    throw InvalidValue(0, "a name has 1 to 230 characters");
  for (std::size_t i = 0; i < value.size(); ++i) {
    const unsigned char c = static_cast<unsigned char>(value[i]);
    if (!std::isgraph(c) || c == '/')
      throw InvalidValue(i, "a name holds no blank, slash or control character");
  }
  if (!std::isalpha(static_cast<unsigned char>(value[0])))
    throw InvalidValue(0, "a name begins with a letter");
  request_.name = value;
}

void DirectiveReader::read_queue(const std::string& value) {
  std::string queue = value;
  if (auto at = queue.find('@'); at != std::string::npos) {
    if (queue.substr(at + 1) != tables_.server)
      throw InvalidValue(at + 1, "there is no other server than " + tables_.server);
    queue.resize(at);
  }
  request_.queue = queue;
  if (!tables_.queue(queue)) throw InvalidValue(0, "there is no queue " + queue);
}

void DirectiveReader::read_array(const Directive& directive) {
  const Range range = read_range(directive.value);
  request_.array = {range, directive};
  if (range.limit)
    throw InvalidValue(directive.value.find('%'),
                       "a limit on the tasks that run at a time is not supported");
  if (range.size() > kMaxTasks)
    throw InvalidValue(0, "asks for " + std::to_string(range.size()) +
                              " tasks; a job has at most " + std::to_string(kMaxTasks));
}

void DirectiveReader::read_priority(const Directive& directive) {
  const std::string& value = directive.value;
  const bool is_negative = value.starts_with("-");
  const bool has_sign = is_negative || value.starts_with("+");
  const std::uint64_t number = read_count(has_sign ? value.substr(1) : value, kMaxPriority + 1);
  if (!is_negative && number > kMaxPriority) throw InvalidValue(0, "is not between -1024 and 1023");
  const int magnitude = static_cast<int>(number);
  request_.priority = {is_negative ? -magnitude : magnitude, directive};
}

void DirectiveReader::read_rerunnable(const std::string& value) const {
  if (value != "y" && value != "n") throw InvalidValue(0, "is neither y nor n");
  if (value == "n")
    throw InvalidValue(0, "a task whose machine is lost is run again; that cannot be ruled out");
}

void DirectiveReader::read_join(const std::string& value) {
  if (value != "oe" && value != "eo" && value != "n") throw InvalidValue(0, "is none of oe, eo, n");
  job_.joined = value != "n";
}

void DirectiveReader::read_shell(const std::string& value) {
  if (auto host = value.find_first_of("@,"); host != std::string::npos)
    throw InvalidValue(host, "a shell for each host cannot be chosen");
  if (!value.starts_with("/")) throw InvalidValue(0, "is not an absolute path");
  request_.shell = value;
}

void DirectiveReader::read_user(const std::string& value) const {
  if (value != context_.user)
    throw InvalidValue(0, "a job runs under the name of the user who submits it");
}

void DirectiveReader::read_checkpoint(const std::string& value) {
  static constexpr std::string_view kWords[] = {"n", "s", "c", "w", "u"};
  if (value.starts_with("c=") || value.starts_with("w="))
    read_count(value.substr(2), kMaxCheckpointMinutes);
  else if (std::find(std::begin(kWords), std::end(kWords), value) == std::end(kWords))
    throw InvalidValue(0, "is none of n, s, c, c=minutes, w, w=minutes, u");
  ignored("checkpoints are saved by the program itself, or not at all (docs/agent.md)");
}

void DirectiveReader::read_variables(const std::string& value) {
  for (auto [offset, part] : split_at(value, ',')) {
    const auto equals = part.find('=');
    const std::string name(part.substr(0, equals));
    if (!is_variable_name(name)) throw InvalidValue(offset, "is not a variable's name");
    if (equals != std::string_view::npos) {
      job_.description.env[name] = part.substr(equals + 1);
      continue;
    }
    auto own = std::find_if(context_.environment.begin(), context_.environment.end(),
                            [&](const auto& variable) { return variable.first == name; });
    if (own == context_.environment.end()) throw InvalidValue(offset, name + " is not set");
    job_.description.env[name] = own->second;
  }
}

std::string DirectiveReader::read_path(const std::string& value) const {
  std::string path = value;
  if (auto colon = value.find(':'); colon != std::string::npos) {
    if (value.substr(0, colon) != context_.host)
      throw InvalidValue(0, "output is delivered only to the submitting host");
    path = value.substr(colon + 1);
  }
  if (path.empty()) throw InvalidValue(0, "is empty");
  const fs::path home = fs::path(context_.home).lexically_normal();
  const fs::path full = (fs::path(context_.dir) / path).lexically_normal();
  if (context_.home.empty() || !is_inside(full, home))
    throw InvalidValue(0, "is outside the home directory " + context_.home);
  return path;
}

void DirectiveReader::read_resource(const Directive& directive, const Resource& resource) {
  const std::string& name = resource.name;
  if (name == "select") {
    request_.select = {read_value(resource, read_select), directive};
    request_.chunks_offset = resource.value_at;
  } else if (name == "nodes") {
    request_.nodes = {read_value(resource, read_nodes), directive};
    request_.chunks_offset = resource.value_at;
  } else if (name == "place") {
    read_placement(resource);
  } else if (name == "walltime") {
    request_.walltime_s = {read_value(resource, read_seconds), directive};
    if (request_.walltime_s->value < 1)
      throw InvalidValue(resource.value_at, "walltime is less than a second");
  } else if (name == "ncpus") {
    request_.ncpus = read_resource_count(resource);
    request_.whole_job_directive = directive;
  } else if (name == "ngpus") {
    request_.ngpus = read_resource_count(resource);
    request_.whole_job_directive = directive;
  } else if (name == "mem") {
    request_.mem_gb = read_value(resource, read_size_gb);
    request_.whole_job_directive = directive;
  } else {
    throw InvalidValue(resource.at, name + " is not a resource of this service");
  }
}

void DirectiveReader::read_placement(const Resource& resource) {
  std::istringstream words(resource.value);
  request_.same_zone = request_.anti_affinity = false;
  for (std::string word; std::getline(words, word, ':');) {
    if (word == "pack")
      request_.same_zone = true;
    else if (word == "scatter")
      request_.anti_affinity = true;
    else if (word != "free" && word != "shared")
      throw InvalidValue(resource.value_at,
                         "place=" + word + " is not supported here (free, pack and scatter are)");
  }
}

void DirectiveReader::read_attributes(const Directive& directive) {
  for (const Attribute& attribute : read_attribute_list(directive.value)) {
    if (attribute.name == "depend")
      read_dependency_list(attribute.value_offset, attribute.value);
    else if (attribute.name == "group_list")
      request_.project = {attribute.value, directive};
    else
      fault(attribute.offset, attribute.name + " is not supported here");
  }
}

void DirectiveReader::read_dependency_list(std::size_t value_offset, const std::string& value) {
  std::vector<Dependency> dependencies;
  try {
    dependencies = read_dependencies(value);
  } catch (const InvalidValue& error) {
    throw InvalidValue(value_offset + error.offset, error.what());
  }
  for (const Dependency& dependency : dependencies)
    add_dependency(value_offset + dependency.at, dependency);
}

void DirectiveReader::add_dependency(std::size_t offset, const Dependency& dependency) {
  if (dependency.type != "afterok" && dependency.type != "afterany")
    return fault(offset, dependency.type + " is not supported here (afterok and afterany are)");
  if (dependency.ids.empty()) return fault(offset, dependency.type + " names no job");
  auto& awaited = job_.description.job.dependencies;
  for (const std::string& id : dependency.ids) {
    const auto native = native_id(id, tables_.server);
    if (!native) {
      fault(offset, id + " is not a job id of server " + tables_.server);
      continue;
    }
    if (std::find(awaited.begin(), awaited.end(), *native) == awaited.end())
      awaited.push_back(*native);
    if (dependency.type == "afterok") job_.after_ok.push_back(*native);
    if (awaited.size() > wire::kMaxDependencies)
      return fault(offset, "names more than " + std::to_string(wire::kMaxDependencies) + " jobs");
  }
}

}  // namespace shunttrail::pbs
