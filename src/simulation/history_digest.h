/// A hash of a simulated history, for comparing histories across runs, builds and versions.
#pragma once
#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shunttrail::simulation {

/// An incremental 64-bit FNV-1a hash (http://www.isthe.com/chongo/tech/comp/fnv/). Not
/// cryptographic. The value depends on the added values and their order, not on the platform's byte
/// order.
class HistoryDigest {
 public:
  /// Adds the bytes without a length. Successive calls hash like one call with the concatenation.
  void add_bytes(std::string_view bytes) {
    for (const char byte : bytes) add_byte(static_cast<std::uint8_t>(byte));
  }

  /// Adds the number as eight bytes, least significant first.
  void add_number(std::uint64_t number) {
    for (std::size_t i = 0; i < sizeof number; ++i) {
      add_byte(static_cast<std::uint8_t>(number & 0xff));
      number >>= 8;
    }
  }

  /// Adds the bit pattern, so that values which differ only in the last bit hash differently.
  void add_double(double value) { add_number(std::bit_cast<std::uint64_t>(value)); }

  /// Adds the text after its length, so that {"ab", "c"} and {"a", "bc"} hash differently.
  void add_text(std::string_view text) {
    add_number(text.size());
    add_bytes(text);
  }

  /// The hash of all values added so far.
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  static constexpr std::uint64_t kPrime = 0x100000001b3;

  void add_byte(std::uint8_t byte) {
    value_ ^= byte;
    value_ *= kPrime;
  }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace shunttrail::simulation
