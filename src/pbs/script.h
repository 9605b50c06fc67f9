// The directives of a PBS job script, as qsub(1B) has them: the leading block of lines that begin
// with the prefix, each holding options as on a command line. Free of I/O: text in, directives or
// faults out, and every fault of the script at once.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace shunttrail::pbs {

/// Where something stands: lines and columns from 1; line 0 is the command line, whose columns
/// count its words.
struct Position {
  std::size_t line = 0;
  std::size_t column = 0;
  friend bool operator==(const Position&, const Position&) = default;
};

/// Why a script is refused.
struct Fault {
  Position at;
  std::string directive;
  std::string reason;
};

/// One option.
struct Directive {
  char option = 0;    ///< its letter
  std::string value;  ///< empty for a flag
  Position at;
  std::size_t value_column = 0;  ///< where its value begins
};

/// Accepted, and without effect here.
struct Ignored {
  Position at;
  std::string directive;
  std::string reason;
};

struct Script {
  std::vector<Directive> directives;  ///< in order
  std::vector<Ignored> ignored;
  std::vector<Fault> faults;
  std::string shell;  ///< what "#!" names; empty: none
};

inline constexpr std::size_t kMaxScriptBytes = 1 << 20;  ///< bytes of a script
inline constexpr std::size_t kMaxDirectives = 1000;

/// `prefix`: "#PBS", or what -C or PBS_DPREFIX says; empty: no line is a directive.
Script read_script(std::string_view text, std::string_view prefix);
/// The words of a command line up to the script's name: its options, and how many words they were.
Script read_arguments(const std::vector<std::string>& words, std::size_t& taken);
/// A directive as a line that reads back to it.
std::string print(const Directive& d, std::string_view prefix);

}  // namespace shunttrail::pbs
