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

struct BadRequest : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Hash of a stream of bytes, as 64 hex digits.
class Hasher {
 public:
  Hasher();
  ~Hasher();
  Hasher(const Hasher&) = delete;
  Hasher& operator=(const Hasher&) = delete;
  void add(std::string_view bytes);
  std::string hex();  // once, at the end

 private:
  struct State;
  State* state_;
};
std::string hash_of(std::string_view bytes);
bool valid_hash(std::string_view s);
// One to six parts of letters, digits, '.', '-' and '_', none of them "." or "..".
bool valid_name(std::string_view s);
// A file's bytes replaced whole: written aside, synced, renamed, and the directory synced.
void write_whole(const std::filesystem::path& file, std::string_view bytes);
// All of a file; empty if it cannot be read.
std::string read_whole(const std::filesystem::path& file);

class Store {
 public:
  explicit Store(std::filesystem::path dir);

  // Parts of an upload. `at` has to be what is there already, so that a repeated part does no harm;
  // the size afterwards is returned, also when it did not match.
  std::uint64_t add_part(const std::string& upload, std::uint64_t at, std::string_view bytes);
  // The upload becomes the blob; false: its bytes have another hash, and it is thrown away.
  // A blob that is there already is left as it is.
  bool finish(const std::string& upload, const std::string& hash);
  bool has(const std::string& hash) const;
  // Bytes from `at` on, at most `most`; nothing if there is no such blob. Empty at its end.
  std::optional<std::string> read(const std::string& hash, std::uint64_t at,
                                  std::size_t most) const;

  struct Named {
    std::string value;          // JSON text
    std::uint64_t version = 0;  // 0: written once
    std::uint64_t part = 0;     // orders what has the same version
    friend bool operator==(const Named&, const Named&) = default;
  };
  enum class Put { created, same, refused };
  // `version` 0: written once. Otherwise taken only above the version and part that are there.
  Put put_name(const std::string& name, const Named& n);
  std::optional<Named> get_name(const std::string& name) const;

 private:
  std::filesystem::path blob_path(const std::string& hash) const;
  std::filesystem::path name_path(const std::string& name) const;
  std::filesystem::path dir_;
};

// {"value":...,"version":V,"part":P}, as names are kept and as they travel.
std::string encode_named(const Store::Named& n);
std::optional<Store::Named> decode_named(std::string_view text);

}  // namespace shunttrail::artifacts
