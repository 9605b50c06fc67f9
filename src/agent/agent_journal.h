// The agent's journal on disk (SQLite). It holds the complete attempt table as of the last durable
// write. Every change of the table is one transaction, which is synced to disk before the agent
// acts on the change. The format has a version; this program refuses any other than its own.
// Format 1 is described in docs/agent.md.
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

/// The journal cannot be read or written. The message is one line with the cause. A failed write
/// leaves the journal's content unchanged.
struct JournalError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// All functions throw JournalError.
class AgentJournal {
 public:
  static constexpr int kFormat = 1;
  /// Called before and after every durable write, with the name of the write. Tests end the process
  /// there.
  using Step = std::function<void(const std::string&)>;

  /// Opens the journal, and creates it if the file does not exist.
  AgentJournal(const std::filesystem::path& file, Step step);
  ~AgentJournal();
  AgentJournal(const AgentJournal&) = delete;
  AgentJournal& operator=(const AgentJournal&) = delete;

  /// Returns the attempt table that the previous process left, or nothing if the journal is new.
  /// Throws if the journal belongs to another machine.
  [[nodiscard]] std::optional<AttemptTable> load(const std::string& machine);
  /// Returns the id of the boot in which begin() was last called.
  [[nodiscard]] std::string boot() const;
  /// Replaces the journal's content: records the machine, the boot and the numbers of `table`, and
  /// removes all attempts.
  void begin(const std::string& machine, const std::string& boot, const AttemptTable& table);
  /// Replaces `current`, the table that the journal holds, with `next`; writes only the rows that
  /// differ. `step` names the write.
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
