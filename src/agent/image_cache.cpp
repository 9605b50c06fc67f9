#include "agent/image_cache.h"

#include "log/log.h"

namespace shunttrail::agent {
namespace fs = std::filesystem;
namespace {
std::uint64_t size_of(const fs::path& dir) {
  std::uint64_t n = 0;
  std::error_code ignored;
  for (const auto& e : fs::recursive_directory_iterator(dir, ignored))
    if (e.is_regular_file(ignored)) n += e.file_size(ignored);
  return n;
}
constexpr std::uint64_t kMostUnpacked = std::uint64_t{1} << 40;
}  // namespace

ImageCache::ImageCache(actor::Loop& loop, artifacts::Client& artifacts, fs::path dir,
                       double cache_gb, std::function<void()> changed)
    : Actor(loop),
      artifacts_(artifacts),
      dir_(std::move(dir)),
      cache_gb_(cache_gb),
      changed_(std::move(changed)) {
  fs::create_directories(dir_);
  for (const auto& e : fs::directory_iterator(dir_)) {
    const std::string name = e.path().filename();
    // Whole images only have their hash for a name; the rest was under way when a process ended.
    if (artifacts::valid_hash(name) && e.is_directory())
      sizes_[name] = size_of(e.path());
    else
      fs::remove_all(e.path());
  }
}

ImageCache::State ImageCache::want(const std::string& hash, std::string& why) {
  used_at_[hash] = ++uses_;
  if (sizes_.contains(hash)) return State::ready;
  auto [it, fresh] = fetches_.try_emplace(hash);
  if (!fresh) {
    if (!it->second.failed) return State::coming;
    why = it->second.why;
    fetches_.erase(it);
    return State::bad;
  }
  artifacts_.get_file(
      hash, tar(hash),
      reply<artifacts::Outcome>([this, hash](artifacts::Outcome o) { arrived(hash, o); }));
  return State::coming;
}

void ImageCache::arrived(const std::string& hash, artifacts::Outcome o) {
  auto it = fetches_.find(hash);
  if (it == fetches_.end()) return;
  if (it->second.given_up) {
    std::error_code ignored;
    fs::remove(tar(hash), ignored);
    fetches_.erase(it);
    return;
  }
  switch (o) {
    case artifacts::Outcome::ok:
      return unpack(hash);
    case artifacts::Outcome::later:
      // The artifact store is away: whoever still wants it asks again.
      fetches_.erase(it);
      return;
    case artifacts::Outcome::absent:
      return settle(hash, "the depot has no image " + hash);
    case artifacts::Outcome::refused:
      return settle(hash, "the image's content does not match its hash " + hash);
  }
}

void ImageCache::unpack(const std::string& hash) {
  auto it = fetches_.find(hash);
  if (it == fetches_.end()) return;
  try {
    auto& u = it->second.unpacker;
    if (!u) {
      fs::remove_all(aside(hash));
      u = std::make_unique<artifacts::Unpacker>(tar(hash), aside(hash), kMostUnpacked);
    }
    if (!u->step()) return post([this, hash] { unpack(hash); });
    u.reset();
    fs::rename(aside(hash), path(hash));
  } catch (const std::exception& e) {
    return settle(hash, e.what());
  }
  sizes_[hash] = size_of(path(hash));
  settle(hash, "");
}

void ImageCache::settle(const std::string& hash, const std::string& why) {
  std::error_code ignored;
  fs::remove(tar(hash), ignored);
  if (why.empty()) {
    fetches_.erase(hash);
  } else {
    fs::remove_all(aside(hash), ignored);
    fetches_[hash].unpacker.reset();
    fetches_[hash].failed = true;
    fetches_[hash].why = why;
    log::error("image refused", {{"image", hash}, {"why", why}});
  }
  changed_();
}

void ImageCache::keep(const std::set<std::string>& used) {
  for (auto& [hash, f] : fetches_)
    if (!used.contains(hash)) f.given_up = true;
  std::uint64_t total = 0;
  for (const auto& [hash, size] : sizes_) total += size;
  while (static_cast<double>(total) > cache_gb_ * 1e9) {
    auto oldest = sizes_.end();
    for (auto it = sizes_.begin(); it != sizes_.end(); ++it)
      if (!used.contains(it->first) &&
          (oldest == sizes_.end() || used_at_[it->first] < used_at_[oldest->first]))
        oldest = it;
    if (oldest == sizes_.end()) return;
    total -= oldest->second;
    std::error_code ignored;
    fs::remove_all(path(oldest->first), ignored);
    used_at_.erase(oldest->first);
    sizes_.erase(oldest);
  }
}

}  // namespace shunttrail::agent
