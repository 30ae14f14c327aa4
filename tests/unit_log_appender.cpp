#include "log_appender.h"
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

using namespace plantainwall;

// Guards against logging that blocks while the reader is stopped: lines beyond the buffer are dropped, and reported
// once it reads again.
BOOST_AUTO_TEST_CASE(stopped_reader_never_blocks)
{
    int pipeEnds[2];
    BOOST_REQUIRE(::pipe(pipeEnds) == 0);
    BoundedLogAppender* const appender = new BoundedLogAppender(
        pipeEnds[1],
        [](uint64_t lines) { return "{\"name\":\"lines_dropped\",\"lines\":" + std::to_string(lines) + "}"; },
        64 * 1024);
    log4cplus::SharedAppenderPtr owner(appender);
    const std::string line(1000, 'x');
    const auto append = [&] {
        owner->doAppend(log4cplus::spi::InternalLoggingEvent(
            "test", log4cplus::INFO_LOG_LEVEL, line, __FILE__, __LINE__, "append"));
    };
    for (int i = 0; i < 1000; ++i)
        append();
    BOOST_TEST(appender->dropped() > 700U);
    ::fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::string buf(65536, '\0');
    for (int i = 0; i < 50; ++i) {
        const ssize_t n = ::read(pipeEnds[0], buf.data(), buf.size());
        if (n > 0)
            text.append(buf.data(), static_cast<size_t>(n));
        if (i == 10)
            append();
        appender->flush();
    }
    BOOST_TEST(text.find("\"name\":\"lines_dropped\"") != std::string::npos);
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}

// Guards against a flood of one event that suppresses other events.
BOOST_AUTO_TEST_CASE(each_event_has_its_own_limit)
{
    LogRateLimiter limiter;
    unsigned admitted = 0;
    for (int i = 0; i < 10000; ++i)
        admitted += limiter.admit(LogEvent::StatementServed) ? 1 : 0;
    BOOST_TEST(admitted <= 200U);
    BOOST_TEST(limiter.takeSuppressed(LogEvent::StatementServed) == 10000U - admitted);
    BOOST_TEST(limiter.takeSuppressed(LogEvent::StatementServed) == 0U);
    BOOST_TEST(limiter.admit(LogEvent::StatementRefused));
    // Events about failed requests have a higher limit than events about served ones.
    unsigned failures = 0;
    for (int i = 0; i < 10000; ++i)
        failures += limiter.admit(LogEvent::StatementRefused) ? 1 : 0;
    BOOST_TEST(failures > 2 * admitted);
    BOOST_TEST(failures <= 1000U);
}
