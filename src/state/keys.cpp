#include "state/keys.h"

#include <cstdlib>

namespace shunttrail::state {
namespace {

/// Consecutive machine numbers on one inventory page.
constexpr int kMachinesPerPage = 32;
/// The first page of machines whose names do not end in a number. They share kHashedPages pages.
constexpr int kFirstHashedPage = 1 << 24;
constexpr int kHashedPages = 64;
/// The difference between the numbers of a page's parts; larger than every page number.
constexpr int kPartStride = 1 << 26;
/// The longest machine number that selects a page. Numbers of up to 8 digits make at most 3.1
/// million pages, all below kFirstHashedPage.
constexpr std::size_t kMaxNumberDigits = 8;

/// The positions in a key of its kind, which is one letter, and of the name after the kind and a
/// slash.
constexpr std::size_t kKindPosition = 3;
constexpr std::size_t kNamePosition = 5;

KeyKind kind_of(char letter) {
  switch (letter) {
    case 'j':
      return KeyKind::job;
    case 'w':
      return KeyKind::waiting_job;
    case 'm':
      return KeyKind::inventory_page;
    case 'l':
      return KeyKind::schema;
    case 'a':
      return KeyKind::placement_page;
    case 'o':
      return KeyKind::leader;
    case 'n':
      return KeyKind::node;
    default:
      return KeyKind::unknown;
  }
}

}  // namespace

std::string node_key(const std::string& node) { return "st/n/" + node; }
std::string leader_key(int shard) { return "st/o/" + std::to_string(shard); }
std::string job_key(const std::string& id) { return "st/j/" + id; }
std::string waiting_key(const std::string& id) { return "st/w/" + id; }
std::string inventory_key(int page) { return "st/m/" + std::to_string(page); }

int inventory_page(const std::string& machine) {
  const std::size_t first_digit = machine.find_last_not_of("0123456789") + 1;
  const std::size_t digits = machine.size() - first_digit;
  if (digits > 0 && digits <= kMaxNumberDigits)
    return std::atoi(machine.c_str() + first_digit) / kMachinesPerPage;
  int hash = 0;
  for (char c : machine) hash = (hash * 31 + static_cast<unsigned char>(c)) % kHashedPages;
  return kFirstHashedPage + hash;
}

std::string placement_page_key(int shard, int page) {
  return "st/a/" + std::to_string(shard) + "/" + std::to_string(page);
}
std::string job_result_key(const std::string& id) { return kJobResults + id; }

int inventory_part(int page, int part) { return page + part * kPartStride; }
int page_of_inventory_part(int part) { return part % kPartStride; }

std::optional<ParsedKey> parse_key(const std::string& key) {
  if (key.size() <= kNamePosition) return std::nullopt;
  return ParsedKey{kind_of(key[kKindPosition]), key.substr(kNamePosition)};
}

}  // namespace shunttrail::state
