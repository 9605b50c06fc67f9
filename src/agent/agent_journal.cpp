#include "agent/agent_journal.h"

#include <sqlite3.h>

namespace shunttrail::agent {
namespace {

[[noreturn]] void fail(sqlite3* db, const std::string& operation) {
  throw JournalError("agent journal: " + operation + ": " +
                     (db ? sqlite3_errmsg(db) : "out of memory"));
}

// A prepared statement: parameters are bound in order, then rows are read one by one.
class Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK) fail(db, sql);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& text(const std::string& value) {
    sqlite3_bind_text(statement_, ++bound_, value.data(), static_cast<int>(value.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  Statement& integer(std::uint64_t value) {
    sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(value));
    return *this;
  }
  Statement& real(double value) {
    sqlite3_bind_double(statement_, ++bound_, value);
    return *this;
  }

  // Runs the statement up to its next row. Returns false if there are no more rows.
  bool next_row() {
    const int result = sqlite3_step(statement_);
    if (result == SQLITE_ROW) return true;
    if (result != SQLITE_DONE) fail(db_, "write");
    return false;
  }
  // Runs a statement that returns no rows.
  void run() { next_row(); }

  // The columns of a row are read in order, from begin_row().
  std::string read_text() {
    const int column = read_++;
    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    if (!bytes) return "";
    return {bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column))};
  }
  std::uint64_t read_integer() {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, read_++));
  }
  bool read_flag() { return read_integer() != 0; }
  double read_real() { return sqlite3_column_double(statement_, read_++); }
  void begin_row() { read_ = 0; }

 private:
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
  int read_ = 0;
};

// Rolls the transaction back on destruction unless commit() has succeeded.
class Transaction {
 public:
  explicit Transaction(sqlite3* db) : db_(db) { run("BEGIN IMMEDIATE"); }
  ~Transaction() {
    if (!committed_) sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void commit() {
    run("COMMIT");
    committed_ = true;
  }

 private:
  void run(const char* sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(db_, sql);
  }
  sqlite3* db_;
  bool committed_ = false;
};

std::pair<Key, Attempt> read_attempt(Statement& row) {
  Key key;
  Attempt attempt;
  row.begin_row();
  key.job = row.read_text();
  key.index = static_cast<std::uint32_t>(row.read_integer());
  key.attempt = row.read_integer();
  const std::uint64_t phase = row.read_integer();
  attempt.stopping = row.read_flag();
  attempt.saving = row.read_flag();
  const std::uint64_t exit_reason = row.read_integer();
  if (phase > static_cast<std::uint64_t>(Phase::exited) ||
      exit_reason > static_cast<std::uint64_t>(wire::ExitReason::unknown))
    throw JournalError("agent journal: task " + key.job + "/" + std::to_string(key.index) +
                       " attempt " + std::to_string(key.attempt) + " has phase " +
                       std::to_string(phase) + " and exit reason " + std::to_string(exit_reason) +
                       ", which are not both valid");
  attempt.phase = static_cast<Phase>(phase);
  attempt.exit_reason = static_cast<wire::ExitReason>(exit_reason);
  attempt.checkpointed = row.read_flag();
  attempt.needs.cpus = row.read_real();
  attempt.needs.gpus = row.read_real();
  attempt.needs.mem_gb = row.read_real();
  attempt.saves = row.read_flag();
  attempt.save_s = row.read_real();
  return {key, attempt};
}

}  // namespace

void AgentJournal::Close::operator()(sqlite3* db) const { sqlite3_close(db); }

AgentJournal::AgentJournal(const std::filesystem::path& file, Step step) : step_(std::move(step)) {
  open(file);
  check_format(file);
  create_tables();
}

AgentJournal::~AgentJournal() = default;

void AgentJournal::open(const std::filesystem::path& file) {
  sqlite3* db = nullptr;
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  const int result = sqlite3_open_v2(file.c_str(), &db, flags, nullptr);
  db_.reset(db);
  if (result != SQLITE_OK) fail(db, file.string());
  exec("PRAGMA journal_mode=WAL");
  // A committed transaction is on the disk.
  exec("PRAGMA synchronous=FULL");
  exec("PRAGMA locking_mode=EXCLUSIVE");
  exec("CREATE TABLE IF NOT EXISTS facts(name TEXT PRIMARY KEY, value TEXT NOT NULL)");
}

void AgentJournal::check_format(const std::filesystem::path& file) const {
  const std::string format = get("format");
  if (!format.empty() && format != std::to_string(kFormat))
    throw JournalError("agent journal: " + file.string() + " has format " + format +
                       ", this program reads only format " + std::to_string(kFormat));
}

void AgentJournal::create_tables() {
  exec(
      "CREATE TABLE IF NOT EXISTS attempts(job TEXT, task INTEGER, attempt INTEGER, phase INTEGER, "
      "stopping INTEGER, saving INTEGER, why INTEGER, kept INTEGER, cpus REAL, gpus REAL, "
      "mem_gb REAL, saves INTEGER, save_s REAL, PRIMARY KEY(job, task, attempt))");
  exec(
      "CREATE TABLE IF NOT EXISTS forgotten(n INTEGER PRIMARY KEY AUTOINCREMENT, task TEXT UNIQUE, "
      "attempt INTEGER)");
}

