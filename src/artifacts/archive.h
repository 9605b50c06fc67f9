// Directories as tar files (libarchive), written and read in small steps, so that an actor that
// does it goes on answering. Images and checkpoints travel in this form.
//
// What is unpacked stays below its directory: absolute names, "..", links of any kind, devices and
// whatever else is neither a file nor a directory are refused, and so is more than `most` bytes.
#pragma once
#include <cstdint>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>

namespace shunttrail::artifacts {

// Says in one line what is wrong, naming the entry.
struct BadArchive : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Packer {
 public:
  Packer(std::filesystem::path dir, const std::filesystem::path& tar);
  ~Packer();
  bool step();  // true: all done and synced

 private:
  struct State;
  std::unique_ptr<State> s_;
};

class Unpacker {
 public:
  Unpacker(const std::filesystem::path& tar, std::filesystem::path dir, std::uint64_t most);
  ~Unpacker();
  bool step();  // true: all done

 private:
  struct State;
  std::unique_ptr<State> s_;
};

}  // namespace shunttrail::artifacts
