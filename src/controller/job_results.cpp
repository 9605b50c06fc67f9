#include "controller/job_results.h"

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>
#include <utility>

#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
constexpr char kTagLetter = 'j';
/// Number of final records kept in memory. A record that is not cached is read from the state
/// service, so a larger number of jobs costs reads but loses nothing.
constexpr std::size_t kMaxCachedResults = 4000;
/// Largest number of final records that are read ahead concurrently.
constexpr std::size_t kMaxReadAhead = 6;
/// Delay after a failed read-ahead.
constexpr double kReadRetryDelayS = 0.2;
/// Time for which the leader of a job's shard has precedence for a transition of the job.
constexpr double kLeaderGraceS = 2;
constexpr double kTransitionTimeoutS = 3;
/// Delay between the first change and the transitions that it makes possible. Changes that arrive
/// in the meantime are handled together.
constexpr double kAdvanceDelayS = 0.04;
/// Number of entries by which `transition_due_since_` may exceed twice the number of due jobs
/// before it is cleaned.
constexpr std::size_t kTransitionDueSlack = 16;
}  // namespace

JobResults::JobResults(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop),
      components_(components),
      dependencies_(components.state_store->cache()),
      results_(kMaxCachedResults),
      tags_(components, kTagLetter),
      advance_timer_(loop, [this] { post([this] { advance(); }); }) {
  components_.state_store->listen(
      reply<Changes>([this](const Changes& changes) { on_changes(*changes); }));
}

void JobResults::tick() {
  post([this] { advance(); });
}

void JobResults::schedule_advance() {
  if (is_advance_scheduled_) return;
  is_advance_scheduled_ = true;
  advance_timer_.after(kAdvanceDelayS);
}

// ---- final records

const wire::JobResultRecord* JobResults::cached_result(const std::string& id) const {
  return results_.find(id);
}

void JobResults::result_written(std::string id, wire::JobResultRecord result) {
  post([this, id = std::move(id), result = std::move(result)] {
    cache_result(id, result);
    schedule_advance();
  });
}

void JobResults::cache_result(const std::string& id, const wire::JobResultRecord& result) {
  dependencies_.job_ended(id, result.cancelled);
  results_.add(id, result);
}

void JobResults::lookup(std::string id, std::function<void(jobs::ResultLookup)> then) {
  post([this, id = std::move(id), then = std::move(then)] { read(id, then); });
}

void JobResults::lookup_all(std::vector<std::string> ids,
                            std::function<void(jobs::ResultLookups)> then) {
  if (ids.empty()) return then({});
  post([this, ids = std::move(ids), then = std::move(then)] {
    auto pending = std::make_shared<std::size_t>(ids.size());
    auto lookups = std::make_shared<jobs::ResultLookups>();
    for (const auto& id : ids)
      read(id, [pending, lookups, id, then](const jobs::ResultLookup& lookup) {
        lookups->insert_or_assign(id, lookup);
        if (--*pending == 0) then(std::move(*lookups));
      });
  });
}

void JobResults::read(const std::string& id, jobs::ResultReader::Callback then) {
  if (const auto* result = cached_result(id)) return then(*result);
  if (!reader_.request(id, then)) return then(jobs::ResultUnread{});
  send_reads();
}

void JobResults::send_reads() {
  while (auto next = reader_.next()) {
    const std::string key = state::job_result_key(next->id);
    const std::string path =
        next->range ? wire::keys_path(state::kJobResults, jobs::ResultReader::key_before(key))
                    : "/kv/" + key;
    components_.state_client.get(
        path, state::RequestPriority::user,
        reply<net::Result>([this, read = *next](const net::Result& response) {
          on_read_response(read, response);
          send_reads();
        }));
  }
}

void JobResults::on_read_response(const jobs::ResultReader::Read& read,
                                  const net::Result& response) {
  if (!read.range && response.status == 404) return reader_.answered(read, {}, false);
  if (response.status != 200) return reader_.failed(read);
  wire::KeyPage page;
  try {
    if (read.range)
      page = wire::decode_keys(response.body);
    else
      page.items.push_back(wire::decode_key(response.body));
  } catch (const wire::Malformed& error) {
    spdlog::info("cannot decode a response with final records: {}", error.what());
    return reader_.failed(read);
  }
  const auto found = cache_requested(page.items);
  spdlog::debug("final records from {} on: {} found", read.id, found.size());
  reader_.answered(read, found, page.more);
}

