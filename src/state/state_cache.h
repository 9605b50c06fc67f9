/// @file
/// A typed copy of all keys under the root prefix of the state service. Free of I/O: the caller
/// passes in the data that it has read.
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
/// What the cache holds of a job that has not ended.
struct LiveJob {
  enum class Kind {
    none,        ///< the job has no key: it has ended, or was never accepted
    ready,       ///< its tasks may start
    waiting,     ///< it waits for others
    unreadable,  ///< it has a key, so it was accepted, but its record cannot be decoded
  };
  Kind kind = Kind::none;
  const JobEntry* entry = nullptr;  ///< null unless the job is ready or waiting
};
/// A shard's leader.
struct LeaderEntry {
  int node = -1;  ///< -1: none, or a node that is not in the settings
  std::string tag;
  std::uint64_t mod_revision = 0;  ///< the shard's token
};
using wire::Intervals;

/// A change of the cache.
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
    schema_version  ///< the version record or the operators' orders changed
  } kind;
  std::string name;  ///< the name of the job, machine, shard or node
  /// The shard of a machine or leader, or the index of a node; -1 if none.
  int index = -1;
};

/// The cache. Every function that modifies it appends the resulting changes to `changes`.
class StateCache {
 public:
  /// `settings` has to outlive the cache.
  explicit StateCache(const config::Settings& settings);

  /// Applies an event of a watch, or a change committed by this node once its commit was answered.
  /// An event older than the key's known revision has no effect, so both kinds may come in any
  /// order and repeatedly.
  void apply(const wire::Event& event, std::vector<Change>& changes);
  /// Replaces the contents by a full read. A key that is not in `items` is deleted unless it was
  /// set after `revision`, the revision of the first page read: this node's own commits may have
  /// been applied since.
  void replace(std::uint64_t revision, const std::vector<wire::Event>& items,
               std::vector<Change>& changes);
  /// Records that all events up to this revision have been applied.
  void advance(std::uint64_t revision);

  /// Returns the revision up to which all events have been applied.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Returns a key's revision; 0 if the key does not exist.
  [[nodiscard]] std::uint64_t mod_revision(const std::string& key) const;
  /// Returns a job whose tasks may start; nullptr if there is none with this id.
  [[nodiscard]] const JobEntry* job(const std::string& id) const;
  /// Returns a job that waits for others; nullptr if there is none with this id.
  [[nodiscard]] const JobEntry* waiting(const std::string& id) const;
  /// Returns what is known of a job that may be live. Use it to learn whether the job is live:
  /// `job` and `waiting` return nullptr for one whose record cannot be decoded.
  [[nodiscard]] LiveJob live_job(const std::string& id) const;
  /// Returns a machine; nullptr if there is none of this name.
  [[nodiscard]] const wire::MachineRecord* machine(const std::string& name) const;
  [[nodiscard]] const LeaderEntry& leader(int shard) const { return leaders_[shard]; }
  /// Returns the revision of a node's key; 0 if the node is not alive.
  [[nodiscard]] std::uint64_t node_revision(int node) const {
    return schema_.members[static_cast<std::size_t>(node)].mod_revision;
  }
  [[nodiscard]] const schema::StoredView& schema() const { return schema_; }
  /// Returns the format in which inventory pages are written at the active version.
  [[nodiscard]] int inventory_form() const;
  /// Returns the share of inventory pages in the active version's format, from 0 to 1.
  [[nodiscard]] double converted() const;
  /// Returns whether all data is in the active version's format, and every event up to the last
  /// change of the version record has been read.
  [[nodiscard]] bool all_converted() const {
    return revision_ >= schema_.mod_revision && converted() >= 1 && !has_surplus_delegations();
  }
  /// Returns the jobs whose tasks may start, by id.
  [[nodiscard]] const std::map<std::string, JobEntry>& jobs() const { return jobs_; }
  /// Returns the jobs that wait for others, by id.
  [[nodiscard]] const std::map<std::string, JobEntry>& waiting() const { return waiting_; }
  /// Returns all machines, by name.
  [[nodiscard]] const std::map<std::string, wire::MachineRecord>& machines() const {
    return machines_;
  }
  /// Returns the machines of an inventory page or part, sorted by name.
  [[nodiscard]] std::vector<wire::MachineRecord> inventory(int page) const;
  /// Returns the inventory pages and parts that are stored in this format, 0 or 1.
  [[nodiscard]] const std::set<int>& inventory_pages(int form) const {
    return pages_by_form_[static_cast<std::size_t>(form)];
  }
  /// Returns the inventory pages and parts that are not in the active version's format.
  [[nodiscard]] const std::set<int>& inventory_to_convert() const {
    return inventory_pages(1 - inventory_form());
  }
  /// Returns a shard's placement pages, by number.
  [[nodiscard]] const std::map<int, wire::PlacementPageRecord>& placement_pages(int shard) const {
    return placement_pages_[shard];
  }
  /// Returns a job's finished tasks by chunk, as intervals relative to the chunk's first task. They
  /// are collected from all placement pages, since a done task stays done, and may overlap.
  [[nodiscard]] std::map<std::uint32_t, Intervals> done(const std::string& id) const;
  /// Numbers of tasks, for display.
  struct Progress {
    std::uint64_t done = 0;
    std::uint64_t placed = 0;  ///< placed tasks that are not done
  };
  /// Returns a job's finished tasks, as above, from one shard's placement pages.
  [[nodiscard]] std::map<std::uint32_t, Intervals> done(const std::string& id, int shard) const;

