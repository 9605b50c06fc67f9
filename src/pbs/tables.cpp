#include "pbs/tables.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "config/xml.h"

namespace shunttrail::pbs {

using namespace config;

namespace {

wire::Priority priority(const std::string& s, const std::string& place) {
  static const std::map<std::string, wire::Priority> names = {
      {"critical", wire::Priority::critical},
      {"high", wire::Priority::high},
      {"standard", wire::Priority::standard},
      {"idle", wire::Priority::idle}};
  auto it = names.find(s);
  if (it == names.end()) bad_at(place, "is none of critical, high, standard, idle");
  return it->second;
}

std::optional<double> limit(pugi::xml_node n, const std::string& at, const char* name) {
  pugi::xml_attribute a = n.attribute(name);
  if (!a) return std::nullopt;
  return xml_number(a.value(), at + "@" + name, 0, 1e9);
}

std::vector<std::string> words(pugi::xml_node n, const char* name) {
  std::istringstream in(n.attribute(name).value());
  std::vector<std::string> out;
  for (std::string w; in >> w;) out.push_back(w);
  return out;
}

void only(pugi::xml_node n, const std::string& at, std::initializer_list<std::string_view> known) {
  for (pugi::xml_attribute a : n.attributes())
    if (std::find(known.begin(), known.end(), a.name()) == known.end())
      bad_at(at + "@" + a.name(), "is not a known setting");
}

Queue read_queue(pugi::xml_node n, const std::string& at) {
  only(n, at,
       {"name", "class", "team", "priority", "spot", "max-cpus", "max-mem-gb", "max-gpus",
        "max-walltime-s", "max-tasks"});
  Queue q;
  q.name = xml_attribute(n, at, "name");
  q.cls = xml_attribute(n, at, "class");
  q.team = xml_attribute(n, at, "team");
  q.priority = priority(xml_attribute(n, at, "priority"), at + "@priority");
  if (auto spot = n.attribute("spot")) q.spot = xml_flag(spot.value(), at + "@spot");
  q.limits.cpus = limit(n, at, "max-cpus");
  q.limits.mem_gb = limit(n, at, "max-mem-gb");
  q.limits.gpus = limit(n, at, "max-gpus");
  q.limits.walltime_s = limit(n, at, "max-walltime-s");
  if (auto tasks = limit(n, at, "max-tasks")) q.limits.tasks = static_cast<std::uint32_t>(*tasks);
  return q;
}

}  // namespace

const Queue* Tables::queue(const std::string& name) const {
  auto it = std::find_if(queues.begin(), queues.end(), [&](auto& q) { return q.name == name; });
  return it == queues.end() ? nullptr : &*it;
}
const Team* Tables::team(const std::string& name) const {
  auto it = std::find_if(teams.begin(), teams.end(), [&](auto& t) { return t.name == name; });
  return it == teams.end() ? nullptr : &*it;
}
const Team* Tables::team_of(const std::string& project) const {
  if (const Team* t = team(project)) return t;
  auto it = std::find_if(teams.begin(), teams.end(), [&](auto& t) {
    return std::find(t.projects.begin(), t.projects.end(), project) != t.projects.end();
  });
  return it == teams.end() ? nullptr : &*it;
}

Tables parse_tables(const std::string& xml) {
  pugi::xml_document doc;
  pugi::xml_node root = load_xml(doc, xml, "shunt-pbs");
  Tables t;
  read_children(
      root, "shunt-pbs",
      {{"server", [&](pugi::xml_node n, const std::string& at) { t.server = xml_text(n, at); }},
       {"defaults",
        [&](pugi::xml_node n, const std::string& at) {
          only(n, at, {"ncpus", "mem-gb", "walltime-s"});
          t.ncpus = limit(n, at, "ncpus").value_or(t.ncpus);
          t.mem_gb = limit(n, at, "mem-gb").value_or(t.mem_gb);
          t.walltime_s = limit(n, at, "walltime-s").value_or(t.walltime_s);
        }},
       {"queues",
        [&](pugi::xml_node n, const std::string& at) {
          t.default_queue = xml_attribute(n, at, "default");
          read_children(n, at, {{"queue", [&](pugi::xml_node q, const std::string& where) {
                                   t.queues.push_back(read_queue(q, where));
                                 }}});
        }},
       {"teams",
        [&](pugi::xml_node n, const std::string& at) {
          read_children(n, at, {{"team", [&](pugi::xml_node m, const std::string& where) {
                                   only(m, where, {"name", "cpus-max", "projects", "queues"});
                                   t.teams.push_back({xml_attribute(m, where, "name"),
                                                      limit(m, where, "cpus-max").value_or(0),
                                                      words(m, "projects"), words(m, "queues")});
                                 }}});
        }},
       {"priorities",
        [&](pugi::xml_node n, const std::string& at) {
          read_children(n, at, {{"from", [&](pugi::xml_node f, const std::string& where) {
                                   only(f, where, {"p", "is"});
                                   double p = xml_number(xml_attribute(f, where, "p"), where + "@p",
                                                         -1024, 1023);
                                   t.priorities[static_cast<int>(std::floor(p))] =
                                       priority(xml_attribute(f, where, "is"), where + "@is");
                                 }}});
        }}},
      {"queues", "teams"});
  for (const Queue& q : t.queues)
    if (!t.team(q.team))
      bad_at("shunt-pbs.queues.queue " + q.name + "@team", "is no team of the table");
  for (const Team& m : t.teams)
    for (const auto& q : m.queues)
      if (!t.queue(q)) bad_at("shunt-pbs.teams.team " + m.name + "@queues", q + " is no queue");
  if (!t.queue(t.default_queue)) bad_at("shunt-pbs.queues@default", "is no queue of the table");
  return t;
}

}  // namespace shunttrail::pbs
