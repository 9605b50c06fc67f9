// The values of directives: times, sizes, resource lists, chunks and ranges, by the forms of
// qsub(1B) and pbs_resources(7B). Each reader throws InvalidValue with the offset of what is wrong.
#pragma once
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shunttrail::pbs {

/// A value is not of its form; `what()` says why in words that follow the value's name.
struct InvalidValue : std::runtime_error {
  InvalidValue(std::size_t at, const std::string& why) : std::runtime_error(why), offset(at) {}
  std::size_t offset;  ///< into the value, from 0
};

/// [[hours:]minutes:]seconds[.fraction], or a number of seconds.
double read_seconds(std::string_view text);
/// An integer with b, kb, mb, gb, tb or pb, or w, kw ... (words of eight bytes); in units of 2^30
/// bytes.
double read_size_gb(std::string_view text);
/// A whole number of digits alone.
std::uint64_t read_count(std::string_view text, std::uint64_t most);

/// The split_at between commas, each with its offset.
std::vector<std::pair<std::size_t, std::string_view>> split_at(std::string_view text,
                                                               char separator);

struct Resource {
  std::string name, value;
  std::size_t at = 0;        ///< offset of the name
  std::size_t value_at = 0;  ///< offset of the value
};
/// name[=value], separated by commas.
std::vector<Resource> read_resources(std::string_view text);

/// A number of tasks that need the same.
struct Chunk {
  std::uint64_t count = 1;
  std::vector<Resource> resources;
  std::size_t at = 0;  ///< offset
};
/// [N:]res=value[:res=value...][+...]
std::vector<Chunk> read_select(std::string_view text);
/// The older form: N[:ppn=M][:property...][+...]
std::vector<Chunk> read_nodes(std::string_view text);

/// The indexes of an array: first-last[:step][%limit].
struct Range {
  std::uint64_t first = 0, last = 0, step = 1;
  std::uint64_t limit = 0;  ///< %N: how many at a time; 0: not given
  std::uint64_t size() const { return (last - first) / step + 1; }
};
Range read_range(std::string_view text);

struct Dependency {
  std::string type;
  std::vector<std::string> ids;
  std::size_t at = 0;  ///< offset
};
/// type:id[:id...], separated by commas.
std::vector<Dependency> read_dependencies(std::string_view text);

}  // namespace shunttrail::pbs
