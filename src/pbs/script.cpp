#include "pbs/script.h"

#include <optional>
#include <tao/pegtl.hpp>

namespace shunttrail::pbs {
namespace {

namespace p = tao::pegtl;

// The options of qsub. A flag has no value. Any other option takes the rest of its word or, if that
// is empty, the next word as its value.
constexpr std::string_view kFlags = "hVzIXfx";
constexpr std::string_view kValued = "aAcCeGjJklmMNopPqrRSuvW";

struct Word {
  std::string text;
  std::size_t column = 0;
};

// Words as in a shell: quotes protect blanks, and a backslash quotes the next byte.
struct Words {
  std::vector<Word> words;
  std::string current;
  std::size_t began = 0;
};
// NOLINTBEGIN(readability-identifier-naming): PEGTL's rules are written in lower case, as its own
// are.
struct blank : p::one<' ', '\t'> {};
struct in_single : p::not_one<'\''> {};
struct in_double : p::not_one<'"'> {};
struct single : p::if_must<p::one<'\''>, p::star<in_single>, p::one<'\''>> {};
struct double_ : p::if_must<p::one<'"'>, p::star<in_double>, p::one<'"'>> {};
struct escaped_byte : p::any {};
struct escaped : p::if_must<p::one<'\\'>, escaped_byte> {};
struct plain : p::not_one<' ', '\t', '\'', '"', '\\'> {};
struct begin_word : p::success {};
struct word : p::seq<p::not_at<blank>, p::not_at<p::eof>, begin_word,
                     p::plus<p::sor<single, double_, escaped, plain>>> {};
struct line : p::must<p::star<blank>, p::star<word, p::star<blank>>, p::eof> {};

template <class Rule>
struct act : p::nothing<Rule> {};
template <>
struct act<begin_word> {
  template <class In>
  static void apply(const In& in, Words& w) {
    w.current.clear();
    w.began = in.position().column;
  }
};
struct append {
  template <class In>
  static void apply(const In& in, Words& w) {
    w.current += in.string_view();
  }
};
template <>
struct act<in_single> : append {};
template <>
struct act<in_double> : append {};
template <>
struct act<escaped_byte> : append {};
template <>
struct act<plain> : append {};
template <>
struct act<word> {
  template <class In>
  static void apply(const In&, Words& w) {
    w.words.push_back({w.current, w.began});
  }
};
// NOLINTEND(readability-identifier-naming)

constexpr std::size_t kMaxShownWordBytes = 40;  // part of a word shown to users
constexpr std::size_t kMaxShownLineBytes = 80;  // part of a line shown to users
constexpr unsigned char kFirstPrintable = 0x20;

std::string label(char option) { return std::string("-") + option; }

bool is_flag(char option) { return kFlags.find(option) != std::string_view::npos; }
bool takes_value(char option) { return kValued.find(option) != std::string_view::npos; }
bool is_blank(char c) { return c == ' ' || c == '\t'; }

// Treatment of a word that is not an option.
enum class NonOption {
  is_fault,  // in a directive: the word is a fault
  ends,      // on a command line: the word ends the options
};

// Reads options from words.
class OptionReader {
 public:
  OptionReader(const std::vector<Word>& words, std::size_t line_number, Script& script)
      : words_(words), line_number_(line_number), script_(script) {}

  // Reads the options and returns the number of words read.
  std::size_t read(NonOption non_option) {
    while (next_ < words_.size()) {
      const Word& word = words_[next_];
      if (word.text == "--" && non_option == NonOption::ends) return next_ + 1;
      if (is_option(word)) {
        ++next_;
        read_word(word);
      } else {
        if (non_option == NonOption::ends) return next_;
        ++next_;
        fault(word, word.text.substr(0, kMaxShownWordBytes), "is not an option");
      }
    }
    return next_;
  }

 private:
  static bool is_option(const Word& word) {
    return word.text.size() >= 2 && word.text[0] == '-' && word.text != "--";
  }