void AgentJournal::exec(const char* sql) {
  if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(db_.get(), sql);
}

void AgentJournal::put(const char* name, const std::string& value) {
  Statement insert(db_.get(), "INSERT OR REPLACE INTO facts VALUES(?,?)");
  insert.text(name).text(value).run();
}

std::string AgentJournal::get(const char* name) const {
  Statement select(db_.get(), "SELECT value FROM facts WHERE name=?");
  return select.text(name).next_row() ? select.read_text() : "";
}

std::string AgentJournal::boot() const { return get("boot"); }

std::optional<AttemptTable> AgentJournal::load(const std::string& machine) {
  const std::string owner = get("machine");
  if (owner.empty()) return std::nullopt;
  if (owner != machine)
    throw JournalError("agent journal: belongs to machine " + owner + ", not to " + machine);
  AttemptTable table;
  table.incarnation = std::stoull(get("session"));
  table.token = std::stoull(get("token"));
  table.reserved = std::stoull(get("reserved"));
  Statement attempts(
      db_.get(),
      "SELECT job,task,attempt,phase,stopping,saving,why,kept,cpus,gpus,mem_gb,saves,save_s "
      "FROM attempts");
  while (attempts.next_row()) table.attempts.insert(read_attempt(attempts));
  Statement acknowledged(db_.get(), "SELECT task,attempt FROM forgotten ORDER BY n");
  while (acknowledged.next_row()) {
    acknowledged.begin_row();
    const std::string task = acknowledged.read_text();
    table.acknowledged.emplace_back(task, acknowledged.read_integer());
  }
  return table;
}

void AgentJournal::begin(const std::string& machine, const std::string& boot,
                         const AttemptTable& table) {
  Transaction transaction(db_.get());
  exec("DELETE FROM attempts");
  exec("DELETE FROM forgotten");
  put("format", std::to_string(kFormat));
  put("machine", machine);
  put("boot", boot);
  put("session", std::to_string(table.incarnation));
  put("token", std::to_string(table.token));
  put("reserved", std::to_string(table.reserved));
  step_("begin.before");
  transaction.commit();
  step_("begin.after");
}

void AgentJournal::save(const AttemptTable& current, const AttemptTable& next,
                        const std::string& step) {
  if (current == next) return;
  Transaction transaction(db_.get());
  if (current.incarnation != next.incarnation) put("session", std::to_string(next.incarnation));
  if (current.token != next.token) put("token", std::to_string(next.token));
  if (current.reserved != next.reserved) put("reserved", std::to_string(next.reserved));
  save_attempts(current, next);
  if (current.acknowledged != next.acknowledged) save_acknowledged(current, next);
  step_(step + ".before");
  transaction.commit();
  step_(step + ".after");
}

void AgentJournal::save_attempts(const AttemptTable& current, const AttemptTable& next) {
  for (const auto& [key, attempt] : current.attempts)
    if (!next.attempts.contains(key)) remove_attempt(key);
  for (const auto& [key, attempt] : next.attempts) {
    auto before = current.attempts.find(key);
    if (before == current.attempts.end() || before->second != attempt) put_attempt(key, attempt);
  }
}

void AgentJournal::remove_attempt(const Key& key) {
  Statement remove(db_.get(), "DELETE FROM attempts WHERE job=? AND task=? AND attempt=?");
  remove.text(key.job).integer(key.index).integer(key.attempt).run();
}

void AgentJournal::put_attempt(const Key& key, const Attempt& attempt) {
  Statement insert(db_.get(), "INSERT OR REPLACE INTO attempts VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?)");
  insert.text(key.job).integer(key.index).integer(key.attempt);
  insert.integer(static_cast<std::uint64_t>(attempt.phase));
  insert.integer(attempt.stopping).integer(attempt.saving);
  insert.integer(static_cast<std::uint64_t>(attempt.exit_reason)).integer(attempt.checkpointed);
  insert.real(attempt.needs.cpus).real(attempt.needs.gpus).real(attempt.needs.mem_gb);
  insert.integer(attempt.saves).real(attempt.save_s);
  insert.run();
}

// Inserts new entries in the order of `next`; column `n` preserves that order.
void AgentJournal::save_acknowledged(const AttemptTable& current, const AttemptTable& next) {
  std::map<std::string, std::uint64_t> obsolete(current.acknowledged.begin(),
                                                current.acknowledged.end());
  for (const auto& [task, attempt] : next.acknowledged) {
    auto before = obsolete.find(task);
    const bool is_unchanged = before != obsolete.end() && before->second == attempt;
    if (before != obsolete.end()) obsolete.erase(before);
    if (is_unchanged) continue;
    Statement insert(db_.get(), "INSERT OR REPLACE INTO forgotten(task,attempt) VALUES(?,?)");
    insert.text(task).integer(attempt).run();
  }
  for (const auto& [task, attempt] : obsolete) {
    Statement remove(db_.get(), "DELETE FROM forgotten WHERE task=?");
    remove.text(task).run();
  }
}

}  // namespace shunttrail::agent
