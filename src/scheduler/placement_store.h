// What a shard keeps in the state service: placements and finished tasks, in sheets that many
// starts share, and the ends of its jobs. At most one transaction is out at a time. Pure.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/shard_context.h"
#include "scheduler/placements.h"
#include "state/limits.h"
#include "state/state_cache.h"

namespace shunt::fleet {

class Sheets {
 public:
  Sheets(Common& common, Machines& machines, Placements& placements);

  // A sheet of the shard as a takeover found it: all its placements may exist.
  void inherit(int sheet, const wire::SheetRecord& r, double now);

  std::optional<wire::Txn> next(const state::World& w, const state::Room& size,
                                const std::string& tag, double now);
  // The jobs that it has ended.
  std::vector<std::string> applied(double now);
  void failed(double now);
  bool out() const { return out_.has_value(); }

 private:
  // What a sheet holds as far as it still matters.
  struct Sheet {
    std::vector<Held> held;
    std::vector<std::pair<jobs::JobPtr, std::uint32_t>> done;  // job and chunk
  };
  struct Out {
    struct Write {
      int sheet = 0;
      std::vector<Held> starts;
      std::vector<std::tuple<jobs::JobPtr, std::uint32_t, std::vector<bool>>> done;
    };
    std::vector<Write> writes;
    std::vector<std::string> finals;
  };
  using Chunks = std::vector<std::pair<jobs::JobPtr, std::uint32_t>>;
  void prune();
  std::vector<Held> planned(const state::World& w) const;
  bool fill(int sheet, const state::World& w, const state::Room& size, std::vector<Held>& starts,
            Chunks& dirty, const std::string& tag, wire::Txn& t, Out& out);

  Common& common_;
  Machines& machines_;
  Placements& placements_;
  std::vector<Sheet> sheets_;
  // By job and chunk: how many tasks the largest copy shows that has been inherited.
  std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> largest_;
  std::optional<Out> out_;
};

}  // namespace shunt::fleet
