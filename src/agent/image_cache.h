// Images on this machine: each is fetched once for all tasks that need it, unpacked aside and
// renamed, and kept by recent use within a size.
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

  /// Takes up the images that are in the directory already; what an earlier process had begun is
  /// removed. `changed` is called when an image is there or has failed. Throws
  /// std::filesystem::filesystem_error.
  ImageCache(actor::Loop& loop, artifacts::Client& artifacts, std::filesystem::path dir,
             double cache_gb, std::function<void()> changed);

  /// Each task that needs the image calls this until it is `ready`. `failed`: what the artifact
  /// store has under this hash is damaged, absent or no image; `why` says it, and the next call
  /// tries anew.
  [[nodiscard]] State request(const std::string& hash, std::string& why);
  /// The images that tasks wait for or use. Other fetches are given up, other images are removed by
  /// least recent use where the cache is full.
  void keep(const std::set<std::string>& used);
  /// The image's directory.
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
  std::map<std::string, std::uint64_t> last_use_;  // by the count of requests
  std::uint64_t requests_ = 0;
};

}  // namespace shunttrail::agent
