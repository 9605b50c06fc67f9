// Tests of the PBS reader: a table of scripts and their faults, generated directives that are
// printed and read back, and arbitrary bytes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

#include "config/settings.h"
#include "pbs/job.h"
#include "wire/codec.h"

namespace shunttrail::test {
namespace {
using namespace pbs;

const Tables& tables() {
  static const Tables shipped = [] {
    std::ifstream in(std::string(SHUNTTRAIL_SOURCE) + "/deploy/pbs.xml");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_tables(text.str());
  }();
  return shipped;
}
Context context() {
  Context submission;
  submission.script_name = "render.sh";
  submission.user = "ana";
  submission.home = "/home/ana";
  submission.dir = "/home/ana/work";
  submission.host = "desk";
  submission.environment = {{"LANG", "C"}, {"TOKEN", "t"}};
  return submission;
}
Job make_test_job(const std::string& text, std::vector<std::string> words = {},
                  std::string prefix = "#PBS") {
  std::size_t taken = 0;
  Script line = read_arguments(words, taken);
  return make_job(read_script(text, prefix), line, text, tables(), context());
}
std::string faults(const Job& job) {
  std::string out;
  for (const auto& f : job.faults)
    out += std::to_string(f.at.line) + ":" + std::to_string(f.at.column) + " " + f.directive +
           ": " + f.reason + "\n";
  return out;
}

TEST(PbsJob, AWholeScriptBecomesANativeSubmission) {
  Job job = make_test_job(
      "#!/bin/bash -l\n"
      "# a comment\n"
      "#PBS -N night_render\n"
      "#PBS -q bulk -P renders\n"
      "\n"
      "#PBS -l select=3:ncpus=2:mem=4gb,walltime=01:30:00\n"
      "#PBS -l place=scatter -j oe \\\n"
      "#PBS -m abe -M ana@example.org\n"
      "#PBS -W depend=afterok:12.shunttrail:13[]\n"
      "#PBS -v 'A=b c',LANG -o out/render.log\n"
      "render --all\n"
      "#PBS -N too_late\n");
  ASSERT_EQ(faults(job), "");
  const auto& spec = job.description.job;
  EXPECT_EQ(job.name, "night_render");
  EXPECT_EQ(spec.team, "bulk");
  EXPECT_EQ(spec.job_class, "bulk");
  EXPECT_EQ(spec.priority, wire::Priority::idle);
  EXPECT_EQ(spec.tasks, 3u);
  EXPECT_EQ(spec.cpus, 2);
  EXPECT_EQ(spec.mem_gb, 4);
  EXPECT_TRUE(spec.anti_affinity);
  EXPECT_FALSE(spec.same_zone);
  EXPECT_EQ(spec.estimate_s, 5400);
  EXPECT_EQ(job.description.limit_s, 5400);
  EXPECT_EQ(spec.dependencies,
            (std::vector<std::string>{"run-77000000000000000012", "run-77000000000000000013"}));
  EXPECT_EQ(job.after_ok.size(), 2u);
  EXPECT_TRUE(wire::valid_job_id(spec.dependencies[0]));
  EXPECT_EQ(job.description.env.at("A"), "b c");
  EXPECT_EQ(job.description.env.at("LANG"), "C");
  EXPECT_EQ(job.description.env.at("PBS_O_WORKDIR"), "/home/ana/work");
  EXPECT_EQ(job.description.command.back(), "/bin/bash");
  EXPECT_TRUE(job.joined);
  ASSERT_EQ(job.ignored.size(), 3u);  // the directive after the first command, -m and -M
  EXPECT_EQ(job.ignored[0].at.line, 12u);
}

TEST(PbsJob, TheCommandLineOverridesTheScript) {
  const std::string text = "#PBS -N a\n#PBS -l walltime=60,ncpus=1 -q bulk\ntrue\n";
  Job job = make_test_job(text, {"-Nb", "-l", "walltime=2:00", "-q", "urgent", "script"});
  ASSERT_EQ(faults(job), "");
  EXPECT_EQ(job.name, "b");
  EXPECT_EQ(job.description.job.estimate_s, 120);
  EXPECT_EQ(job.description.job.cpus, 1);
  EXPECT_EQ(job.description.job.team, "urgent");
  EXPECT_EQ(make_test_job("#QSUB -N q\ntrue\n", {}, "#QSUB").name, "q");
  EXPECT_EQ(make_test_job("#QSUB -N q\ntrue\n").name, "render.sh");
}

TEST(PbsJob, ArrayWithStepMakesOneTaskPerIndex) {
  Job job = make_test_job("#PBS -J 10-20:5\ntrue\n");
  ASSERT_EQ(faults(job), "");
  EXPECT_EQ(job.description.job.tasks, 3u);
  EXPECT_NE(job.description.command[2].find("PBS_ARRAY_INDEX=$((10 + 5 * SHUNT_TASK))"),
            std::string::npos);
  EXPECT_EQ(make_test_job("#PBS -J 3\ntrue\n").description.job.tasks, 1u);
}

// A script, and a text that each of its faults has to contain, in order.
struct Verdict {
  const char* name;
  std::string script;
  std::vector<std::string> says;
};
void PrintTo(const Verdict& v, std::ostream* out) { *out << v.name; }
class Refusal : public testing::TestWithParam<Verdict> {};

TEST_P(Refusal, NamesThePositionAndTheReason) {
  Job job = make_test_job(GetParam().script);
  ASSERT_EQ(job.faults.size(), GetParam().says.size()) << faults(job);
  std::istringstream in(faults(job));
  for (const auto& says : GetParam().says) {
    std::string line;
    std::getline(in, line);
    EXPECT_NE(line.find(says), std::string::npos) << line;
  }
}

std::string line(const std::string& directive) {
  return "#!/bin/sh\n#PBS " + directive + "\ntrue\n";
}
std::string many(std::size_t n) {
  std::string s;
  for (std::size_t i = 0; i < n; ++i) s += "#PBS -N n\n";
  return s + "true\n";
}

INSTANTIATE_TEST_SUITE_P(
    Table, Refusal,
    testing::Values(
        Verdict{"every_fault_at_once",
                "#PBS -I\n#PBS -l walltime=x -Y\n#PBS -q nowhere\ntrue\n",
                {"1:6 -I: there are no interactive", "2:18 -l walltime=x: walltime is not a time",
                 "2:20 -Y: is not an option", "3:9 -q nowhere: there is no queue nowhere"}},
        Verdict{"resource", line("-l gpus=1"), {"2:9 -l gpus=1: gpus is not a resource"}},
        Verdict{"chunk_resource",
                line("-l select=2:ncpus=1:host=a"),
                {"2:26 -l select=2:ncpus=1:host=a: host is not a resource"}},
        Verdict{"chunks_differ", line("-l select=1:ncpus=1+2:ncpus=2"), {"its chunks differ"}},
        Verdict{"too_many_tasks",
                line("-l select=60000:ncpus=1+60000:ncpus=1"),
                {"asks for 120000 chunks"}},
        Verdict{"no_chunk", line("-l select=0:ncpus=1"), {"requests no chunks"}},
        Verdict{
            "overflow", line("-l select=99999999999999999999:ncpus=1"), {"is more than 1000000"}},
        Verdict{"walltime_overflow", line("-l walltime=99999999999999999999"), {"is more than"}},
        Verdict{"walltime_nought", line("-l walltime=0"), {"less than a second"}},
        Verdict{"mem", line("-l mem=4lb"), {"mem is not a size"}},
        Verdict{"mem_beside_select",
                line("-l select=1:ncpus=1 -l mem=1gb"),
                {"cannot be asked for beside chunks"}},
        Verdict{"nodes_and_select", line("-l select=1 -l nodes=1"), {"nodes and select"}},
        Verdict{"place", line("-l place=excl"), {"place=excl is not supported"}},
        Verdict{"array_too_long", line("-J 0-100000"), {"asks for 100001 tasks"}},
        Verdict{"array_backwards", line("-J 5-1"), {"2:11 -J 5-1: ends before it begins"}},
        Verdict{"array_step", line("-J 1-5:0"), {"has a step of 0"}},
        Verdict{"array_limit", line("-J 1-5%2"), {"2:12 "}},
        Verdict{"array_of_chunks", line("-J 1-5 -l select=2"), {"one chunk each"}},
        Verdict{"not_rerunnable", line("-r n"), {"is run again"}},
        Verdict{"priority_number", line("-p 1024"), {"not between -1024 and 1023"}},
        Verdict{"priority_word", line("-p soon"), {"is not a whole number"}},
        Verdict{"priority_above_its_queue",
                line("-q bulk -p 1023"),
                {"means priority high; queue bulk allows idle"}},
        Verdict{"queue_of_another_team",
                line("-q urgent -P renders"),
                {"team bulk may not use queue urgent"}},
        Verdict{"queue_limit",
                line("-q urgent -l walltime=2:00:00"),
                {"7200 seconds; queue urgent allows 3600"}},
        Verdict{"queue_tasks", line("-q urgent -J 1-501"), {"501 tasks; queue urgent allows 500"}},
        Verdict{"team_limit", line("-l ncpus=64"), {"64 CPUs a task; team default may use 32"}},
        Verdict{"project", line("-P nobody"), {"no team has a project or group nobody"}},
        Verdict{"server", line("-q workq@other"), {"no other server"}},
        Verdict{"depend_type", line("-W depend=afternotok:1"), {"afternotok is not supported"}},
        Verdict{"depend_id", line("-W depend=afterok:x.y"), {"x.y is not a job id"}},
        Verdict{"depend_empty", line("-W depend=afterok:"), {"is empty here"}},
        Verdict{"attribute", line("-W stagein=a@b:c"), {"stagein is not supported"}},
        Verdict{"hold", line("-h"), {"cannot be held yet"}},
        Verdict{"at", line("-a 2330"), {"cannot be set yet"}},
        Verdict{"name_digit", line("-N 9lives"), {"begins with a letter"}},
        Verdict{"name_control", "#PBS -N a\x01z\ntrue\n", {"1:10 : holds a control character"}},
        Verdict{"path_leaves", line("-o ../../bob/x"), {"is outside the home directory /home/ana"}},
        Verdict{
            "path_absolute", line("-e /etc/passwd"), {"is outside the home directory /home/ana"}},
        Verdict{"path_other_host", line("-o far:/home/ana/x"), {"only to the submitting host"}},
        Verdict{"other_user", line("-u bob"), {"who submits"}},
        Verdict{"variable_unset", line("-v NOPE"), {"NOPE is not set"}},
        Verdict{"variable_name", line("-v 1A=2"), {"is not a variable"}},
        Verdict{"shell_list", line("-S /bin/sh@a,/bin/sh"), {"for each host"}},
        Verdict{"mail_letters", line("-m q"), {"does not define"}},
        Verdict{"quote", line("-N 'open"), {"quotation is not closed"}},
        Verdict{"no_value", line("-N"), {"-N: needs a value"}},
        Verdict{"not_an_option",
                line("-N a # why"),
                {"2:11 #: is not an option", "why: is not an option"}},
        Verdict{"crlf", "#PBS -N a\r\ntrue\r\n", {"1:10 : the line ends in CR LF"}},
        Verdict{"utf16", std::string("\xff\xfe#\0", 4), {"UTF-16"}},
        Verdict{"binary", std::string("#!/bin/sh\n\0x", 12), {"2:1 : holds a NUL"}},
        Verdict{"empty", "\n\n", {"the script is empty"}},
        Verdict{"ten_thousand", many(10000), {"1001:1 #PBS: there are more than 1000"}},
        Verdict{"ten_megabytes", std::string(10u << 20, 'x'), {"longer than 1 MiB"}}),
    [](const auto& one) { return one.param.name; });

RC_GTEST_PROP(PbsScript, PrintedDirectivesReadBack, ()) {
  std::string text = "#!/bin/sh\n";
  std::vector<Directive> printed;
  for (int n = *rc::gen::inRange(1, 20); n > 0; --n) {
    Directive directive;
    directive.option = *rc::gen::elementOf(std::string("hVzaAcCeGjJklmMNopPqrRSuvW"));
    if (std::string("hVz").find(directive.option) == std::string::npos)
      directive.value = *rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("abc019=:+,-_./@'\" \t\\#")));
    text += print(directive, "#PBS") + "\n";
    printed.push_back(directive);
  }
  Script script = read_script(text + "true\n", "#PBS");
  RC_ASSERT(script.faults.empty());
  RC_ASSERT(script.directives.size() == printed.size());
  for (std::size_t i = 0; i < printed.size(); ++i) {
    RC_ASSERT(script.directives[i].option == printed[i].option);
    RC_ASSERT(script.directives[i].value == printed[i].value);
  }
}

