#include "pbs/values.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <tao/pegtl.hpp>

namespace shunttrail::pbs {
namespace {

namespace p = tao::pegtl;

constexpr double kBytesPerGib = 1024.0 * 1024 * 1024;
constexpr double kMaxSizeGb = 1e6;
constexpr double kBytesPerWord = 8;
constexpr std::uint64_t kMaxChunkCount = 1000000;
constexpr std::uint64_t kMaxRunningLimit = 1000000;
constexpr std::uint64_t kMaxIndex = 1000000000;
constexpr std::uint64_t kMaxTimePart = 1000000000;
constexpr std::uint64_t kMaxSizeNumber = 1000000000000000ULL;
constexpr std::size_t kFractionDigits = 6;

// NOLINTBEGIN(readability-identifier-naming): PEGTL's rules are written in lower case, as its own
// are.
struct name
    : p::seq<p::sor<p::alpha, p::one<'_'>>, p::star<p::sor<p::alnum, p::one<'_', '-', '.'>>>> {};
struct number : p::plus<p::digit> {};

// Grammar of chunks
struct chunk_value : p::plus<p::not_one<':', '+', ',', ' '>> {};
struct chunk_count : number {};
struct chunk_resource : p::seq<name, p::one<'='>, chunk_value> {};
struct property : name {};
struct chunk_begin : p::success {};
struct chunk : p::seq<chunk_begin, p::sor<p::seq<chunk_count, p::star<p::one<':'>, chunk_resource>>,
                                          p::list<chunk_resource, p::one<':'>>>> {};
struct select : p::seq<p::list<chunk, p::one<'+'>>, p::eof> {};
struct node
    : p::seq<chunk_begin, chunk_count, p::star<p::one<':'>, p::sor<chunk_resource, property>>> {};
struct nodes : p::seq<p::list<node, p::one<'+'>>, p::eof> {};

template <class Rule>
struct act : p::nothing<Rule> {};
template <>
struct act<chunk_begin> {
  template <class In>
  static void apply(const In& in, std::vector<Chunk>& out) {
    out.push_back({});
    out.back().at = in.position().byte;
  }
};
template <>
struct act<chunk_count> {
  template <class In>
  static void apply(const In& in, std::vector<Chunk>& out) {
    try {
      out.back().count = read_count(in.string_view(), kMaxChunkCount);
    } catch (const InvalidValue& e) {
      throw InvalidValue(in.position().byte, e.what());
    }
  }
};
template <>
struct act<chunk_resource> {
  template <class In>
  static void apply(const In& in, std::vector<Chunk>& out) {
    const std::string text = in.string();
    const auto equals = text.find('=');
    const std::size_t at = in.position().byte;
    out.back().resources.push_back(
        {text.substr(0, equals), text.substr(equals + 1), at, at + equals + 1});
  }
};
template <>
struct act<property> {
  template <class In>
  static void apply(const In& in, std::vector<Chunk>& out) {
    out.back().resources.push_back({in.string(), "", in.position().byte, in.position().byte});
  }
};

template <class Rule>
std::vector<Chunk> chunks(std::string_view text, const char* form) {
  std::vector<Chunk> out;
  p::memory_input in(text.data(), text.data() + text.size(), "");
  // If the text does not match the form, the fault is reported at the last chunk that was begun.
  if (!p::parse<Rule, act>(in, out)) {
    std::size_t at = out.empty() ? 0 : out.back().at;
    throw InvalidValue(at, std::string("is not of the form ") + form);
  }
  return out;
}

// Grammar of times, sizes and ranges
struct time_form : p::seq<p::list<number, p::one<':'>>, p::opt<p::one<'.'>, number>, p::eof> {};
struct size_form : p::seq<number, p::opt<p::one<'k', 'm', 'g', 't', 'p', 'K', 'M', 'G', 'T', 'P'>>,
                          p::opt<p::one<'b', 'w', 'B', 'W'>>, p::eof> {};
struct range_form : p::seq<number, p::opt<p::one<'-'>, number, p::opt<p::one<':'>, number>>,
                           p::opt<p::one<'%'>, number>, p::eof> {};
// NOLINTEND(readability-identifier-naming)

template <class Rule>
bool fits(std::string_view text) {
  p::memory_input in(text.data(), text.data() + text.size(), "");
  return p::parse<Rule>(in);
}

// Returns the number of bytes in a unit such as "kb", "gw" or "".
double bytes_of(std::string_view unit) {
  static constexpr std::string_view kPrefixes = "kmgtp";
  double bytes = 1;
  for (char letter : unit) {
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    if (lower == 'w') bytes *= kBytesPerWord;
    if (auto power = kPrefixes.find(lower); power != std::string_view::npos)
      for (std::size_t i = 0; i <= power; ++i) bytes *= 1024;
  }
  return bytes;
}

}  // namespace

std::uint64_t read_count(std::string_view text, std::uint64_t most) {
  std::uint64_t n = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || end != text.data() + text.size() ||
      (error != std::errc() && error != std::errc::result_out_of_range))
    throw InvalidValue(0, "is not a whole number");
  if (error == std::errc::result_out_of_range || n > most)
    throw InvalidValue(0, "is more than " + std::to_string(most));
  return n;
}

