#include "scheduler/placement_store.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>
#include <utility>

#include "jobs/delegation.h"

namespace shunttrail::scheduler {

using jobs::JobPtr;

namespace {
/// Number of pages that a shard has at first. Recording a start rewrites its page with all other
/// entries that the page still holds. With few pages, nearly all running placements would be
/// rewritten again and again. In a large cluster the pages would also be full, and starts would
/// wait for the little space that the three pages of a transaction have left.
constexpr std::size_t kInitialPages = 256;
/// Largest number of pages of a shard. It limits the placements that may exist at a time. A
/// placement takes about 30 bytes (task, attempt, name of the machine), or 150 if its job has no
/// other placement in the page. The 256,000 placements of 4,000 machines of 64 vcpus, all in one
/// shard, take 2,000 pages of 4 KiB, or 10,000 if each task is a job of its own. In values of 1
/// KiB, the smallest size that the state service may fall to, they take 9,000 or 43,000 pages. A
/// page is added when all others are full. A build with a smaller limit can still read and rewrite
/// all pages that it finds.
constexpr std::size_t kMaxPages = 49152;
/// Largest length of a page in bytes, even where the state service accepts longer values.
constexpr std::size_t kMaxPageBytes = 5800;
/// Number of bytes below the limit that a page leaves free, since its length is only estimated.
constexpr std::size_t kPageMarginBytes = 64;
/// Largest number of pages that one transaction writes. The limit does not grow with the cluster:
/// starts and results that do not fit are left to the next transaction, and the request rates of
/// the state service determine how many transactions there are per second.
constexpr std::size_t kMaxPagesPerTransaction = 3;
/// Largest number of jobs that one transaction ends, for the same reason.
constexpr std::size_t kMaxEndedJobsPerTransaction = 4;
/// Number of preconditions that a start may need: one on its job, and one on its page.
constexpr std::size_t kPreconditionsPerStart = 2;
/// Number of preconditions that the starts in a transaction leave free for its other pages.
constexpr std::size_t kReservedPreconditions = 2;
/// Longest time, in seconds, that results wait for starts to share a transaction with.
constexpr double kMaxResultDelayS = 3.0;
/// The same for results of foreign jobs. It is shorter, since another leader waits to read them.
constexpr double kMaxForeignResultDelayS = 0.5;
/// Number of operations in a transaction that the end of a job takes.
constexpr std::size_t kJobEndOps = 2;
}  // namespace

PlacementStore::PlacementStore(ShardContext& context, Machines& machines, Placements& placements,
                               const TokenPolicy& token_policy)
    : context_(context),
      machines_(machines),
      placements_(placements),
      token_policy_(token_policy),
      pages_(kInitialPages) {}

// ---- takeover

void PlacementStore::recover_page(int number, const wire::PlacementPageRecord& record, double now) {
  if (number < 0) return;
  const auto index = static_cast<std::size_t>(number);
  if (index >= pages_.size()) pages_.resize(index + 1);
  PlacementPage& page = pages_[index];
  for (const wire::JobPlacements& stored : record.jobs) {
    const auto known = context_.jobs.find(stored.job);
    const bool is_active = known != context_.jobs.end();
    const JobPtr job = is_active ? known->second : make_ended_job(stored, now);
    if (is_active) recover_results(index, job, stored);
    for (const auto& placement : stored.placements) {
      // A machine that the inventory does not assign to this shard has been deleted, or was empty
      // when it was transferred: no task of this shard can be on it.
      Machine* machine = machines_.find(placement.machine);
      if (!machine) {
        page.rewrite_due |= job->is_foreign;
        continue;
      }
      page.placements.push_back({machine->number, job, placement.task, placement.attempt});
      placements_.recover_placement(*machine, page.placements.back(), now);
    }
  }
}

// When a chunk is written to another page, its older copy stays in the previous page. The copy with
// the most tasks is the newest, since finished tasks stay finished. If another copy were taken for
// the current one, the newest would be lost at the next write of its page.
void PlacementStore::recover_results(std::size_t page, const JobPtr& job,
                                     const wire::JobPlacements& stored) {
  for (const auto& [chunk, intervals] : stored.done) {
    pages_[page].results.push_back({job, chunk});
    std::uint64_t tasks = 0;
    for (const auto& [first, last] : intervals) tasks += last - first + 1;
    const auto [largest, added] = largest_recovered_.try_emplace({stored.job, chunk}, tasks);
    if (!added && largest->second >= tasks) continue;
    largest->second = tasks;
    job->done_page[chunk] = static_cast<int>(page);
  }
}

// Returns a job that stands for one that has ended while its tasks may still exist. Their resources
// count as used until the tasks are proven to have stopped.
JobPtr PlacementStore::make_ended_job(const wire::JobPlacements& stored, double now) const {
  wire::JobRecord record;
  record.spec.id = stored.job;
  record.spec.tasks = 1;
  record.spec.cpus = stored.cpus;
  record.spec.gpus = stored.gpus;
  record.spec.mem_gb = stored.mem_gb;
  const int zones = static_cast<int>(context_.settings.zones.size());
  auto job = std::make_shared<jobs::Job>(record, stored.team, 0, zones, now, 0);
  job->ended = true;
  const auto& team_shard = context_.settings.team_shard;
  const auto team = static_cast<std::size_t>(std::max(stored.team, 0));
  job->is_foreign =
      stored.team >= 0 && team < team_shard.size() && team_shard[team] != context_.shard;
  job->pending.clear();
  return job;
}

// ---- pages

// Marks the pages that list released placements of foreign jobs. They are written even without new
// entries, since the leaders of other shards wait for it.
void PlacementStore::mark_foreign_rewrites() {
  if (!std::exchange(context_.foreign_released, false)) return;
  for (PlacementPage& page : pages_)
    page.rewrite_due |= std::any_of(page.placements.begin(), page.placements.end(),
                                    [&](const PersistedPlacement& persisted) {
                                      if (!persisted.job->is_foreign) return false;
                                      const Placement* placement = placements_.find(persisted);
                                      return !placement || placement->released;
                                    });
}

bool PlacementStore::rewrite_due() const {
  return std::any_of(pages_.begin(), pages_.end(),
                     [](const PlacementPage& page) { return page.rewrite_due; });
}

// Removes released placements, results of ended jobs, and chunks of results that have been written
// to another page in the meantime: the next version of a page need not contain them.
void PlacementStore::remove_obsolete_entries() {
  for (std::size_t i = 0; i < pages_.size(); ++i) {
    std::erase_if(pages_[i].placements, [&](const PersistedPlacement& persisted) {
      const Placement* placement = placements_.find(persisted);
      return !placement || placement->released;
    });
    std::erase_if(pages_[i].results, [&](const ResultChunk& result) {
      return result.job->ended || result.job->done_page[result.chunk] != static_cast<int>(i);
    });
  }
}

// Returns the number from which a page's attempts are stored as differences: the lowest of its
// attempts and of those under the current token.
std::uint64_t PlacementStore::oldest_attempt(const PlacementPage& page) const {
  std::uint64_t oldest = first_attempt(token_policy_.token());
  for (const PersistedPlacement& placement : page.placements)
    oldest = std::min(oldest, placement.attempt);
  return oldest;
}

// Adds the precondition that the job's record is unchanged, on which its starts depend. Returns
// false if the transaction has no space left for it.
bool PlacementStore::add_precondition(Draft& draft, const jobs::Job& job) {
  auto& preconditions = draft.transaction.preconditions;
  const std::string key = state::job_key(job.spec.id);
  const bool known = std::any_of(preconditions.begin(), preconditions.end(),
                                 [&](const auto& entry) { return entry.first == key; });
  if (known) return true;
  const std::size_t limit = draft.limits.preconditions - kReservedPreconditions;
  if (preconditions.size() + kPreconditionsPerStart > limit) return false;
  preconditions.emplace_back(key, draft.cache.mod_revision(key));
  return true;
}

// Moves starts from the draft into the page, in their order, until one does not fit into the page
// or into the transaction.
void PlacementStore::add_starts(Draft& draft, PageBuilder& builder, PageWrite& write) {
  std::vector<PersistedPlacement>& starts = draft.starts;
  std::size_t taken = 0;
  for (; taken < starts.size(); ++taken) {
    const PersistedPlacement& start = starts[taken];
    if (!builder.fits(start)) break;
    if (!add_precondition(draft, *start.job)) break;
    builder.add(start);
    write.starts.push_back(start);
  }
  starts.erase(starts.begin(), starts.begin() + static_cast<long>(taken));
}

void PlacementStore::add_result(const ResultChunk& result, PageBuilder& builder, PageWrite& write) {
  builder.add(result);
  write.results.push_back({result, result.job->chunk(result.chunk)});
}

// Moves results from the draft into the page as far as they fit. Returns true if any of the draft's
// results are written with this page.
bool PlacementStore::add_results(Draft& draft, PageBuilder& builder, PageWrite& write) {
  const std::size_t before = draft.results.size();
  std::erase_if(draft.results, [&](const ResultChunk& result) {
    const auto page = result.job->done_page.find(result.chunk);
    // write_page has already added this chunk, as one that the page held before.
    if (page != result.job->done_page.end() && static_cast<std::size_t>(page->second) == write.page)
      return true;
    if (!builder.fits(result)) return false;
    add_result(result, builder, write);
    return true;
  });
  return draft.results.size() < before;
}

// Adds the rewrite of a page to the transaction, with the page's present entries and as many of the
// draft's starts and results as fit. Returns false if the page is not written, because no start or
// result fits and no rewrite is due, or because its present entries exceed the limit.
bool PlacementStore::write_page(std::size_t index, Draft& draft) {
  const PlacementPage& page = pages_[index];
  const std::size_t max_bytes =
      std::min(kMaxPageBytes, draft.limits.value_bytes) - kPageMarginBytes;
  PageBuilder builder(context_, machines_, draft.tag, oldest_attempt(page), max_bytes);
  PageWrite write;
  write.page = index;
  for (const PersistedPlacement& placement : page.placements) builder.add(placement);
  for (const ResultChunk& result : page.results) add_result(result, builder, write);
  // The page was written when the state service accepted larger values, and its entries do not fit
  // into one value now. The stored page stays unchanged until enough of its entries are obsolete,
  // so that each of its placements is recorded at any time. Its chunks of results that have grown
  // since are written to another page.
  if (builder.is_too_long()) return false;
  add_starts(draft, builder, write);
  const bool results_added = add_results(draft, builder, write);
  if (write.starts.empty() && !results_added && !page.rewrite_due) return false;

  const std::string key = state::placement_page_key(context_.shard, static_cast<int>(index));
  const auto team_name = [&](int team) {
    return team >= 0 ? context_.settings.teams[static_cast<std::size_t>(team)].name
                     : std::string("-");
  };
  draft.transaction.preconditions.emplace_back(key, draft.cache.mod_revision(key));
  draft.transaction.ops.push_back({key, wire::encode_record(builder.record(), team_name), 0});
  for (const PersistedPlacement& start : write.starts)
    placements_.find(start)->phase = Phase::committing;
  draft.pending.writes.push_back(std::move(write));
  return true;
}

// Returns the pages in ascending order of their load. Obsolete entries must have been removed: with
// them, the pages written least often would seem the fullest, and starts would wait for the others.
std::vector<std::size_t> PlacementStore::emptiest_first() const {
  std::vector<std::size_t> order(pages_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return pages_[a].load() < pages_[b].load();
  });
  return order;
}