// Any text yields a job or faults, and the line of each fault is inside the text.
RC_GTEST_PROP(PbsScript, AnyBytesYieldAJobOrFaultsWithinTheText, ()) {
  std::string text;
  for (int n = *rc::gen::inRange(0, 30); n > 0; --n) {
    if (*rc::gen::inRange(0, 3))
      text += *rc::gen::elementOf(
          std::vector<std::string>{"#PBS ", "-l ", "select=", "2:ncpus=", "walltime=",
                                   "-J ",   "1-",  "9",       ":",        "+",
                                   ",",     "=",   "%",       "-W ",      "depend=afterok:",
                                   "'",     "\"",  "\\",      "\n",       "-N ",
                                   "-o ",   "../", "mem=1",   "gb",       "-p -"});
    else
      text += *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  }
  Job job = make_test_job(text);
  auto lines = static_cast<std::size_t>(1 + std::count(text.begin(), text.end(), '\n'));
  for (const auto& f : job.faults) RC_ASSERT(f.at.line <= lines);
  if (job.faults.empty()) {
    RC_ASSERT(job.description.job.tasks >= 1u && job.description.job.tasks <= 100000u);
    job.description.job.id = "run-123456";
    // The codec that the controllers use accepts the job.
    static_cast<void>(wire::decode_job(wire::encode_job(job.description.job)));
  }
}

