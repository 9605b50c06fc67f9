/// @file
/// A typed copy of everything under the root prefix of the state service. Free of I/O: what was
/// read is handed in.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "schema/schema.h"
#include "state/keys.h"
#include "wire/codec.h"

namespace shunttrail::state {

/// A job's record with the revision of its key.
struct JobEntry {
  wire::JobRecord record;
  std::uint64_t mod_revision = 0;
};
/// A shard's leader.
struct LeaderEntry {
  int node = -1;  ///< -1: none, or a node that is not in the settings
  std::string tag;
  std::uint64_t mod_revision = 0;  ///< the shard's token
};
using wire::Intervals;

/// What a change of the cache was about.
struct Change {
  enum Kind {
    job_set,
    job_deleted,
    waiting_set,
    waiting_deleted,
    machine_set,
    machine_deleted,
    leader,
    node,
    schema_version  ///< the active level, or the operators' orders about it
  } kind;
  std::string name;  ///< of the job, machine, shard or node
  /// The shard of a machine or leader, the index of a node; -1: none.
  int index = -1;
};

/// The cache. Every function that changes it appends what has changed to `changes`.
class StateCache {
 public:
  /// `settings` has to outlive the cache.
  explicit StateCache(const config::Settings& settings);

  /// Applies an event of a watch, or a change of our own that was answered. An event that is older
  /// than what is known of its key changes nothing, so the two may come in any order and
  /// repeatedly.
  void apply(const wire::Event& event, std::vector<Change>& changes);
  /// Replaces everything by a full read: a key that is not in `items` is deleted, unless it was set
  /// after `revision`, which is that of the first page read. Our own commits may have been applied
  /// since.
  void replace(std::uint64_t revision, const std::vector<wire::Event>& items,
               std::vector<Change>& changes);
  /// All events up to this revision have been applied.
  void advance(std::uint64_t revision);

  /// The revision up to which everything is known.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// A key's revision; 0: it does not exist.
  [[nodiscard]] std::uint64_t mod_revision(const std::string& key) const;
  /// A job whose tasks may start; nullptr: there is none of this id.
  [[nodiscard]] const JobEntry* job(const std::string& id) const;
  /// A job that waits for others; nullptr: there is none of this id.
  [[nodiscard]] const JobEntry* waiting(const std::string& id) const;
  /// A machine; nullptr: there is none of this name.
  [[nodiscard]] const wire::MachineRecord* machine(const std::string& name) const;
  [[nodiscard]] const LeaderEntry& leader(int shard) const { return leaders_[shard]; }
  /// The revision of a node's key; 0: it is not alive.
  [[nodiscard]] std::uint64_t node_revision(int node) const {
    return schema_.members[static_cast<std::size_t>(node)].mod_revision;
  }
  [[nodiscard]] const schema::StoredView& schema() const { return schema_; }
  /// The form in which inventory pages are to be written at the active level.
  [[nodiscard]] int inventory_form() const;
  /// The share of inventory pages that have the active level's form, from 0 to 1.
  [[nodiscard]] double converted() const;
  /// Whether all pages have that form, and everything that was written before the level changed has
  /// been read.
  [[nodiscard]] bool all_converted() const {
    return revision_ >= schema_.mod_revision && converted() >= 1 && !has_surplus_delegations();
  }
  /// The jobs whose tasks may start, by id.
  [[nodiscard]] const std::map<std::string, JobEntry>& jobs() const { return jobs_; }
  /// The jobs that wait for others, by id.
  [[nodiscard]] const std::map<std::string, JobEntry>& waiting() const { return waiting_; }
  /// All machines, by name.
  [[nodiscard]] const std::map<std::string, wire::MachineRecord>& machines() const {
    return machines_;
  }
  /// The machines of an inventory page or part, in order of their names.
  [[nodiscard]] std::vector<wire::MachineRecord> inventory(int page) const;
  /// Inventory pages and parts that are stored in this form, 0 or 1.
  [[nodiscard]] const std::set<int>& inventory_pages(int form) const {
    return pages_by_form_[static_cast<std::size_t>(form)];
  }
  /// Inventory pages and parts that are stored in another form than the active level's.
  [[nodiscard]] const std::set<int>& inventory_to_convert() const {
    return inventory_pages(1 - inventory_form());
  }
  /// A shard's placement pages, by number.
  [[nodiscard]] const std::map<int, wire::PlacementPageRecord>& placement_pages(int shard) const {
    return placement_pages_[shard];
  }
  /// A job's finished tasks as intervals by chunk, from the chunk's first task. They are collected
  /// from all placement pages, since a task that is done stays so, and may overlap.
  [[nodiscard]] std::map<std::uint32_t, Intervals> done(const std::string& id) const;
  /// Numbers of tasks, for display.
  struct Progress {
    std::uint64_t done = 0;
    std::uint64_t placed = 0;  ///< and not done
  };
  /// The same from one shard's placement pages.
  [[nodiscard]] std::map<std::uint32_t, Intervals> done(const std::string& id, int shard) const;

