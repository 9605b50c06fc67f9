// Prints digests of simulated histories, one a line, so that two versions can be compared with
// diff. Broken rules do not change the exit status; the tests check them.
#include <spdlog/spdlog.h>

#include <charconv>
#include <cstdio>
#include <cstring>
#include <optional>
#include <string>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

constexpr int kUsageError = 2;

void print_digest(const std::string& history, const HistoryResult& result) {
  std::printf("%s %016llx\n", history.c_str(), static_cast<unsigned long long>(result.digest));
  std::fflush(stdout);
}

// Prints the digests of the random histories of these seeds, both included.
void print_drawn(unsigned first, unsigned last) {
  for (unsigned seed = first; seed <= last; ++seed)
    print_digest(std::to_string(seed), play_history(seed));
}

// Prints the digest of a history with each named fault. The seed is the fault's position in the
// list.
void print_named() {
  unsigned seed = 0;
  for (const NamedFault& fault : named_faults())
    print_digest(fault.name, play_history(++seed, {fault.name}));
}

std::optional<unsigned> parse_seed(const char* text) {
  unsigned seed = 0;
  const char* end = text + std::strlen(text);
  const auto [parsed_to, error] = std::from_chars(text, end, seed);
  if (error != std::errc{} || parsed_to != end) return std::nullopt;
  return seed;
}

int run(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  if (argc == 2 && std::strcmp(argv[1], "named") == 0) {
    print_named();
    return 0;
  }
  if (argc == 3) {
    const auto first = parse_seed(argv[1]);
    const auto last = parse_seed(argv[2]);
    if (first && last) {
      print_drawn(*first, *last);
      return 0;
    }
  }
  std::fprintf(stderr, "usage: history_digests FROM TO | history_digests named\n");
  return kUsageError;
}

}  // namespace
}  // namespace shunttrail::test

int main(int argc, char** argv) { return shunttrail::test::run(argc, argv); }
