// How jobs ended, as far as it has been read, and jobs that await others: their way from waiting to
// ready, or to cancelled, through the state service. Any controller may move one; its shard's owner
// does so first.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "jobs/result_reader.h"
#include "jobs/dependency_graph.h"

namespace shunt::front {

class Outcomes : public actor::Actor {
 public:
  Outcomes(actor::Loop& loop, Parts& parts);
  void tick();

  // None: not known here.
  const wire::FinalRecord* final(const std::string& id) const;
  const jobs::Pipelines& pipelines() const { return pipelines_; }
  std::uint64_t made_ready() const { return readier_.moved; }
  std::uint64_t ended_with_others() const { return ender_.moved; }

  // What waiting jobs are called, after every change that the cache holds by now; where that cannot
  // be told, the final records that have to be read first are in `missing`.
  struct Standings {
    std::vector<jobs::Pipelines::Standing> of;
    std::vector<std::string> missing;
  };
  void standings(std::vector<std::string> ids, std::function<void(Standings)> then);
  // A final record that this node has written.
  void ended(std::string id, wire::FinalRecord f);
  // Whatever is found is known before `then` is told.
  using Look = jobs::Found;
  void look(std::string id, std::function<void(Look)> then);
  // All of them at the same time; `then` learns whether all were answered, found or not.
  void look_all(std::vector<std::string> ids, std::function<void(bool)> then);

 private:
  struct Mover {
    bool out = false;
    double after = 0;
    std::uint64_t moved = 0;
  };
  void changed(const std::vector<state::Change>& changes);
  void remember(const std::string& id, const wire::FinalRecord& f);
  void read(const std::string& id, std::function<void(Look)> then);
  void ask();
  void answered(const jobs::FinalReads::Ask& ask, const net::Result& r);
  void note_urgencies();
  void stir();
  void advance();
  void move_waiting(bool ready);
  bool mine_to_move(const std::string& id);

  Parts& parts_;
  jobs::Pipelines pipelines_;
  std::unordered_map<std::string, wire::FinalRecord> finals_;
  std::deque<std::string> finals_order_;
  jobs::FinalReads reads_;
  std::set<std::string> reading_;                       // final records on their way
  std::unordered_map<std::string, double> move_since_;  // waiting jobs to be moved, since when
  Mover readier_, ender_;
  double read_after_ = 0;
  std::uint64_t tags_ = 0;
  bool turn_armed_ = false;
  actor::Timer turn_timer_;
};

}  // namespace shunt::front
