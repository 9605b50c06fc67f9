#include "pbs/values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tao/pegtl.hpp>

namespace shunttrail::pbs {
namespace {

namespace p = tao::pegtl;

struct name
    : p::seq<p::sor<p::alpha, p::one<'_'>>, p::star<p::sor<p::alnum, p::one<'_', '-', '.'>>>> {};
struct number : p::plus<p::digit> {};

// Chunks
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
      out.back().count = read_count(in.string_view(), 1000000);
    } catch (const BadValue& e) {
      throw BadValue(in.position().byte, e.what());
    }
  }
};
template <>
struct act<chunk_resource> {
  template <class In>
  static void apply(const In& in, std::vector<Chunk>& out) {
    std::string text = in.string();
    auto eq = text.find('=');
    std::size_t at = in.position().byte;
    out.back().resources.push_back({text.substr(0, eq), text.substr(eq + 1), at, at + eq + 1});
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
std::vector<Chunk> chunks(std::string_view s, const char* form) {
  std::vector<Chunk> out;
  p::memory_input in(s.data(), s.data() + s.size(), "");
  // What does not fit the form is wrong behind the last chunk that did.
  if (!p::parse<Rule, act>(in, out)) {
    std::size_t at = out.empty() ? 0 : out.back().at;
    throw BadValue(at, std::string("is not of the form ") + form);
  }
  return out;
}

// Times
struct time_form : p::seq<p::list<number, p::one<':'>>, p::opt<p::one<'.'>, number>, p::eof> {};
struct size_form : p::seq<number, p::opt<p::one<'k', 'm', 'g', 't', 'p', 'K', 'M', 'G', 'T', 'P'>>,
                          p::opt<p::one<'b', 'w', 'B', 'W'>>, p::eof> {};
struct range_form : p::seq<number, p::opt<p::one<'-'>, number, p::opt<p::one<':'>, number>>,
                           p::opt<p::one<'%'>, number>, p::eof> {};

template <class Rule>
bool fits(std::string_view s) {
  p::memory_input in(s.data(), s.data() + s.size(), "");
  return p::parse<Rule>(in);
}

}  // namespace

std::uint64_t read_count(std::string_view s, std::uint64_t most) {
  std::uint64_t n = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), n);
  if (s.empty() || end != s.data() + s.size() ||
      (error != std::errc() && error != std::errc::result_out_of_range))
    throw BadValue(0, "is not a whole number");
  if (error == std::errc::result_out_of_range || n > most)
    throw BadValue(0, "is more than " + std::to_string(most));
  return n;
}

double read_seconds(std::string_view s) {
  if (!fits<time_form>(s)) throw BadValue(0, "is not a time ([[hours:]minutes:]seconds)");
  double fraction = 0;
  if (auto dot = s.find('.'); dot != std::string_view::npos) {
    std::string tail = "0." + std::string(s.substr(dot + 1, 6));
    fraction = std::stod(tail);
    s = s.substr(0, dot);
  }
  if (std::count(s.begin(), s.end(), ':') > 2) throw BadValue(0, "has too many parts for a time");
  double total = 0;
  while (true) {
    auto colon = s.find(':');
    total = total * 60 + static_cast<double>(read_count(s.substr(0, colon), 1000000000));
    if (colon == std::string_view::npos) break;
    s.remove_prefix(colon + 1);
  }
  return total + fraction;
}

double read_size_gb(std::string_view s) {
  if (!fits<size_form>(s)) throw BadValue(0, "is not a size (a number with kb, mb, gb ...)");
  auto digits = s.find_first_not_of("0123456789");
  std::string_view unit = digits == std::string_view::npos ? "" : s.substr(digits);
  double n = static_cast<double>(read_count(s.substr(0, digits), 1000000000000000ULL));
  double scale = 1;
  for (char c : unit) {
    switch (std::tolower(static_cast<unsigned char>(c))) {
      case 'k':
        scale *= 1024.0;
        break;
      case 'm':
        scale *= 1024.0 * 1024;
        break;
      case 'g':
        scale *= 1024.0 * 1024 * 1024;
        break;
      case 't':
        scale *= 1024.0 * 1024 * 1024 * 1024;
        break;
      case 'p':
        scale *= 1024.0 * 1024 * 1024 * 1024 * 1024;
        break;
      case 'w':
        scale *= 8;
        break;
      default:
        break;
    }
  }
  double gb = n * scale / (1024.0 * 1024 * 1024);
  if (gb > 1e6) throw BadValue(0, "is more than any machine has");
  return gb;
}

std::vector<std::pair<std::size_t, std::string_view>> parts(std::string_view s, char separator) {
  std::vector<std::pair<std::size_t, std::string_view>> out;
  for (std::size_t at = 0;;) {
    auto end = s.find(separator, at);
    out.emplace_back(at, s.substr(at, end == std::string_view::npos ? end : end - at));
    if (end == std::string_view::npos) return out;
    at = end + 1;
  }
}

std::vector<Resource> read_resources(std::string_view s) {
  std::vector<Resource> out;
  for (auto [at, one] : parts(s, ',')) {
    auto eq = one.find('=');
    std::string_view key = one.substr(0, eq);
    if (!fits<p::seq<name, p::eof>>(key)) throw BadValue(at, "has no resource's name here");
    Resource r{std::string(key), "", at, at};
    if (eq != std::string_view::npos) {
      r.value = one.substr(eq + 1);
      r.value_at = at + eq + 1;
    }
    out.push_back(std::move(r));
  }
  return out;
}

std::vector<Chunk> read_select(std::string_view s) {
  return chunks<select>(s, "[N:]resource=value[:resource=value...][+...]");
}
std::vector<Chunk> read_nodes(std::string_view s) { return chunks<nodes>(s, "N[:ppn=M][+...]"); }

Range read_range(std::string_view s) {
  if (!fits<range_form>(s)) throw BadValue(0, "is not a range (first-last[:step][%limit])");
  Range r;
  if (auto percent = s.find('%'); percent != std::string_view::npos) {
    r.limit = read_count(s.substr(percent + 1), 1000000);
    if (r.limit == 0) throw BadValue(percent + 1, "lets none run");
    s = s.substr(0, percent);
  }
  auto dash = s.find('-');
  r.first = r.last = read_count(s.substr(0, dash), 1000000000);
  if (dash == std::string_view::npos) return r;
  auto colon = s.find(':');
  r.last = read_count(
      s.substr(dash + 1, colon == std::string_view::npos ? colon : colon - dash - 1), 1000000000);
  if (colon != std::string_view::npos) r.step = read_count(s.substr(colon + 1), 1000000000);
  if (r.step == 0) throw BadValue(colon + 1, "has a step of 0");
  if (r.last < r.first) throw BadValue(dash + 1, "ends before it begins");
  return r;
}

std::vector<Dependency> read_dependencies(std::string_view s) {
  std::vector<Dependency> out;
  for (auto [at, one] : parts(s, ',')) {
    Dependency d;
    d.at = at;
    for (auto [from, part] : parts(one, ':')) {
      if (part.empty()) throw BadValue(at + from, "is empty here (type:id[:id...])");
      if (from == 0)
        d.type = part;
      else
        d.ids.emplace_back(part);
    }
    out.push_back(std::move(d));
  }
  return out;
}

}  // namespace shunttrail::pbs
