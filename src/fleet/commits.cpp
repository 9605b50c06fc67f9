// What the desk writes to the state service, and what follows from the answer.
#include <algorithm>
#include <cmath>

#include "fleet/desk.h"

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;

std::optional<wire::Txn> Desk::next_txn(const state::World& w, int max_ops,
                                        const std::string& tag) {
  if (out_ || max_ops < 1) return std::nullopt;
  wire::Txn t;
  Out out;
  std::set<std::string> guarded;
  const std::size_t max_guards = static_cast<std::size_t>(settings_.txn_ops) * 4 - 2;
  std::size_t ops = static_cast<std::size_t>(std::min(max_ops, settings_.txn_ops));
  auto guard = [&](const std::string& key, std::uint64_t stamp) {
    if (guarded.insert(key).second) t.guards.emplace_back(key, stamp);
  };
  // Every key written is guarded by its own stamp, so that a transaction that is applied late,
  // or a second time, cannot be: and by the owner's, so that nobody else's is overwritten.
  guard(state::owner_key(shard_), token_);

  for (auto& [id, j] : jobs_) {
    if (t.ops.size() + 2 > ops || t.guards.size() + 4 > max_guards) break;
    if (!w.job(id)) continue;
    const std::string jk = state::job_key(id);
    if (j->complete()) {
      std::uint32_t chunks = (j->spec.tasks + jobs::kChunk - 1) / jobs::kChunk;
      std::size_t need = 2;
      // The chunks of a large job are left behind; they are small and harm nobody.
      bool sweep = chunks <= 4;
      if (sweep) need += w.done(id).size();
      if (t.ops.size() + need > ops && !t.ops.empty()) continue;
      wire::FinalRecord f;
      f.tasks = j->spec.tasks;
      f.team = j->spec.team;
      f.tag = tag;
      guard(jk, w.stamp(jk));
      guard(state::final_key(id), 0);
      t.ops.push_back({jk, std::nullopt, 0});
      t.ops.push_back({state::final_key(id), wire::encode_record(f), 0});
      if (sweep)
        for (const auto& [c, list] : w.done(id)) {
          guard(state::done_key(id, c), w.stamp(state::done_key(id, c)));
          t.ops.push_back({state::done_key(id, c), std::nullopt, 0});
        }
      out.finals.push_back(id);
      continue;
    }
    for (std::uint32_t c : j->dirty_chunks) {
      if (t.ops.size() + 1 > ops) break;
      std::string dk = state::done_key(id, c);
      guard(jk, w.stamp(jk));
      guard(dk, w.stamp(dk));
      auto bits = j->chunk(c);
      t.ops.push_back({dk, wire::encode_done(bits), 0});
      out.chunks.emplace_back(id, c, std::move(bits));
    }
  }
  // Starts: the machine's whole record is written, so a machine's starts coalesce.
  for (auto& [n, m] : machines_) {
    if (t.ops.size() + 1 > ops) break;
    if (m->name.empty()) continue;
    std::vector<std::uint64_t> starts;
    for (Placement& p : m->placements)
      if (p.phase == Phase::planned && !p.released && !p.job->gone && w.job(p.job->spec.id))
        starts.push_back(p.attempt);
    bool give = m->giving >= 0 && m->placements.empty();
    if (starts.empty() && !m->record_dirty && !give) continue;
    std::set<std::string> start_jobs;
    for (Placement& p : m->placements)
      if (p.phase == Phase::planned) start_jobs.insert(p.job->spec.id);
    if (t.guards.size() + start_jobs.size() + 1 > max_guards) continue;
    wire::MachineRecord r;
    r.name = m->name;
    r.addr = m->addr;
    r.type = catalogue_.types[m->type].spec.name;
    r.zone = settings_.zones[m->zone];
    r.spot = m->spot;
    r.shard = give ? m->giving : shard_;
    r.token = token_;
    r.tag = tag;
    if (give) out.given.push_back(n);
    for (Placement& p : m->placements) {
      if (p.released) continue;
      if (p.phase == Phase::planned) {
        const std::string& id = p.job->spec.id;
        if (p.job->gone || !w.job(id)) continue;
        guard(state::job_key(id), w.stamp(state::job_key(id)));
        p.phase = Phase::committing;
      }
      r.placements.push_back({{p.job->spec.id, p.task},
                              p.attempt,
                              p.job->team,
                              p.job->spec.cpus,
                              p.job->spec.gpus,
                              p.job->spec.mem_gb});
    }
    std::string mk = state::machine_key(m->name);
    guard(mk, w.stamp(mk));
    t.ops.push_back({mk,
                     wire::encode_record(r,
                                         [&](int team) {
                                           return team >= 0 ? settings_.teams[team].name
                                                            : std::string("-");
                                         }),
                     0});
    m->record_dirty = false;
    out.starts.emplace_back(n, std::move(starts));
    out.records.push_back(n);
  }
  for (const auto& name : dropped_records_) {
    if (t.ops.size() + 1 > ops || t.guards.size() + 1 > max_guards) break;
    std::string mk = state::machine_key(name);
    out.drops.push_back(name);
    if (!w.stamp(mk)) continue;
    guard(mk, w.stamp(mk));
    t.ops.push_back({mk, std::nullopt, 0});
  }
  if (t.ops.empty()) {
    std::erase_if(dropped_records_, [&](const std::string& n) {
      return std::find(out.drops.begin(), out.drops.end(), n) != out.drops.end();
    });
    return std::nullopt;
  }
  ++count_.commits;
  out_ = std::move(out);
  return t;
}

void Desk::txn_applied(double now) {
  if (!out_) return;
  Out out = std::move(*out_);
  out_.reset();
  for (auto& [n, attempts] : out.starts)
    if (Machine* m = at(n))
      for (Placement& p : m->placements)
        if (p.phase == Phase::committing) p.phase = Phase::committed;
  for (auto& [id, c, bits] : out.chunks)
    if (auto j = jobs_.find(id); j != jobs_.end()) j->second->set_persisted(c, bits);
  for (const auto& id : out.finals) job_gone(id, now);
  for (int n : out.given) {
    ++count_.given;
    remove_machine(n, now);
  }
  std::erase_if(dropped_records_, [&](const std::string& n) {
    return std::find(out.drops.begin(), out.drops.end(), n) != out.drops.end();
  });
}

void Desk::txn_failed(double now) {
  if (!out_) return;
  ++count_.commit_failures;
  Out out = std::move(*out_);
  out_.reset();
  for (int n : out.records) {
    Machine* m = at(n);
    if (!m) continue;
    m->record_dirty = true;
    for (Placement& p : m->placements)
      if (p.phase == Phase::committing) {
        p.phase = Phase::planned;
        if (p.job->gone) release(*m, p, now, false);
      }
    std::erase_if(m->placements,
                  [](const Placement& p) { return p.phase == Phase::planned && p.released; });
    note_idle(*m, now);
  }
}

}  // namespace shunt::fleet
