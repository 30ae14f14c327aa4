#pragma once

#include "database_standin_log.h"
#include <string>

namespace plantainwall {

/// What a member has promised about its term; survives a restart.
struct TermState {
    uint64_t term = 0;
    std::string candidate; ///< Candidate to which the term was granted; empty if learned from elsewhere.
    std::string primary; ///< Primary of the term as far as known.

    friend bool operator==(const TermState& a, const TermState& b)
    {
        return a.term == b.term && a.candidate == b.candidate && a.primary == b.primary;
    }
};

/// File of JSON lines with the log and the term of a member. Each record is handed to the kernel before the call
/// returns, so it survives the end of the process, but not of the machine.
class MemberJournal {
public:
    /// Opens the file, creating it if it is missing; without a path nothing is kept. Throws std::runtime_error.
    explicit MemberJournal(const std::string& path);

    /// Reads the records of earlier runs into log and returns the last term state. Lines cut short are skipped.
    TermState load(MemberLog& log) const;

    void saveTerm(const TermState&);
    void append(const LogEntry&);
    void truncate(uint64_t position);

private:
    void write(std::string line) const;

    std::string m_path;
    int m_file = -1;
    TermState m_saved;
};

} // namespace plantainwall
