#pragma once

#include "support_entry_host.h"
#include <atomic>
#include <mutex>
#include <thread>

namespace plantainwall::test {

using SteadyTime = std::chrono::steady_clock::time_point;

/// What the log holds compared with what callers were told.
struct WriteFindings {
    size_t acknowledged = 0;
    size_t refused = 0; ///< Answered "not_run".
    size_t unknown = 0; ///< Answered "unknown", or no answer.
    std::vector<std::string> lost; ///< Request ids acknowledged, but not in the log.
    std::vector<std::string> repeated; ///< Request ids that ran more than once.
    std::vector<std::string> ranThoughRefused; ///< Request ids answered "not_run", but in the log.
};

/// Callers that write in a loop. Each write is "ADD <its request id> 1", so that the value of that key in the log is
/// the number of executions.
class Writers {
public:
    struct Options {
        size_t callers = 12;
        int deadlineMs = 4000;
        unsigned resends = 0; ///< Times a caller repeats a request id after an answer that is not "ok".
        Milliseconds resendPause = Milliseconds(0);
        Milliseconds pause = Milliseconds(2);
    };

    /// Starts the callers; they take the addresses (ip:port of entry hosts) in turn.
    Writers(std::vector<std::string> addresses, std::string key, std::string group, Options);

    ~Writers() { stop(); }

    Writers(const Writers&) = delete;
    Writers& operator=(const Writers&) = delete;

    /// Waits for the last answers and ends the callers.
    void stop();

    size_t acknowledged() const;

    /// Waits until 50 writes sent from now on have been acknowledged. Returns whether they were within the timeout.
    bool waitForProgress(Milliseconds timeout) const;

    /// Returns the longest time between two acknowledgements from a time on.
    Milliseconds longestGap(SteadyTime from) const;

    /// Compares with a dump of a member. Call after stop().
    WriteFindings compare(const web::json::value& dump) const;

private:
    struct Write {
        std::string id;
        std::string run; ///< Empty: no answer.
        bool ok = false;
        SteadyTime sent;
        SteadyTime answered;
    };

    void write(size_t caller);
    Write writeOnce(Caller&, const std::string& id, size_t first);

    const std::vector<std::string> m_addresses;
    const std::string m_key;
    const std::string m_group;
    const Options m_options;
    mutable std::mutex m_mutex;
    std::vector<Write> m_writes;
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_threads;
};

/// Returns the addresses of all entry hosts of a fleet.
std::vector<std::string> addressesOf(Fleet&);

/// Returns the number of the member that is primary of the highest term, or nothing if none answers as primary.
std::optional<size_t> primaryOf(const DatabaseGroup&);

/// Waits until every member has the whole log of the primary and checks (Boost.Test) what the callers were told.
WriteFindings checkWrites(DatabaseGroup&, Writers&);

} // namespace plantainwall::test
