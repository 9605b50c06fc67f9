#include "agent/agent_journal.h"

#include <sqlite3.h>

namespace shunttrail::agent {
namespace {

[[noreturn]] void fail(sqlite3* db, const std::string& what) {
  throw JournalError("record: " + what + ": " + (db ? sqlite3_errmsg(db) : "out of memory"));
}

class Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &s_, nullptr) != SQLITE_OK) fail(db, sql);
  }
  ~Statement() { sqlite3_finalize(s_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& text(const std::string& v) {
    sqlite3_bind_text(s_, ++at_, v.data(), static_cast<int>(v.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& whole(std::uint64_t v) {
    sqlite3_bind_int64(s_, ++at_, static_cast<sqlite3_int64>(v));
    return *this;
  }
  Statement& real(double v) {
    sqlite3_bind_double(s_, ++at_, v);
    return *this;
  }
  bool row() {
    int r = sqlite3_step(s_);
    if (r == SQLITE_ROW) return true;
    if (r != SQLITE_DONE) fail(db_, "write");
    return false;
  }
  std::string text_at(int i) const {
    const auto* p = reinterpret_cast<const char*>(sqlite3_column_text(s_, i));
    return p ? std::string(p, static_cast<std::size_t>(sqlite3_column_bytes(s_, i))) : "";
  }
  std::uint64_t whole_at(int i) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(s_, i));
  }
  double real_at(int i) const { return sqlite3_column_double(s_, i); }

 private:
  sqlite3* db_;
  sqlite3_stmt* s_ = nullptr;
  int at_ = 0;
};

}  // namespace

void AgentJournal::Close::operator()(sqlite3* db) const { sqlite3_close(db); }

AgentJournal::AgentJournal(const std::filesystem::path& file, Step step) : step_(std::move(step)) {
  sqlite3* db = nullptr;
  int r = sqlite3_open_v2(file.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  db_.reset(db);
  if (r != SQLITE_OK) fail(db, file.string());
  exec("PRAGMA journal_mode=WAL");
  // An answer of this record means that it is on the disk.
  exec("PRAGMA synchronous=FULL");
  exec("PRAGMA locking_mode=EXCLUSIVE");
  exec("CREATE TABLE IF NOT EXISTS facts(name TEXT PRIMARY KEY, value TEXT NOT NULL)");
  std::string format = get("format");
  if (!format.empty() && format != std::to_string(kFormat))
    throw JournalError("record: " + file.string() + " has format " + format +
                       ", this program knows " + std::to_string(kFormat));
  exec(
      "CREATE TABLE IF NOT EXISTS attempts(job TEXT, task INTEGER, attempt INTEGER, phase INTEGER, "
      "stopping INTEGER, saving INTEGER, why INTEGER, kept INTEGER, cpus REAL, gpus REAL, "
      "mem_gb REAL, saves INTEGER, save_s REAL, PRIMARY KEY(job, task, attempt))");
  exec(
      "CREATE TABLE IF NOT EXISTS forgotten(n INTEGER PRIMARY KEY AUTOINCREMENT, task TEXT UNIQUE, "
      "attempt INTEGER)");
}
AgentJournal::~AgentJournal() = default;

void AgentJournal::exec(const char* sql) {
  if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(db_.get(), sql);
}
void AgentJournal::put(const char* name, const std::string& value) {
  Statement s(db_.get(), "INSERT OR REPLACE INTO facts VALUES(?,?)");
  s.text(name).text(value).row();
}
std::string AgentJournal::get(const char* name) const {
  Statement s(db_.get(), "SELECT value FROM facts WHERE name=?");
  return s.text(name).row() ? s.text_at(0) : "";
}

std::string AgentJournal::boot() const { return get("boot"); }

std::optional<AttemptTable> AgentJournal::load(const std::string& machine) {
  std::string whose = get("machine");
  if (whose.empty()) return std::nullopt;
  if (whose != machine)
    throw JournalError("record: belongs to machine " + whose + ", not to " + machine);
  AttemptTable b;
  b.incarnation = std::stoull(get("session"));
  b.token = std::stoull(get("token"));
  b.reserved = std::stoull(get("reserved"));
  Statement s(
      db_.get(),
      "SELECT job,task,attempt,phase,stopping,saving,why,kept,cpus,gpus,mem_gb,saves,save_s "
      "FROM attempts");
  while (s.row()) {
    Attempt a;
    if (s.whole_at(3) > 3 || s.whole_at(6) > static_cast<std::uint64_t>(wire::ExitReason::unknown))
      throw JournalError("record: an attempt of " + s.text_at(0) + " is damaged");
    a.phase = static_cast<Phase>(s.whole_at(3));
    a.stopping = s.whole_at(4) != 0;
    a.saving = s.whole_at(5) != 0;
    a.exit_reason = static_cast<wire::ExitReason>(s.whole_at(6));
    a.checkpointed = s.whole_at(7) != 0;
    a.needs = {s.real_at(8), s.real_at(9), s.real_at(10)};
    a.saves = s.whole_at(11) != 0;
    a.save_s = s.real_at(12);
    b.attempts[{s.text_at(0), static_cast<std::uint32_t>(s.whole_at(1)), s.whole_at(2)}] = a;
  }
  Statement f(db_.get(), "SELECT task,attempt FROM forgotten ORDER BY n");
  while (f.row()) b.acknowledged.emplace_back(f.text_at(0), f.whole_at(1));
  return b;
}

void AgentJournal::begin(const std::string& machine, const std::string& boot,
                         const AttemptTable& book) {
  exec("BEGIN IMMEDIATE");
  try {
    exec("DELETE FROM attempts");
    exec("DELETE FROM forgotten");
    put("format", std::to_string(kFormat));
    put("machine", machine);
    put("boot", boot);
    put("session", std::to_string(book.incarnation));
    put("token", std::to_string(book.token));
    put("reserved", std::to_string(book.reserved));
    step_("begin.before");
    exec("COMMIT");
  } catch (const JournalError&) {
    sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
  step_("begin.after");
}

void AgentJournal::save(const AttemptTable& now, const AttemptTable& next,
                        const std::string& step) {
  if (now == next) return;
  exec("BEGIN IMMEDIATE");
  try {
    if (now.incarnation != next.incarnation) put("session", std::to_string(next.incarnation));
    if (now.token != next.token) put("token", std::to_string(next.token));
    if (now.reserved != next.reserved) put("reserved", std::to_string(next.reserved));
    for (const auto& [k, a] : now.attempts) {
      if (next.attempts.contains(k)) continue;
      Statement s(db_.get(), "DELETE FROM attempts WHERE job=? AND task=? AND attempt=?");
      s.text(k.job).whole(k.index).whole(k.attempt).row();
    }
    for (const auto& [k, a] : next.attempts) {
      auto was = now.attempts.find(k);
      if (was != now.attempts.end() && was->second == a) continue;
      Statement s(db_.get(), "INSERT OR REPLACE INTO attempts VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?)");
      s.text(k.job).whole(k.index).whole(k.attempt).whole(static_cast<std::uint64_t>(a.phase));
      s.whole(a.stopping)
          .whole(a.saving)
          .whole(static_cast<std::uint64_t>(a.exit_reason))
          .whole(a.checkpointed);
      s.real(a.needs.cpus).real(a.needs.gpus).real(a.needs.mem_gb).whole(a.saves).real(a.save_s);
      s.row();
    }
    if (now.acknowledged != next.acknowledged) {
      std::map<std::string, std::uint64_t> old(now.acknowledged.begin(), now.acknowledged.end());
      for (const auto& [task, attempt] : next.acknowledged) {
        auto it = old.find(task);
        bool same = it != old.end() && it->second == attempt;
        if (it != old.end()) old.erase(it);
        if (same) continue;
        Statement s(db_.get(), "INSERT OR REPLACE INTO forgotten(task,attempt) VALUES(?,?)");
        s.text(task).whole(attempt).row();
      }
      for (const auto& [task, attempt] : old) {
        Statement s(db_.get(), "DELETE FROM forgotten WHERE task=?");
        s.text(task).row();
      }
    }
    step_(step + ".before");
    exec("COMMIT");
  } catch (const JournalError&) {
    sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
  step_(step + ".after");
}

}  // namespace shunttrail::agent
