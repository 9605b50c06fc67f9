#include "artifacts/store.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>

namespace shunttrail::artifacts {
namespace fs = std::filesystem;
namespace {

constexpr std::size_t kHashBytes = 32;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kMinUploadNameLength = 8, kMaxUploadNameLength = 64;
constexpr std::size_t kMaxNameBytes = 200;
constexpr int kMaxNameParts = 6;
constexpr std::size_t kReadBytes = 256 * 1024;
constexpr std::chrono::hours kUploadLifetime(24);

[[noreturn]] void fail(const std::string& file) {
  throw std::system_error(errno, std::generic_category(), file);
}

// Owns an open file descriptor.
class File {
 public:
  File(const fs::path& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0644)) {
    if (fd_ < 0) fail(path.string());
  }
  ~File() { ::close(fd_); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

void write_all(const File& file, std::string_view bytes, const fs::path& path) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file.get(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) fail(path.string());
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void sync(const File& file, const fs::path& path) {
  if (::fsync(file.get()) != 0) fail(path.string());
}

void sync_directory(const fs::path& path) { sync(File(path, O_RDONLY | O_DIRECTORY), path); }

std::string hash_of_file(const File& file, const fs::path& path) {
  Hasher hasher;
  std::string buffer(kReadBytes, '\0');
  while (true) {
    const ssize_t count = ::read(file.get(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) fail(path.string());
    if (count == 0) return hasher.hex();
    hasher.add({buffer.data(), static_cast<std::size_t>(count)});
  }
}

bool is_hex(std::string_view text) {
  return text.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool valid_upload(std::string_view name) {
  return name.size() >= kMinUploadNameLength && name.size() <= kMaxUploadNameLength && is_hex(name);
}

bool valid_name_part(std::string_view part) {
  if (part.empty() || part == "." || part == "..") return false;
  return std::all_of(part.begin(), part.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '.' || c == '-' || c == '_';
  });
}

// Reads an optional count. Returns false if the field exists but is not an unsigned integer.
bool read_count(const nlohmann::json& fields, const char* name, std::uint64_t& count) {
  const auto found = fields.find(name);
  if (found == fields.end()) return true;
  if (!found->is_number_unsigned()) return false;
  count = found->get<std::uint64_t>();
  return true;
}

}  // namespace

struct Hasher::State {
  crypto_generichash_state hash;
};

Hasher::Hasher() : state_(new State) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be used");
  crypto_generichash_init(&state_->hash, nullptr, 0, kHashBytes);
}

Hasher::~Hasher() { delete state_; }

void Hasher::add(std::string_view bytes) {
  crypto_generichash_update(&state_->hash, reinterpret_cast<const unsigned char*>(bytes.data()),
                            bytes.size());
}

std::string Hasher::hex() {
  unsigned char hash[kHashBytes];
  crypto_generichash_final(&state_->hash, hash, sizeof hash);
  char digits[2 * kHashBytes + 1];
  sodium_bin2hex(digits, sizeof digits, hash, sizeof hash);
  return digits;
}

std::string hash_of(std::string_view bytes) {
  Hasher hasher;
  hasher.add(bytes);
  return hasher.hex();
}

bool valid_hash(std::string_view text) { return text.size() == 2 * kHashBytes && is_hex(text); }

bool valid_name(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  for (int parts = 1; parts <= kMaxNameParts; ++parts) {
    const auto slash = text.find('/');
    if (!valid_name_part(text.substr(0, slash))) return false;
    if (slash == std::string_view::npos) return true;
    text.remove_prefix(slash + 1);
  }
  return false;
}

void replace_file(const fs::path& file, std::string_view bytes) {
  fs::path temporary_file = file;
  temporary_file += ".new";
  {
    const File output(temporary_file, O_WRONLY | O_CREAT | O_TRUNC);
    write_all(output, bytes, temporary_file);
    sync(output, temporary_file);
  }
  fs::rename(temporary_file, file);
  sync_directory(file.parent_path());
}

std::string read_file_or_empty(const fs::path& file) {
  std::ifstream input(file, std::ios::binary);
  std::ostringstream content;
  content << input.rdbuf();
  return content.str();
}

std::string encode_named(const Store::Named& value) {
  return "{\"value\":" + value.value + ",\"version\":" + std::to_string(value.version) +
         ",\"part\":" + std::to_string(value.part) + "}";
}

std::optional<Store::Named> decode_named(std::string_view text) {
  const auto fields = nlohmann::json::parse(text, nullptr, false);
  if (!fields.is_object() || !fields.contains("value")) return std::nullopt;
  Store::Named value{fields["value"].dump()};
  if (!read_count(fields, "version", value.version)) return std::nullopt;
  if (!read_count(fields, "part", value.part)) return std::nullopt;
  return value;
}

Store::Store(fs::path dir) : dir_(std::move(dir)) {
  for (const char* name : {"blobs", "names", "parts"}) fs::create_directories(dir_ / name);
  const auto now = fs::file_time_type::clock::now();
  for (const auto& upload : fs::directory_iterator(dir_ / "parts"))
    if (now - upload.last_write_time() > kUploadLifetime) fs::remove(upload.path());
}

fs::path Store::upload_path(const std::string& upload) const {
  if (!valid_upload(upload)) throw BadRequest("upload name is not of 8 to 64 hex digits");
  return dir_ / "parts" / upload;
}

fs::path Store::blob_path(const std::string& hash) const {
  if (!valid_hash(hash)) throw BadRequest("hash is not of 64 hex digits");
  return dir_ / "blobs" / hash.substr(0, 2) / hash;
}

// The files of values end in ".json", because both "a" and "a/b" may be names: without the suffix
// "a" would be a file and a directory.
fs::path Store::name_path(const std::string& name) const {
  if (!valid_name(name)) throw BadRequest("name is malformed");
  return dir_ / "names" / (name + ".json");
}

std::uint64_t Store::add_part(const std::string& upload, std::uint64_t at, std::string_view bytes) {
  const fs::path path = upload_path(upload);
  const File file(path, O_WRONLY | O_CREAT);
  struct stat status;
  if (::fstat(file.get(), &status) != 0) fail(path.string());
  const auto size = static_cast<std::uint64_t>(status.st_size);
  if (at != size) return size;
  if (::lseek(file.get(), 0, SEEK_END) < 0) fail(path.string());
  try {
    write_all(file, bytes, path);
  } catch (const std::system_error&) {
    // Removes a partly written part, for example after the disk has become full, so that the sender
    // can continue where it was.
    if (::ftruncate(file.get(), status.st_size) != 0) fs::remove(path);
    throw;
  }
  return size + bytes.size();
}

bool Store::finish(const std::string& upload, const std::string& hash) {
  const fs::path from = upload_path(upload), to = blob_path(hash);
  if (fs::exists(to)) {
    fs::remove(from);
    return true;
  }
  if (!fs::exists(from)) File(from, O_WRONLY | O_CREAT);  // a blob of no bytes
  std::string found;
  {
    const File file(from, O_RDWR);
    found = hash_of_file(file, from);
    sync(file, from);
  }
  if (found != hash) {
    fs::remove(from);
    return false;
  }
  fs::create_directories(to.parent_path());
  fs::rename(from, to);
  sync_directory(to.parent_path());
  sync_directory(dir_ / "blobs");
  return true;
}

bool Store::has(const std::string& hash) const { return fs::exists(blob_path(hash)); }

std::optional<std::string> Store::read(const std::string& hash, std::uint64_t at,
                                       std::size_t max_bytes) const {
  const fs::path path = blob_path(hash);
  std::ifstream input(path, std::ios::binary);
  if (!input) return std::nullopt;
  const auto size = static_cast<std::uint64_t>(fs::file_size(path));
  if (at >= size) return std::string();
  std::string bytes(std::min<std::uint64_t>(max_bytes, size - at), '\0');
  input.seekg(static_cast<std::streamoff>(at));
  if (!input.read(bytes.data(), static_cast<std::streamsize>(bytes.size()))) fail(path.string());
  return bytes;
}

Store::Put Store::put_name(const std::string& name, const Named& value) {
  const fs::path path = name_path(name);
  if (const auto current = get_name(name)) {
    if (*current == value) return Put::same;
    const bool is_written_once = value.version == 0 || current->version == 0;
    const bool is_newer =
        std::pair(value.version, value.part) > std::pair(current->version, current->part);
    if (is_written_once || !is_newer) return Put::refused;
  }
  fs::create_directories(path.parent_path());
  replace_file(path, encode_named(value));
  return Put::created;
}

std::optional<Store::Named> Store::get_name(const std::string& name) const {
  const fs::path path = name_path(name);
  if (!fs::exists(path)) return std::nullopt;
  auto value = decode_named(read_file_or_empty(path));
  if (!value)
    throw std::runtime_error("artifact store: the stored value of the name " + name +
                             " is damaged");
  return value;
}

}  // namespace shunttrail::artifacts
