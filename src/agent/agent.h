// The worker agent: one per machine. It reports, obeys, starts each task under a supervisor of its
// own and sees its result into the artifact store. Whatever it decides is the book's; whatever it
// does is on record first. It may be killed at any moment and started again (docs/agent.md).
#pragma once
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "actor/loop.h"
#include "agent/agent_journal.h"
#include "agent/attempt_table.h"
#include "agent/image_cache.h"
#include "agent/lease_file.h"
#include "agent/processes.h"
#include "agent/settings.h"
#include "agent/task_supervisor.h"
#include "artifacts/archive.h"
#include "artifacts/client.h"
#include "client_protocol/client_protocol.h"
#include "client_protocol/job_description.h"
#include "net/http.h"

namespace shunttrail::agent {

// Where things are below the agent's directory.
struct AgentPaths {
  std::filesystem::path dir;
  std::filesystem::path journal() const { return dir / "record.db"; }
  std::filesystem::path lease() const { return dir / "lease"; }
  std::filesystem::path lock() const { return dir / "lock"; }
  std::filesystem::path tasks() const { return dir / "tasks"; }
  std::filesystem::path images() const { return dir / "images"; }
  std::filesystem::path spot_notice() const { return dir / "recall"; }  // a spot notice, in seconds
  std::filesystem::path task(const Key& k) const;
};

// Ends every task of the agent in this directory, supervisors first, and its incarnation with them:
// what a machine's end does. The agent itself must not run. False: some process did not go.
bool end_all(const AgentPaths& p);

class Agent : public actor::Actor {
 public:
  // Takes the directory for itself and recovers what the last process left. Throws RecordError or
  // std::system_error, with nothing changed that the next start would miss.
  Agent(actor::Loop& loop, Settings settings, const std::filesystem::path& dir,
        AgentJournal::Step step);
  void notice();  // the spot notice of the settings

 private:
  // What is known of an attempt beyond the book; lost with the process and found again.
  struct Live {
    std::uint64_t serial = 0;  // tells an answer for this attempt from one for an earlier process
    enum class Step { describe, image, result, restore, unpack, launch } step = Step::describe;
    bool busy = false;    // an answer is awaited
    double retry_at = 0;  // no sooner than this
    client_protocol::JobDescription description;
    Fd process;  // its supervisor
    struct Ended {
      Agent* agent;
      Key key;
      std::uint64_t serial;
    };
    std::unique_ptr<Ended> ended_arg;
    actor::EventPtr ended;
    std::unique_ptr<artifacts::Unpacker> unpacker;
    std::unique_ptr<artifacts::Packer> packer;
    std::uint64_t packing = 0;   // the kept-N that the packer has
    std::uint64_t uploaded = 0;  // the highest kept-N that is in the artifact store
    std::optional<End> end;
    std::optional<std::string> out, err;  // hashes, once they are in the artifact store
    std::optional<double>
        give_up_at;  // a checkpoint that is not in the artifact store by then is lost
    std::optional<double> gone_by;  // told to stop, its supervisor has to be gone by then
  };
  using Guard = std::function<Live*()>;  // the attempt that a late answer is for, if it still is

  // agent.cpp: the whole
  void recover();
  bool end_incarnation();
  bool check_lease();
  void tick();
  void check_spot_notice();
  // Makes `next` the book, on record first. False: the record can't be written; nothing changed.
  bool commit(AttemptTable next, const std::string& step);
  void apply(const std::vector<Effect>& effects);
  std::uint64_t next_seq();
  wire::Heartbeat heartbeat();
  void changed();

  // reporting.cpp: controllers
  void send_heartbeat();
  void answered(std::uint64_t session, double sent, std::size_t controller, net::Result r);
  void next_controller(double after_s);
  bool execute(const client_protocol::HeartbeatResponse& o);
  void serve(net::ExchangePtr ex);

  // tasks.cpp: one attempt at a time
  Live& live(const Key& k);
  Guard guard(const Key& k);
  void advance(const Key& k);
  void prepare(const Key& k, Live& l);
  void describe(const Key& k, Live& l);
  void await_image(const Key& k, Live& l);
  void look_for_result(const Key& k, Live& l);
  void look_for_save(const Key& k, Live& l);
  void unpack_save(const Key& k, Live& l);
  void launch(const Key& k, Live& l);
  void watch(const Key& k, Live& l);
  void attach(const Key& k, Live& l);
  void dead(const Key& k);
  void store(const Key& k, Live& l);
  void upload_save(const Key& k, Live& l);
  void stop(const Key& k, const Stop& s);
  void drop(const Key& k);
  void fail(const Key& k, wire::ExitReason why, const std::string& reason);
  void later(Live& l, double seconds = 1);

  Settings settings_;
  AgentPaths places_;
  Fd lock_;
  AgentJournal journal_;
  LeaseFile lease_file_;
  AttemptTable attempts_;
  Lease lease_;
  std::uint64_t seq_ = 0;
  std::map<Key, Live> live_;
  std::uint64_t serials_ = 0;
  artifacts::Client artifacts_;
  ImageCache images_;

  // Reporting
  std::vector<std::unique_ptr<net::Client>> links_;
  std::size_t to_ = 0;
  bool in_flight_ = false, dirty_ = true;
  double last_sent_ = -1e9, due_at_ = 0, not_before_ = 0, token_told_ = -1e9;
  std::optional<double> spot_notice_at_;
  std::mt19937 rng_;
  bool disk_trouble_ = false;
  actor::Timer timer_, heartbeat_timer_;
  net::Server server_;
};

}  // namespace shunttrail::agent