// Returns the pages in the order in which they are considered for writing: first those whose
// rewrite is due, then the emptiest ones.
std::vector<std::size_t> PlacementStore::pages_to_write() const {
  std::vector<std::size_t> order = emptiest_first();
  std::stable_partition(order.begin(), order.end(),
                        [&](std::size_t index) { return pages_[index].rewrite_due; });
  return order;
}

void PlacementStore::write_pages(Draft& draft) {
  remove_obsolete_entries();
  const std::size_t max_ops = draft.limits.ops;
  const auto& ops = draft.transaction.ops;
  std::size_t written = 0;
  for (const std::size_t index : pages_to_write()) {
    if (written >= kMaxPagesPerTransaction || ops.size() >= max_ops) break;
    // Results share the pages written for starts. A further page is written for them only if some
    // have waited for the maximum delay.
    const bool results_can_wait = written && !draft.results_due;
    const bool nothing_new = draft.starts.empty() && (draft.results.empty() || results_can_wait);
    if (nothing_new && !pages_[index].rewrite_due) break;
    if (write_page(index, draft)) ++written;
  }
  // All pages are full, or longer than a value may be now: a page is added.
  const bool entries_left = !draft.starts.empty() || !draft.results.empty();
  if (!written && ops.size() < max_ops && entries_left && pages_.size() < kMaxPages) {
    pages_.emplace_back();
    write_page(pages_.size() - 1, draft);
  }
}

