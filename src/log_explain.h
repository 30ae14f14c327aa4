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

/// One parsed line of a JSON log.
struct LogRecord {
    uint64_t timeUs = 0; ///< Since 1601, the epoch of cpprestsdk; 0 if the line has no valid time.
    std::string host;
    std::optional<LogEvent> event; ///< Absent if this version does not know the name.
    web::json::value fields; ///< The whole line.

    /// Returns a field as text without quotes, in UTF-8; empty if it is absent.
    std::string text(const std::string& name) const;

    /// Returns an integer field; 0 if it is absent or not an integer.
    int64_t number(const std::string& name) const;
};

/// What the logs contain about one request.
struct RequestExplanation {
    std::vector<LogRecord> path; ///< Lines about the request, earliest first.
    std::vector<LogRecord> relatedEvents; ///< Events on the servers, services and hosts of the path at that time.
    std::vector<std::string> gaps; ///< Missing lines, and numbers of lines that were suppressed or dropped.
    size_t sessions = 0; ///< Sessions that used the id of the request; callers choose ids.
    bool answered = false; ///< The path contains a line that reports the outcome for each session.
};

/// Returns the value that the field "request" has in a log.
/// @param argument Id in quotes, as in the log; without quotes, as a reader of JSON returns it; or, if that is no
/// UTF-8, as the caller sent it.
std::string requestInLog(std::string_view argument);

/// Collects log lines of several hosts and explains single requests from them.
class LogExplainer {
public:
    /// Reads a log. Lines that are not JSON objects with a time and a name are counted as unreadable and ignored.
    void read(std::istream&);

    size_t records() const { return m_records.size(); }
    size_t unreadable() const { return m_unreadable; }

    /// Returns the lines about a request, the related events and the gaps in the logs.
    /// @param request See requestInLog.
    RequestExplanation explain(std::string_view request) const;

private:
    void addGaps(std::string_view request, RequestExplanation&) const;
    bool isRelated(const LogRecord&, const RequestExplanation&) const;

    std::vector<LogRecord> m_records; ///< Ordered by time; lines with equal times in the order in which they were read.
    size_t m_unreadable = 0;
};

/// Prints an explanation for operators: the path, the outcome, related events and gaps. Texts of the logs stay within
/// their line.
/// @param request See requestInLog.
void printExplanation(std::ostream&, std::string_view request, const RequestExplanation&);

} // namespace plantainwall
