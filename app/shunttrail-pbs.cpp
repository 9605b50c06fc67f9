// shunttrail-pbs: PBS's commands. The only one so far is `qsub --check`, which prints the job that
// a script would submit, or the reasons why it is refused.
#include <sys/utsname.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/service_client.h"
#include "config/xml.h"
#include "pbs/job.h"

extern char** environ;

namespace {

using namespace shunttrail;
using nlohmann::json;
namespace fs = std::filesystem;

constexpr int kExitRefused = 1;  // the script is refused, or the command is not supported
constexpr int kExitUsage = 2;    // the command line or the tables are invalid

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// Reads at most one byte more than a script may have; pbs::read_script refuses the longer text.
std::string read_script_file(const std::string& file) {
  std::string text(pbs::kMaxScriptBytes + 1, '\0');
  std::ifstream opened;
  if (file != "-") {
    opened.open(file, std::ios::binary);
    if (!opened) throw config::SettingsError("qsub: " + file + ": cannot be read");
  }
  std::istream& input = file == "-" ? std::cin : opened;
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(input.gcount()));
  return text;
}

// The command line, split into this program's own options and those of PBS.
struct Arguments {
  bool check = false;
  std::string tables_file;
  std::vector<std::string> pbs_words;
};

Arguments split(const std::vector<std::string>& words) {
  Arguments arguments;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (words[i] == "--check")
      arguments.check = true;
    else if (words[i] == "--tables" && i + 1 < words.size())
      arguments.tables_file = words[++i];
    else
      arguments.pbs_words.push_back(words[i]);
  }
  return arguments;
}

fs::path shipped_tables() {
  return fs::read_symlink("/proc/self/exe").parent_path().parent_path() / "deploy" / "pbs.xml";
}

pbs::Tables read_tables(const std::string& file) {
  return pbs::parse_tables(
      config::read_file(file.empty() ? shipped_tables().string() : file, "tables"));
}

// Returns the prefix of directives: the value of -C, which is removed from the command line, or
// else of PBS_DPREFIX, or else "#PBS".
std::string take_prefix(pbs::Script& command_line) {
  std::string prefix = variable("PBS_DPREFIX");
  if (prefix.empty()) prefix = "#PBS";
  std::erase_if(command_line.directives, [&](const pbs::Directive& directive) {
    if (directive.option != 'C') return false;
    prefix = directive.value;
    return true;
  });
  return prefix;
}

std::vector<std::pair<std::string, std::string>> environment() {
  std::vector<std::pair<std::string, std::string>> variables;
  for (char** next = environ; *next; ++next) {
    const std::string entry = *next;
    const auto equals = entry.find('=');
    if (equals != std::string::npos)
      variables.emplace_back(entry.substr(0, equals), entry.substr(equals + 1));
  }
  return variables;
}

pbs::Context make_context(const std::string& script_file) {
  pbs::Context context;
  if (script_file != "-") context.script_name = fs::path(script_file).filename();
  context.user = variable("LOGNAME").empty() ? variable("USER") : variable("LOGNAME");
  context.home = variable("HOME");
  context.dir = fs::current_path();
  utsname host{};
  if (::uname(&host) == 0) context.host = host.nodename;
  context.environment = environment();
  return context;
}

// Faults and ignored directives have the same fields.
template <class Remark>
json to_json(const std::vector<Remark>& remarks) {
  json list = json::array();
  for (const Remark& remark : remarks)
    list.push_back({{"line", remark.at.line},
                    {"column", remark.at.column},
                    {"directive", remark.directive},
                    {"reason", remark.reason}});
  return list;
}

json check_report(pbs::Job& job) {
  if (!job.faults.empty()) return {{"accepted", false}, {"faults", to_json(job.faults)}};
  job.description.job.id = cli::new_job_id();
  return {{"accepted", true},
          {"job", json::parse(wire::encode_job(job.description.job))},
          {"ignored", to_json(job.ignored)}};
}

int qsub(const std::vector<std::string>& words) {
  const Arguments arguments = split(words);
  if (!arguments.check) {
    std::fprintf(stderr, "qsub: only --check is supported so far (docs/pbs.md)\n");
    return kExitRefused;
  }
  const pbs::Tables tables = read_tables(arguments.tables_file);
  std::size_t options = 0;
  pbs::Script command_line = pbs::read_arguments(arguments.pbs_words, options);
  const std::string prefix = take_prefix(command_line);
  if (options + 1 < arguments.pbs_words.size()) {
    std::fprintf(stderr, "qsub: more than one script is given: %s\n",
                 arguments.pbs_words[options + 1].c_str());
    return kExitUsage;
  }
  const std::string file =
      options < arguments.pbs_words.size() ? arguments.pbs_words[options] : "-";
  const std::string text = read_script_file(file);
  pbs::Job job =
      pbs::make_job(pbs::read_script(text, prefix), command_line, text, tables, make_context(file));
  const json report = check_report(job);
  std::printf("%s\n", report.dump(-1, ' ', false, json::error_handler_t::replace).c_str());
  return job.faults.empty() ? 0 : kExitRefused;
}

int print_usage(bool asked) {
  std::fprintf(asked ? stdout : stderr,
               "usage: shunttrail-pbs qsub --check [--tables FILE] [qsub's options] [SCRIPT|-]\n");
  return asked ? 0 : kExitUsage;
}

}  // namespace

// The program is called as `qsub` or as `shunttrail-pbs qsub`.
int main(int argc, char** argv) {
  std::vector<std::string> words(argv + 1, argv + argc);
  if (fs::path(argv[0]).filename() != "qsub") {
    if (!words.empty() && words[0] == "--version") {
      std::printf("shunttrail-pbs 0.1.0\n");
      return 0;
    }
    if (words.empty() || words[0] != "qsub")
      return print_usage(!words.empty() && words[0] == "--help");
    words.erase(words.begin());
  }
  try {
    return qsub(words);
  } catch (const config::SettingsError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kExitUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "qsub: %s\n", error.what());
    return kExitRefused;
  }
}
