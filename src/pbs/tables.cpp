#include "pbs/tables.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "config/xml.h"

namespace shunttrail::pbs {

using namespace config;

namespace {

constexpr double kMaxLimit = 1e9;
constexpr double kMinPriority = -1024, kMaxPriority = 1023;  // range of -p in qsub(1B)

wire::Priority parse_priority(const std::string& name, const std::string& xml_path) {
  static const std::map<std::string, wire::Priority> names = {
      {"critical", wire::Priority::critical},
      {"high", wire::Priority::high},
      {"standard", wire::Priority::standard},
      {"idle", wire::Priority::idle}};
  auto found = names.find(name);
  if (found == names.end())
    throw_settings_error(xml_path, "is none of critical, high, standard, idle");
  return found->second;
}

std::optional<double> read_limit(pugi::xml_node node, const std::string& xml_path,
                                 const char* name) {
  const pugi::xml_attribute attribute = node.attribute(name);
  if (!attribute) return std::nullopt;
  return xml_number(attribute.value(), xml_path + "@" + name, 0, kMaxLimit);
}

std::vector<std::string> read_words(pugi::xml_node node, const char* name) {
  std::istringstream text(node.attribute(name).value());
  std::vector<std::string> words;
  for (std::string word; text >> word;) words.push_back(word);
  return words;
}

void allow_attributes(pugi::xml_node node, const std::string& xml_path,
                      std::initializer_list<std::string_view> known) {
  for (pugi::xml_attribute attribute : node.attributes())
    if (std::find(known.begin(), known.end(), attribute.name()) == known.end())
      throw_settings_error(xml_path + "@" + attribute.name(), "is not a known setting");
}

void read_defaults(pugi::xml_node node, const std::string& xml_path, Tables& tables) {
  allow_attributes(node, xml_path, {"ncpus", "mem-gb", "walltime-s"});
  tables.ncpus = read_limit(node, xml_path, "ncpus").value_or(tables.ncpus);
  tables.mem_gb = read_limit(node, xml_path, "mem-gb").value_or(tables.mem_gb);
  tables.walltime_s = read_limit(node, xml_path, "walltime-s").value_or(tables.walltime_s);
}

Queue read_queue(pugi::xml_node node, const std::string& xml_path) {
  allow_attributes(node, xml_path,
                   {"name", "class", "team", "priority", "spot", "max-cpus", "max-mem-gb",
                    "max-gpus", "max-walltime-s", "max-tasks"});
  Queue queue;
  queue.name = xml_attribute(node, xml_path, "name");
  queue.job_class = xml_attribute(node, xml_path, "class");
  queue.team = xml_attribute(node, xml_path, "team");
  queue.priority =
      parse_priority(xml_attribute(node, xml_path, "priority"), xml_path + "@priority");
  if (auto spot = node.attribute("spot")) queue.spot = xml_flag(spot.value(), xml_path + "@spot");
  queue.limits.cpus = read_limit(node, xml_path, "max-cpus");
  queue.limits.mem_gb = read_limit(node, xml_path, "max-mem-gb");
  queue.limits.gpus = read_limit(node, xml_path, "max-gpus");
  queue.limits.walltime_s = read_limit(node, xml_path, "max-walltime-s");
  if (auto tasks = read_limit(node, xml_path, "max-tasks"))
    queue.limits.tasks = static_cast<std::uint32_t>(*tasks);
  return queue;
}

void read_queues(pugi::xml_node node, const std::string& xml_path, Tables& tables) {
  tables.default_queue = xml_attribute(node, xml_path, "default");
  read_children(node, xml_path,
                {{"queue", [&](pugi::xml_node queue, const std::string& queue_path) {
                    tables.queues.push_back(read_queue(queue, queue_path));
                  }}});
}

Team read_team(pugi::xml_node node, const std::string& xml_path) {
  allow_attributes(node, xml_path, {"name", "cpus-max", "projects", "queues"});
  return {xml_attribute(node, xml_path, "name"), read_limit(node, xml_path, "cpus-max").value_or(0),
          read_words(node, "projects"), read_words(node, "queues")};
}

void read_teams(pugi::xml_node node, const std::string& xml_path, Tables& tables) {
  read_children(node, xml_path, {{"team", [&](pugi::xml_node team, const std::string& team_path) {
                                    tables.teams.push_back(read_team(team, team_path));
                                  }}});
}

void read_priority(pugi::xml_node node, const std::string& xml_path, Tables& tables) {
  allow_attributes(node, xml_path, {"p", "is"});
  const double from =
      xml_number(xml_attribute(node, xml_path, "p"), xml_path + "@p", kMinPriority, kMaxPriority);
  tables.priorities[static_cast<int>(std::floor(from))] =
      parse_priority(xml_attribute(node, xml_path, "is"), xml_path + "@is");
}

void read_priorities(pugi::xml_node node, const std::string& xml_path, Tables& tables) {
  read_children(node, xml_path, {{"from", [&](pugi::xml_node from, const std::string& from_path) {
                                    read_priority(from, from_path, tables);
                                  }}});
}

// Checks that every queue and team that the tables refer to is defined in them.
void check_references(const Tables& tables) {
  for (const Queue& queue : tables.queues)
    if (!tables.team(queue.team))
      throw_settings_error("shunt-pbs.queues.queue " + queue.name + "@team",
                           "is not a team of the table");
  for (const Team& team : tables.teams)
    for (const std::string& queue : team.queues)
      if (!tables.queue(queue))
        throw_settings_error("shunt-pbs.teams.team " + team.name + "@queues",
                             queue + " is not a queue of the table");
  if (!tables.queue(tables.default_queue))
    throw_settings_error("shunt-pbs.queues@default", "is not a queue of the table");
}

template <class T>
const T* find_by_name(const std::vector<T>& list, const std::string& name) {
  auto found = std::find_if(list.begin(), list.end(), [&](const T& t) { return t.name == name; });
  return found == list.end() ? nullptr : &*found;
}

}  // namespace

const Queue* Tables::queue(const std::string& name) const { return find_by_name(queues, name); }
const Team* Tables::team(const std::string& name) const { return find_by_name(teams, name); }

const Team* Tables::team_of(const std::string& project) const {
  if (const Team* own = team(project)) return own;
  auto found = std::find_if(teams.begin(), teams.end(), [&](const Team& candidate) {
    const auto& projects = candidate.projects;
    return std::find(projects.begin(), projects.end(), project) != projects.end();
  });
  return found == teams.end() ? nullptr : &*found;
}

Tables parse_tables(const std::string& xml) {
  pugi::xml_document document;
  const pugi::xml_node root = load_xml(document, xml, "shunt-pbs");
  Tables tables;
  auto into_tables = [&](void (*read)(pugi::xml_node, const std::string&, Tables&)) {
    return [&tables, read](pugi::xml_node node, const std::string& xml_path) {
      read(node, xml_path, tables);
    };
  };
  read_children(
      root, "shunt-pbs",
      {{"server", [&](pugi::xml_node node,
                      const std::string& xml_path) { tables.server = xml_text(node, xml_path); }},
       {"defaults", into_tables(read_defaults)},
       {"queues", into_tables(read_queues)},
       {"teams", into_tables(read_teams)},
       {"priorities", into_tables(read_priorities)}},
      {"queues", "teams"});
  check_references(tables);
  return tables;
}

}  // namespace shunttrail::pbs