// Returns the jobs of these keys, all of which have ended, with the records that callers wait for.
// Only these are decoded and cached; the others would evict them.
std::vector<jobs::ResultReader::StoredResult> JobResults::cache_requested(
    const std::vector<wire::Event>& items) {
  constexpr std::string_view kPrefix = state::kJobResults;
  std::vector<jobs::ResultReader::StoredResult> found;
  for (const auto& item : items) {
    std::string id = item.key.substr(kPrefix.size());
    auto record = cache_requested(item, id);
    found.push_back({std::move(id), std::move(record)});
  }
  return found;
}

std::optional<wire::JobResultRecord> JobResults::cache_requested(const wire::Event& item,
                                                                 const std::string& id) {
  if (!item.value || !reader_.is_waiting(id)) return std::nullopt;
  try {
    wire::JobResultRecord record = wire::decode_job_result(*item.value);
    cache_result(id, record);
    return record;
  } catch (const wire::Malformed& error) {
    spdlog::error("cannot decode the final record {}: {}", item.key, error.what());
    return std::nullopt;
  }
}

// ---- waiting jobs

// The states are computed in a message to this actor, and not read in another actor's turn. All
// cache changes that were sent to this actor before the request are thereby applied first: a job
// that depends on a cancelled one must never be reported as queued again.
void JobResults::dependency_states(std::vector<std::string> ids,
                                   std::function<void(DependencyStates)> then) {
  post([this, ids = std::move(ids), then = std::move(then)] {
    DependencyStates states;
    for (const auto& id : ids) states.of.push_back(dependencies_.state_of(id, &states.missing));
    then(std::move(states));
  });
}

void JobResults::on_changes(const std::vector<state::Change>& changes) {
  for (const auto& change : changes) {
    switch (change.kind) {
      case state::Change::job_set:
      case state::Change::job_deleted:
      case state::Change::waiting_deleted:
        dependencies_.key_changed(change.name);
        break;
      case state::Change::waiting_set:
        on_waiting_set(change.name);
        break;
      default:
        break;
    }
  }
  send_effective_priorities();
  schedule_advance();
}

// A dependency may have ended, and its final record may have been read for another caller, before
// any job depended on it. A cached record is used and not read again.
void JobResults::on_waiting_set(const std::string& id) {
  dependencies_.key_changed(id);
  const state::JobEntry* job = components_.state_store->cache().waiting(id);
  if (!job) return;
  for (const auto& dependency : job->record.spec.dependencies)
    if (const auto* result = cached_result(dependency))
      dependencies_.job_ended(dependency, result->cancelled);
}

void JobResults::send_effective_priorities() {
  const double now = loop_.now();
  const double wall_now = loop_.wall_now();
  const state::StateCache& cache = components_.state_store->cache();
  for (const auto& id : dependencies_.take_changed()) {
    const state::JobEntry* job = cache.job(id);
    const int team = job ? components_.settings.team_index(job->record.spec.team) : -1;
    if (team < 0) continue;
    const jobs::EffectivePriority effective = dependencies_.effective_priority(id, job->record);
    components_.shard_controller(components_.settings.team_shard[team])
        .set_effective_priority(id, effective.priority, now + (effective.due - wall_now));
  }
}

// Returns whether this node may move the job. The leader of the job's shard moves it. If the leader
// does not, because it is dead, cut off or of a version without waiting jobs, the other nodes try
// one after the other.
bool JobResults::may_transition(const std::string& id) {
  const state::JobEntry* job = components_.state_store->cache().waiting(id);
  if (!job) return false;
  const double now = loop_.now();
  const double since = transition_due_since_.try_emplace(id, now).first->second;
  const int team = components_.settings.team_index(job->record.spec.team);
  if (team >= 0 && components_.shard_controller(components_.settings.team_shard[team]).scheduler())
    return true;
  return now - since > kLeaderGraceS + components_.settings.self;
}