  // ---- delegated jobs (docs/delegation.md)

  /// Ids of the jobs whose records hold a delegation.
  [[nodiscard]] const std::set<std::string>& delegated() const { return delegated_; }
  /// Jobs that have ended with a delegation in a transaction that is newer than `revision()`: what
  /// came before it may not have been read.
  [[nodiscard]] const std::map<std::string, JobEntry>& ended_delegated() const {
    return ended_delegated_;
  }
  /// By task of the job: it stands in a placement page of the shard.
  [[nodiscard]] std::vector<bool> placed(const std::string& id, int shard,
                                         std::uint32_t tasks) const;
  /// Placement pages of other shards, as shard and number, that hold placements of teams of this
  /// one.
  [[nodiscard]] const std::set<std::pair<int, int>>& foreign_pages(int shard) const {
    return foreign_pages_[static_cast<std::size_t>(shard)];
  }
  /// Rises with each change of a delegation, or of a placement page that is about one.
  [[nodiscard]] std::uint64_t delegation_changes() const { return delegation_changes_; }

  /// A job's progress; `chunk_size` is the number of tasks in a chunk.
  [[nodiscard]] Progress progress(const JobEntry& job, std::uint32_t chunk_size) const;
  /// How many values could not be read since the start.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  /// A placement page's place, as its key names it.
  struct PlacementPageName {
    int shard = 0;
    int page = 0;
  };

  /// Whether the event's key was deleted at its revision or later.
  [[nodiscard]] bool is_deleted_since(const wire::Event& event) const;
  void set(const wire::Event& event, std::vector<Change>& changes);
  /// Throws wire::Malformed before it has changed anything.
  void set_parsed(const ParsedKey& key, const wire::Event& event, std::vector<Change>& changes);
  void drop(const std::string& full_key, std::vector<Change>& changes);

  /// The shard that a key's name begins with; none: it is not one of the settings'.
  [[nodiscard]] std::optional<int> shard_in(const std::string& name) const;
  [[nodiscard]] std::optional<PlacementPageName> placement_page_in(const std::string& name) const;

  void set_inventory_page(int page, const wire::Event& event, std::vector<Change>& changes);
  /// Only machines that differ from what is known are changes.
  void replace_inventory(int page, std::vector<wire::MachineRecord> machines,
                         std::vector<Change>& changes);
  void set_job(const std::string& id, const wire::Event& event);
  void drop_job(const std::string& id, const std::string& key);
  void set_placement_page(const std::string& name, const wire::Event& event);
  void index_foreign(const PlacementPageName& name, const wire::PlacementPageRecord& page,
                     bool is_added);
  /// Delegations are stored though the active level has none.
  [[nodiscard]] bool has_surplus_delegations() const;
  void drop_placement_page(const PlacementPageName& name);
  void set_leader(const std::string& name, const wire::Event& event, std::vector<Change>& changes);
  void set_node(const std::string& name, const schema::StoredView::Member& member,
                std::vector<Change>& changes);
  void set_schema(const wire::Event& event);
  void drop_schema(const std::string& key);

  /// Visits what each placement page says about the job, by the index below: there may be thousands
  /// of pages, and every poll for a job's state comes here.
  void for_each_job_placements(const std::string& id, std::optional<int> only_shard,
                               const std::function<void(const wire::JobPlacements&)>& visit) const;
  /// Finished tasks by the pages of one shard, or of all.
  [[nodiscard]] std::map<std::uint32_t, Intervals> done_in(const std::string& id,
                                                           std::optional<int> shard) const;

  const config::Settings& settings_;
  std::uint64_t revision_ = 0;
  /// The revision of each key that exists.
  std::unordered_map<std::string, std::uint64_t> revisions_;
  /// Keys deleted after `revision_`: an older event that is still on its way must not revive them.
  std::unordered_map<std::string, std::uint64_t> tombstones_;
  std::map<std::string, JobEntry> jobs_;
  std::map<std::string, JobEntry> waiting_;
  std::map<std::string, wire::MachineRecord> machines_;
  /// Names of machines by inventory page or part, sorted.
  std::map<int, std::vector<std::string>> machines_by_page_;
  /// The inventory page or part of each machine.
  std::unordered_map<std::string, int> page_by_machine_;
  /// By shard and page.
  std::vector<std::map<int, wire::PlacementPageRecord>> placement_pages_;
  /// By job: shard and number of each placement page that names it.
  std::unordered_map<std::string, std::set<std::pair<int, int>>> pages_of_job_;
  std::set<std::string> delegated_;                           ///< ids of jobs
  std::map<std::string, JobEntry> ended_delegated_;           ///< by id
  std::vector<std::set<std::pair<int, int>>> foreign_pages_;  ///< by the teams' shard
  std::uint64_t delegation_changes_ = 0;
  std::vector<LeaderEntry> leaders_;  ///< by shard
  schema::StoredView schema_;
  std::array<std::set<int>, 2> pages_by_form_;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::state
