#include "plantainpitch/runtime/logging.h"

#include "plantainpitch/runtime/log_line.h"
#include "plantainpitch/runtime/log_rate_limiter.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <mutex>

namespace plantainpitch::runtime {

namespace {

// More lines of one event in ten seconds help nobody who reads them.
constexpr std::uint64_t linesPerWindow = 100;
constexpr duration window = std::chrono::seconds(10);

log4cplus::LogLevel levelOf(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log_level levelNamed(const std::string &name)
{
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    return name == "error" ? log_level::error : log_level::info;
}

} // namespace

struct logging::state
{
    const clock *time = nullptr;
    log4cplus::Logger logger;
    std::mutex mutex; // guards the limiter
    log_rate_limiter limiter{ linesPerWindow, window };
};

logging::logging(const clock &time, const std::string &level, log_stream stream)
    : m_state(std::make_unique<state>())
{
    // Stays initialized for the life of the process: the shutdown of log4cplus joins the threads of
    // its pool, which can hang until the process is killed.
    log4cplus::initialize();
    m_state->time = &time;
    m_state->logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("plantain"));
    m_state->logger.setLogLevel(levelOf(levelNamed(level)));
    m_state->logger.setAdditivity(false);
    m_state->logger.removeAllAppenders();
    const log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(stream == log_stream::standard_error, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
            LOG4CPLUS_TEXT("time=%d{%Y-%m-%dT%H:%M:%S.%qZ} %m%n")));
    m_state->logger.addAppender(appender);
}

logging::~logging() = default;

void logging::write(const write_log &line)
{
    const log4cplus::LogLevel level = levelOf(line.level);
    if (!m_state->logger.isEnabledFor(level))
        return;
    {
        const std::lock_guard lock(m_state->mutex);
        if (!m_state->limiter.admit(line, m_state->time->now()))
            return;
    }
    m_state->logger.forcedLog(level, formatLogLine(line));
}

void logging::reportSuppressed()
{
    std::vector<write_log> lines;
    {
        const std::lock_guard lock(m_state->mutex);
        lines = m_state->limiter.takeSuppressed(m_state->time->now());
    }
    for (const write_log &line : lines)
        m_state->logger.forcedLog(levelOf(line.level), formatLogLine(line));
}

} // namespace plantainpitch::runtime
