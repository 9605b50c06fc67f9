// Golden values: the exact bytes that a controller sends and stores, and the values that it reads
// from them. They were recorded before the codecs were restructured. Other golden values: records,
// keys and heartbeats of an earlier release in upgrade_test.cpp, those of the schema versions in
// schema_test.cpp, relayed heartbeats in relay_test.cpp, bytes that workers and the agent write in
// agent_golden_test.cpp.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "controller/controller.h"
#include "loopback.h"
#include "scheduler_fixture.h"
#include "wire/codec.h"

namespace shunttrail::test {
namespace {

wire::Event event(const std::string& value) { return {"", value, 0}; }
// Returns `text` with "N" in place of each number that follows `key`, a JSON key with its colon.
std::string with_masked_numbers(std::string text, const std::string& key) {
  for (std::size_t at = text.find(key); at != std::string::npos; at = text.find(key, at)) {
    at += key.size();
    const std::size_t end = text.find_first_not_of("0123456789.e-", at);
    text.replace(at, end - at, "N");
  }
  return text;
}
std::string replace_first(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

const std::string kJob =
    R"({"awaits":["run-000398","run-000411"],"borrowed_stock":true,"cards":1.0,"cars":16,"consist":"train","couple_s":4.0,"crew":"vision","due_s":900.0,"haul":"group","manifest":"img-07","mem_gb":64.5,"milepost_s":30.0,"precedence":"high","run_s":240.0,"same_place":true,"scatter":false,"size_gb":6.2,"stock_types":["g8","t4"],"uid":"run-000412","vcpus":8.0,"yard":"a"})";
const std::string kPlainJob =
    R"({"borrowed_stock":false,"cards":0.0,"cars":1,"consist":"web","couple_s":0.0,"crew":"red","haul":"service","manifest":"img","mem_gb":1.0,"milepost_s":0.0,"precedence":"idle","run_s":0.0,"same_place":false,"scatter":true,"size_gb":0.0,"uid":"run-1","vcpus":0.5})";

TEST(WireGolden, SubmissionsKeepTheirBytes) {
  for (const auto& text : {kJob, kPlainJob})
    EXPECT_EQ(wire::encode_job(wire::decode_job(text)), text);
  for (const char* haul : {"batch", "group", "service"})
    for (const char* precedence : {"critical", "high", "standard", "idle"}) {
      const std::string text =
          replace_first(replace_first(kJob, "group", haul), "high", precedence);
      EXPECT_EQ(wire::encode_job(wire::decode_job(text)), text);
    }
  const wire::JobSpec spec = wire::decode_job(kJob);
  EXPECT_TRUE(spec.gang && !spec.service && spec.same_zone && !spec.anti_affinity && spec.spot);
  EXPECT_EQ(spec.dependencies, (std::vector<std::string>{"run-000398", "run-000411"}));
  EXPECT_EQ(spec.types, (std::vector<std::string>{"g8", "t4"}));
  EXPECT_EQ(std::tie(spec.image, spec.image_gb, spec.mem_gb, spec.gpus, spec.estimate_s,
                     spec.checkpoint_s, spec.save_s),
            std::make_tuple("img-07", 6.2, 64.5, 1.0, 240.0, 30.0, 4.0));
  const wire::JobSpec plain = wire::decode_job(kPlainJob);
  EXPECT_TRUE(plain.service && plain.anti_affinity && !plain.types && !plain.zone &&
              !plain.deadline_s);
  EXPECT_EQ(plain.priority, wire::Priority::idle);
}

TEST(WireGolden, JobStatesKeepTheirBytes) {
  using wire::JobState;
  const std::pair<JobState, const char*> names[] = {{JobState::queued, "queued"},
                                                    {JobState::running, "running"},
                                                    {JobState::done, "done"},
                                                    {JobState::cancelled, "cancelled"}};
  for (auto [state, name] : names)
    EXPECT_EQ(wire::encode_job_state("run-000412", state, 3, 13, false),
              R"({"signal":")" + std::string(name) + R"(","uid":"run-000412"})");
  EXPECT_EQ(wire::encode_job_state("run-000412", JobState::running, 3, 13, true),
            R"({"done":3,"running":13,"signal":"running","uid":"run-000412"})");
}

TEST(WireGolden, JobRecordsKeepTheirBytes) {
  const std::string waits =
      R"({"at":1733000000.25,"borrowed_stock":false,"cards":0.0,"cars":1,"consist":"web","couple_s":0.0,"crew":"red","haul":"group","manifest":"img","mem_gb":1.0,"milepost_s":0.0,"needs":"000398 7","precedence":"idle","ready":1733000100.5,"run_s":0.0,"same_place":false,"scatter":true,"size_gb":0.0,"uid":"run-1","vcpus":0.5})";
  const wire::JobRecord record = wire::decode_job_record(event(waits));
  EXPECT_EQ(record.spec.dependencies, (std::vector<std::string>{"run-000398", "run-7"}));
  EXPECT_EQ(record.ready_at, 1733000100.5);
  EXPECT_TRUE(record.spec.gang);
  EXPECT_EQ(wire::encode_record(record), waits);
  const std::string final = R"({"n":3,"s":"done","svc":1,"team":"red","w":"n.7.12"})";
  EXPECT_TRUE(wire::decode_job_result(final).service);
  EXPECT_EQ(wire::encode_record(wire::decode_job_result(final)), final);
  EXPECT_EQ(wire::encode_record(wire::cancelled_record(record.spec, "n.7.u3")),
            R"({"n":1,"s":"cancelled","team":"red","w":"n.7.u3"})");
  const std::string empty = R"({"b":0,"j":{},"m":[],"w":"n.7.1"})";
  const auto page = wire::decode_placement_page(event(empty), [](const std::string&) { return 0; });
  EXPECT_EQ(wire::encode_record(page, [](int) { return std::string(); }), empty);
}

// Each state and each exit reason that a worker may report, and names that this version does not
// know.
TEST(WireGolden, WorkerHeartbeatsAreDecoded) {
  auto task_json = [](const std::string& rest) {
    return R"({"car":"run-000412/3","departure":2,"signal":)" + rest + "}";
  };
  const wire::Heartbeat heartbeat = wire::decode_heartbeat(
      R"({"address":"10.1.0.232:9000","borrowed_stock":true,"cars":[)" + task_json(R"("pulling")") +
      "," + task_json(R"("flushing")") + "," +
      task_json(R"("exited","stop_cause":"stopped","kept":true)") +
      R"(],"engine":"m-000231","recall_s":25.5,"shift":1,"staff":41,"stock":"g8","waybill":88,"yard":"a"})");
  EXPECT_EQ(std::tie(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone),
            std::make_tuple("m-000231", "10.1.0.232:9000", "g8", "a"));
  EXPECT_EQ(std::tie(heartbeat.spot, heartbeat.incarnation, heartbeat.sequence, heartbeat.token),
            std::make_tuple(true, 1u, 88u, 41u));
  EXPECT_EQ(heartbeat.notice_s, 25.5);
  ASSERT_EQ(heartbeat.tasks.size(), 3u);
  EXPECT_EQ(heartbeat.tasks[0].task.job, "run-000412");
  EXPECT_EQ(heartbeat.tasks[0].task.index, 3u);
  EXPECT_EQ(heartbeat.tasks[0].attempt, 2u);
  EXPECT_TRUE(heartbeat.tasks[2].checkpointed);
  using wire::ExitReason;
  using wire::TaskState;
  const std::tuple<const char*, TaskState, ExitReason> rows[] = {
      {R"("pulling")", TaskState::fetching, ExitReason::none},
      {R"("running")", TaskState::running, ExitReason::none},
      {R"("flushing")", TaskState::saving, ExitReason::none},
      {R"("later")", TaskState::running, ExitReason::none},
      {R"("exited")", TaskState::exited, ExitReason::error},
      {R"("exited","stop_cause":"done")", TaskState::exited, ExitReason::done},
      {R"("exited","stop_cause":"stopped")", TaskState::exited, ExitReason::stopped},
      {R"("exited","stop_cause":"error")", TaskState::exited, ExitReason::error},
      {R"("exited","stop_cause":"full")", TaskState::exited, ExitReason::no_room},
      {R"("exited","stop_cause":"in_use")", TaskState::exited, ExitReason::busy},
      {R"("exited","stop_cause":"unknown")", TaskState::exited, ExitReason::unknown},
      {R"("exited","stop_cause":"mates_gone")", TaskState::exited, ExitReason::stopped},
      {R"("exited","stop_cause":"alone")", TaskState::exited, ExitReason::stopped},
      {R"("exited","stop_cause":"later")", TaskState::exited, ExitReason::error}};
  for (const auto& [text, state, why] : rows) {
    const auto one = wire::decode_heartbeat(
        R"({"address":"a:1","borrowed_stock":false,"cars":[)" + task_json(text) +
        R"(],"engine":"m","shift":1,"staff":0,"stock":"g","waybill":1,"yard":"a"})");
    EXPECT_EQ(one.tasks.at(0).state, state) << text;
    EXPECT_EQ(one.tasks.at(0).exit_reason, why) << text;
  }
}

TEST(WireGolden, CommandsToWorkersKeepTheirBytes) {
  using Op = wire::Command::Op;
  const std::vector<wire::Command> commands = {{Op::start, {"run-000412", 4}, 2},
                                               {Op::stop, {"run-000377", 1}, 1, 10},
                                               {Op::acknowledge, {"run-000398", 0}, 1}};
  const std::string list =
      R"("orders":[{"car":"run-000412/4","departure":2,"order":"start"},{"brake_s":10.0,"car":"run-000377/1","departure":1,"order":"halt"},{"car":"run-000398/0","departure":1,"order":"reap"}])";
  EXPECT_EQ(wire::encode_heartbeat_response(41, commands), "{" + list + R"(,"staff":41})");
  EXPECT_EQ(wire::encode_direct_commands(41, 2, commands),
            "{" + list + R"(,"shift":2,"staff":41})");
  EXPECT_EQ(wire::encode_heartbeat_response(0, {}), R"({"orders":[],"staff":0})");
  EXPECT_EQ(wire::encode_redirect(""), "{}");
}

TEST(WireGolden, CloudBodiesKeepTheirBytes) {
  const auto types = wire::decode_types(
      R"({"stock_types":[{"cards":8.0,"fetch_gb_per_s":1.0,"hourly":12.0,"local_gb":200.0,"market_price":4.5,"mem_gb":768.0,"name":"g8","startup_s":45.0,"vcpus":96.0,"yards":["a","b"]},{"cards":0,"hourly":0.5,"mem_gb":16,"name":"t4","startup_s":9,"vcpus":4,"yards":[]}]})");
  ASSERT_EQ(types.size(), 2u);
  const auto& t = types[0];
  EXPECT_EQ(std::tie(t.name, t.cpus, t.gpus, t.mem_gb, t.price, t.spot_price, t.boot_s, t.cache_gb),
            std::make_tuple("g8", 96.0, 8.0, 768.0, 12.0, 4.5, 45.0, 200.0));
  EXPECT_EQ(t.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(std::tie(types[1].spot_price, types[1].cache_gb), std::make_tuple(0.5, 0.0));
  EXPECT_EQ(wire::encode_rent("r-17", "g8", "a", true, 12),
            R"({"borrowed_stock":true,"charter":"r-17","count":12,"stock":"g8","yard":"a"})");
  const std::string engines = R"({"engines":["m-000231","m-000232"]})";
  EXPECT_EQ(wire::encode_delete(wire::decode_rented(engines)), engines);
  EXPECT_EQ(wire::machines_path(""), "/rentals?limit=500");
  EXPECT_EQ(wire::machines_path("m 1/ä"), "/rentals?limit=500&after=m%201/%C3%A4");
  const auto list = wire::decode_machines(
      R"({"engines":[{"address":"10.1.0.232:9000","borrowed_stock":true,"held_s":61.5,"signal":"running","stock":"g8","uid":"m-000231","yard":"a"}],"has_next":true})");
  EXPECT_TRUE(list.more);
  const auto& m = list.machines.at(0);
  EXPECT_EQ(std::tie(m.name, m.addr, m.type, m.zone, m.state, m.spot, m.age_s),
            std::make_tuple("m-000231", "10.1.0.232:9000", "g8", "a", "running", true, 61.5));
}

TEST(WireGolden, StateServiceBodiesKeepTheirBytes) {
  const wire::Transaction t{
      {{"a/b", 0}, {"st/\"", 18446744073709551615u}},
      {{"a/b", R"({"x":[1]})", 7}, {"c/9", "{}", 0}, {"c/d", std::nullopt, 0}}};
  EXPECT_EQ(
      wire::encode_transaction(t),
      R"({"guards":[{"k":"a/b","stamp":0},{"k":"st/\"","stamp":18446744073709551615}],"writes":[{"set":"a/b","value":{"x":[1]},"block":7},{"set":"c/9","value":{}},{"drop":"c/d"}]})");
  EXPECT_EQ(wire::encode_transaction({}), R"({"guards":[],"writes":[]})");
  EXPECT_EQ(wire::decode_revision(R"({"ledger":432})"), 432u);
  EXPECT_EQ(wire::decode_failed(R"({"failed":["a/b"],"ledger":431})"),
            std::vector<std::string>{"a/b"});
  EXPECT_TRUE(wire::lease_missing(R"({"error":"no such lease"})"));
  EXPECT_FALSE(wire::lease_missing(R"({"error":"malformed"})"));
  EXPECT_EQ(wire::encode_lease(5), R"({"life_ms":5000})");
  EXPECT_EQ(wire::decode_lease(R"({"block":7})"), 7u);
  EXPECT_EQ(wire::watch_path("st/", 431, 1000), "/watch?starts=st/&after=431&block_ms=1000");
  EXPECT_EQ(wire::keys_path("st/", ""), "/kv?starts=st/&limit=1000");
  EXPECT_EQ(wire::keys_path("st/", "st/j/run-7"), "/kv?starts=st/&limit=1000&after=st/j/run-7");
  const auto w = wire::decode_watch(
      R"({"events":[{"set":"st/o/1","stamp":433,"value":{"node":"b","w":"x"}},{"drop":"c/d","stamp":432}],"ledger":433})");
  EXPECT_EQ(w.revision, 433u);
  ASSERT_EQ(w.events.size(), 2u);
  EXPECT_TRUE(w.events[0].set());
  EXPECT_EQ(w.events[0].key, "st/o/1");
  EXPECT_EQ(w.events[0].mod_revision, 433u);
  EXPECT_EQ(wire::decode_leader_record(w.events[0]).node, "b");
  EXPECT_FALSE(w.events[1].set());
  EXPECT_EQ(w.events[1].key, "c/d");
  EXPECT_EQ(w.events[1].mod_revision, 432u);
  const auto page = wire::decode_keys(
      R"({"entries":[{"k":"st/o/1","stamp":9,"value":{"node":"b","w":"x"}}],"has_next":true,"ledger":431})");
  EXPECT_EQ(std::tie(page.revision, page.more), std::make_tuple(431u, true));
  EXPECT_EQ(page.items.at(0).mod_revision, 9u);
  EXPECT_EQ(wire::decode_leader_record(page.items.at(0)).tag, "x");
  const auto e = wire::decode_key(R"({"block":7,"k":"a/b","stamp":412,"value":{"z":1,"a":2.0}})");
  EXPECT_EQ(std::tie(e.key, e.mod_revision), std::make_tuple("a/b", 412u));
  ASSERT_TRUE(e.set());
  EXPECT_EQ(e.value->text(), R"({"a":2.0,"z":1})");
}

// Guards against a stored value that counts as absent: a reader of the text overlooked values that
// were held as parts of a parsed body.
TEST(StoredValue, ReadsAlikeInBothForms) {
  const std::string text = R"({"n":3,"s":"cancelled","team":"red","w":"x"})";
  const auto page = wire::decode_keys(R"({"entries":[{"k":"fin/run-1","stamp":9,"value":)" + text +
                                      R"(}],"has_next":false,"ledger":431})");
  ASSERT_TRUE(page.items.at(0).value.has_value());
  for (const wire::StoredValue& value : {wire::StoredValue(text), *page.items[0].value}) {
    EXPECT_EQ(value.text(), text);
    EXPECT_EQ(value.parsed()->dump(), text);
    const wire::JobResultRecord result = wire::decode_job_result(value);
    EXPECT_EQ(std::tie(result.cancelled, result.tasks, result.team, result.tag),
              std::make_tuple(true, 3u, "red", "x"));
  }
  for (const char* malformed : {"", "{", "[]", "7"})
    EXPECT_THROW(static_cast<void>(wire::decode_job_result(std::string(malformed))),
                 wire::Malformed);
}

// Guards against records and machines that count as deleted: an empty page that says that another
// follows was taken for the last page.
TEST(Pages, AnEmptyPageBeforeAnotherIsMalformed) {
  EXPECT_THROW(
      static_cast<void>(wire::decode_keys(R"({"entries":[],"has_next":true,"ledger":431})")),
      wire::Malformed);
  EXPECT_THROW(static_cast<void>(wire::decode_machines(R"({"engines":[],"has_next":true})")),
               wire::Malformed);
  EXPECT_FALSE(wire::decode_keys(R"({"entries":[],"has_next":false,"ledger":431})").more);
  EXPECT_FALSE(wire::decode_machines(R"({"engines":[],"has_next":false})").more);
}

// ---- Bodies of a controller's responses

// A controller on loopback sockets, with a state service that always holds the keys below and
// rejects every write. The controller's responses therefore do not depend on the time of the
// request.
class ControllerOverLoopback : public ::testing::Test {
 protected:
  static constexpr const char* kStoredKeys =
      R"({"entries":[{"k":"st/a/1/0","stamp":40,"value":{"b":7,"j":{"run-100001":{"c":1.0,"d":{"0":[0,0]},"g":0.0,"l":[0,1,0],"m":1.0,"t":"red"}},"m":["m-000001"],"w":"x"}},)"
      R"({"k":"st/j/run-100001","stamp":41,"value":{"at":1733000000.0,"borrowed_stock":true,"cards":0.0,"cars":3,"consist":"c","couple_s":0.0,"crew":"red","haul":"batch","manifest":"img","mem_gb":1.0,"milepost_s":0.0,"precedence":"standard","run_s":0.0,"same_place":false,"scatter":false,"size_gb":0.0,"uid":"run-100001","vcpus":1.0}},)"
      R"({"k":"st/l/active","stamp":42,"value":{"highest":1,"level":1,"lowest":1,"w":"x"}},)"
      R"({"k":"st/l/orders","stamp":43,"value":{"gone":["node-0"],"most":1,"w":"x"}},)"
      R"({"k":"st/m/0","stamp":44,"value":{"m":{"m-000001":["t4","a",1,1,40]},"t":[1733000000,[0]],"w":"x"}},)"
      R"({"k":"st/n/node-1","stamp":45,"value":{"boot":9,"levels":[0,1,1]}},)"
      R"({"k":"st/o/1","stamp":46,"value":{"node":"node-1","w":"x"}},)"
      R"({"k":"st/w/run-100002","stamp":47,"value":{"at":1733000000.0,"borrowed_stock":true,"cards":0.0,"cars":2,"consist":"c","couple_s":0.0,"crew":"red","haul":"batch","manifest":"img","mem_gb":1.0,"milepost_s":0.0,"needs":"100001","precedence":"standard","run_s":0.0,"same_place":false,"scatter":false,"size_gb":0.0,"uid":"run-100002","vcpus":1.0}}],"has_next":false,"ledger":50})";

