#include "agent/image_cache.h"

#include "log/log.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
using artifacts::Outcome;
namespace {

constexpr std::uint64_t kMaxUnpackedBytes = std::uint64_t{1} << 40;
constexpr double kBytesPerGb = 1e9;

std::uint64_t size_of(const fs::path& dir) {
  std::uint64_t bytes = 0;
  std::error_code ignored;
  for (const auto& entry : fs::recursive_directory_iterator(dir, ignored))
    if (entry.is_regular_file(ignored)) bytes += entry.file_size(ignored);
  return bytes;
}

}  // namespace

ImageCache::ImageCache(actor::Loop& loop, artifacts::Client& artifacts, fs::path dir,
                       double cache_gb, std::function<void()> changed)
    : Actor(loop),
      artifacts_(artifacts),
      dir_(std::move(dir)),
      cache_gb_(cache_gb),
      changed_(std::move(changed)) {
  fs::create_directories(dir_);
  for (const auto& entry : fs::directory_iterator(dir_)) {
    const std::string name = entry.path().filename();
    // Only a complete image has its bare hash as its name.
    if (artifacts::valid_hash(name) && entry.is_directory())
      sizes_[name] = size_of(entry.path());
    else
      fs::remove_all(entry.path());
  }
}

fs::path ImageCache::archive(const std::string& hash) const { return dir_ / (hash + ".tar"); }
fs::path ImageCache::unpacking(const std::string& hash) const { return dir_ / (hash + ".new"); }

ImageCache::State ImageCache::request(const std::string& hash, std::string& why) {
  last_use_[hash] = ++requests_;
  if (sizes_.contains(hash)) return State::ready;
  auto [fetch, is_new] = fetches_.try_emplace(hash);
  if (!is_new) {
    if (!fetch->second.has_failed) return State::fetching;
    why = fetch->second.why;
    fetches_.erase(fetch);
    return State::failed;
  }
  artifacts_.get_file(hash, archive(hash),
                      reply<Outcome>([this, hash](Outcome outcome) { downloaded(hash, outcome); }));
  return State::fetching;
}

void ImageCache::downloaded(const std::string& hash, Outcome outcome) {
  auto fetch = fetches_.find(hash);
  if (fetch == fetches_.end()) return;
  if (fetch->second.is_abandoned) {
    remove_archive(hash);
    fetches_.erase(fetch);
    return;
  }
  switch (outcome) {
    case Outcome::ok:
      return unpack(hash);
    case Outcome::unavailable:
      // The artifact store does not answer. Tasks that still need the image request it again.
      fetches_.erase(fetch);
      return;
    case Outcome::absent:
      return fail(hash, "the artifact store has no image " + hash);
    case Outcome::refused:
      return fail(hash, "the image's content does not match its hash " + hash);
  }
}

void ImageCache::unpack(const std::string& hash) {
  auto fetch = fetches_.find(hash);
  if (fetch == fetches_.end()) return;
  try {
    auto& unpacker = fetch->second.unpacker;
    if (!unpacker) {
      fs::remove_all(unpacking(hash));
      unpacker =
          std::make_unique<artifacts::Unpacker>(archive(hash), unpacking(hash), kMaxUnpackedBytes);
    }
    if (!unpacker->step()) return post([this, hash] { unpack(hash); });
    unpacker.reset();
    fs::rename(unpacking(hash), path(hash));
  } catch (const std::exception& error) {
    return fail(hash, error.what());
  }
  succeed(hash);
}

void ImageCache::succeed(const std::string& hash) {
  sizes_[hash] = size_of(path(hash));
  remove_archive(hash);
  fetches_.erase(hash);
  changed_();
}

void ImageCache::fail(const std::string& hash, const std::string& why) {
  remove_archive(hash);
  std::error_code ignored;
  fs::remove_all(unpacking(hash), ignored);
  Fetch& fetch = fetches_[hash];
  fetch.unpacker.reset();
  fetch.has_failed = true;
  fetch.why = why;
  log::error("image cannot be fetched or unpacked", {{"image", hash}, {"why", why}});
  changed_();
}

void ImageCache::remove_archive(const std::string& hash) const {
  std::error_code ignored;
  fs::remove(archive(hash), ignored);
}

void ImageCache::keep(const std::set<std::string>& used) {
  for (auto& [hash, fetch] : fetches_)
    if (!used.contains(hash)) fetch.is_abandoned = true;
  std::uint64_t total_bytes = 0;
  for (const auto& [hash, bytes] : sizes_) total_bytes += bytes;
  while (static_cast<double>(total_bytes) > cache_gb_ * kBytesPerGb) {
    const std::string hash = least_recently_used(used);
    if (hash.empty()) return;
    total_bytes -= sizes_.at(hash);
    evict(hash);
  }
}

// Returns the least recently used image that is not in `used`, or an empty string if there is none.
// Images that an earlier process has fetched count as older than all others.
std::string ImageCache::least_recently_used(const std::set<std::string>& used) const {
  std::string oldest;
  std::uint64_t oldest_use = 0;
  for (const auto& [hash, bytes] : sizes_) {
    if (used.contains(hash)) continue;
    auto found = last_use_.find(hash);
    const std::uint64_t use = found == last_use_.end() ? 0 : found->second;
    if (!oldest.empty() && use >= oldest_use) continue;
    oldest = hash;
    oldest_use = use;
  }
  return oldest;
}

void ImageCache::evict(const std::string& hash) {
  std::error_code ignored;
  fs::remove_all(path(hash), ignored);
  last_use_.erase(hash);
  sizes_.erase(hash);
}

}  // namespace shunttrail::agent
