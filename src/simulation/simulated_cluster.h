// A whole set in simulated time: the library's own controllers, the emulators for the state
// service, the cloud and the workers, and users who submit, ask and cancel, with the faults that
// a test orders. The rules of the protocol are checked as it goes; they know nothing of the
// controllers' state, only what is on the machines and what users were told.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "controller/controller.h"
#include "emulators/cloud.h"
#include "emulators/state.h"
#include "emulators/worker.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

inline std::string name_of(const wire::TaskId& t) { return t.job + "/" + std::to_string(t.index); }

struct ClusterOptions {
  int controllers = 3, machines = 6;
  double machine_cpus = 4;
  double team_limit = 16;  // vcpus, of each of two teams
  double heartbeat_s = 5, lease_s = 26.5, cancel_s = 46.5;
  // What the controllers are told instead: for tests that show that the rules are checked.
  double told_cancel_s = 0;
  double heartbeat_copies = 0;  // the share of reports of which a copy comes again, 2 to 60 s later
  double late_writes = 0;  // the share of transactions that get no answer and come 2 to 12 s late
  double copies_for_next = 0;  // the share of reports of which a copy is kept for the next leader
  double slow_links_s = 0;     // all that is sent takes up to this long, one way; 0: it does not
  double quick_boots_s = 0;    // new machines are up within this; 0: within some seconds
  double state_rps = 3000, state_write_rps = 1000, cloud_rps = 60;
  double wall_off_s = 0.1;  // times of day wander by up to this, to either side
  double state_latency_s = 0.005;
  bool relay = true;
  // Teams, types and lists.
  int teams = 2;               // red, blue, green, white
  double told_team_limit = 0;  // what the controllers are told instead of `team_limit`
  int big_machines = 0;        // of a second type, t8, with twice the vcpus; 0: there is none
  double list_lag_s = 0;       // lists are up to twice as old; 0: they are as things are

  // Users who look closely: the share of jobs about which they ask all nodes within milliseconds,
  // again and again, and submit again, once one was accepted, has ended or was called cancelled.
  double close_looks = 0;
  double cancel_at_once = 0;  // the share of jobs that are called off as soon as they are accepted
  // The share of jobs whose last task's end meets a cancellation, a question, a repeated
  // submission.
  double meet_ends = 0;
  // The share of transactions that are carried out at once, and get no answer; of these alone.
  double lost_answers = 0;
  std::function<bool(const std::string& body)> lose_answer_of;
  std::vector<emulators::EmulatedMachineType> more_types;  // beside the one that there always is
};
inline constexpr double kMemGb = 64;  // of a machine of any type

class SimulatedCluster {
 public:
  SimulatedCluster(unsigned seed, const ClusterOptions& scale);
  ~SimulatedCluster();

  void pass(double seconds);
  double now() const { return sim_.now(); }
  Simulation& sim() { return sim_; }
  std::uint64_t digest() const { return sim_.digest(); }  // of the history so far
  const ClusterOptions& options() const { return options_; }
  ClusterOptions& options() { return options_; }  // shares may change as it goes

  // ---- users

