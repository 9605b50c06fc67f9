// Readers of directives' values: times, sizes, resource lists, chunks and ranges, in the forms of
// qsub(1B) and pbs_resources(7B). Each reader throws InvalidValue with the offset of the fault.
#pragma once
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shunttrail::pbs {

/// A value has an invalid form. `what()` is the reason, worded to follow the value's name.
struct InvalidValue : std::runtime_error {
  InvalidValue(std::size_t at, const std::string& why) : std::runtime_error(why), offset(at) {}
  std::size_t offset;  ///< of the fault in the value, from 0
};

/// Reads [[hours:]minutes:]seconds[.fraction]; returns seconds.
double read_seconds(std::string_view text);
/// Reads an integer with unit b, kb, mb, gb, tb or pb, or w, kw ... (words of eight bytes); returns
/// units of 2^30 bytes.
double read_size_gb(std::string_view text);
/// Reads a whole number of decimal digits, without a sign, that is at most `most`.
std::uint64_t read_count(std::string_view text, std::uint64_t most);

/// Splits a text at each `separator`. Returns the parts, each with its offset.
std::vector<std::pair<std::size_t, std::string_view>> split_at(std::string_view text,
                                                               char separator);

struct Resource {
  std::string name, value;
  std::size_t at = 0;        ///< offset of the name
  std::size_t value_at = 0;  ///< offset of the value
};
/// Reads name[=value] pairs separated by commas.
std::vector<Resource> read_resources(std::string_view text);

/// A number of tasks with the same resources.
struct Chunk {
  std::uint64_t count = 1;
  std::vector<Resource> resources;
  std::size_t at = 0;  ///< offset
};
/// Reads [N:]res=value[:res=value...][+...].
std::vector<Chunk> read_select(std::string_view text);
/// Reads the older form of chunks, N[:ppn=M][:property...][+...].
std::vector<Chunk> read_nodes(std::string_view text);

/// The indexes of an array: first-last[:step][%limit].
struct Range {
  std::uint64_t first = 0, last = 0, step = 1;
  std::uint64_t limit = 0;  ///< of %limit: most tasks that run at a time; 0: not given
  std::uint64_t size() const { return (last - first) / step + 1; }
};
Range read_range(std::string_view text);

struct Dependency {
  std::string type;
  std::vector<std::string> ids;
  std::size_t at = 0;  ///< offset
};
/// Reads dependencies of the form type:id[:id...] separated by commas.
std::vector<Dependency> read_dependencies(std::string_view text);

}  // namespace shunttrail::pbs
