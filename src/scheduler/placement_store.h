// What a shard keeps in the state service: its placements and finished tasks, in pages that many
// starts share, and the results of its jobs. At most one transaction is in flight. Free of I/O.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/placement_page.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "scheduler/token_policy.h"
#include "state/limits.h"
#include "state/state_cache.h"

namespace shunttrail::scheduler {

/// Groups what is to be stored into transactions, and applies their outcome to the placements.
class PlacementStore {
 public:
  PlacementStore(ShardContext& context, Machines& machines, Placements& placements,
                 const TokenPolicy& token_policy);

  /// Takes over a page of the shard as it was found: all its placements may exist.
  void recover_page(int number, const wire::PlacementPageRecord& record, double now);

  /// The next transaction; none while one is in flight or there is nothing to store.
  [[nodiscard]] std::optional<wire::Transaction> next_transaction(
      const state::StateCache& cache, const state::TransactionLimits& limits,
      const std::string& tag, double now);
  /// The transaction in flight has been applied. Returns the jobs that it has ended.
  [[nodiscard]] std::vector<std::string> transaction_applied(double now);
  /// The transaction in flight has not been applied, and will not be.
  void transaction_failed(double now);
  [[nodiscard]] bool transaction_in_flight() const { return pending_.has_value(); }

 private:
  /// A chunk of results as it is being written.
  struct WrittenResult {
    ResultChunk result;
    std::vector<bool> done;  // by task of the chunk
  };
  struct PageWrite {
    std::size_t page = 0;
    std::vector<PersistedPlacement> starts;
    std::vector<WrittenResult> results;
  };
  struct PendingTransaction {
    std::vector<PageWrite> writes;
    std::vector<std::string> ended_jobs;
  };
  /// A transaction while it is being put together.
  struct Draft {
    const state::StateCache& cache;
    const state::TransactionLimits& limits;
    const std::string& tag;
    wire::Transaction transaction{};
    PendingTransaction pending{};
    /// What is still to be written.
    std::vector<PersistedPlacement> starts{};
    std::vector<ResultChunk> results{};
    /// Some results have waited for long.
    bool results_due = false;
  };

  void recover_results(std::size_t page, const jobs::JobPtr& job,
                       const wire::JobPlacements& stored);
  jobs::JobPtr make_ended_job(const wire::JobPlacements& stored, double now) const;

  void add_jobs(Draft& draft, double now) const;
  static void end_job(Draft& draft, const jobs::Job& job);
  std::vector<PersistedPlacement> planned_starts(const state::StateCache& cache) const;
  [[nodiscard]] std::optional<std::vector<bool>> withheld_tasks(const state::StateCache& cache,
                                                                const jobs::Job& job) const;

  void mark_foreign_rewrites();
  [[nodiscard]] bool rewrite_due() const;
  void remove_obsolete_entries();
  std::vector<std::size_t> emptiest_first() const;
  void write_pages(Draft& draft);
  std::vector<std::size_t> pages_to_write() const;
  bool write_page(std::size_t index, Draft& draft);
  std::uint64_t oldest_attempt(const PlacementPage& page) const;
  static bool add_precondition(Draft& draft, const jobs::Job& job);
  static void add_starts(Draft& draft, PageBuilder& builder, PageWrite& write);
  static bool add_results(Draft& draft, PageBuilder& builder, PageWrite& write);
  static void add_result(const ResultChunk& result, PageBuilder& builder, PageWrite& write);

  void starts_committed(PlacementPage& page, const PageWrite& write);
  static void results_committed(PlacementPage& page, const PageWrite& write, double now);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  const TokenPolicy& token_policy_;
  std::vector<PlacementPage> pages_;
  // By job and chunk: how many tasks the largest copy shows that has been recovered.
  std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> largest_recovered_;
  std::optional<PendingTransaction> pending_;
};

}  // namespace shunttrail::scheduler
