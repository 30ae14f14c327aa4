#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace plantainwall {

using Results = std::vector<std::optional<std::string>>;
using SteadyTime = std::chrono::steady_clock::time_point;

/// New value of a key; an empty optional deletes it.
struct Write {
    std::string key;
    std::optional<std::string> newValue;
};

/// Entry of a group's log. A barrier has no request id and no writes.
struct LogEntry {
    uint64_t term = 0;
    uint64_t position = 0;
    std::string requestId;
    std::vector<Write> writes;
    Results results; ///< Outcome of the request that wrote the entry.
    SteadyTime arrived; ///< When this member appended it.
};

using LogEntryPtr = std::shared_ptr<const LogEntry>;

/// Log of one member, with the outcomes of the requests of the last 10 minutes. Positions start at 1 without gaps.
class MemberLog {
public:
    /// Appends an entry whose position is the next one.
    void append(LogEntryPtr);

    /// Removes all entries after the given position.
    void truncate(uint64_t position);

    /// Returns the entry at a position from 1 to last().position.
    const LogEntryPtr& at(uint64_t position) const { return m_entries[position - 1]; }

    /// Returns the term of the entry at a position; 0 for position 0.
    uint64_t termAt(uint64_t position) const { return position == 0 ? 0 : at(position)->term; }

    LogPosition last() const { return { m_entries.empty() ? 0 : m_entries.back()->term, m_entries.size() }; }

    /// Returns the entry that a request wrote, or nullptr if there is none or it is older than 10 minutes.
    LogEntryPtr outcome(const std::string& requestId) const;

private:
    void dropOldOutcomes(SteadyTime now);

    std::vector<LogEntryPtr> m_entries;
    std::unordered_map<std::string, LogEntryPtr> m_outcomes;
    uint64_t m_outcomesFrom = 1; ///< Entries before this position have no outcome any more.
};

using KeyValues = std::unordered_map<std::string, std::string>;

/// Applies the writes of an entry.
void applyEntry(KeyValues&, const LogEntry&);

enum class StatementKind : uint8_t { Get, Put, Add, Append, Delete, Sleep, Count };

/// One parsed statement.
struct Statement {
    StatementKind kind = StatementKind::Get;
    std::string key;
    std::string text; ///< Value of PUT and APPEND.
    int64_t number = 0; ///< Amount of ADD, milliseconds of SLEEP.

    bool isWrite() const { return kind != StatementKind::Get && kind != StatementKind::Sleep; }
};

/// Parses "GET k", "PUT k v", "ADD k n", "APPEND k text", "DELETE k" or "SLEEP ms". Throws std::invalid_argument.
Statement parseStatement(const std::string&);

/// Values visible to a request: its own writes on top of the applied state.
class ValueView {
public:
    explicit ValueView(const KeyValues& base)
        : m_base(base)
    {
    }

    /// Runs a statement. Throws std::invalid_argument if it cannot be applied to the present value.
    std::optional<std::string> run(const Statement&);

    /// Returns the final value of every key written.
    std::vector<Write> writes() const;

private:
    std::optional<std::string> get(const std::string& key) const;

    const KeyValues& m_base;
    std::map<std::string, std::optional<std::string>> m_written;
};

} // namespace plantainwall
