#pragma once

#include "plantainwall/plantainwall.h"
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace plantainwall {

class RequestAccount;

/// Divides the memory that the HTTP server holds for requests. Safe to call from any thread.
///
/// Load pattern: crowds of callers that send large bodies at once, stop half-way or do not read answers, beside
/// ordinary ones. The length of a body is known before it is read, so a request that gets its memory can complete.
class RequestMemory {
public:
    /// Memory held for one byte of a body until its request is answered: the received body, the copies on the way to
    /// the filters, the parsed statements and the command to the backend server.
    static constexpr size_t copies = 10;

    /// A request that holds no more is small; the last eighth is for these.
    static constexpr size_t smallBytes = 128 * 1024;

    /// Time after which a request that waits for its caller may be ended to make room.
    static constexpr Duration slowLimit = std::chrono::seconds(5);

    /// Retry advice to requests for which there is no memory.
    static constexpr Duration retryAfter = std::chrono::seconds(1);

    /// Multiple of the largest body that the machine's memory must have, so that one such body fits.
    static constexpr size_t machineBodies = 24;

    /// @param totalBytes Limit of what all requests together hold.
    explicit RequestMemory(size_t totalBytes);
    RequestMemory(const RequestMemory&) = delete;
    RequestMemory& operator=(const RequestMemory&) = delete;

    /// Returns the bytes that all requests hold.
    size_t held() const;

    /// Returns how many requests were ended to make room.
    uint64_t ended() const;

private:
    friend class RequestAccount;
    using EndHandlers = std::vector<std::function<void()>>;

    /// Chooses the accounts to end so that a number of bytes for another one fits below a limit, the largest first.
    EndHandlers makeRoom(const RequestAccount& other, size_t bytes, size_t limit, Instant now);

    const size_t m_total;
    mutable std::mutex m_mutex;
    size_t m_held = 0;
    uint64_t m_ended = 0;
    std::vector<RequestAccount*> m_accounts;
};

/// What one request holds. Must not outlive its RequestMemory.
class RequestAccount {
public:
    /// @param end Is called at most once, from any thread, when the request has to be ended.
    RequestAccount(RequestMemory&, std::function<void()> end);
    ~RequestAccount();
    RequestAccount(const RequestAccount&) = delete;
    RequestAccount& operator=(const RequestAccount&) = delete;

    /// Raises what is held to a number of bytes, for a request that waits for its caller. Without room, nothing
    /// changes and slow requests are ended, so that a later attempt succeeds.
    ///
    /// @return False if there is no room.
    bool reserve(size_t bytes, Instant now);

    /// Excludes the request from those that may be ended, as it runs.
    void setRunning();

    /// Adds the bytes of an answer, after the fact. From now on the request waits for its caller to read it.
    void setAnswering(size_t bytes, Instant now);

private:
    friend class RequestMemory;

    RequestMemory& m_memory;
    const std::function<void()> m_end;
    size_t m_index = 0; ///< In RequestMemory::m_accounts.
    size_t m_bytes = 0;
    std::optional<Instant> m_waitsSince; ///< Unset while the request runs.
    bool m_ending = false;
};

} // namespace plantainwall
