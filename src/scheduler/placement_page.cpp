#include "scheduler/placement_page.h"

#include <utility>

namespace shunttrail::scheduler {

namespace {
/// Upper bounds of the lengths of a page record's parts, in bytes (wire::encode_record).
constexpr std::size_t kPageHeaderBytes = 48;
constexpr std::size_t kJobHeaderBytes = 96;
constexpr std::size_t kMachineHeaderBytes = 3;
constexpr std::size_t kPlacementSeparatorBytes = 6;
constexpr std::size_t kResultHeaderBytes = 16;
constexpr std::size_t kIntervalBytes = 8;
/// Number of placements that a chunk of results counts as in a page's load.
constexpr std::size_t kPlacementsPerResult = 4;

std::size_t decimal_digits(std::uint64_t number) {
  std::size_t digits = 1;
  for (; number >= 10; number /= 10) ++digits;
  return digits;
}
}  // namespace

std::size_t PlacementPage::load() const {
  return placements.size() + kPlacementsPerResult * results.size();
}

PageBuilder::PageBuilder(const ShardContext& context, const Machines& machines, std::string tag,
                         std::uint64_t oldest_attempt, std::size_t max_bytes)
    : context_(context),
      machines_(machines),
      oldest_attempt_(oldest_attempt),
      max_bytes_(max_bytes),
      bytes_(kPageHeaderBytes + tag.size()) {
  record_.tag = std::move(tag);
}

std::size_t PageBuilder::header_bytes(const jobs::Job& job) const {
  if (job_indices_.contains(job.spec.id)) return 0;
  const auto& teams = context_.settings.teams;
  const std::size_t team_bytes =
      job.team >= 0 ? teams[static_cast<std::size_t>(job.team)].name.size() : 0;
  return kJobHeaderBytes + job.spec.id.size() + team_bytes;
}

std::size_t PageBuilder::bytes_of(const PersistedPlacement& placement) const {
  std::size_t bytes = kPlacementSeparatorBytes + decimal_digits(placement.task) +
                      decimal_digits(placement.attempt - oldest_attempt_) +
                      header_bytes(*placement.job);
  if (!named_machines_.contains(placement.machine))
    bytes += machines_.at(placement.machine)->name.size() + kMachineHeaderBytes;
  return bytes;
}

std::size_t PageBuilder::bytes_of(const ResultChunk& result) const {
  const std::size_t intervals = wire::intervals(result.job->chunk(result.chunk)).size();
  return kResultHeaderBytes + kIntervalBytes * intervals + header_bytes(*result.job);
}

bool PageBuilder::fits(const PersistedPlacement& placement) const {
  return bytes_ + bytes_of(placement) <= max_bytes_;
}
bool PageBuilder::fits(const ResultChunk& result) const {
  return bytes_ + bytes_of(result) <= max_bytes_;
}

wire::JobPlacements& PageBuilder::job_entry(const jobs::Job& job) {
  const wire::JobSpec& spec = job.spec;
  const auto [entry, added] = job_indices_.try_emplace(spec.id, record_.jobs.size());
  if (added) record_.jobs.push_back({spec.id, job.team, spec.cpus, spec.gpus, spec.mem_gb, {}, {}});
  return record_.jobs[entry->second];
}

void PageBuilder::add(const PersistedPlacement& placement) {
  bytes_ += bytes_of(placement);
  job_entry(*placement.job)
      .placements.push_back(
          {machines_.at(placement.machine)->name, placement.task, placement.attempt});
  named_machines_.insert(placement.machine);
}

void PageBuilder::add(const ResultChunk& result) {
  bytes_ += bytes_of(result);
  job_entry(*result.job)
      .done.emplace_back(result.chunk, wire::intervals(result.job->chunk(result.chunk)));
}

}  // namespace shunttrail::scheduler
