#include "artifacts/archive.h"

#include <archive.h>
#include <archive_entry.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <vector>

namespace shunttrail::artifacts {
namespace fs = std::filesystem;
namespace {

constexpr std::size_t kStepBytes = 256 * 1024;
constexpr std::size_t kReadBlockBytes = 64 * 1024;
constexpr int kPermissionBits = 0777;

struct WriteFree {
  void operator()(archive* handle) const { archive_write_free(handle); }
};
struct ReadFree {
  void operator()(archive* handle) const { archive_read_free(handle); }
};
struct EntryFree {
  void operator()(archive_entry* entry) const { archive_entry_free(entry); }
};
using EntryPtr = std::unique_ptr<archive_entry, EntryFree>;

// Returns the entry's name as a path relative to the target directory. Throws BadArchive if it may
// lead out of the directory.
fs::path checked_name(const char* name) {
  fs::path path = name ? fs::path(name) : fs::path();
  if (path.empty() || path.is_absolute())
    throw BadArchive("entry " + path.string() + ": name is empty or absolute");
  for (const auto& part : path)
    if (part == "..") throw BadArchive("entry " + path.string() + ": name contains \"..\"");
  return path;
}

// Returns the paths to pack, in order of name. Links are left out: after unpacking they could point
// anywhere, and their targets do not belong to the task.
std::vector<fs::path> files_and_directories(const fs::path& dir) {
  std::vector<fs::path> paths;
  for (const auto& entry : fs::recursive_directory_iterator(dir)) {
    if (entry.is_symlink() || !(entry.is_regular_file() || entry.is_directory())) continue;
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

struct Packer::State {
  fs::path dir, tar;
  std::unique_ptr<archive, WriteFree> output;
  std::vector<fs::path> paths;
  std::size_t next = 0;               // index in `paths`
  std::ifstream file;                 // the file that is being packed
  std::uint64_t unwritten_bytes = 0;  // remaining bytes of `file`

  [[noreturn]] void fail() const {
    throw BadArchive(tar.string() + ": " + archive_error_string(output.get()));
  }
  void write_content();
  void write_header();
};

Packer::Packer(fs::path dir, const fs::path& tar) : state_(std::make_unique<State>()) {
  state_->dir = std::move(dir);
  state_->tar = tar;
  state_->paths = files_and_directories(state_->dir);
  state_->output.reset(archive_write_new());
  archive_write_set_format_pax_restricted(state_->output.get());
  if (archive_write_open_filename(state_->output.get(), tar.c_str()) != ARCHIVE_OK) state_->fail();
}

Packer::~Packer() = default;

bool Packer::step() {
  if (state_->unwritten_bytes > 0) {
    state_->write_content();
    return false;
  }
  if (state_->next < state_->paths.size()) {
    state_->write_header();
    return false;
  }
  if (archive_write_close(state_->output.get()) != ARCHIVE_OK) state_->fail();
  return true;
}

void Packer::State::write_content() {
  std::string buffer(std::min<std::uint64_t>(kStepBytes, unwritten_bytes), '\0');
  if (!file.read(buffer.data(), static_cast<std::streamsize>(buffer.size())))
    throw BadArchive(paths[next].string() + ": became shorter or unreadable while it was packed");
  const la_ssize_t written = archive_write_data(output.get(), buffer.data(), buffer.size());
  if (written != static_cast<la_ssize_t>(buffer.size())) fail();
  unwritten_bytes -= buffer.size();
  if (unwritten_bytes == 0) ++next;
}

void Packer::State::write_header() {
  const fs::path& path = paths[next];
  struct stat status;
  if (::lstat(path.c_str(), &status) != 0)
    throw BadArchive(path.string() + ": was removed before it was packed");
  const bool is_directory = S_ISDIR(status.st_mode);
  const EntryPtr entry(archive_entry_new());
  archive_entry_set_pathname(entry.get(), fs::relative(path, dir).c_str());
  archive_entry_set_filetype(entry.get(), is_directory ? AE_IFDIR : AE_IFREG);
  archive_entry_set_perm(entry.get(), status.st_mode & kPermissionBits);
  archive_entry_set_size(entry.get(), is_directory ? 0 : status.st_size);
  if (archive_write_header(output.get(), entry.get()) != ARCHIVE_OK) fail();
  if (is_directory || status.st_size == 0) {
    ++next;
    return;
  }
  file = std::ifstream(path, std::ios::binary);
  unwritten_bytes = static_cast<std::uint64_t>(status.st_size);
}

struct Unpacker::State {
  fs::path dir;
  std::uint64_t bytes_left = 0;  // number of bytes that may still be unpacked
  std::unique_ptr<archive, ReadFree> input;
  std::ofstream file;  // the file that is being unpacked
  bool in_file = false;

  [[nodiscard]] BadArchive damaged(const std::string& item) const {
    const char* why = archive_error_string(input.get());
    return BadArchive(item + ": " + (why ? why : "damaged"));
  }
  [[nodiscard]] BadArchive cannot_write() const {
    return BadArchive("cannot write below " + dir.string());
  }
  void read_content();
  void end_file();
  [[nodiscard]] bool read_header();
  void begin_file(const fs::path& name, fs::perms permissions);
};

Unpacker::Unpacker(const fs::path& tar, fs::path dir, std::uint64_t max_bytes)
    : state_(std::make_unique<State>()) {
  state_->dir = std::move(dir);
  state_->bytes_left = max_bytes;
  fs::create_directories(state_->dir);
  state_->input.reset(archive_read_new());
  archive* input = state_->input.get();
  archive_read_support_format_tar(input);
  archive_read_support_filter_gzip(input);
  archive_read_support_format_empty(input);
  if (archive_read_open_filename(input, tar.c_str(), kReadBlockBytes) != ARCHIVE_OK)
    throw BadArchive(std::string("not an archive: ") + archive_error_string(input));
}

Unpacker::~Unpacker() = default;

bool Unpacker::step() {
  if (!state_->in_file) return !state_->read_header();
  state_->read_content();
  return false;
}

void Unpacker::State::read_content() {
  std::string buffer(kStepBytes, '\0');
  const la_ssize_t count = archive_read_data(input.get(), buffer.data(), buffer.size());
  if (count < 0) throw damaged("an entry's content");
  if (count == 0) return end_file();
  if (static_cast<std::uint64_t>(count) > bytes_left)
    throw BadArchive("unpacked files are larger than allowed");
  bytes_left -= static_cast<std::uint64_t>(count);
  if (!file.write(buffer.data(), count)) throw cannot_write();
}

void Unpacker::State::end_file() {
  file.close();
  if (!file) throw cannot_write();
  in_file = false;
}

// Returns false if there are no more entries.
bool Unpacker::State::read_header() {
  archive_entry* entry = nullptr;
  const int result = archive_read_next_header(input.get(), &entry);
  if (result == ARCHIVE_EOF) return false;
  if (result != ARCHIVE_OK) throw damaged("an entry");
  const fs::path name = checked_name(archive_entry_pathname(entry));
  const auto type = archive_entry_filetype(entry);
  const auto permissions = static_cast<fs::perms>(archive_entry_perm(entry) & kPermissionBits);
  if (archive_entry_hardlink(entry) || type == AE_IFLNK)
    throw BadArchive("entry " + name.string() + ": is a link");
  if (type == AE_IFREG) {
    begin_file(name, permissions);
  } else if (type == AE_IFDIR) {
    fs::create_directories(dir / name);
    fs::permissions(dir / name, permissions | fs::perms::owner_all);
  } else {
    throw BadArchive("entry " + name.string() + ": is neither a file nor a directory");
  }
  return true;
}

void Unpacker::State::begin_file(const fs::path& name, fs::perms permissions) {
  const fs::path path = dir / name;
  fs::create_directories(path.parent_path());
  if (fs::exists(fs::symlink_status(path)))
    throw BadArchive("entry " + name.string() + ": occurs twice");
  file = std::ofstream(path, std::ios::binary);
  if (!file) throw BadArchive("cannot write " + path.string());
  fs::permissions(path, permissions | fs::perms::owner_read | fs::perms::owner_write);
  in_file = true;
}

}  // namespace shunttrail::artifacts