void JobResults::advance() {
  is_advance_scheduled_ = false;
  const StateStore& store = *components_.state_store;
  if (!store.loaded()) return;
  if (loop_.now() >= next_read_at_) read_dependencies();
  if (!store.fresh(components_.settings.staleness_bound_s()) || !components_.schema->may_serve())
    return;
  write_transition(Transition::to_ready);
  write_transition(Transition::to_cancelled);
  write_oversized_start();
  forget_completed_transitions();
}

// Reads ahead the final records of the jobs that waiting jobs depend on.
void JobResults::read_dependencies() {
  for (const auto& id : dependencies_.unread()) {
    if (read_ahead_ids_.size() >= kMaxReadAhead) break;
    if (results_.find(id) || !read_ahead_ids_.insert(id).second) continue;
    read(id, [this, id](const jobs::ResultLookup& lookup) {
      read_ahead_ids_.erase(id);
      if (!jobs::found_record(lookup)) next_read_at_ = loop_.now() + kReadRetryDelayS;
      schedule_advance();
    });
  }
}

void JobResults::forget_completed_transitions() {
  const std::size_t due = dependencies_.ready().size() + dependencies_.doomed().size();
  if (transition_due_since_.size() <= 2 * due + kTransitionDueSlack) return;
  const state::StateCache& cache = components_.state_store->cache();
  std::erase_if(transition_due_since_,
                [&](const auto& entry) { return !cache.waiting(entry.first); });
}

// Commits transitions of several jobs in one transaction. A cascade of cancellations over thousands
// of jobs takes only the part of the write rate that nothing else needs.
void JobResults::write_transition(Transition transition) {
  const bool is_ready = transition == Transition::to_ready;
  TransitionWriter& writer = is_ready ? ready_writer_ : cancelled_writer_;
  if (!writer.is_due(loop_.now())) return;
  jobs::StateTransitions transitions = jobs::state_transitions(
      components_.state_store->cache(), dependencies_, is_ready,
      components_.state_client.limits().transaction_limits(), loop_.wall_now(), tags_.next(),
      [this](const std::string& id) { return may_transition(id); });
  if (transitions.txn.ops.empty()) return;
  const auto priority = is_ready ? state::RequestPriority::work : state::RequestPriority::sweep;
  commit(writer, std::move(transitions), priority);
}

// A ready job whose record is above the known limits is tried by itself, so that no other job waits
// for it.
void JobResults::write_oversized_start() {
  const double now = loop_.now();
  if (!oversized_writer_.is_due(now)) return;
  // The search encodes the record of every ready job.
  oversized_writer_.retry_at = now + oversized_writer_.retry_delay_s;
  const state::TransactionLimits limits = components_.state_client.limits().transaction_limits();
  std::optional<jobs::OversizedStart> start = jobs::oversized_start(
      components_.state_store->cache(), dependencies_, limits, loop_.wall_now(), last_oversized_id_,
      [this](const std::string& id) { return may_transition(id); });
  if (!start) return;
  spdlog::warn(
      "job {} is ready, but its record takes {} bytes and the state service accepts {}: trying",
      start->id, start->value_bytes, limits.value_bytes);
  last_oversized_id_ = start->id;
  commit(oversized_writer_, {std::move(start->txn), {}}, state::RequestPriority::work);
}

void JobResults::commit(TransitionWriter& writer, jobs::StateTransitions transitions,
                        state::RequestPriority priority) {
  writer.is_in_flight = true;
  const std::size_t transitioned_jobs =
      transitions.txn.ops.size() / 2;  // each transition deletes one key and sets one
  components_.state_store->commit_or_reread(
      std::move(transitions.txn), priority, kTransitionTimeoutS,
      reply<state::CommitResult>(
          [this, &writer, transitioned_jobs,
           results = std::move(transitions.results)](const state::CommitResult& committed) {
            writer.is_in_flight = false;
            if (committed.kind == state::CommitResult::applied) {
              writer.transitioned_jobs += transitioned_jobs;
              writer.retry_at = loop_.now();
              for (const auto& [id, result] : results) cache_result(id, result);
            } else {
              // The commit lost a race, or its outcome is unknown. The retry is decided by the
              // state that has been read since.
              writer.retry_at = loop_.now() + writer.retry_delay_s;
            }
            schedule_advance();
          }));
}

}  // namespace shunttrail::controller
