#include "log_appender.h"
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

using namespace plantainwall;

// A reader that stops reading delays nobody: lines beyond the buffer are dropped, and told of once it reads again.
BOOST_AUTO_TEST_CASE(stopped_reader_never_blocks)
{
    int ends[2];
    BOOST_REQUIRE(::pipe(ends) == 0);
    BoundedLogAppender* const appender = new BoundedLogAppender(
        ends[1], [](uint64_t lines) { return "{\"name\":\"lines_dropped\",\"lines\":" + std::to_string(lines) + "}"; },
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
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::string buf(65536, '\0');
    for (int i = 0; i < 50; ++i) {
        const ssize_t n = ::read(ends[0], buf.data(), buf.size());
        if (n > 0)
            text.append(buf.data(), static_cast<size_t>(n));
        if (i == 10)
            append();
        appender->flush();
    }
    BOOST_TEST(text.find("\"name\":\"lines_dropped\"") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

// A flood of one event leaves room for the others.
BOOST_AUTO_TEST_CASE(events_are_limited_each)
{
    LogRateLimiter limiter;
    unsigned admitted = 0;
    for (int i = 0; i < 10000; ++i)
        admitted += limiter.admit(LogEvent::StatementServed) ? 1 : 0;
    BOOST_TEST(admitted <= 200U);
    BOOST_TEST(limiter.takeSuppressed(LogEvent::StatementServed) == 10000U - admitted);
    BOOST_TEST(limiter.takeSuppressed(LogEvent::StatementServed) == 0U);
    BOOST_TEST(limiter.admit(LogEvent::StatementRefused));
    // Lines on failed requests go before lines on served ones.
    unsigned failures = 0;
    for (int i = 0; i < 10000; ++i)
        failures += limiter.admit(LogEvent::StatementRefused) ? 1 : 0;
    BOOST_TEST(failures > 2 * admitted);
    BOOST_TEST(failures <= 1000U);
}