// ---- transactions

void PlacementStore::end_job(Draft& draft, const jobs::Job& job) {
  wire::Transaction& transaction = draft.transaction;
  // The end of a job leaves at least one operation for pages, if the limit allows more operations
  // than a job's end takes.
  const std::size_t ops_needed = draft.limits.ops > kJobEndOps ? kJobEndOps + 1 : kJobEndOps;
  if (draft.pending.ended_jobs.size() >= kMaxEndedJobsPerTransaction) return;
  if (transaction.ops.size() + ops_needed > draft.limits.ops) return;
  wire::JobResultRecord result;
  result.tasks = job.spec.tasks;
  result.team = job.spec.team;
  result.tag = draft.tag;
  const std::string job_key = state::job_key(job.spec.id);
  const std::string result_key = state::job_result_key(job.spec.id);
  transaction.preconditions.emplace_back(job_key, draft.cache.mod_revision(job_key));
  transaction.preconditions.emplace_back(result_key, 0);
  transaction.ops.push_back({job_key, std::nullopt, 0});
  transaction.ops.push_back({result_key, wire::encode_record(result), 0});
  draft.pending.ended_jobs.push_back(job.spec.id);
}

// Adds the ends of complete jobs to the draft, and collects the results of the other jobs.
void PlacementStore::add_jobs(Draft& draft, double now) const {
  for (const auto& [id, job] : context_.jobs) {
    if (!draft.cache.job(id)) continue;
    // A foreign job is ended by the leader of its team's shard.
    if (job->complete() && !job->is_foreign) {
      end_job(draft, *job);
      continue;
    }
    if (job->dirty_chunks.empty()) continue;
    const double max_delay_s = job->is_foreign ? kMaxForeignResultDelayS : kMaxResultDelayS;
    draft.results_due |= now - job->dirty_since > max_delay_s;
    for (const std::uint32_t chunk : job->dirty_chunks) draft.results.push_back({job, chunk});
  }
}

