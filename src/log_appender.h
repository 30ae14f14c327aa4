#pragma once

#include "log_event.h"
#include <array>
#include <atomic>
#include <functional>
#include <log4cplus/appender.h>
#include <mutex>

namespace plantainwall {

/// Appender that never waits for the reader: lines that do not fit into the descriptor wait in a bounded buffer,
/// further ones are dropped and counted in a line of their own once there is room again.
class BoundedLogAppender final : public log4cplus::Appender {
public:
    static constexpr size_t defaultBytes = 256 * 1024; ///< A few seconds of lines at full rate.

    /// Makes the line that tells how many lines were dropped.
    using DropLine = std::function<std::string(uint64_t lines)>;

    BoundedLogAppender(int descriptor, DropLine, size_t maxBytes = defaultBytes);
    ~BoundedLogAppender() override;

    void close() override;

    /// Writes what the descriptor takes without waiting.
    void flush();

    uint64_t dropped() const { return m_droppedTotal; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;

private:
    void writeAvailable();

    int m_descriptor;
    DropLine m_dropLine;
    size_t m_maxBytes;
    std::mutex m_mutex;
    std::string m_buffer;
    uint64_t m_dropped = 0; ///< Since the last line that tells of drops.
    std::atomic<uint64_t> m_droppedTotal { 0 };
};

/// Bounds the lines a second of each event, so that a flood of one kind hides no other.
class LogRateLimiter {
public:
    static constexpr double linesPerSecond = 20; ///< Per event; errors and state changes stay far below.
    static constexpr double burst = 60;
    /// Per event on a request that was not served: on-call staff look for single ids. At 7 us a line (docs/measures.md)
    /// five such events cost 0.4% of a core.
    static constexpr double failureLinesPerSecond = 100;
    static constexpr double failureBurst = 300;

    /// Returns whether a line of the event may be written now.
    bool admit(LogEvent);

    /// Returns the lines that were held back and forgets them.
    uint64_t takeSuppressed(LogEvent);

private:
    struct Bucket {
        double tokens = failureBurst; ///< The first refill limits it to the burst of the event.
        int64_t refilledUs = 0;
        uint64_t suppressed = 0;
    };

    std::mutex m_mutex;
    std::array<Bucket, static_cast<size_t>(LogEvent::Count)> m_buckets;
};

} // namespace plantainwall
