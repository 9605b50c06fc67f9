#include "pbs/script.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace shunttrail::pbs {
namespace {

namespace p = tao::pegtl;

// qsub's options. A flag takes nothing; every other one takes the rest of its word, or the next
// word.
constexpr std::string_view kFlags = "hVzIXfx";
constexpr std::string_view kValued = "aAcCeGjJklmMNopPqrRSuvW";

struct Word {
  std::string text;
  std::size_t column = 0;
};

// Words as a shell would have them: quotes hold blanks together, a backslash takes the next byte.
struct Words {
  std::vector<Word> words;
  std::string current;
  std::size_t began = 0;
};
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

std::string label(char option) { return std::string("-") + option; }

// Options from words; `strict`: whatever is no option is a fault. Otherwise the first such word
// ends them.
std::size_t options(const std::vector<Word>& words, std::size_t line_number, bool strict,
                    Script& out) {
  std::size_t i = 0;
  for (; i < words.size(); ++i) {
    const Word& w = words[i];
    Place at{line_number, w.column};
    if (w.text.size() < 2 || w.text[0] != '-') {
      if (!strict) return i;
      out.faults.push_back({at, w.text.substr(0, 40), "is not an option"});
      continue;
    }
    if (w.text == "--") {
      if (!strict) return i + 1;
      out.faults.push_back({at, "--", "is not an option"});
      continue;
    }
    // Flags may be joined, and the last of the word may be one that takes a value.
    for (std::size_t c = 1; c < w.text.size(); ++c) {
      char o = w.text[c];
      if (kFlags.find(o) != std::string_view::npos) {
        out.directives.push_back({o, "", at, w.column});
        continue;
      }
      if (kValued.find(o) == std::string_view::npos) {
        out.faults.push_back({at, w.text.substr(0, 40), "is not an option of qsub"});
        break;
      }
      if (c + 1 < w.text.size()) {
        out.directives.push_back({o, w.text.substr(c + 1), at, w.column + c + 1});
      } else if (i + 1 < words.size()) {
        ++i;
        out.directives.push_back({o, words[i].text, at, words[i].column});
      } else {
        out.faults.push_back({at, label(o), "needs a value"});
      }
      break;
    }
  }
  return i;
}

// A backslash at the end takes the next line in, unless it is itself taken by one before it.
bool continues(std::string_view line_text) {
  auto last = line_text.find_last_not_of('\\');
  return (line_text.size() - (last == std::string_view::npos ? 0 : last + 1)) % 2 == 1;
}

// What kind of text it is at all; a fault ends the reading.
bool readable(std::string_view text, Script& out) {
  auto refuse = [&](Place at, const char* why) {
    out.faults.push_back({at, "", why});
    return false;
  };
  if (text.size() > kScriptMost) return refuse({1, 1}, "the script is longer than 1 MiB");
  if (text.starts_with("\xff\xfe") || text.starts_with("\xfe\xff"))
    return refuse({1, 1}, "the script is UTF-16; it has to be ASCII or UTF-8");
  std::size_t line_number = 1, column = 1;
  for (std::size_t i = 0; i < text.size(); ++i, ++column) {
    unsigned char c = static_cast<unsigned char>(text[i]);
    if (c == '\n') {
      ++line_number;
      column = 0;
    } else if (c == '\r' && i + 1 < text.size() && text[i + 1] == '\n') {
      return refuse({line_number, column}, "the line ends in CR LF; lines have to end in LF");
    } else if (c == 0) {
      return refuse({line_number, column}, "holds a NUL byte: this is no script");
    }
  }
  return true;
}

void read_line(std::string_view text, std::size_t line_number, std::size_t first_column,
               Script& out) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned char c = static_cast<unsigned char>(text[i]);
    if (c < 0x20 && c != '\t') {
      out.faults.push_back({{line_number, first_column + i}, "", "holds a control character"});
      return;
    }
  }
  Words words;
  p::memory_input in(text.data(), text.data() + text.size(), "", 0, 1, 1);
  try {
    p::parse<line, act>(in, words);
  } catch (const p::parse_error& e) {
    out.faults.push_back({{line_number, first_column + e.positions().front().column - 1},
                          std::string(text.substr(0, 40)),
                          "a quotation is not closed"});
    return;
  }
  for (auto& w : words.words) w.column += first_column - 1;
  options(words.words, line_number, true, out);
}

}  // namespace

Script read_script(std::string_view text, std::string_view prefix) {
  Script out;
  if (!readable(text, out)) return out;
  bool block = true;
  std::size_t line_number = 0;
  while (!text.empty()) {
    ++line_number;
    auto take = [&] {
      auto end = text.find('\n');
      std::string_view l = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      return l;
    };
    std::string_view l = take();
    if (line_number == 1 && l.starts_with("#!")) {
      l.remove_prefix(2);
      while (!l.empty() && (l.front() == ' ' || l.front() == '\t')) l.remove_prefix(1);
      out.shell = l.substr(0, l.find_first_of(" \t"));
      continue;
    }
    bool directive = !prefix.empty() && l.starts_with(prefix) &&
                     (l.size() == prefix.size() || l[prefix.size()] == ' ' ||
                      l[prefix.size()] == '\t' || l[prefix.size()] == '-');
    if (!block) {
      // qsub reads no further than the first command; who wrote this meant it to count.
      if (directive)
        out.ignored.push_back({{line_number, 1},
                               std::string(l.substr(0, 80)),
                               "stands behind the first command, where qsub does not look"});
      continue;
    }
    if (!directive) {
      auto first = l.find_first_not_of(" \t");
      if (first != std::string_view::npos && l[first] != '#' && !(line_number == 1 && l[0] == ':'))
        block = false;
      continue;
    }
    if (out.directives.size() + out.faults.size() >= kDirectivesMost) {
      out.faults.push_back(
          {{line_number, 1},
           std::string(prefix),
           "there are more than " + std::to_string(kDirectivesMost) + " directives"});
      return out;
    }
    std::string whole(l.substr(prefix.size()));
    const std::size_t began = line_number;
    while (continues(whole) && !text.empty()) {
      whole.pop_back();
      std::string_view more = take();
      ++line_number;
      if (more.starts_with(prefix)) more.remove_prefix(prefix.size());
      whole += more;
    }
    read_line(whole, began, prefix.size() + 1, out);
  }
  return out;
}

Script read_arguments(const std::vector<std::string>& words, std::size_t& taken) {
  Script out;
  std::vector<Word> list;
  for (std::size_t i = 0; i < words.size(); ++i) list.push_back({words[i], i + 1});
  taken = options(list, 0, false, out);
  return out;
}

std::string print(const Directive& d, std::string_view prefix) {
  std::string out = std::string(prefix) + " " + label(d.option);
  if (kFlags.find(d.option) != std::string_view::npos) return out;
  out += ' ';
  for (char c : d.value) {
    if (c == ' ' || c == '\t' || c == '\'' || c == '"' || c == '\\') out += '\\';
    out += c;
  }
  if (d.value.empty()) out += "''";
  return out;
}

}  // namespace shunttrail::pbs