  struct Job {
    wire::JobSpec spec;
    double run_s = 10;
    bool accepted = false, cancel_asked = false;
    double told_cancelled = -1, told_done = -1;  // when a user was
    double answered = -1;                        // when a question about it last was
    double told_accepted = -1;
    std::uint32_t done = 0;  // tasks that have completed, somewhere
  };
  // Submitted through this controller, or any (-1), and repeated for a minute. Its tasks end far
  // apart: they run for once, twice or three times `run_s`, by number; a service's until they are
  // stopped.
  std::string submit(wire::JobSpec spec, double run_s, int node = -1);
  // Repeated until it is answered.
  void cancel(const std::string& job, int node = -1);
  // Half a second of questions at all nodes, 1 to 50 ms apart, with repeated submissions and, of
  // what is over, cancellations among them.
  void ask_all_repeatedly(const std::string& job);
  // One question at this node, and one submission more, of this body if there is one. What comes
  // back is checked like any answer.
  void ask_once(const std::string& job, int node);
  void submit_once(const std::string& job, int node, const std::string& body = "");
  void cancel_once(const std::string& job, int node);
  // A body under the job's name that it never had: other tasks, what can never run, a field less.
  std::string other_body(const std::string& job);
  std::uint64_t close_questions() const { return close_questions_; }
  std::uint64_t ends_met() const { return ends_met_; }
  std::uint64_t answers_lost() const { return answers_lost_; }
  const std::map<std::string, Job>& jobs() const { return jobs_; }
  // Every controller that is there is asked about every job: what is not answered, or as if it were
  // forgotten, breaks a rule.
  void ask_all();
  std::size_t done_tasks() const { return results_.size(); }
  std::uint64_t starts() const { return starts_; }
  std::uint64_t saves() const { return saves_; }  // tasks that were stopped and began to save
  // Parts that had been reported done, persisted and reaped, and were begun once more.
  std::uint64_t begun_again() const { return begun_again_; }
  std::uint64_t leases_lost() const;
  // After a user was told that a job is cancelled: the latest start that a worker obeyed, the
  // latest that came to run, and the longest that a task was on a machine; seconds, -1: none was.
  struct AfterCancel {
    double obeyed = -1, begun = -1, on_machine = -1;
  };
  const AfterCancel& after_cancel() const { return after_cancel_; }

  // ---- faults; a node is named by its number, a machine too

  void outage(double for_s);
  void refuse(int node, double for_s);  // by the state service alone
  // What a cut parts a node from; `reports`: what workers send to it, and not what it sends.
  enum Link { state = 1, peers = 2, workers = 4, reports = 8 };
  void cut(int node, int links, double for_s);
  // Everything in the zone goes on inside, and reaches nothing outside of it: users, the state
  // service and the cloud are. Half of what is sent arrives, in order, when it is over.
  void cut_zone(const std::string& zone, double for_s);
  void slow_state(double latency_s, double for_s);
  void cloud_outage(double for_s);           // nothing is rented or deleted
  void kill(int node, double back_after_s);  // the process ends, and is started again
  void freeze(int node, double for_s);
  void freeze_after(int node, std::uint64_t turns, double for_s);  // between two of its turns
  void lose_responses(int machine, double for_s);  // its reports arrive, answers and orders do not
  void cut_heartbeats(int machine,
                      double for_s);  // it reaches no controller; direct orders and answers pass
  void hang(int machine, double for_s);
  // Again and again, each within its lease, with a moment or a few turns in between.
  void hang_in_chains(int machine, int times);
  void hold_direct_commands(int machine, double for_s);  // direct ones come when it is over
  void hold_direct_answers(int machine, double for_s);
  void kill_machine(int machine);
  void take_machine(int machine, double notice_s);  // a spot one, by its cloud; 0: without notice
  std::vector<int> machines_with(const std::string& job) const;  // on which tasks of it are
  // A task of it could begin on a machine that is empty or holds its own team's work only: one with
  // another team's may be another shard's, and moves only when it is empty (KNOWN-RED.txt).
  bool room_for(const std::string& job) const;
  std::string room() const;     // by machine: zone, vcpus in use and in all, tasks; for messages
  int leader(int shard) const;  // the first node that does; -1: none
  bool leads(int node, int shard) const;          // its scheduler for the shard is open
  int busiest();                                  // of the nodes that own a shard
  int machine_at(const std::string& host) const;  // -1: none is there
  int machines() const { return static_cast<int>(machines_.size()); }
  // The zone's machines die, and for so long there are no others to be had there.
  void lose_zone(const std::string& zone, double none_for_s);

  // ---- rules

