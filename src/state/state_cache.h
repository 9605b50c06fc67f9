// The cache of everything under the root prefix of the state service, typed. Free of I/O.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "schema/schema.h"
#include "wire/codec.h"

namespace shunttrail::state {

inline constexpr const char* kRoot = "st/";
inline constexpr const char* kJobResults = "fin/";  // outside the root: not kept in memory
std::string node_key(const std::string& node);
std::string leader_key(int shard);
std::string job_key(const std::string& id);
// A job that awaits others lives here until it is ready. The version that knows no such jobs reads
// past these keys, so it can never start one too early; what is ready is a job like any other.
std::string waiting_key(const std::string& id);
std::string inventory_key(int page);
int inventory_page(const std::string& machine);  // machines rented together share a page
// A page too long for one value has further parts, each under a key of its own. A record takes up
// to about 80 bytes: pages by number hold 32, and 64 pages share the machines whose names do not
// end in a number, 63 each of 4,000: two parts at 4 KiB, and six of the sixteen at 1 KiB.
inline constexpr int kInventoryParts = 16;
int inventory_part(int page, int part);  // part 0: the page itself
int inventory_base(int part);            // the page that it is a part of
std::string placement_page_key(int shard, int page);
std::string job_result_key(const std::string& id);

struct JobEntry {
  wire::JobRecord record;
  std::uint64_t mod_revision = 0;
};
struct LeaderEntry {
  int node = -1;  // -1: nobody, or a node not in the settings
  std::string tag;
  std::uint64_t mod_revision = 0;  // the shard's token
};
using wire::Intervals;

struct Change {
  enum Kind {
    job_set,
    job_gone,
    waiting_set,
    waiting_gone,
    machine_set,
    machine_gone,
    leader,
    node,
    schema_version  // the active level, or the orders about it
  } kind;
  std::string name;
  int index = -1;
};

class StateCache {
 public:
  explicit StateCache(const config::Settings& s);
  // An event of a watch, or a write of our own that was answered. Older news of a key than what
  // is known changes nothing, so both may come in any order and more than once.
  void apply(const wire::Event& e, std::vector<Change>& changes);
  // All keys, read anew: what is not in `items` is gone. `revision`: of the first page. Our own
  // commits may have been applied since.
  void replace(std::uint64_t revision, const std::vector<wire::Event>& items,
               std::vector<Change>& changes);
  // Everything up to here has been applied.
  void advance(std::uint64_t revision);

  std::uint64_t revision() const { return revision_; }
  std::uint64_t mod_revision(const std::string& key) const;
  const JobEntry* job(const std::string& id) const;      // ready: its tasks may start
  const JobEntry* waiting(const std::string& id) const;  // awaits others
  const wire::MachineRecord* machine(const std::string& name) const;
  const LeaderEntry& leader(int shard) const { return leaders_[shard]; }
  std::uint64_t node_revision(int node) const {  // 0: not alive
    return schema_.members[static_cast<std::size_t>(node)].mod_revision;
  }
  const schema::StoredView& schema() const { return schema_; }
  // The form that inventory pages are to be written in, by the active level.
  int inventory_form() const;
  // Of what stands, the share that has the active level's form.
  double converted() const;
  // All of it, and everything that was written before the level changed has been read.
  bool all_converted() const { return revision_ >= schema_.mod_revision && converted() >= 1; }
  const std::map<std::string, JobEntry>& jobs() const { return jobs_; }
  const std::map<std::string, JobEntry>& waiting() const { return waiting_; }
  const std::map<std::string, wire::MachineRecord>& machines() const { return machines_; }
  std::vector<wire::MachineRecord> inventory(int page) const;
  // Pages and parts of pages that stand in this form (0 or 1), or in another than the active
  // level's.
  const std::set<int>& inventory_pages(int form) const {
    return pages_by_form_[static_cast<std::size_t>(form)];
  }
  const std::set<int>& inventory_to_convert() const {
    return inventory_pages(1 - inventory_form());
  }
  const std::map<int, wire::PlacementPageRecord>& placement_pages(int shard) const {
    return placement_pages_[shard];
  }
  // A job's finished intervals by chunk, relative to the chunk's start: all that any placement page
  // holds, since what is done stays so. They may overlap.
  std::map<std::uint32_t, Intervals> done(const std::string& id) const;
  // For display: tasks done, and tasks placed that are not.
  struct Progress {
    std::uint64_t done = 0, placed = 0;
  };
  Progress progress(const JobEntry& j, std::uint32_t chunk_size) const;
  std::uint64_t malformed() const { return malformed_; }

 private:
  void set(const wire::Event& e, std::vector<Change>& changes);
  void drop(const std::string& key, std::vector<Change>& changes);

  const config::Settings& settings_;
  std::uint64_t revision_ = 0;
  std::unordered_map<std::string, std::uint64_t> revisions_;
  // Keys dropped after `revision_`: an older set that is still on its way must not revive them.
  std::unordered_map<std::string, std::uint64_t> tombstones_;
  std::map<std::string, JobEntry> jobs_, waiting_;
  std::map<std::string, wire::MachineRecord> machines_;
  std::map<int, std::vector<std::string>> pages_;  // machines by page, or part of one
  std::unordered_map<std::string, int> page_of_;
  std::vector<std::map<int, wire::PlacementPageRecord>> placement_pages_;
  // Every placement page's part about the job: thousands of placement pages are not looked through
  // for each poll.
  void for_each_job_placements(const std::string& id,
                               const std::function<void(const wire::JobPlacements&)>& f) const;
  void put_placement_page(int shard, int page, std::optional<wire::PlacementPageRecord> r);
  // By job: shard and placement page of each that names it, in that order.
  std::unordered_map<std::string, std::set<std::pair<int, int>>> pages_of_job_;
  void inventory(int page, std::vector<wire::MachineRecord> now, std::vector<Change>& changes);
  void schema_set(const wire::Event& e);
  void schema_gone(const std::string& key);
  std::vector<LeaderEntry> leaders_;
  schema::StoredView schema_;
  std::array<std::set<int>, 2> pages_by_form_;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::state