// Returns the job's withheld tasks according to its record in the cache, since the starts are
// conditional on the revision of that record. Returns nothing if the job no longer exists.
std::optional<std::vector<bool>> PlacementStore::withheld_tasks(const state::StateCache& cache,
                                                                const jobs::Job& job) const {
  const state::JobEntry* entry = cache.job(job.spec.id);
  if (!entry) return std::nullopt;
  if (!job.is_foreign && !entry->record.delegation) return std::vector<bool>{};
  const int team_shard = context_.settings.team_shard[static_cast<std::size_t>(job.team)];
  return jobs::withheld_tasks(cache, *entry, context_.shard, team_shard);
}

// Returns the planned placements that may be recorded now, the more urgent ones first.
std::vector<PersistedPlacement> PlacementStore::planned_starts(
    const state::StateCache& cache) const {
  std::vector<PersistedPlacement> starts;
  std::unordered_map<const jobs::Job*, std::optional<std::vector<bool>>> withheld_by_job;
  const auto may_start = [&](const Placement& placement) {
    const jobs::Job* job = placement.job.get();
    const auto [entry, is_new] = withheld_by_job.try_emplace(job);
    if (is_new) entry->second = withheld_tasks(cache, *job);
    if (!entry->second) return false;
    return placement.task >= entry->second->size() || !(*entry->second)[placement.task];
  };
  for (const auto& [number, machine] : machines_.all()) {
    if (!machine->in_inventory) continue;
    for (const Placement& placement : machine->tasks.placements) {
      if (placement.phase != Phase::planned || placement.released || placement.job->ended) continue;
      if (!may_start(placement)) continue;
      starts.push_back({number, placement.job, placement.task, placement.attempt});
    }
  }
  std::stable_sort(starts.begin(), starts.end(),
                   [](const PersistedPlacement& a, const PersistedPlacement& b) {
                     return a.job->priority_band() < b.job->priority_band();
                   });
  return starts;
}

