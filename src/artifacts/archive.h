// Packs directories into tar files and unpacks them (libarchive). Both work in small steps, so that
// the calling actor can handle other messages in between. Images and checkpoints are transferred as
// such archives.
//
// Unpacking never writes outside the target directory: absolute names, "..", links of any kind,
// devices and anything else that is neither a file nor a directory are refused, and so are more
// than `max_bytes` bytes.
#pragma once
#include <cstdint>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>

namespace shunttrail::artifacts {

/// An archive that cannot be packed or unpacked. The message is one line with the file or entry and
/// the cause.
struct BadArchive : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Packs a directory's files and subdirectories into a tar file; links are left out.
class Packer {
 public:
  /// Throws BadArchive or std::filesystem::filesystem_error.
  Packer(std::filesystem::path dir, const std::filesystem::path& tar);
  ~Packer();
  /// Writes the next part. Returns true once the archive is complete. Throws BadArchive.
  [[nodiscard]] bool step();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Unpacks a tar file, gzipped or not, into a directory.
class Unpacker {
 public:
  /// `max_bytes` limits the total size of the unpacked files. Throws BadArchive or
  /// std::filesystem::filesystem_error.
  Unpacker(const std::filesystem::path& tar, std::filesystem::path dir, std::uint64_t max_bytes);
  ~Unpacker();
  /// Unpacks the next part. Returns true once everything is unpacked. Throws BadArchive or
  /// std::filesystem::filesystem_error.
  [[nodiscard]] bool step();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shunttrail::artifacts
