// What a shard keeps in the state service: placements and finished tasks, in placement pages that
// many starts share, and the ends of its jobs. At most one transaction is out at a time. Free of
// I/O.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "state/limits.h"
#include "state/state_cache.h"

namespace shunttrail::scheduler {

class PlacementStore {
 public:
  PlacementStore(ShardContext& common, Machines& machines, Placements& placements,
                 const TokenPolicy& token_policy);

  // A placement page of the shard as a takeover found it: all its placements may exist.
  void recover_page(int page, const wire::PlacementPageRecord& r, double now);

  std::optional<wire::Transaction> next_transaction(const state::StateCache& w,
                                                    const state::TransactionLimits& size,
                                                    const std::string& tag, double now);
  // The jobs that it has ended.
  std::vector<std::string> transaction_applied(double now);
  void transaction_failed(double now);
  bool transaction_in_flight() const { return pending_.has_value(); }

 private:
  // What a placement page holds as far as it still matters.
  struct PlacementPage {
    std::vector<PersistedPlacement> placements;
    std::vector<std::pair<jobs::JobPtr, std::uint32_t>> done;  // job and chunk
  };
  struct PendingTransaction {
    struct Write {
      int page = 0;
      std::vector<PersistedPlacement> starts;
      std::vector<std::tuple<jobs::JobPtr, std::uint32_t, std::vector<bool>>> done;
    };
    std::vector<Write> writes;
    std::vector<std::string> ended_jobs;
  };
  using Chunks = std::vector<std::pair<jobs::JobPtr, std::uint32_t>>;
  void prune();
  std::vector<PersistedPlacement> planned(const state::StateCache& w) const;
  bool fill_page(int page, const state::StateCache& w, const state::TransactionLimits& size,
                 std::vector<PersistedPlacement>& starts, Chunks& dirty, const std::string& tag,
                 wire::Transaction& t, PendingTransaction& out);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  const TokenPolicy& token_policy_;
  std::vector<PlacementPage> pages_;
  // By job and chunk: how many tasks the largest copy shows that has been inherited.
  std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> largest_recovered_;
  std::optional<PendingTransaction> pending_;
};

}  // namespace shunttrail::scheduler
