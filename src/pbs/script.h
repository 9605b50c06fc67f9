// Reads the directives of a PBS job script as described in qsub(1B): the lines before the first
// command that begin with the prefix, each with options as on a command line. Does no I/O, and
// reports every fault of a script.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace shunttrail::pbs {

/// A position in a script. Lines and columns count from 1. Line 0 is the command line, where the
/// column is the number of the word.
struct Position {
  std::size_t line = 0;
  std::size_t column = 0;
  friend bool operator==(const Position&, const Position&) = default;
};

/// A reason why a script is refused.
struct Fault {
  Position at;
  std::string directive;
  std::string reason;
};

/// One option of a directive or of the command line.
struct Directive {
  char option = 0;    ///< the option's letter
  std::string value;  ///< empty for a flag
  Position at;
  std::size_t value_column = 0;  ///< column at which the value begins
};

/// A directive that is accepted but has no effect in this service.
struct Ignored {
  Position at;
  std::string directive;
  std::string reason;
};

struct Script {
  std::vector<Directive> directives;  ///< in order
  std::vector<Ignored> ignored;
  std::vector<Fault> faults;
  std::string shell;  ///< the program of the "#!" line; empty: none
};

inline constexpr std::size_t kMaxScriptBytes = 1 << 20;  ///< largest size of a script
inline constexpr std::size_t kMaxDirectives = 1000;

/// Reads a script. `prefix` is "#PBS", or the value of -C or PBS_DPREFIX; if it is empty, no line
/// is a directive.
Script read_script(std::string_view text, std::string_view prefix);
/// Reads the options of a command line up to the script's name. Sets `taken` to the number of words
/// read.
Script read_arguments(const std::vector<std::string>& words, std::size_t& taken);
/// Returns a directive as a line that read_script() reads back to the same directive.
std::string print(const Directive& d, std::string_view prefix);

}  // namespace shunttrail::pbs
