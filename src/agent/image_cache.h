// Images on this machine: each is fetched once for all tasks that wait for it, unpacked aside and
// renamed, and kept by recent use within a size.
#pragma once
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
  enum class State { ready, coming, bad };
  ImageCache(actor::Loop& loop, artifacts::Client& artifacts, std::filesystem::path dir,
             double cache_gb, std::function<void()> changed);

  // Asked again whenever something has changed, by each task that needs it. `bad`: what the
  // artifact store has under this hash is damaged, absent or no image; `why` says it, and asking
  // later tries anew.
  State want(const std::string& hash, std::string& why);
  // Which images tasks wait for or use; others are given up, or let go when the cache is full.
  void keep(const std::set<std::string>& used);
  std::filesystem::path path(const std::string& hash) const { return dir_ / hash; }

 private:
  struct Fetch {
    std::unique_ptr<artifacts::Unpacker> unpacker;
    bool failed = false, given_up = false;
    std::string why;
  };
  void arrived(const std::string& hash, artifacts::Outcome o);
  void unpack(const std::string& hash);
  void settle(const std::string& hash, const std::string& why);
  std::filesystem::path tar(const std::string& hash) const { return dir_ / (hash + ".tar"); }
  std::filesystem::path aside(const std::string& hash) const { return dir_ / (hash + ".new"); }

  artifacts::Client& artifacts_;
  std::filesystem::path dir_;
  double cache_gb_;
  std::function<void()> changed_;
  std::map<std::string, Fetch> fetches_;
  std::map<std::string, std::uint64_t> sizes_, used_at_;
  std::uint64_t uses_ = 0;
};

}  // namespace shunttrail::agent
