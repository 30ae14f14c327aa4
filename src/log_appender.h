#pragma once

#include "log_event.h"
#include <array>
#include <atomic>
#include <functional>
#include <log4cplus/appender.h>
#include <mutex>

namespace plantainwall {

/// Appender that never blocks on the reader of the log: lines that cannot be written yet are buffered up to a limit.
/// Further lines are dropped and reported by a separate line once the buffer has room again.
class BoundedLogAppender final : public log4cplus::Appender {
public:
    static constexpr size_t defaultMaxBytes = 256 * 1024; ///< A few seconds of lines at full rate.

    /// Returns the line that reports the number of dropped lines.
    using DropReport = std::function<std::string(uint64_t lines)>;

    BoundedLogAppender(int descriptor, DropReport, size_t maxBytes = defaultMaxBytes);
    ~BoundedLogAppender() override;

    void close() override;

    /// Writes buffered lines as far as possible without blocking.
    void flush();

    uint64_t dropped() const { return m_droppedTotal; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;

private:
    /// Writes until the buffer is empty or the descriptor would block. m_mutex must be locked.
    void writeAvailable();

    int m_descriptor;
    DropReport m_dropReport;
    size_t m_maxBytes;
    std::mutex m_mutex;
    std::string m_buffer;
    uint64_t m_dropped = 0; ///< Since the last line that reported drops.
    std::atomic<uint64_t> m_droppedTotal { 0 };
};

/// Limits the lines per second of each event, so that a flood of one event does not displace others.
class LogRateLimiter {
public:
    static constexpr double linesPerSecond = 20; ///< Per event; errors and state changes stay far below this.
    static constexpr double burst = 60;
    /// Per event with LogEventInfo::onFailedRequest, because on-call staff search for single request ids. At 7 us per
    /// line (docs/measures.md) five such events cost 0.4% of a core.
    static constexpr double failureLinesPerSecond = 100;
    static constexpr double failureBurst = 300;

    /// Returns whether a line of the event may be written now; counts it as suppressed if not.
    bool admit(LogEvent);

    /// Returns the number of suppressed lines of the event and resets it.
    uint64_t takeSuppressed(LogEvent);

private:
    struct Bucket {
        double tokens = failureBurst; ///< The first refill reduces it to the burst of the event.
        int64_t refilledUs = 0;
        uint64_t suppressed = 0;
    };

    std::mutex m_mutex;
    std::array<Bucket, static_cast<size_t>(LogEvent::Count)> m_buckets;
};

} // namespace plantainwall
