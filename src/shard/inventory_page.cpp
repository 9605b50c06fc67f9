#include "shard/inventory_page.h"

#include <algorithm>

#include "wire/codec.h"

namespace shunttrail::shard {
namespace {
bool by_name(const wire::MachineRecord& a, const wire::MachineRecord& b) { return a.name < b.name; }
}  // namespace

InventoryPage::InventoryPage(const state::StateCache& world, int page)
    : world_(world), feature_gate_(world.schema()), form_(world.inventory_form()), page_(page) {
  for (int i = 0; i < state::kInventoryParts; ++i) {
    int n = state::inventory_part(page, i);
    // Parts are begun in order; one may have been emptied since.
    if (i > 0 && !world.mod_revision(state::inventory_key(n))) continue;
    parts_.resize(static_cast<std::size_t>(i) + 1);
    parts_.back().machines = world.inventory(n);
    std::sort(parts_.back().machines.begin(), parts_.back().machines.end(), by_name);
    parts_.back().form = world.inventory_pages(1).contains(n) ? 1 : 0;
  }
}

const wire::MachineRecord* InventoryPage::find(const std::string& name) const {
  for (const Part& p : parts_)
    for (const auto& m : p.machines)
      if (m.name == name) return &m;
  return nullptr;
}

void InventoryPage::put(std::size_t part, const wire::MachineRecord& m) {
  if (part >= parts_.size()) parts_.resize(part + 1);
  Part& p = parts_[part];
  p.machines.insert(std::upper_bound(p.machines.begin(), p.machines.end(), m, by_name), m);
  p.changed = true;
}

void InventoryPage::set(const wire::MachineRecord& m) {
  for (Part& p : parts_)
    for (auto& old : p.machines)
      if (old.name == m.name) {
        old = m;
        p.changed = true;
        return;
      }
  put(0, m);
}

void InventoryPage::drop(const std::string& name) {
  for (Part& p : parts_)
    if (std::erase_if(p.machines, [&](const auto& m) { return m.name == name; })) p.changed = true;
}

void InventoryPage::convert() {
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    const std::string key = state::inventory_key(state::inventory_part(page_, static_cast<int>(i)));
    parts_[i].changed |= parts_[i].form != form_ && world_.mod_revision(key) != 0;
  }
}

void InventoryPage::record_ages(const std::function<double(const std::string&)>& rented_at) {
  for (Part& p : parts_)
    for (auto& m : p.machines)
      if (m.rented_at == 0) m.rented_at = rented_at(m.name);
}

wire::Transaction InventoryPage::changes(std::size_t value_bytes, const std::string& tag) {
  wire::Transaction t;
  const std::size_t begun = parts_.size();
  auto text = [&](const Part& p) {
    return wire::encode_record(wire::InventoryPageRecord{tag, p.machines, form_});
  };
  for (std::size_t i = 0; i < parts_.size(); ++i)
    while (parts_[i].changed && parts_[i].machines.size() > 1 &&
           text(parts_[i]).size() > value_bytes) {
      wire::MachineRecord m = std::move(parts_[i].machines.back());
      parts_[i].machines.pop_back();
      // Into another part that has room, or the next one.
      std::size_t to = 0;
      for (; to < parts_.size(); ++to) {
        if (to == i) continue;
        Part with = parts_[to];
        with.machines.push_back(m);
        if (text(with).size() <= value_bytes) break;
      }
      if (to >= static_cast<std::size_t>(state::kInventoryParts)) return {};
      put(to, m);
    }
  t.preconditions.push_back(feature_gate_.precondition());
  // Further parts come first: whoever reads change by change sees no machine leave.
  for (std::size_t i = parts_.size(); i-- > 0;) {
    const std::string key = state::inventory_key(state::inventory_part(page_, static_cast<int>(i)));
    t.preconditions.emplace_back(key, world_.mod_revision(key));
    if (!parts_[i].changed) continue;
    t.ops.push_back(
        {key,
         parts_[i].machines.empty() ? std::nullopt : std::optional<std::string>(text(parts_[i])),
         0});
  }
  if (parts_.size() == begun && begun < static_cast<std::size_t>(state::kInventoryParts)) {
    const std::string next =
        state::inventory_key(state::inventory_part(page_, static_cast<int>(begun)));
    t.preconditions.emplace_back(next, 0);
  }
  return t;
}

}  // namespace shunttrail::shard
