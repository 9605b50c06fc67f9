// Directories as tar files (libarchive), written and read in small steps, so that an actor that
// does it goes on answering. Images and checkpoints travel in this form.
//
// What is unpacked stays below its directory: absolute names, "..", links of any kind, devices and
// whatever else is neither a file nor a directory are refused, and so is more than `max_bytes`
// bytes.
#pragma once
#include <cstdint>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>

namespace shunttrail::artifacts {

/// Says in one line what is wrong, naming the entry.
struct BadArchive : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Writes a directory's files and directories into a tar file; links are left out.
class Packer {
 public:
  /// Throws BadArchive or std::filesystem::filesystem_error.
  Packer(std::filesystem::path dir, const std::filesystem::path& tar);
  ~Packer();
  /// Writes a little more. True: the archive is whole. Throws BadArchive.
  [[nodiscard]] bool step();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Reads a tar file, gzipped or not, into a directory.
class Unpacker {
 public:
  /// `max_bytes`: of all files. Throws BadArchive or std::filesystem::filesystem_error.
  Unpacker(const std::filesystem::path& tar, std::filesystem::path dir, std::uint64_t max_bytes);
  ~Unpacker();
  /// Reads a little more. True: all is unpacked. Throws BadArchive or
  /// std::filesystem::filesystem_error.
  [[nodiscard]] bool step();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shunttrail::artifacts