  // ---- delegated jobs (docs/delegation.md)

  /// Returns the ids of the jobs whose records contain a delegation.
  [[nodiscard]] const std::set<std::string>& delegated() const { return delegated_; }
  /// Returns the jobs with a delegation that ended in a transaction newer than `revision()`. Events
  /// before that transaction may not have been read yet.
  [[nodiscard]] const std::map<std::string, JobEntry>& ended_delegated() const {
    return ended_delegated_;
  }
  /// Returns a flag for each task of the job: true if a placement page of the shard contains it.
  [[nodiscard]] std::vector<bool> placed(const std::string& id, int shard,
                                         std::uint32_t tasks) const;
  /// Returns the placement pages of other shards, as shard and number, that contain placements of
  /// teams of this shard.
  [[nodiscard]] const std::set<std::pair<int, int>>& foreign_pages(int shard) const {
    return foreign_pages_[static_cast<std::size_t>(shard)];
  }
  /// Returns a counter that increases with each change of a delegation or of a placement page that
  /// contains tasks of another shard's team.
  [[nodiscard]] std::uint64_t delegation_changes() const { return delegation_changes_; }

  /// Returns a job's progress; `chunk_size` is the number of tasks in a chunk.
  [[nodiscard]] Progress progress(const JobEntry& job, std::uint32_t chunk_size) const;
  /// Returns how many values could not be decoded since the start.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  /// A placement page's shard and number, as its key names them.
  struct PlacementPageName {
    int shard = 0;
    int page = 0;
  };

  /// Returns whether the event's key was deleted at the event's revision or later.
  [[nodiscard]] bool is_deleted_since(const wire::Event& event) const;
  void set(const wire::Event& event, std::vector<Change>& changes);
  /// Throws wire::Malformed before it has changed anything.
  void set_parsed(const ParsedKey& key, const wire::Event& event, std::vector<Change>& changes);
  void drop(const std::string& full_key, std::vector<Change>& changes);

  /// Returns the shard that a key's name begins with; none if the settings have no such shard.
  [[nodiscard]] std::optional<int> shard_in(const std::string& name) const;
  [[nodiscard]] std::optional<PlacementPageName> placement_page_in(const std::string& name) const;

  void set_inventory_page(int page, const wire::Event& event, std::vector<Change>& changes);
  /// Replaces the machines of a page. Reports only machines that differ from their known records.
  void replace_inventory(int page, std::vector<wire::MachineRecord> machines,
                         std::vector<Change>& changes);
  void set_job(const std::string& id, const wire::Event& event);
  void drop_job(const std::string& id, const std::string& key);
  void set_placement_page(const std::string& name, const wire::Event& event);
  void index_foreign(const PlacementPageName& name, const wire::PlacementPageRecord& page,
                     bool is_added);
  /// Returns whether delegations are stored although the active version does not include them.
  [[nodiscard]] bool has_surplus_delegations() const;
  void drop_placement_page(const PlacementPageName& name);
  void set_leader(const std::string& name, const wire::Event& event, std::vector<Change>& changes);
  void set_node(const std::string& name, const schema::StoredView::Member& member,
                std::vector<Change>& changes);
  void set_schema(const wire::Event& event);
  void drop_schema(const std::string& key);

  /// Visits each placement page's entry for the job. The index `pages_of_job_` keeps this fast:
  /// there may be thousands of pages, and every poll for a job's state calls this function.
  void for_each_job_placements(const std::string& id, std::optional<int> only_shard,
                               const std::function<void(const wire::JobPlacements&)>& visit) const;
  /// Returns the finished tasks from the pages of one shard, or of all shards.
  [[nodiscard]] std::map<std::uint32_t, Intervals> done_in(const std::string& id,
                                                           std::optional<int> shard) const;

  const config::Settings& settings_;
  std::uint64_t revision_ = 0;
  /// The revision of each key that exists.
  std::unordered_map<std::string, std::uint64_t> revisions_;
  /// Keys deleted after `revision_`: an older event that has not arrived yet must not restore them.
  std::unordered_map<std::string, std::uint64_t> tombstones_;
  std::map<std::string, JobEntry> jobs_;
  std::map<std::string, JobEntry> waiting_;
  std::map<std::string, wire::MachineRecord> machines_;
  /// Names of machines by inventory page or part, sorted.
  std::map<int, std::vector<std::string>> machines_by_page_;
  /// The inventory page or part of each machine.
  std::unordered_map<std::string, int> page_by_machine_;
  /// Placement pages, by shard and number.
  std::vector<std::map<int, wire::PlacementPageRecord>> placement_pages_;
  /// By job: the shard and number of each placement page that contains it.
  std::unordered_map<std::string, std::set<std::pair<int, int>>> pages_of_job_;
  std::set<std::string> delegated_;                  ///< ids of jobs
  std::map<std::string, JobEntry> ended_delegated_;  ///< by id
  std::vector<std::set<std::pair<int, int>>>
      foreign_pages_;  ///< placement pages, by the shard of the teams on them
  std::uint64_t delegation_changes_ = 0;
  std::vector<LeaderEntry> leaders_;  ///< by shard
  schema::StoredView schema_;
  std::array<std::set<int>, 2> pages_by_form_;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::state
