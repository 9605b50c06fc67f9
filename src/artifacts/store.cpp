#include "artifacts/store.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>

namespace shunttrail::artifacts {
namespace fs = std::filesystem;
namespace {

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

class Fd {
 public:
  Fd(const fs::path& p, int flags) : fd_(::open(p.c_str(), flags | O_CLOEXEC, 0644)) {
    if (fd_ < 0) fail(p.string());
  }
  ~Fd() { ::close(fd_); }
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

void write_all(int fd, std::string_view bytes, const fs::path& p) {
  while (!bytes.empty()) {
    ssize_t n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) fail(p.string());
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

void sync_dir(const fs::path& p) {
  Fd d(p, O_RDONLY | O_DIRECTORY);
  if (::fsync(d.get()) != 0) fail(p.string());
}

bool valid_upload(std::string_view s) {
  return s.size() >= 8 && s.size() <= 64 &&
         s.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

struct Hasher::State {
  crypto_generichash_state s;
};
Hasher::Hasher() : state_(new State) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be used");
  crypto_generichash_init(&state_->s, nullptr, 0, 32);
}
Hasher::~Hasher() { delete state_; }
void Hasher::add(std::string_view b) {
  crypto_generichash_update(&state_->s, reinterpret_cast<const unsigned char*>(b.data()), b.size());
}
std::string Hasher::hex() {
  unsigned char h[32];
  crypto_generichash_final(&state_->s, h, sizeof h);
  char out[65];
  sodium_bin2hex(out, sizeof out, h, sizeof h);
  return out;
}
std::string hash_of(std::string_view bytes) {
  Hasher h;
  h.add(bytes);
  return h.hex();
}
bool valid_hash(std::string_view s) {
  return s.size() == 64 && s.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}
bool valid_name(std::string_view s) {
  if (s.empty() || s.size() > 200) return false;
  int parts = 0;
  while (true) {
    auto slash = s.find('/');
    std::string_view part = s.substr(0, slash);
    if (part.empty() || part == "." || part == ".." || ++parts > 6) return false;
    for (char c : part)
      if (!std::isalnum(static_cast<unsigned char>(c)) && c != '.' && c != '-' && c != '_')
        return false;
    if (slash == std::string_view::npos) return true;
    s.remove_prefix(slash + 1);
  }
}

void write_whole(const fs::path& file, std::string_view bytes) {
  fs::path aside = file;
  aside += ".new";
  {
    Fd f(aside, O_WRONLY | O_CREAT | O_TRUNC);
    write_all(f.get(), bytes, aside);
    if (::fsync(f.get()) != 0) fail(aside.string());
  }
  fs::rename(aside, file);
  sync_dir(file.parent_path());
}

std::string read_whole(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string encode_named(const Store::Named& n) {
  return "{\"value\":" + n.value + ",\"version\":" + std::to_string(n.version) +
         ",\"part\":" + std::to_string(n.part) + "}";
}
std::optional<Store::Named> decode_named(std::string_view text) {
  auto j = nlohmann::json::parse(text, nullptr, false);
  if (!j.is_object() || !j.contains("value")) return std::nullopt;
  Store::Named n{j["value"].dump()};
  for (auto [name, to] : {std::pair("version", &n.version), std::pair("part", &n.part)}) {
    auto v = j.find(name);
    if (v == j.end()) continue;
    if (!v->is_number_unsigned()) return std::nullopt;
    *to = v->get<std::uint64_t>();
  }
  return n;
}

Store::Store(fs::path dir) : dir_(std::move(dir)) {
  for (const char* d : {"blobs", "names", "parts"}) fs::create_directories(dir_ / d);
  // Uploads that nobody has gone on with for a day were given up.
  for (const auto& e : fs::directory_iterator(dir_ / "parts"))
    if (fs::file_time_type::clock::now() - e.last_write_time() > std::chrono::hours(24))
      fs::remove(e.path());
}

fs::path Store::blob_path(const std::string& hash) const {
  if (!valid_hash(hash)) throw BadRequest("not a hash");
  return dir_ / "blobs" / hash.substr(0, 2) / hash;
}
// Values end in ".json": "a" and "a/b" may both be names, a file and a directory.
fs::path Store::name_path(const std::string& name) const {
  if (!valid_name(name)) throw BadRequest("not a name");
  return dir_ / "names" / (name + ".json");
}

std::uint64_t Store::add_part(const std::string& upload, std::uint64_t at, std::string_view bytes) {
  if (!valid_upload(upload)) throw BadRequest("not an upload's name");
  fs::path p = dir_ / "parts" / upload;
  Fd f(p, O_WRONLY | O_CREAT);
  struct stat st;
  if (::fstat(f.get(), &st) != 0) fail(p.string());
  auto size = static_cast<std::uint64_t>(st.st_size);
  if (at != size) return size;
  if (::lseek(f.get(), 0, SEEK_END) < 0) fail(p.string());
  try {
    write_all(f.get(), bytes, p);
  } catch (const std::system_error&) {
    // A full disk leaves no half part behind: the sender goes on where it was.
    if (::ftruncate(f.get(), st.st_size) != 0) fs::remove(p);
    throw;
  }
  return size + bytes.size();
}

bool Store::finish(const std::string& upload, const std::string& hash) {
  if (!valid_upload(upload)) throw BadRequest("not an upload's name");
  fs::path to = blob_path(hash), from = dir_ / "parts" / upload;
  if (fs::exists(to)) {
    fs::remove(from);
    return true;
  }
  if (!fs::exists(from)) Fd(from, O_WRONLY | O_CREAT);  // of no bytes
  Hasher h;
  {
    Fd f(from, O_RDWR);
    std::string buffer(256 * 1024, '\0');
    while (true) {
      ssize_t n = ::read(f.get(), buffer.data(), buffer.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) fail(from.string());
      if (n == 0) break;
      h.add({buffer.data(), static_cast<std::size_t>(n)});
    }
    if (::fsync(f.get()) != 0) fail(from.string());
  }
  if (h.hex() != hash) {
    fs::remove(from);
    return false;
  }
  fs::create_directories(to.parent_path());
  fs::rename(from, to);
  sync_dir(to.parent_path());
  sync_dir(dir_ / "blobs");
  return true;
}

bool Store::has(const std::string& hash) const { return fs::exists(blob_path(hash)); }

std::optional<std::string> Store::read(const std::string& hash, std::uint64_t at,
                                       std::size_t most) const {
  fs::path p = blob_path(hash);
  std::ifstream in(p, std::ios::binary);
  if (!in) return std::nullopt;
  auto size = static_cast<std::uint64_t>(fs::file_size(p));
  if (at >= size) return std::string();
  std::string out(std::min<std::uint64_t>(most, size - at), '\0');
  in.seekg(static_cast<std::streamoff>(at));
  if (!in.read(out.data(), static_cast<std::streamsize>(out.size()))) fail(p.string());
  return out;
}

Store::Put Store::put_name(const std::string& name, const Named& n) {
  fs::path p = name_path(name);
  if (auto was = get_name(name)) {
    if (*was == n) return Put::same;
    if (n.version == 0 || was->version == 0 ||
        std::pair(n.version, n.part) <= std::pair(was->version, was->part))
      return Put::refused;
  }
  fs::create_directories(p.parent_path());
  write_whole(p, encode_named(n));
  return Put::created;
}

std::optional<Store::Named> Store::get_name(const std::string& name) const {
  fs::path p = name_path(name);
  if (!fs::exists(p)) return std::nullopt;
  auto n = decode_named(read_whole(p));
  if (!n) throw std::runtime_error("the depot's name " + name + " is damaged");
  return n;
}

}  // namespace shunttrail::artifacts
