// The artifact store as its users see it. Every call ends in exactly one answer, given from the
// event loop; what failed for a reason that may pass says so (`unavailable`), and may be asked
// again as it was.
#pragma once
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "artifacts/store.h"
#include "net/http.h"

namespace shunttrail::artifacts {

enum class Outcome {
  ok,
  absent,   ///< no such blob or name
  refused,  ///< the artifact store has something else there, or the content does not match its hash
  unavailable,  ///< no answer, or the artifact store's disk is full
};

/// Calls of one client may overlap.
class Client {
 public:
  Client(actor::Loop& loop, const config::Endpoint& artifacts);

  using HashDone = std::function<void(Outcome, std::string hash)>;
  /// Stores a file's bytes as a blob. The file must not change meanwhile.
  void put_file(std::filesystem::path file, HashDone done);
  using Done = std::function<void(Outcome)>;
  /// Fetches a blob as a file: written aside, its hash checked, and renamed.
  void get_file(std::string hash, std::filesystem::path to, Done done);
  using NameDone = std::function<void(Outcome, Store::Named)>;
  /// Stores a value under a name. With `refused` comes what is there.
  void put_name(std::string name, Store::Named value, NameDone done);
  void get_name(std::string name, NameDone done);

 private:
  struct Upload;
  struct Download;
  void send_part(const std::shared_ptr<Upload>& upload);
  void finish_upload(const std::shared_ptr<Upload>& upload);
  void fetch_part(const std::shared_ptr<Download>& download);

  net::Client http_;
};

}  // namespace shunttrail::artifacts
