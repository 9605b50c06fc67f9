#include "shard/inventory_page.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace shunttrail::shard {
namespace {

constexpr auto kMaxParts = static_cast<std::size_t>(state::kInventoryParts);

bool by_name(const wire::MachineRecord& a, const wire::MachineRecord& b) { return a.name < b.name; }

}  // namespace

InventoryPage::InventoryPage(const state::StateCache& cache, int page)
    : cache_(cache), feature_gate_(cache.schema()), form_(cache.inventory_form()), page_(page) {
  for (std::size_t i = 0; i < kMaxParts; ++i) {
    // Parts are added in order, but an earlier part may have been emptied and deleted since.
    if (i > 0 && !cache.mod_revision(key(i))) continue;
    const int number = state::inventory_part(page, static_cast<int>(i));
    parts_.resize(i + 1);
    Part& part = parts_.back();
    part.machines = cache.inventory(number);
    std::sort(part.machines.begin(), part.machines.end(), by_name);
    part.form = cache.inventory_pages(1).contains(number) ? 1 : 0;
  }
}

std::string InventoryPage::key(std::size_t part) const {
  return state::inventory_key(state::inventory_part(page_, static_cast<int>(part)));
}

std::string InventoryPage::encode_part(const Part& part, const std::string& tag) const {
  return wire::encode_record(wire::InventoryPageRecord{tag, part.machines, form_});
}

const wire::MachineRecord* InventoryPage::find(const std::string& name) const {
  for (const Part& part : parts_)
    for (const wire::MachineRecord& machine : part.machines)
      if (machine.name == name) return &machine;
  return nullptr;
}

void InventoryPage::insert_machine(std::size_t part, const wire::MachineRecord& machine) {
  if (part >= parts_.size()) parts_.resize(part + 1);
  auto& machines = parts_[part].machines;
  machines.insert(std::upper_bound(machines.begin(), machines.end(), machine, by_name), machine);
  parts_[part].is_changed = true;
}

void InventoryPage::set(const wire::MachineRecord& machine) {
  for (Part& part : parts_)
    for (wire::MachineRecord& known : part.machines)
      if (known.name == machine.name) {
        known = machine;
        part.is_changed = true;
        return;
      }
  insert_machine(0, machine);
}

void InventoryPage::drop(const std::string& name) {
  const auto has_name = [&](const wire::MachineRecord& machine) { return machine.name == name; };
  for (Part& part : parts_)
    if (std::erase_if(part.machines, has_name)) part.is_changed = true;
}

void InventoryPage::convert() {
  for (std::size_t i = 0; i < parts_.size(); ++i)
    if (parts_[i].form != form_ && cache_.mod_revision(key(i)) != 0) parts_[i].is_changed = true;
}

void InventoryPage::fill_rental_times(const std::function<double(const std::string&)>& rented_at) {
  for (Part& part : parts_)
    for (wire::MachineRecord& machine : part.machines)
      if (machine.rented_at == 0) machine.rented_at = rented_at(machine.name);
}

std::size_t InventoryPage::part_with_capacity(std::size_t except,
                                              const wire::MachineRecord& machine,
                                              std::size_t value_bytes,
                                              const std::string& tag) const {
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    if (i == except) continue;
    Part extended = parts_[i];
    extended.machines.push_back(machine);
    if (encode_part(extended, tag).size() <= value_bytes) return i;
  }
  return parts_.size();
}

bool InventoryPage::shrink_parts(std::size_t value_bytes, const std::string& tag) {
  // Parts that this loop adds are checked as well.
  for (std::size_t i = 0; i < parts_.size(); ++i)
    while (parts_[i].is_changed && parts_[i].machines.size() > 1 &&
           encode_part(parts_[i], tag).size() > value_bytes) {
      const wire::MachineRecord machine = std::move(parts_[i].machines.back());
      parts_[i].machines.pop_back();
      const std::size_t to = part_with_capacity(i, machine, value_bytes, tag);
      if (to >= kMaxParts) return false;
      insert_machine(to, machine);
    }
  return true;
}

wire::Transaction InventoryPage::changes(std::size_t value_bytes, const std::string& tag) {
  const std::size_t stored_parts = parts_.size();
  if (!shrink_parts(value_bytes, tag)) return {};
  wire::Transaction out;
  out.preconditions.push_back(feature_gate_.precondition());
  // Later parts are written first, so that a reader that applies each change by itself never sees a
  // machine disappear.
  for (std::size_t i = parts_.size(); i-- > 0;) {
    const Part& part = parts_[i];
    out.preconditions.emplace_back(key(i), cache_.mod_revision(key(i)));
    if (!part.is_changed) continue;
    std::optional<std::string> value;
    if (!part.machines.empty()) value = encode_part(part, tag);
    out.ops.push_back({key(i), std::move(value), 0});
  }
  if (parts_.size() == stored_parts && stored_parts < kMaxParts)
    out.preconditions.emplace_back(key(stored_parts), 0);
  return out;
}

}  // namespace shunttrail::shard
