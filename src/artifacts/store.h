// The directory of the artifact store: content-addressed blobs, and names that refer to small JSON
// values.
//
// A blob is addressed by the BLAKE2b-256 hash of its bytes (libsodium). It becomes visible by a
// rename, after its hash has been checked and its bytes have been synced. A name is written
// atomically. There are two kinds of names. A name without a version is written once, and its first
// value stays (a job's description, a task's result). The value of a versioned name is replaced
// only by a higher version (a task's latest checkpoint). Errors: BadRequest for an invalid request,
// std::system_error for disk errors.
#pragma once
#include <cstdint>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace shunttrail::artifacts {

/// An invalid request. The message is one line with the cause.
struct BadRequest : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Computes the hash of a stream of bytes, as 64 hex digits.
class Hasher {
 public:
  Hasher();
  ~Hasher();
  Hasher(const Hasher&) = delete;
  Hasher& operator=(const Hasher&) = delete;
  void add(std::string_view bytes);
  /// Returns the hash. May be called once, after the last add().
  [[nodiscard]] std::string hex();

 private:
  struct State;
  State* state_;
};
[[nodiscard]] std::string hash_of(std::string_view bytes);
[[nodiscard]] bool valid_hash(std::string_view text);
/// Returns whether the text is a valid name: one to six parts of letters, digits, '.', '-' and '_',
/// separated by '/', none of them "." or "..".
[[nodiscard]] bool valid_name(std::string_view text);
/// Replaces a file's content atomically and durably: writes and syncs a temporary file, renames it,
/// and syncs the directory. Throws std::system_error.
void replace_file(const std::filesystem::path& file, std::string_view bytes);
/// Returns the file's content; empty if it cannot be read.
[[nodiscard]] std::string read_file_or_empty(const std::filesystem::path& file);

class Store {
 public:
  /// Opens the store. Removes uploads that have not been continued for a day.
  explicit Store(std::filesystem::path dir);

  /// Appends a part to an upload if `at` equals the upload's size, so that a repeated part is
  /// ignored. Returns the upload's size afterwards, in both cases.
  std::uint64_t add_part(const std::string& upload, std::uint64_t at, std::string_view bytes);
  /// Makes the upload a blob. Returns false, and removes the upload, if its bytes have another
  /// hash. A blob that exists already is left unchanged.
  [[nodiscard]] bool finish(const std::string& upload, const std::string& hash);
  [[nodiscard]] bool has(const std::string& hash) const;
  /// Returns at most `max_bytes` bytes from offset `at`, or an empty string at the end of the blob.
  /// Returns nothing if there is no such blob.
  [[nodiscard]] std::optional<std::string> read(const std::string& hash, std::uint64_t at,
                                                std::size_t max_bytes) const;

  /// A value under a name.
  struct Named {
    std::string value;          ///< JSON text
    std::uint64_t version = 0;  ///< 0 for a name that is written once
    std::uint64_t part = 0;     ///< orders values of the same version
    friend bool operator==(const Named&, const Named&) = default;
  };
  enum class Put { created, same, refused };
  /// Stores a value. A value with version 0 is stored only if the name is new. Any other value
  /// replaces the stored one only if its version and part are higher, and the stored version is not
  /// 0.
  Put put_name(const std::string& name, const Named& value);
  /// Returns the value, or nothing if there is no such name.
  [[nodiscard]] std::optional<Named> get_name(const std::string& name) const;

 private:
  [[nodiscard]] std::filesystem::path upload_path(const std::string& upload) const;
  [[nodiscard]] std::filesystem::path blob_path(const std::string& hash) const;
  [[nodiscard]] std::filesystem::path name_path(const std::string& name) const;

  std::filesystem::path dir_;
};

/// Returns {"value":...,"version":V,"part":P}, the form of a named value on disk and in messages.
[[nodiscard]] std::string encode_named(const Store::Named& value);
/// Returns nothing if the text does not have this form.
[[nodiscard]] std::optional<Store::Named> decode_named(std::string_view text);

}  // namespace shunttrail::artifacts
