// The artifact store's directory: content-addressed blobs, and names that point at small JSON
// values.
//
// A blob is found by the BLAKE2b-256 hash of its bytes (libsodium); it becomes visible in one
// rename, after its bytes and its hash have been checked and synced. A name is written whole or not
// at all. Two kinds of names: those without a version are written once (a job's description, a
// task's result: the first one stays), the others only move up (a task's latest checkpoint).
// Errors: BadRequest for what no caller may ask, std::system_error for the disk's.
#pragma once
#include <cstdint>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace shunttrail::artifacts {

/// What no caller may ask; says in one line why.
struct BadRequest : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Hash of a stream of bytes, as 64 hex digits.
class Hasher {
 public:
  Hasher();
  ~Hasher();
  Hasher(const Hasher&) = delete;
  Hasher& operator=(const Hasher&) = delete;
  void add(std::string_view bytes);
  /// Once, at the end.
  [[nodiscard]] std::string hex();

 private:
  struct State;
  State* state_;
};
[[nodiscard]] std::string hash_of(std::string_view bytes);
[[nodiscard]] bool valid_hash(std::string_view text);
/// One to six parts of letters, digits, '.', '-' and '_', none of them "." or "..".
[[nodiscard]] bool valid_name(std::string_view text);
/// Replaces a file's bytes whole: written aside, synced, renamed, and the directory synced. Throws
/// std::system_error.
void replace_file(const std::filesystem::path& file, std::string_view bytes);
/// All of a file; empty if it cannot be read.
[[nodiscard]] std::string read_file_or_empty(const std::filesystem::path& file);

class Store {
 public:
  /// Uploads that nobody has gone on with for a day are removed.
  explicit Store(std::filesystem::path dir);

  /// Adds a part of an upload. `at` has to be what is there already, so that a repeated part does
  /// no harm; the size afterwards is returned, also when it did not match.
  std::uint64_t add_part(const std::string& upload, std::uint64_t at, std::string_view bytes);
  /// The upload becomes the blob; false: its bytes have another hash, and it is removed. A blob
  /// that is there already is left as it is.
  [[nodiscard]] bool finish(const std::string& upload, const std::string& hash);
  [[nodiscard]] bool has(const std::string& hash) const;
  /// Bytes from `at` on, at most `most`; nothing if there is no such blob. Empty at its end.
  [[nodiscard]] std::optional<std::string> read(const std::string& hash, std::uint64_t at,
                                                std::size_t most) const;

  /// A value under a name.
  struct Named {
    std::string value;          ///< JSON text
    std::uint64_t version = 0;  ///< 0: written once
    std::uint64_t part = 0;     ///< orders what has the same version
    friend bool operator==(const Named&, const Named&) = default;
  };
  enum class Put { created, same, refused };
  /// `version` 0: written once. Otherwise taken only above the version and part that are there.
  Put put_name(const std::string& name, const Named& value);
  /// Nothing: there is no such name.
  [[nodiscard]] std::optional<Named> get_name(const std::string& name) const;

 private:
  [[nodiscard]] std::filesystem::path upload_path(const std::string& upload) const;
  [[nodiscard]] std::filesystem::path blob_path(const std::string& hash) const;
  [[nodiscard]] std::filesystem::path name_path(const std::string& name) const;

  std::filesystem::path dir_;
};

/// {"value":...,"version":V,"part":P}, as names are kept and as they travel.
[[nodiscard]] std::string encode_named(const Store::Named& value);
/// Nothing: the text is not of this form.
[[nodiscard]] std::optional<Store::Named> decode_named(std::string_view text);

}  // namespace shunttrail::artifacts
