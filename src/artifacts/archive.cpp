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

constexpr std::size_t kStep = 256 * 1024;  // bytes a step

struct WriteFree {
  void operator()(archive* a) const { archive_write_free(a); }
};
struct ReadFree {
  void operator()(archive* a) const { archive_read_free(a); }
};
struct EntryFree {
  void operator()(archive_entry* e) const { archive_entry_free(e); }
};

// The name below the directory, or BadArchive.
fs::path inside(const char* name) {
  fs::path p = name ? fs::path(name) : fs::path();
  if (p.empty() || p.is_absolute()) throw BadArchive("entry " + p.string() + ": bad name");
  for (const auto& part : p)
    if (part == "..") throw BadArchive("entry " + p.string() + ": leaves the directory");
  return p;
}

}  // namespace

struct Packer::State {
  fs::path dir, tar;
  std::unique_ptr<archive, WriteFree> out;
  std::vector<fs::path> todo;
  std::size_t next = 0;
  std::ifstream file;
  std::uint64_t left = 0;
};

Packer::Packer(fs::path dir, const fs::path& tar) : s_(std::make_unique<State>()) {
  s_->dir = std::move(dir);
  s_->tar = tar;
  for (const auto& e : fs::recursive_directory_iterator(s_->dir)) {
    // A link could point anywhere when it is read again; what it leads to is not the task's own.
    if (e.is_symlink() || !(e.is_regular_file() || e.is_directory())) continue;
    s_->todo.push_back(e.path());
  }
  std::sort(s_->todo.begin(), s_->todo.end());
  s_->out.reset(archive_write_new());
  archive_write_set_format_pax_restricted(s_->out.get());
  if (archive_write_open_filename(s_->out.get(), tar.c_str()) != ARCHIVE_OK)
    throw BadArchive(tar.string() + ": " + archive_error_string(s_->out.get()));
}
Packer::~Packer() = default;

bool Packer::step() {
  State& s = *s_;
  if (s.left > 0) {
    std::string buffer(std::min<std::uint64_t>(kStep, s.left), '\0');
    if (!s.file.read(buffer.data(), static_cast<std::streamsize>(buffer.size())))
      throw BadArchive(s.todo[s.next].string() + ": changed while it was read");
    if (archive_write_data(s.out.get(), buffer.data(), buffer.size()) !=
        static_cast<la_ssize_t>(buffer.size()))
      throw BadArchive(s.tar.string() + ": " + archive_error_string(s.out.get()));
    s.left -= buffer.size();
    if (s.left == 0) ++s.next;
    return false;
  }
  if (s.next == s.todo.size()) {
    if (archive_write_close(s.out.get()) != ARCHIVE_OK)
      throw BadArchive(s.tar.string() + ": " + archive_error_string(s.out.get()));
    return true;
  }
  const fs::path& p = s.todo[s.next];
  struct stat st;
  if (::lstat(p.c_str(), &st) != 0) throw BadArchive(p.string() + ": is gone");
  std::unique_ptr<archive_entry, EntryFree> e(archive_entry_new());
  archive_entry_set_pathname(e.get(), fs::relative(p, s.dir).c_str());
  bool dir = S_ISDIR(st.st_mode);
  archive_entry_set_filetype(e.get(), dir ? AE_IFDIR : AE_IFREG);
  archive_entry_set_perm(e.get(), st.st_mode & 0777);
  archive_entry_set_size(e.get(), dir ? 0 : st.st_size);
  if (archive_write_header(s.out.get(), e.get()) != ARCHIVE_OK)
    throw BadArchive(s.tar.string() + ": " + archive_error_string(s.out.get()));
  if (!dir && st.st_size > 0) {
    s.file = std::ifstream(p, std::ios::binary);
    s.left = static_cast<std::uint64_t>(st.st_size);
  } else {
    ++s.next;
  }
  return false;
}

struct Unpacker::State {
  fs::path dir;
  std::uint64_t most = 0;
  std::unique_ptr<archive, ReadFree> in;
  std::ofstream file;
  bool in_file = false;
};

Unpacker::Unpacker(const fs::path& tar, fs::path dir, std::uint64_t most)
    : s_(std::make_unique<State>()) {
  s_->dir = std::move(dir);
  s_->most = most;
  fs::create_directories(s_->dir);
  s_->in.reset(archive_read_new());
  archive_read_support_format_tar(s_->in.get());
  archive_read_support_filter_gzip(s_->in.get());
  archive_read_support_format_empty(s_->in.get());
  if (archive_read_open_filename(s_->in.get(), tar.c_str(), 64 * 1024) != ARCHIVE_OK)
    throw BadArchive(std::string("not an archive: ") + archive_error_string(s_->in.get()));
}
Unpacker::~Unpacker() = default;

bool Unpacker::step() {
  State& s = *s_;
  auto broken = [&](const std::string& what) {
    const char* why = archive_error_string(s.in.get());
    return BadArchive(what + ": " + (why ? why : "damaged"));
  };
  if (s.in_file) {
    std::string buffer(kStep, '\0');
    la_ssize_t n = archive_read_data(s.in.get(), buffer.data(), buffer.size());
    if (n < 0) throw broken("an entry's content");
    if (n == 0) {
      s.file.close();
      if (!s.file) throw BadArchive("cannot write below " + s.dir.string());
      s.in_file = false;
      return false;
    }
    if (static_cast<std::uint64_t>(n) > s.most) throw BadArchive("holds more than is allowed");
    s.most -= static_cast<std::uint64_t>(n);
    if (!s.file.write(buffer.data(), n)) throw BadArchive("cannot write below " + s.dir.string());
    return false;
  }
  archive_entry* e = nullptr;
  int r = archive_read_next_header(s.in.get(), &e);
  if (r == ARCHIVE_EOF) return true;
  if (r != ARCHIVE_OK) throw broken("an entry");
  fs::path name = inside(archive_entry_pathname(e)), to = s.dir / name;
  auto kind = archive_entry_filetype(e);
  if (archive_entry_hardlink(e) || kind == AE_IFLNK)
    throw BadArchive("entry " + name.string() + ": is a link");
  auto mode = static_cast<fs::perms>(archive_entry_perm(e) & 0777);
  if (kind == AE_IFDIR) {
    fs::create_directories(to);
    fs::permissions(to, mode | fs::perms::owner_all);
  } else if (kind == AE_IFREG) {
    fs::create_directories(to.parent_path());
    if (fs::exists(fs::symlink_status(to))) throw BadArchive("entry " + name.string() + ": twice");
    s.file = std::ofstream(to, std::ios::binary);
    if (!s.file) throw BadArchive("cannot write " + to.string());
    fs::permissions(to, mode | fs::perms::owner_read | fs::perms::owner_write);
    s.in_file = true;
  } else {
    throw BadArchive("entry " + name.string() + ": is neither a file nor a directory");
  }
  return false;
}

}  // namespace shunttrail::artifacts
