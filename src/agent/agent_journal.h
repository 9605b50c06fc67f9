// The agent's record on disk (SQLite): the book, whole, as of the last durable step. Every change
// of the book is one transaction, synced before it is acted on. The format has a version; a newer
// one than this program knows is refused. Format 1 is described in docs/agent.md.
#pragma once
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "agent/attempt_table.h"

struct sqlite3;

namespace shunttrail::agent {

// The record cannot be read or written; says in one line why. After a failed write it holds what
// it held before.
struct JournalError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class AgentJournal {
 public:
  static constexpr int kFormat = 1;
  // Called before and after every durable step, with its name: where tests end the process.
  using Step = std::function<void(const std::string&)>;
  AgentJournal(const std::filesystem::path& file, Step step);
  ~AgentJournal();
  AgentJournal(const AgentJournal&) = delete;
  AgentJournal& operator=(const AgentJournal&) = delete;

  // What the last process left, or nothing where there was none. The machine's name belongs to it:
  // a record of another machine is refused.
  std::optional<AttemptTable> load(const std::string& machine);
  // The boot in which it was written.
  std::string boot() const;
  // Makes `next` what is on record, written as the difference from `now`.
  void save(const AttemptTable& now, const AttemptTable& next, const std::string& step);
  void begin(const std::string& machine, const std::string& boot, const AttemptTable& book);

 private:
  void exec(const char* sql);
  void put(const char* name, const std::string& value);
  std::string get(const char* name) const;
  struct Close {
    void operator()(sqlite3* db) const;
  };
  std::unique_ptr<sqlite3, Close> db_;
  Step step_;
};

}  // namespace shunttrail::agent