  Position position_of(const Word& word) const { return {line_number_, word.column}; }

  void fault(const Word& word, const std::string& directive, const std::string& reason) {
    script_.faults.push_back({position_of(word), directive, reason});
  }

  // Reads a word of joined flags, whose last letter may be an option that takes a value.
  void read_word(const Word& word) {
    for (std::size_t i = 1; i < word.text.size(); ++i) {
      const char option = word.text[i];
      if (!is_flag(option)) return read_valued(word, i);
      script_.directives.push_back({option, "", position_of(word), word.column});
    }
  }

  // Reads an option whose value is the rest of its word or, if that is empty, the next word.
  void read_valued(const Word& word, std::size_t at) {
    const char option = word.text[at];
    const std::string rest = word.text.substr(at + 1);
    if (!takes_value(option))
      return fault(word, word.text.substr(0, kMaxShownWordBytes), "is not an option of qsub");
    if (!rest.empty()) {
      script_.directives.push_back({option, rest, position_of(word), word.column + at + 1});
    } else if (next_ < words_.size()) {
      const Word& value = words_[next_++];
      script_.directives.push_back({option, value.text, position_of(word), value.column});
    } else {
      fault(word, label(option), "needs a value");
    }
  }

  const std::vector<Word>& words_;
  std::size_t line_number_;
  Script& script_;
  std::size_t next_ = 0;
};

// Returns whether the line ends in a backslash that is not itself quoted by a preceding backslash,
// so that the next line continues it.
bool continues(std::string_view line_text) {
  const auto last = line_text.find_last_not_of('\\');
  const std::size_t text_end = last == std::string_view::npos ? 0 : last + 1;
  return (line_text.size() - text_end) % 2 == 1;
}

// Returns the reason why a text cannot be a script, or nothing.
std::optional<Fault> find_unreadable(std::string_view text) {
  auto refusal = [](Position at, const char* reason) { return Fault{at, "", reason}; };
  if (text.size() > kMaxScriptBytes) return refusal({1, 1}, "the script is longer than 1 MiB");
  if (text.starts_with("\xff\xfe") || text.starts_with("\xfe\xff"))
    return refusal({1, 1}, "the script is UTF-16; it has to be ASCII or UTF-8");
  Position at{1, 1};
  for (std::size_t i = 0; i < text.size(); ++i, ++at.column) {
    const char c = text[i];
    if (c == '\n') {
      ++at.line;
      at.column = 0;
    } else if (c == '\r' && i + 1 < text.size() && text[i + 1] == '\n') {
      return refusal(at, "the line ends in CR LF; lines have to end in LF");
    } else if (c == '\0') {
      return refusal(at, "holds a NUL byte: this is no script");
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> find_control_character(std::string_view text) {
  for (std::size_t i = 0; i < text.size(); ++i)
    if (static_cast<unsigned char>(text[i]) < kFirstPrintable && text[i] != '\t') return i;
  return std::nullopt;
}

// Reads the options of one directive, whose prefix is removed. `first_column` is the column of
// `text`.
void read_directive(std::string_view text, std::size_t line_number, std::size_t first_column,
                    Script& script) {
  if (auto at = find_control_character(text)) {
    script.faults.push_back({{line_number, first_column + *at}, "", "holds a control character"});
    return;
  }
  Words words;
  p::memory_input in(text.data(), text.data() + text.size(), "", 0, 1, 1);
  try {
    p::parse<line, act>(in, words);
  } catch (const p::parse_error& error) {
    const std::size_t column = first_column + error.positions().front().column - 1;
    script.faults.push_back({{line_number, column},
                             std::string(text.substr(0, kMaxShownWordBytes)),
                             "a quotation is not closed"});
    return;
  }
  for (Word& word : words.words) word.column += first_column - 1;
  OptionReader(words.words, line_number, script).read(NonOption::is_fault);
}

// Reads a script line by line.
class ScriptReader {
 public:
  ScriptReader(std::string_view text, std::string_view prefix) : text_(text), prefix_(prefix) {}

  Script read() {
    while (!text_.empty() && !stopped_) read_line(take_line());
    return std::move(script_);
  }

 private:
  std::string_view take_line() {
    ++line_number_;
    const auto end = text_.find('\n');
    const std::string_view taken = text_.substr(0, end);
    text_.remove_prefix(end == std::string_view::npos ? text_.size() : end + 1);
    return taken;
  }

  void read_line(std::string_view text) {
    if (line_number_ == 1 && text.starts_with("#!"))
      read_shell(text.substr(2));
    else if (!is_directive(text))
      in_leading_block_ = in_leading_block_ && !is_command(text);
    else if (in_leading_block_)
      read_continued_directive(text);
    else
      // qsub ignores directives after the first command. The author probably did not intend that,
      // so the line is reported.
      script_.ignored.push_back({{line_number_, 1},
                                 std::string(text.substr(0, kMaxShownLineBytes)),
                                 "follows the first command, where qsub reads no directives"});
  }

  void read_shell(std::string_view text) {
    while (!text.empty() && is_blank(text.front())) text.remove_prefix(1);
    script_.shell = text.substr(0, text.find_first_of(" \t"));
  }

  bool is_directive(std::string_view text) const {
    if (prefix_.empty() || !text.starts_with(prefix_)) return false;
    if (text.size() == prefix_.size()) return true;
    const char next = text[prefix_.size()];
    return is_blank(next) || next == '-';
  }

  // Returns whether the line is a command: not empty, not a comment, and not a first line that
  // begins with ':'.
  bool is_command(std::string_view text) const {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos || text[first] == '#') return false;
    return !(line_number_ == 1 && text[0] == ':');
  }

  void read_continued_directive(std::string_view text) {
    if (script_.directives.size() + script_.faults.size() >= kMaxDirectives) {
      script_.faults.push_back(
          {{line_number_, 1},
           std::string(prefix_),
           "there are more than " + std::to_string(kMaxDirectives) + " directives"});
      stopped_ = true;
      return;
    }
    std::string whole(text.substr(prefix_.size()));
    const std::size_t first_line = line_number_;
    while (continues(whole) && !text_.empty()) {
      whole.pop_back();
      std::string_view more = take_line();
      if (more.starts_with(prefix_)) more.remove_prefix(prefix_.size());
      whole += more;
    }
    read_directive(whole, first_line, prefix_.size() + 1, script_);
  }

  std::string_view text_;  // the text that is not read yet
  std::string_view prefix_;
  Script script_;
  std::size_t line_number_ = 0;
  bool in_leading_block_ = true;  // no command has been read yet
  bool stopped_ = false;
};

}  // namespace

Script read_script(std::string_view text, std::string_view prefix) {
  if (auto fault = find_unreadable(text)) {
    Script refused;
    refused.faults.push_back(std::move(*fault));
    return refused;
  }
  return ScriptReader(text, prefix).read();
}

Script read_arguments(const std::vector<std::string>& words, std::size_t& taken) {
  Script script;
  std::vector<Word> numbered;
  for (std::size_t i = 0; i < words.size(); ++i) numbered.push_back({words[i], i + 1});
  taken = OptionReader(numbered, 0, script).read(NonOption::ends);
  return script;
}

std::string print(const Directive& directive, std::string_view prefix) {
  std::string out = std::string(prefix) + " " + label(directive.option);
  if (is_flag(directive.option)) return out;
  out += ' ';
  for (char c : directive.value) {
    if (is_blank(c) || c == '\'' || c == '"' || c == '\\') out += '\\';
    out += c;
  }
  if (directive.value.empty()) out += "''";
  return out;
}

}  // namespace shunttrail::pbs
