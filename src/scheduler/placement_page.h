// The pages in which the state service stores a shard's placements and finished tasks, and the
// construction of a page's record. Free of I/O.
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

/// The entries of a stored page that its next version has to contain.
struct PlacementPage {
  std::vector<PersistedPlacement> placements;
  std::vector<ResultChunk> results;
  /// The stored page still lists placements of foreign jobs that are released. It is written again
  /// without them, since the leader of their team's shard waits until they are no longer stored.
  bool rewrite_due = false;

  /// Returns the number of entries; a chunk of results counts as several placements.
  [[nodiscard]] std::size_t load() const;
};

/// Builds a page's record, and compares an upper bound of its encoded length with a limit.
class PageBuilder {
 public:
  /// `oldest_attempt`: the number from which the page's attempts are stored as differences.
  PageBuilder(const ShardContext& context, const Machines& machines, std::string tag,
              std::uint64_t oldest_attempt, std::size_t max_bytes);

  /// Adds an entry to the page, even if the page then exceeds its limit.
  void add(const PersistedPlacement& placement);
  void add(const ResultChunk& result);
  /// Returns whether the page may be longer than its limit.
  [[nodiscard]] bool is_too_long() const { return bytes_ > max_bytes_; }

  /// Returns whether the page is still within its limit once the entry is added.
  [[nodiscard]] bool fits(const PersistedPlacement& placement) const;
  [[nodiscard]] bool fits(const ResultChunk& result) const;

  /// Returns the record of all entries added so far.
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
  // Position of each job in the record, by the job's id. The id is the key, since a job that has
  // ended may be represented by several Job objects, one for each page it was recovered from.
  std::map<std::string, std::size_t> job_indices_;
  std::set<int> named_machines_;  // by number
};

}  // namespace shunttrail::scheduler
