// PBS's commands. So far `qsub --check` alone: what a script would become, or why it is refused.
#include <sys/utsname.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/service_client.h"
#include "config/xml.h"
#include "pbs/job.h"

extern char** environ;

namespace {

using namespace shunttrail;
using nlohmann::json;
namespace fs = std::filesystem;

std::string variable(const char* name) {
  const char* v = std::getenv(name);
  return v ? v : "";
}

json place(const pbs::Place& at) { return {{"line", at.line}, {"column", at.column}}; }

// Bounded: what is longer than a script may be is refused by its reader all the same.
std::string read_script(const std::string& file) {
  std::string text(pbs::kScriptMost + 1, '\0');
  std::ifstream in;
  if (file != "-") {
    in.open(file, std::ios::binary);
    if (!in) throw config::SettingsError("qsub: " + file + ": cannot be read");
  }
  std::istream& from = file == "-" ? std::cin : in;
  from.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(from.gcount()));
  return text;
}

int qsub(std::vector<std::string> words) {
  bool check = false;
  std::string tables_file;
  std::vector<std::string> own;  // PBS's own words
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (words[i] == "--check") {
      check = true;
    } else if (words[i] == "--tables" && i + 1 < words.size()) {
      tables_file = words[++i];
    } else {
      own.push_back(words[i]);
    }
  }
  if (!check) {
    std::fprintf(stderr, "qsub: only --check is served so far (docs/pbs.md)\n");
    return 1;
  }
  if (tables_file.empty())
    tables_file =
        fs::read_symlink("/proc/self/exe").parent_path().parent_path() / "deploy" / "pbs.xml";
  pbs::Tables tables = pbs::parse_tables(config::read_file(tables_file, "tables"));

  std::size_t taken = 0;
  pbs::Script command_line = pbs::read_arguments(own, taken);
  std::string prefix = variable("PBS_DPREFIX");
  if (prefix.empty()) prefix = "#PBS";
  std::erase_if(command_line.directives, [&](const pbs::Directive& d) {
    if (d.option == 'C') prefix = d.value;
    return d.option == 'C';
  });
  if (taken + 1 < own.size()) {
    std::fprintf(stderr, "qsub: one script at a time: %s\n", own[taken + 1].c_str());
    return 2;
  }
  const std::string file = taken < own.size() ? own[taken] : "-";
  const std::string text = read_script(file);

  pbs::Context context;
  if (file != "-") context.script_name = fs::path(file).filename();
  context.user = variable("LOGNAME").empty() ? variable("USER") : variable("LOGNAME");
  context.home = variable("HOME");
  context.dir = fs::current_path();
  utsname host{};
  if (::uname(&host) == 0) context.host = host.nodename;
  for (char** e = environ; *e; ++e) {
    std::string entry = *e;
    auto eq = entry.find('=');
    if (eq != std::string::npos)
      context.environment.emplace_back(entry.substr(0, eq), entry.substr(eq + 1));
  }
  pbs::Job job = pbs::make_job(pbs::read_script(text, prefix), command_line, text, tables, context);
  json out;
  if (!job.faults.empty()) {
    out = {{"accepted", false}, {"faults", json::array()}};
    for (const auto& f : job.faults) {
      json j = place(f.at);
      j["directive"] = f.directive;
      j["reason"] = f.reason;
      out["faults"].push_back(std::move(j));
    }
  } else {
    job.description.job.id = cli::fresh_id();
    out = {{"accepted", true},
           {"job", json::parse(wire::encode_job(job.description.job))},
           {"ignored", json::array()}};
    for (const auto& i : job.ignored) {
      json j = place(i.at);
      j["directive"] = i.directive;
      j["reason"] = i.reason;
      out["ignored"].push_back(std::move(j));
    }
  }
  std::printf("%s\n", out.dump(-1, ' ', false, json::error_handler_t::replace).c_str());
  return job.faults.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> words(argv + 1, argv + argc);
  std::string name = fs::path(argv[0]).filename();
  if (name != "qsub") {
    if (!words.empty() && words[0] == "--version") {
      std::printf("shunttrail-pbs 0.1.0\n");
      return 0;
    }
    if (words.empty() || words[0] != "qsub") {
      std::fprintf(
          words.empty() || words[0] != "--help" ? stderr : stdout,
          "usage: shunttrail-pbs qsub --check [--tables FILE] [qsub's options] [SCRIPT|-]\n");
      return !words.empty() && words[0] == "--help" ? 0 : 2;
    }
    words.erase(words.begin());
  }
  try {
    return qsub(std::move(words));
  } catch (const config::SettingsError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "qsub: %s\n", e.what());
    return 1;
  }
}