  ControllerOverLoopback() {
    settings_.front = {"127.0.0.1", free_port()};
    settings_.internal = {"127.0.0.1", free_port()};
    settings_.state = {"127.0.0.1", free_port()};
    settings_.cloud = {"127.0.0.1", free_port()};
    state_ = std::make_unique<
        net::Server>(loop_, settings_.state, 64 * 1024, [this](net::ExchangePtr ex) {
      // Masks the time of day.
      requests_.insert(ex->post ? ex->path + " " + with_masked_numbers(ex->body, "\"at\":")
                                : ex->path + "?" + ex->query);
      if (ex->path == "/kv") return ex->send({200, kStoredKeys, 0});
      if (ex->path == "/watch" && ex->query.ends_with("block_ms=0"))
        return ex->send({200, R"({"events":[],"ledger":50})", 0});
      if (ex->path == "/watch") return held_watches_.push_back(ex);
      if (ex->path == "/kv/fin/run-100003")
        return ex->send(
            {200,
             R"({"k":"fin/run-100003","stamp":3,"value":{"n":5,"s":"done","team":"red","w":"x"}})",
             0});
      ex->send({ex->post ? 503 : 404, R"({"ledger":50})", 0});
    });
    cloud_ = std::make_unique<
        net::Server>(loop_, settings_.cloud, 64 * 1024, [](net::ExchangePtr ex) {
      if (ex->path != "/machine_types") return ex->send({503, "{}", 0});
      ex->send(
          {200,
           R"({"stock_types":[{"name":"t4","vcpus":4,"cards":0,"mem_gb":16,"hourly":0.4,"market_price":0.1,"startup_s":10,"yards":["a","b"]}]})",
           0});
    });
    controller_ = std::make_unique<controller::Controller>(loop_, settings_, tuning_,
                                                           schema::current_build());
    front_ = std::make_unique<net::Client>(loop_, settings_.front, 1, 4);
    internal_ = std::make_unique<net::Client>(loop_, settings_.internal, 1, 4);
    // Waits until the controller has read the state service and the machine types. From then on it
    // answers 422 to a job that can never run.
    for (int i = 0; i < 100; ++i)
      if (get("/v2/runs/run-100001").starts_with("200") && submit("blue").starts_with("422")) break;
  }
  ~ControllerOverLoopback() override { held_watches_.clear(); }  // before their server is destroyed

