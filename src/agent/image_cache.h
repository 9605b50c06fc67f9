// Cache of the images on this machine. Each image is fetched once for all tasks that need it,
// unpacked in a temporary directory and renamed into place. The cache has a maximum size and evicts
// the least recently used images.
#pragma once
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "actor/loop.h"
#include "artifacts/archive.h"
#include "artifacts/client.h"

namespace shunttrail::agent {

class ImageCache : public actor::Actor {
 public:
  enum class State { ready, fetching, failed };

  /// Adopts the complete images in the directory, and removes the incomplete ones that an earlier
  /// process has left. Calls `changed` when an image becomes ready or has failed. Throws
  /// std::filesystem::filesystem_error.
  ImageCache(actor::Loop& loop, artifacts::Client& artifacts, std::filesystem::path dir,
             double cache_gb, std::function<void()> changed);

  /// Returns the state of the image, and begins to fetch it if necessary. Each task that needs the
  /// image calls this until the state is `ready`. `failed` means that the artifact store has no
  /// valid image under this hash; `why` is then set to the cause, and the next call tries again.
  [[nodiscard]] State request(const std::string& hash, std::string& why);
  /// Abandons the fetches of images that are not in `used`. If the cache is too large, evicts other
  /// images that are not in `used`, least recently used first.
  void keep(const std::set<std::string>& used);
  /// Returns the directory of the unpacked image.
  [[nodiscard]] std::filesystem::path path(const std::string& hash) const { return dir_ / hash; }

 private:
  struct Fetch {
    std::unique_ptr<artifacts::Unpacker> unpacker;
    bool has_failed = false;
    bool is_abandoned = false;
    std::string why;
  };
  void downloaded(const std::string& hash, artifacts::Outcome outcome);
  void unpack(const std::string& hash);
  void succeed(const std::string& hash);
  void fail(const std::string& hash, const std::string& why);
  void remove_archive(const std::string& hash) const;
  [[nodiscard]] std::string least_recently_used(const std::set<std::string>& used) const;
  void evict(const std::string& hash);
  [[nodiscard]] std::filesystem::path archive(const std::string& hash) const;
  [[nodiscard]] std::filesystem::path unpacking(const std::string& hash) const;

  artifacts::Client& artifacts_;
  std::filesystem::path dir_;
  double cache_gb_;
  std::function<void()> changed_;
  std::map<std::string, Fetch> fetches_;
  std::map<std::string, std::uint64_t> sizes_;     // bytes of each image that is ready
  std::map<std::string, std::uint64_t> last_use_;  // value of requests_ at the last request
  std::uint64_t requests_ = 0;
};

}  // namespace shunttrail::agent