TEST(PbsIds, EachIdMapsToOneNativeJob) {
  EXPECT_EQ(pbs_id(123, false, "shunttrail"), "123.shunttrail");
  EXPECT_EQ(pbs_id(123, true, "shunttrail"), "123[].shunttrail");
  EXPECT_EQ(native_id("123[].shunttrail", "shunttrail"), native_id("123", "shunttrail"));
  EXPECT_NE(native_id("124", "shunttrail"), native_id("123", "shunttrail"));
  EXPECT_TRUE(wire::valid_job_id(*native_id("999999999999", "shunttrail")));
  for (const char* invalid : {"", "x", "123.other", "123[4].shunttrail", "-1", "1234567890123"})
    EXPECT_FALSE(native_id(invalid, "shunttrail")) << invalid;
}

TEST(PbsTables, ErrorsNameTheElement) {
  auto expect_error = [](const std::string& xml, const std::string& expected) {
    try {
      parse_tables(xml);
      ADD_FAILURE() << expected;
    } catch (const config::SettingsError& e) {
      EXPECT_NE(std::string(e.what()).find(expected), std::string::npos) << e.what();
    }
  };
  const std::string teams = "<teams><team name='t'/></teams>";
  expect_error("<shunt-pbs/>", "queues");
  expect_error("<shunt-pbs><queues default='q'/>" + teams + "</shunt-pbs>", "@default");
  expect_error(
      "<shunt-pbs><queues default='q'><queue name='q' class='c' team='x' "
      "priority='high'/></queues>" +
          teams + "</shunt-pbs>",
      "queue q@team");
  expect_error(
      "<shunt-pbs><queues default='q'><queue name='q' class='c' team='t' "
      "priority='soon'/></queues>" +
          teams + "</shunt-pbs>",
      "@priority");
  expect_error(
      "<shunt-pbs><queues default='q'><queue name='q' class='c' team='t' priority='high' "
      "max-cpu='1'/>"
      "</queues>" +
          teams + "</shunt-pbs>",
      "@max-cpu");
}

}  // namespace
}  // namespace shunttrail::test
