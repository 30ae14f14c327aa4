#include "log_appender.h"
#include "clock.h"
#include <algorithm>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace plantainwall {

BoundedLogAppender::BoundedLogAppender(int descriptor, DropReport dropReport, size_t maxBytes)
    : m_descriptor(descriptor)
    , m_dropReport(std::move(dropReport))
    , m_maxBytes(maxBytes)
{
}

BoundedLogAppender::~BoundedLogAppender() { destructorImpl(); }

void BoundedLogAppender::close() { flush(); }

void BoundedLogAppender::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    writeAvailable();
}

void BoundedLogAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string& line = event.getMessage();
    writeAvailable();
    if (m_buffer.size() + line.size() + 1 > m_maxBytes) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    if (m_dropped > 0) {
        m_buffer += m_dropReport(m_dropped) + '\n';
        m_dropped = 0;
    }
    m_buffer += line;
    m_buffer += '\n';
    writeAvailable();
}

void BoundedLogAppender::writeAvailable()
{
    while (!m_buffer.empty()) {
        // Polls instead of setting O_NONBLOCK, as the descriptor may be shared with other processes. A pipe that is
        // ready for writing accepts PIPE_BUF bytes without blocking.
        pollfd poll { m_descriptor, POLLOUT, 0 };
        if (::poll(&poll, 1, 0) <= 0 || (poll.revents & POLLOUT) == 0)
            return;
        const ssize_t n = ::write(m_descriptor, m_buffer.data(), std::min<size_t>(m_buffer.size(), 4096));
        if (n <= 0)
            return;
        m_buffer.erase(0, static_cast<size_t>(n));
    }
}

bool LogRateLimiter::admit(LogEvent event)
{
    const int64_t nowUs = now().time_since_epoch().count();
    const std::lock_guard<std::mutex> lock(m_mutex);
    Bucket& bucket = m_buckets[static_cast<size_t>(event)];
    const bool failure = logEventInfo(event).onFailedRequest;
    const double elapsed = static_cast<double>(nowUs - bucket.refilledUs) / 1e6;
    bucket.tokens = std::min(
        failure ? failureBurst : burst, bucket.tokens + elapsed * (failure ? failureLinesPerSecond : linesPerSecond));
    bucket.refilledUs = nowUs;
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

uint64_t LogRateLimiter::takeSuppressed(LogEvent event)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_buckets[static_cast<size_t>(event)].suppressed, 0);
}

} // namespace plantainwall
