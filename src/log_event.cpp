#include "log_event.h"
#include "log_appender.h"
#include "text_escape.h"
#include <algorithm>
#include <cmath>
#include <cpprest/json.h>
#include <ctime>
#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <mutex>
#include <shared_mutex>
#include <unistd.h>

namespace plantainwall {

namespace {

    constexpr log4cplus::LogLevel frameworkLevels[] = { log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
        log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL };
    static_assert(sizeof(frameworkLevels) / sizeof(frameworkLevels[0]) == static_cast<size_t>(LogLevel::Count),
        "one entry for each LogLevel");

    log4cplus::LogLevel frameworkLevel(LogEvent event)
    {
        return frameworkLevels[static_cast<size_t>(logEventInfo(event).level)];
    }

    std::string utcTime()
    {
        const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
        const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
        const int64_t us = std::chrono::duration_cast<Duration>(now.time_since_epoch()).count() % 1000000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char date[32];
        std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
        char buf[48];
        std::snprintf(buf, sizeof(buf), "%s.%06dZ", date, static_cast<int>(us));
        return buf;
    }

    /// The log of the process, created on first use.
    class Log {
    public:
        Log()
            : m_logger(log4cplus::Logger::getInstance("plantainwall"))
        {
            const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
            appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
            log4cplus::Logger::getRoot().removeAllAppenders();
            log4cplus::Logger::getRoot().addAppender(appender);
            log4cplus::Logger::getRoot().setLogLevel(log4cplus::INFO_LOG_LEVEL);
        }

        void configure(const std::string& host, const std::string& format, const std::string& level)
        {
            const std::unique_lock<std::shared_mutex> lock(m_mutex);
            m_host = host;
            m_format = format;
            setLevel(level);
        }

        void setLevel(const std::string& level)
        {
            for (size_t i = 0; i < static_cast<size_t>(LogLevel::Count); ++i) {
                if (level == logLevelName(static_cast<LogLevel>(i)))
                    log4cplus::Logger::getRoot().setLogLevel(frameworkLevels[i]);
            }
        }

        void writeToStandardOutput()
        {
            m_boundedAppender = new BoundedLogAppender(STDOUT_FILENO, // NOLINT: the logger's reference counts own it
                [this](uint64_t lines) {
                    const std::shared_lock<std::shared_mutex> lock(m_mutex);
                    return logEventLine(LogEvent::LinesDropped, { { "lines", lines } }, utcTime(), m_host, m_format);
                });
            const log4cplus::SharedAppenderPtr appender(m_boundedAppender);
            appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
            log4cplus::Logger::getRoot().removeAllAppenders();
            log4cplus::Logger::getRoot().addAppender(appender);
        }

        void flush()
        {
            if (m_boundedAppender != nullptr)
                m_boundedAppender->flush();
        }

        bool enabled(LogEvent event) const { return m_logger.isEnabledFor(frameworkLevel(event)); }

        void write(LogEvent event, std::initializer_list<LogField> fields, std::string_view time)
        {
            if (m_boundedAppender != nullptr && !m_limiter.admit(event))
                return;
            std::string line;
            {
                const std::shared_lock<std::shared_mutex> lock(m_mutex);
                line = logEventLine(event, fields, time, m_host, m_format);
                const uint64_t suppressed = m_boundedAppender != nullptr ? m_limiter.takeSuppressed(event) : 0;
                if (suppressed > 0 && line.back() == '}')
                    line.insert(line.size() - 1, ",\"suppressed_before\":" + std::to_string(suppressed));
            }
            m_logger.forcedLog(frameworkLevel(event), line);
        }

    private:
        log4cplus::Initializer m_initializer;
        log4cplus::Logger m_logger;
        std::shared_mutex m_mutex; // Guards m_host and m_format.
        std::string m_host;
        std::string m_format = "json";
        BoundedLogAppender* m_boundedAppender = nullptr;
        LogRateLimiter m_limiter;
    };

    Log& processLog()
    {
        // Never destroyed: threads may still log while static objects are destroyed.
        static Log& log = *new Log; // NOLINT(cppcoreguidelines-owning-memory)
        return log;
    }

    void appendField(std::string& line, bool json, std::string_view name, const LogValue& value)
    {
        if (json) {
            line += line.empty() ? "{\"" : ",\"";
            line.append(name).append("\":");
        } else {
            line += line.empty() ? "" : " ";
            line.append(name).append(1, '=');
        }
        std::visit(
            [&](const auto& v) {
                using Type = std::decay_t<decltype(v)>;
                if constexpr (std::is_same_v<Type, std::string>) {
                    if (json)
                        appendJsonString(line, escapedUtf8(v));
                    else
                        line += printableWord(escapedUtf8(v));
                } else if constexpr (std::is_same_v<Type, bool>) {
                    line += v ? "true" : "false";
                } else if constexpr (std::is_same_v<Type, double>) { // JSON has neither infinity nor NaN.
                    line += std::isfinite(v) ? web::json::value::number(v).serialize() : "null";
                } else {
                    line += std::to_string(v);
                }
            },
            value.variant());
    }

} // namespace

void initializeLogging(const Settings& settings)
{
    processLog().configure(settings.host, settings.logFormat, settings.logLevel);
}

void logToStandardOutput(const std::string& host, const std::string& level)
{
    processLog().configure(host, "json", level);
    processLog().writeToStandardOutput();
}

void setLogLevel(const std::string& level) { processLog().setLevel(level); }

void flushLog() { processLog().flush(); }

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    if (logEnabled(event))
        processLog().write(event, fields, utcTime());
}

bool logEnabled(LogEvent event) { return processLog().enabled(event); }

std::string logEventLine(LogEvent event, std::initializer_list<LogField> fields, std::string_view time,
    std::string_view host, std::string_view format)
{
    const LogEventInfo& info = logEventInfo(event);
    const bool json = format != "text";
    std::string line;
    appendField(line, json, "time", time);
    appendField(line, json, "level", logLevelName(info.level));
    appendField(line, json, "host", host);
    appendField(line, json, "event", info.number);
    appendField(line, json, "name", info.name);
    for (const LogField& field : fields)
        appendField(line, json, field.name, field.value);
    return json ? line + '}' : line;
}

} // namespace plantainwall