  // From now on no job may wait for 90 s beside room: "neglected".
  void faults_are_over() { faults_over_since_ = sim_.now(); }
  double used(const std::string& team) const;  // vcpus, of what is on the machines in any state
  // When the first of its tasks came to run; -1: none has.
  double begun_at(const std::string& job) const {
    const auto at = begun_.find(job);
    return at == begun_.end() ? -1 : at->second;
  }
  std::size_t rented() const { return cloud_->machines().size(); }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  struct Node {
    std::unique_ptr<Host> host;
    config::Settings settings;
    std::unique_ptr<controller::Controller> controller;
  };
  struct Machine {
    std::string name;
    std::unique_ptr<Host> host;
    std::unique_ptr<emulators::WorkerEmulator> worker;
    double responses_lost_until = 0, heartbeats_cut_until = 0, held_until = 0,
           answers_held_until = 0, hung_until = 0;
    std::string zone;
  };
  struct Until {
    int links = 0;
    double at = 0;
  };
  struct ZoneCut {
    std::string zone;
    double until = 0;
  };
  void start(int node);
  void power_on(const emulators::CloudEmulator::Machine& m);
  Delivery way(const Request& r);
  double hold_answer(const Request& r);
  bool parted(const std::string& from, const std::string& to) const;
  std::string zone_of(const std::string& host);  // empty: in none
  double zone_cut_until(const Request& r);       // 0: no cut is on its way
  void look_for_leaders();
  int node_of(const std::string& host) const;
  Machine* machine_of(const std::string& host);
  void ask(int node, const char* method, const std::string& path, const std::string& body,
           double within_s, std::function<void(net::Result)> done);
  int any_node();
  void submit_again(const std::string& id, int node, double until);
  void cancel_again(const std::string& id, int node);
  void poll(const std::string& id);
  enum class Asked { state, submission, cancellation };
  void answered(const std::string& id, const net::Result& r, double asked_at,
                Asked what = Asked::state);
  void task_done(const std::string& id);
  void look_on(const std::string& id, int step, double until);
  bool some(double share) { return share > 0 && sim_.chance(share); }
  bool cancelled_by_users(const std::string& id) const;  // itself, or what it awaits
  void moved(const emulators::WorkerEmulator& w, const emulators::WorkerEmulator::Task& t,
             wire::TaskState was);
  void check();
  double cpus_of(const std::string& type) const;
  bool wants_room(const Job& j) const;
  void look_at_room();
  void check_cancelled(const emulators::WorkerEmulator::Task& t);
  void broke(const std::string& what);

  ClusterOptions options_;
  Simulation sim_;
  config::Settings base_;
  config::Tuning tuning_;
  std::vector<Node> nodes_;
  std::unique_ptr<Host> state_host_, cloud_host_, users_host_;
  std::unique_ptr<emulators::StateServiceEmulator> state_;
  std::unique_ptr<emulators::CloudEmulator> cloud_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<std::string, std::size_t> machine_by_host_;
  std::vector<Until> cuts_;
  ZoneCut zone_cut_;
  std::vector<Request> kept_for_next_;
  std::vector<int> leaders_;  // of each shard, as last seen
  AfterCancel after_cancel_;
  std::vector<double> refused_until_;
  double slow_until_ = 0, slow_s_ = 0, cloud_until_ = 0;
  std::map<std::string, Job> jobs_;
  std::set<std::string> results_;                        // tasks that have completed, somewhere
  std::set<std::string> acknowledged_;                   // whose result has been let go after that
  std::map<std::uint64_t, net::Network::Handle> asked_;  // questions that are out
  std::vector<std::string> broken_;
  double faults_over_since_ = -1, room_seen_at_ = 0;
  // Since when a task has waited while this machine had room for it.
  std::map<std::pair<std::string, std::string>, double> beside_room_;
  std::set<std::string> neglected_;      // tasks
  std::map<std::string, double> begun_;  // jobs
  std::uint64_t starts_ = 0, saves_ = 0, begun_again_ = 0, next_job_ = 0, questions_ = 0,
                addresses_ = 0, lost_before_ = 0;
  std::uint64_t close_questions_ = 0, ends_met_ = 0, answers_lost_ = 0;
};

}  // namespace shunttrail::simulation
