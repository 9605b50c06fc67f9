// The agent's journal on disk (SQLite): the attempt table, whole, as of the last durable step.
// Every change of the table is one transaction, synced before it is acted on. The format has a
// version; a newer one than this program knows is refused. Format 1 is described in docs/agent.md.
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

/// The journal cannot be read or written; says in one line why. After a failed write it holds what
/// it held before.
struct JournalError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// All functions throw JournalError.
class AgentJournal {
 public:
  static constexpr int kFormat = 1;
  /// Called before and after every durable step, with its name: where tests end the process.
  using Step = std::function<void(const std::string&)>;

  /// Opens the file, or makes it.
  AgentJournal(const std::filesystem::path& file, Step step);
  ~AgentJournal();
  AgentJournal(const AgentJournal&) = delete;
  AgentJournal& operator=(const AgentJournal&) = delete;

  /// What the last process left; nothing if there was none. A journal of another machine is
  /// refused.
  [[nodiscard]] std::optional<AttemptTable> load(const std::string& machine);
  /// The boot in which it was begun.
  [[nodiscard]] std::string boot() const;
  /// Replaces what the journal holds.
  void begin(const std::string& machine, const std::string& boot, const AttemptTable& table);
  /// Makes `next` what the journal holds, written as the difference from `current`.
  void save(const AttemptTable& current, const AttemptTable& next, const std::string& step);

 private:
  void open(const std::filesystem::path& file);
  void check_format(const std::filesystem::path& file) const;
  void create_tables();
  void save_attempts(const AttemptTable& current, const AttemptTable& next);
  void put_attempt(const Key& key, const Attempt& attempt);
  void remove_attempt(const Key& key);
  void save_acknowledged(const AttemptTable& current, const AttemptTable& next);
  void exec(const char* sql);
  void put(const char* name, const std::string& value);
  [[nodiscard]] std::string get(const char* name) const;

  struct Close {
    void operator()(sqlite3* db) const;
  };
  std::unique_ptr<sqlite3, Close> db_;
  Step step_;
};

}  // namespace shunttrail::agent
