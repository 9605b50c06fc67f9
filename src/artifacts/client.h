// The artifact store as its users see it. Every call ends in exactly one answer, given from the
// event loop; what failed for a reason that may pass says so (`later`), and may be asked again as
// it was.
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
  absent,   // no such blob or name
  refused,  // the artifact store has something else there, or the content does not match its hash
  later,    // no answer, or the artifact store's disk is full
};

class Client {
 public:
  Client(actor::Loop& loop, const config::Endpoint& artifacts);

  using HashDone = std::function<void(Outcome, std::string hash)>;
  // A file's bytes as a blob. The file must not change meanwhile.
  void put_file(std::filesystem::path file, HashDone done);
  using Done = std::function<void(Outcome)>;
  // The blob as a file: written aside, its hash checked, and renamed.
  void get_file(std::string hash, std::filesystem::path to, Done done);
  using NameDone = std::function<void(Outcome, Store::Named)>;
  // With `refused` comes what is there.
  void put_name(std::string name, Store::Named n, NameDone done);
  void get_name(std::string name, NameDone done);

 private:
  struct Upload;
  struct Download;
  void push(std::shared_ptr<Upload> u);
  void pull(std::shared_ptr<Download> d);
  net::Client http_;
};

}  // namespace shunttrail::artifacts
