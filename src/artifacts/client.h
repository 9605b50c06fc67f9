// Asynchronous client of the artifact store. Each call invokes its callback exactly once, from the
// event loop. The outcome `unavailable` stands for a transient failure; the call may be repeated.
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
  absent,       ///< no such blob or name
  refused,      ///< a conflicting value is stored, or the content does not match its hash
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
  /// Downloads a blob to a temporary file, checks its hash, and renames the file to `to`.
  void get_file(std::string hash, std::filesystem::path to, Done done);
  using NameDone = std::function<void(Outcome, Store::Named)>;
  /// Stores a value under a name. If the outcome is `refused`, the callback gets the stored value.
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
