// The pages in which a shard's placements and finished tasks are stored, and the record that a page
// is written as. Free of I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// A chunk of a job's set of finished tasks (jobs::kTasksPerChunk).
struct ResultChunk {
  jobs::JobPtr job;
  std::uint32_t chunk = 0;
};

/// What a page holds as far as it still matters.
struct PlacementPage {
  std::vector<PersistedPlacement> placements;
  std::vector<ResultChunk> results;
  /// It still stores placements of foreign jobs that are released: the leader of their teams' shard
  /// waits for their end to be stored.
  bool rewrite_due = false;

  /// How full the page is, in placements.
  [[nodiscard]] std::size_t load() const;
};

/// Builds a page's record, and keeps its length in bytes, counted from above, within a limit.
class PageBuilder {
 public:
  /// `oldest_attempt`: attempts are stored as differences from it.
  PageBuilder(const ShardContext& context, const Machines& machines, std::string tag,
              std::uint64_t oldest_attempt, std::size_t max_bytes);

  /// Adds to the page, even if it becomes too long.
  void add(const PersistedPlacement& placement);
  void add(const ResultChunk& result);
  /// The page is longer than its limit.
  [[nodiscard]] bool is_too_long() const { return bytes_ > max_bytes_; }

  /// The page stays within its limit with this added.
  [[nodiscard]] bool fits(const PersistedPlacement& placement) const;
  [[nodiscard]] bool fits(const ResultChunk& result) const;

  /// What has been added so far.
  [[nodiscard]] const wire::PlacementPageRecord& record() const { return record_; }

 private:
  std::size_t header_bytes(const jobs::Job& job) const;
  std::size_t bytes_of(const PersistedPlacement& placement) const;
  std::size_t bytes_of(const ResultChunk& result) const;
  wire::JobPlacements& job_entry(const jobs::Job& job);

  const ShardContext& context_;
  const Machines& machines_;
  const std::uint64_t oldest_attempt_;
  const std::size_t max_bytes_;
  std::size_t bytes_;
  wire::PlacementPageRecord record_;
  // Index in the record by job: a job that is over may have several copies, one a page.
  std::map<std::string, std::size_t> job_indices_;
  std::set<int> named_machines_;  // by number
};

}  // namespace shunttrail::scheduler