std::optional<wire::Transaction> PlacementStore::next_transaction(
    const state::StateCache& cache, const state::TransactionLimits& limits, const std::string& tag,
    double now) {
  if (pending_) return std::nullopt;
  Draft draft{cache, limits, tag};
  // Each key is written on the condition that its revision is unchanged, so that a late or second
  // copy of the transaction is not applied. The revision of the leader key is a precondition too,
  // so that this leader does not overwrite the data of a later one.
  draft.transaction.preconditions.emplace_back(state::leader_key(context_.shard),
                                               token_policy_.token());
  add_jobs(draft, now);
  draft.starts = planned_starts(cache);
  mark_foreign_rewrites();
  if (!draft.starts.empty() || draft.results_due || rewrite_due()) write_pages(draft);
  if (draft.transaction.ops.empty()) return std::nullopt;
  ++context_.counters.commits;
  pending_ = std::move(draft.pending);
  return std::move(draft.transaction);
}

void PlacementStore::starts_committed(PlacementPage& page, const PageWrite& write) {
  for (const PersistedPlacement& start : write.starts) {
    page.placements.push_back(start);
    Placement* placement = placements_.find(start);
    if (!placement || placement->phase != Phase::committing) continue;
    placement->phase = Phase::committed;
    placements_.note_direct_due(*machines_.at(start.machine));
  }
}

void PlacementStore::results_committed(PlacementPage& page, const PageWrite& write, double now) {
  const int number = static_cast<int>(write.page);
  for (const WrittenResult& written : write.results) {
    const auto& [job, chunk] = written.result;
    job->set_persisted(chunk, written.done);
    job->dirty_since = now;
    const auto [entry, added] = job->done_page.try_emplace(chunk, number);
    if (!added && entry->second == number) continue;
    entry->second = number;
    page.results.push_back(written.result);
  }
}

std::vector<std::string> PlacementStore::transaction_applied(double now) {
  if (!pending_) return {};
  PendingTransaction applied = std::move(*pending_);
  pending_.reset();
  for (const PageWrite& write : applied.writes) {
    PlacementPage& page = pages_[write.page];
    page.rewrite_due = false;
    starts_committed(page, write);
    results_committed(page, write, now);
  }
  return std::move(applied.ended_jobs);
}

void PlacementStore::transaction_failed(double now) {
  if (!pending_) return;
  ++context_.counters.commit_failures;
  const PendingTransaction failed = std::move(*pending_);
  pending_.reset();
  for (const PageWrite& write : failed.writes)
    for (const PersistedPlacement& start : write.starts) {
      Placement* placement = placements_.find(start);
      if (placement && placement->phase == Phase::committing)
        placements_.commit_failed(*machines_.at(start.machine), *placement, now);
    }
}

}  // namespace shunttrail::scheduler