  std::string ask(net::Client& to, const char* method, const std::string& path,
                  const std::string& body) {
    std::optional<net::Result> got;
    to.request(method, path, body, 10, [&](net::Result r) { got = std::move(r); });
    run_loop_until(
        loop_, [&] { return got.has_value(); }, 200000);
    if (!got) return "no answer";
    return std::to_string(got->status) + " " + got->body;
  }
  std::string get(const std::string& path) { return ask(*front_, "GET", path, ""); }
  std::string post(const std::string& path, const std::string& body = "") {
    return ask(*front_, "POST", path, body);
  }
  std::string submit(const std::string& team) {
    return post("/v2/runs", replace_first(kPlainJob, "\"red\"", "\"" + team + "\""));
  }
  // Returns the response of the operators' address, with masked numbers where they depend on time.
  std::string internal(const std::string& path) {
    std::string answer = ask(*internal_, "GET", path, "");
    for (const char* key : {"\"since_s\":", "\"state_waited_s\":", "\"submissions\":"})
      answer = with_masked_numbers(std::move(answer), key);
    return answer;
  }

  actor::Loop loop_;
  config::Settings settings_ = make_settings(2);
  config::Tuning tuning_;
  std::set<std::string> requests_;
  std::vector<net::ExchangePtr> held_watches_;
  std::unique_ptr<net::Server> state_, cloud_;
  std::unique_ptr<controller::Controller> controller_;
  std::unique_ptr<net::Client> front_, internal_;
};
using WireGoldenAnswers = ControllerOverLoopback;

TEST_F(WireGoldenAnswers, ToUsersAndWorkersKeepTheirBytes) {
  const std::pair<std::string, std::string> rows[] = {
      {get("/up"), R"(200 {})"},
      {get("/elsewhere"), R"(404 {"error":"no such path"})"},
      {get("/v2/runs/run-100001"),
       R"(200 {"done":1,"running":1,"signal":"running","uid":"run-100001"})"},
      {get("/v2/runs/run-100002"),
       R"(200 {"done":0,"running":0,"signal":"queued","uid":"run-100002"})"},
      {get("/v2/runs/run-100003"),
       R"(200 {"done":5,"running":0,"signal":"done","uid":"run-100003"})"},
      {get("/v2/runs/run-100004"), R"(404 {"error":"no such job"})"},
      {get("/v2/runs/x"), R"(404 {"error":"no such job"})"},
      {post("/v2/runs/run-100003/withdraw"), R"(200 {"signal":"done","uid":"run-100003"})"},
      {post("/v2/runs/run-100004/withdraw"), R"(404 {"error":"no such job"})"},
      {post("/v2/runs", "{}"), R"(400 {"error":"uid is missing"})"},
      {post("/v2/runs", "x"), R"(400 {"error":"not JSON"})"},
      {submit("blue"), R"(422 {"error":"this job can never run here"})"},
      {submit("red"), R"(503 {"error":"not now"})"},
      {post("/v2/runs", replace_first(kPlainJob, "run-1\"", "run-100001\"")),
       R"(200 {"signal":"running","uid":"run-100001"})"},
      {get("/v2/teams/red"),
       R"(200 {"crew":"red","has_next":false,"runs":[{"cars":3,"consist":"c","done":1,"running":1,"signal":"running","uid":"run-100001"},{"awaits":["run-100001"],"cars":2,"consist":"c","done":0,"running":0,"signal":"queued","uid":"run-100002"}]})"},
      {get("/v2/teams/red?limit=1&after=run-100001"),
       R"(200 {"crew":"red","has_next":false,"runs":[{"awaits":["run-100001"],"cars":2,"consist":"c","done":0,"running":0,"signal":"queued","uid":"run-100002"}]})"},
      {get("/v2/teams/red?limit=0"), R"(400 {"error":"limit is from 1 to 500"})"},
      {get("/v2/teams/red?after=x"), R"(400 {"error":"after is not a job id"})"},
      {get("/v2/teams/blue"), R"(404 {"error":"no such team"})"},
      {post(
           "/agent/beat",
           R"({"address":"a:1","borrowed_stock":true,"cars":[],"engine":"m-000001","shift":1,"staff":0,"stock":"t4","waybill":1,"yard":"a"})"),
       R"(421 {"dispatcher":"node-1"})"},
      {post("/agent/beat", "{}"), "400 {}"}};
  for (const auto& [got, wanted] : rows) EXPECT_EQ(got, wanted);
  // The controller requests its lease at a timer event some time after it has read all keys.
  const std::string lease_request = R"(/holds {"life_ms":8000})";
  run_loop_until(
      loop_, [&] { return requests_.contains(lease_request); }, 200000);
  for (
      const char* path :
      {"/kv?starts=st/&limit=1000", "/watch?starts=st/&after=50&block_ms=0",
       "/watch?starts=st/&after=50&block_ms=1000", "/kv/fin/run-100003?",
       R"(/holds {"life_ms":8000})",
       R"(/commit {"guards":[{"k":"st/j/run-1","stamp":0},{"k":"st/w/run-1","stamp":0},{"k":"fin/run-1","stamp":0}],"writes":[{"set":"st/j/run-1","value":{"at":N,"borrowed_stock":false,"cards":0.0,"cars":1,"consist":"web","couple_s":0.0,"crew":"red","haul":"service","manifest":"img","mem_gb":1.0,"milepost_s":0.0,"precedence":"idle","run_s":0.0,"same_place":false,"scatter":true,"size_gb":0.0,"uid":"run-1","vcpus":0.5}}]})"})
    EXPECT_TRUE(requests_.contains(path)) << path << ::testing::PrintToString(requests_);
}

TEST_F(WireGoldenAnswers, ToOperatorsKeepTheirBytes) {
  const std::string levels =
      R"({"active":1,"converted":1.0,"held_by":[{"by":"build","since_s":N,"why":"does not write level 2 yet"}],"hold":1,"node":"node-0","nodes":[{"alive":false,"gone":true,"name":"node-0"},{"alive":true,"name":"node-1","reads":[0,1],"writes":1}],"reads":[0,2],"stands":[1,1]})";
  const std::string links = R"({"links":[],"node":"node-0","relay":false,"reports":[]})";
  EXPECT_EQ(internal("/levels"), "200 " + levels);
  EXPECT_EQ(internal("/links"), "200 " + links);
  EXPECT_EQ(internal("/elsewhere"), "404 {}");
  EXPECT_EQ(
      internal("/metrics"),
      R"(200 {"desks":[],"ended_with_others":0,"garbage":0,"jobs":1,"levels":)" + levels +
          R"(,"links":)" + links +
          R"(,"machines":1,"made_ready":0,"node":"node-0","refused":0,"revision":50,"state_429":0,"state_too_large":0,"state_waited_s":N,"state_write_rate":12.5,"submissions":N,"waiting":1})");
}

TEST(WireGolden, SchedulerCountersKeepTheirNames) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.job(1, 6, 1, false, 0);
  d.all_report(1);
  std::string keys;
  const nlohmann::json summary = nlohmann::json::parse(d.scheduler->summary());
  for (const auto& [key, value] : summary.items()) {
    EXPECT_TRUE(key == "k" ? value.is_array() : value.is_number()) << key;
    keys += key + " ";
  }
  EXPECT_EQ(keys,
            "beside_disabled beside_gang beside_in_progress beside_longest_s beside_not_yet "
            "beside_quota "
            "booting capacity commit_failures commits delegated direct dones emptied errors "
            "fetching foreign given idle jobs k lost ordered over pending placed planned preempted "
            "refused rents replaced "
            "returns running shard starts token token_advances unexpected_attempts unfenced unseen "
            "unsent up "
            "used waiting ");
}

}  // namespace
}  // namespace shunttrail::test
