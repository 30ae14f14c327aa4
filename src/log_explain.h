#pragma once

#include "log_event.h"
#include <cpprest/json.h>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

// cpprestsdk's macro for string literals collides with template parameters in Boost headers included later.
#undef U

namespace plantainwall {

/// One parsed line of a log in JSON.
struct LogRecord {
    uint64_t timeUs = 0; ///< Since 1601, as cpprestsdk counts; 0 if the line has no valid time.
    std::string host;
    std::optional<LogEvent> event; ///< Absent if this version does not know the name.
    web::json::value fields; ///< The whole line.

    /// Returns a field as text without quotes; empty if it is absent.
    std::string text(const std::string& name) const;

    /// Returns a field that is a whole number; 0 if it is absent or something else.
    int64_t number(const std::string& name) const;
};

/// What the logs say about one request.
struct RequestExplanation {
    std::vector<LogRecord> path; ///< Lines on the request, earliest first.
    std::vector<LogRecord> around; ///< What happened at that time to the servers, services and hosts of the path.
    std::vector<std::string> gaps; ///< Lines that must exist but are absent, or may have been held back.
    bool concluded = false; ///< The path ends with the line on the answer.
};

/// Log lines of several hosts, from which single requests are explained.
class LogExplainer {
public:
    /// Reads a log. Lines that are not JSON objects with a time and a name are counted and left out.
    void read(std::istream&);

    size_t records() const { return m_records.size(); }
    size_t unreadable() const { return m_unreadable; }

    /// Collects what is known of a request.
    RequestExplanation explain(std::string_view request) const;

private:
    void addGaps(std::string_view request, RequestExplanation&) const;
    bool concerns(const LogRecord&, const RequestExplanation&) const;

    std::vector<LogRecord> m_records; ///< In order of time; equal times in order of reading.
    size_t m_unreadable = 0;
};

/// Writes an explanation for operators: the path, what happened around it, the outcome and what is missing.
void printExplanation(std::ostream&, std::string_view request, const RequestExplanation&);

} // namespace plantainwall