double read_seconds(std::string_view text) {
  if (!fits<time_form>(text)) throw InvalidValue(0, "is not a time ([[hours:]minutes:]seconds)");
  double fraction = 0;
  if (auto dot = text.find('.'); dot != std::string_view::npos) {
    std::string tail = "0." + std::string(text.substr(dot + 1, kFractionDigits));
    fraction = std::stod(tail);
    text = text.substr(0, dot);
  }
  if (std::count(text.begin(), text.end(), ':') > 2)
    throw InvalidValue(0, "has too many parts for a time");
  double total = 0;
  while (true) {
    auto colon = text.find(':');
    total = total * 60 + static_cast<double>(read_count(text.substr(0, colon), kMaxTimePart));
    if (colon == std::string_view::npos) break;
    text.remove_prefix(colon + 1);
  }
  return total + fraction;
}

double read_size_gb(std::string_view text) {
  if (!fits<size_form>(text)) throw InvalidValue(0, "is not a size (a number with kb, mb, gb ...)");
  auto digits = text.find_first_not_of("0123456789");
  std::string_view unit = digits == std::string_view::npos ? "" : text.substr(digits);
  double n = static_cast<double>(read_count(text.substr(0, digits), kMaxSizeNumber));
  const double gb = n * bytes_of(unit) / kBytesPerGib;
  if (gb > kMaxSizeGb) throw InvalidValue(0, "is more than the maximum of 10^6 GB");
  return gb;
}

std::vector<std::pair<std::size_t, std::string_view>> split_at(std::string_view text,
                                                               char separator) {
  std::vector<std::pair<std::size_t, std::string_view>> out;
  for (std::size_t at = 0;;) {
    auto end = text.find(separator, at);
    out.emplace_back(at, text.substr(at, end == std::string_view::npos ? end : end - at));
    if (end == std::string_view::npos) return out;
    at = end + 1;
  }
}

std::vector<Resource> read_resources(std::string_view text) {
  std::vector<Resource> out;
  for (auto [at, one] : split_at(text, ',')) {
    const auto equals = one.find('=');
    std::string_view key = one.substr(0, equals);
    if (!fits<p::seq<name, p::eof>>(key)) throw InvalidValue(at, "is not a resource name");
    Resource resource{std::string(key), "", at, at};
    if (equals != std::string_view::npos) {
      resource.value = one.substr(equals + 1);
      resource.value_at = at + equals + 1;
    }
    out.push_back(std::move(resource));
  }
  return out;
}

std::vector<Chunk> read_select(std::string_view text) {
  return chunks<select>(text, "[N:]resource=value[:resource=value...][+...]");
}
std::vector<Chunk> read_nodes(std::string_view text) {
  return chunks<nodes>(text, "N[:ppn=M][+...]");
}

Range read_range(std::string_view text) {
  if (!fits<range_form>(text)) throw InvalidValue(0, "is not a range (first-last[:step][%limit])");
  Range range;
  if (auto percent = text.find('%'); percent != std::string_view::npos) {
    range.limit = read_count(text.substr(percent + 1), kMaxRunningLimit);
    if (range.limit == 0) throw InvalidValue(percent + 1, "allows no task to run");
    text = text.substr(0, percent);
  }
  auto dash = text.find('-');
  range.first = range.last = read_count(text.substr(0, dash), kMaxIndex);
  if (dash == std::string_view::npos) return range;
  auto colon = text.find(':');
  range.last = read_count(
      text.substr(dash + 1, colon == std::string_view::npos ? colon : colon - dash - 1), kMaxIndex);
  if (colon != std::string_view::npos) range.step = read_count(text.substr(colon + 1), kMaxIndex);
  if (range.step == 0) throw InvalidValue(colon + 1, "has a step of 0");
  if (range.last < range.first) throw InvalidValue(dash + 1, "ends before it begins");
  return range;
}

std::vector<Dependency> read_dependencies(std::string_view text) {
  std::vector<Dependency> out;
  for (auto [at, one] : split_at(text, ',')) {
    Dependency dependency;
    dependency.at = at;
    for (auto [from, part] : split_at(one, ':')) {
      if (part.empty()) throw InvalidValue(at + from, "is empty here (type:id[:id...])");
      if (from == 0)
        dependency.type = part;
      else
        dependency.ids.emplace_back(part);
    }
    out.push_back(std::move(dependency));
  }
  return out;
}

}  // namespace shunttrail::pbs
