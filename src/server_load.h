#pragma once

#include "plantainwall/plantainwall.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainwall {

/// What one host knows of the load of a backend server.
struct ServerLoadSample {
    double running = 0; ///< Statements under way, as a recent mean over time.
    double waiting = 0; ///< Borrowers that wait for a connection.
    Duration responseTime { 0 }; ///< Recent mean of the response time; 0: no recent statement.
    /// The sample also counts the statements of the host that receives it, as that of a lender does.
    bool coversReceiver = false;
};

/// Load of several servers, by id.
using ServerLoadList = std::vector<std::pair<std::string, ServerLoadSample>>;

/// Measures the load that one host puts on a server. A decision object.
///
/// Load pattern: statements last some ten milliseconds and reports are hundreds apart. A count at the moment of the
/// report says little about the time until the next one, so the meter keeps a mean over time.
class ServerLoadMeter {
public:
    /// Sets the number of statements that are under way from now on.
    void setRunning(size_t running, Instant now);

    /// Records the response time of a statement.
    void noteResponse(Duration, Instant now);

    /// Returns the load, with waiting borrowers as given.
    ServerLoadSample sample(size_t waiting, Instant now) const;

private:
    double meanRunning(Instant now) const;

    double m_mean = 0;
    size_t m_running = 0;
    Instant m_changedAt;
    double m_responseUs = 0;
    Instant m_respondedAt;
};

/// Joins what hosts report of the load of backend servers. A decision object.
///
/// Load pattern: many hosts choose among few servers at the same time, each from its own statements and from reports
/// that are some hundred milliseconds old. What this host has chosen since a report counts until a report covers it.
/// Reports that are too old are not used: a server of which nothing is known is not one without load.
class ServerLoads {
public:
    struct Settings {
        /// Reports count for this long: four of the longest interval between the reports of a small fleet.
        Duration validity = std::chrono::seconds(2);
        size_t maxServers = 4096; ///< Servers of which reports are kept.
        size_t maxSources = 1024; ///< Hosts whose reports are kept.
        size_t maxOwnChoices = 4096; ///< Unfinished choices of this host that are kept for one server.
    };

    struct Estimate {
        double running = 0; ///< Statements under way at the server, those of this host included.
        double waiting = 0;
        Duration responseTime { 0 }; ///< Longest that a source reports; 0: unknown.
        Duration age { 0 }; ///< Of the oldest report in the estimate.
        size_t sources = 0; ///< Hosts whose reports are in the estimate.
    };

    ServerLoads()
        : ServerLoads(Settings())
    {
    }
    explicit ServerLoads(const Settings& settings)
        : m_settings(settings)
    {
    }

    /// Records a report about one server.
    /// @param source Host that reports.
    /// @param asOf Time of the report by this host's clock.
    /// @return False if the report is rejected: values that cannot be, a time of the future, older than the last one
    /// of the source, or too many servers or sources.
    bool note(const std::string& server, const std::string& source, const ServerLoadSample&, Instant asOf, Instant now);

    /// Records the complete report of a host, which has no statement at servers that the list lacks. It is taken or
    /// rejected as a whole; parameters and result as for note().
    bool noteComplete(const std::string& source, const ServerLoadList&, Instant asOf, Instant now);

    /// Records that this host sends a statement to a server.
    void noteOwnChoice(const std::string& server, Instant now);

    /// Records the end of a statement.
    /// @param chosenAt Time that was passed to noteOwnChoice().
    void noteOwnEnd(const std::string& server, Instant chosenAt);

    /// Returns the load of a server, or nothing if no report about it is young enough.
    std::optional<Estimate> estimate(const std::string& server, Instant now) const;

    void forgetServer(const std::string& server);
    void forgetSource(const std::string& source);

    /// Counts a report that could not be decoded.
    void noteMalformed() { ++m_rejected; }

    /// Returns the number of rejected reports.
    uint64_t rejected() const { return m_rejected; }

private:
    struct Report {
        ServerLoadSample sample;
        Instant asOf;
    };
    struct Server {
        std::map<std::string, Report> reports; ///< By source.
        std::deque<Instant> ownChoices; ///< Unfinished, in the order of time.
    };

    bool reject();
    bool isValid(Instant asOf, Instant now) const { return now - asOf <= m_settings.validity; }

    Settings m_settings;
    std::map<std::string, Server> m_servers; ///< By id.
    std::map<std::string, Instant> m_completeAt; ///< By source: time of its last complete report.
    std::map<std::string, Instant> m_sources; ///< Time of the last report.
    uint64_t m_rejected = 0;
};

/// Encodes a sample in three characters of base64url. The values are rounded: to a twelfth of their size, and to steps
/// of a quarter of a statement below one; response times to a fifth.
std::string encodeServerLoad(const ServerLoadSample&);

/// Decodes a sample. Throws std::exception if it is malformed.
ServerLoadSample decodeServerLoad(std::string_view);

/// Encodes the samples of the servers with load in six characters each: half of them name the server by a hash of its
/// id. At most 64 servers are encoded, those with the highest load.
std::string encodeServerLoads(const ServerLoadList&);

/// Decodes samples. Skips servers that this host does not know, and those of which two have the same hash.
/// @param known Ids of the servers that this host knows.
/// Throws std::exception if the text is malformed.
ServerLoadList decodeServerLoads(std::string_view, const std::vector<std::string>& known);

} // namespace plantainwall
