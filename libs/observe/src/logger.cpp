#include "observe/logger.h"

#include "jsonlayout.h"
#include "observe/logthrottle.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include <array>
#include <fstream>

namespace sassafrasvane
{

namespace
{

constexpr std::array<const char *, 5> levelNames{"trace", "debug", "info", "warn", "error"};
/// Size at which a log file is moved to "<path>.1" and begun anew, in bytes.
constexpr long maxFileBytes = 32L * 1024 * 1024;
constexpr int oldFiles = 1;

// Each Logger has a log4cplus logger of its own, so that several can live in one process.
log4cplus::Logger makeLogger()
{
    // log4cplus cannot be started again after its shutdown, so that it lives until the process ends.
    static const log4cplus::Initializer initializer;
    static std::atomic<unsigned> count{0};
    return log4cplus::Logger::getInstance("sassafrasvane" + std::to_string(++count));
}

} // namespace

const char *name(LogLevel level) noexcept
{
    return levelNames[static_cast<std::size_t>(level)];
}

std::optional<LogLevel> logLevel(std::string_view text) noexcept
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (text == levelNames[i]) {
            return static_cast<LogLevel>(i);
        }
    }
    return std::nullopt;
}

LogRecord LogRecord::of(LogLevel level, const Error &error)
{
    LogRecord record;
    record.level = level;
    record.step = error.step;
    record.message = error.detail.empty() ? error.message() : error.detail;
    record.code = error.errc();
    record.peer = error.peer;
    return record;
}

/// The log4cplus objects, kept out of the public header.
struct Logger::Output {
    log4cplus::Logger logger;

    explicit Output(const std::string &path) : logger(makeLogger())
    {
        log4cplus::SharedAppenderPtr appender;
        if (path.empty()) {
            appender = new log4cplus::ConsoleAppender(true, true);
        } else {
            appender = new log4cplus::RollingFileAppender(path, maxFileBytes, oldFiles, true);
        }
        appender->setLayout(std::make_unique<detail::JsonLayout>());
        logger.setAdditivity(false);
        logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        logger.addAppender(appender);
    }

    ~Output() { logger.removeAllAppenders(); }
};

Logger::Logger(LogLevel level, std::unique_ptr<Output> output)
    : level_(level), output_(std::move(output)), throttle_(std::make_unique<LogThrottle>())
{
}

Logger::~Logger()
{
    flush();
}

void Logger::log(const LogRecord &record)
{
    if (!isEnabled(record.level)) {
        return;
    }
    const TimePoint now = BootClock::now();
    bool isAdmitted = false;
    {
        const std::lock_guard lock(mutex_);
        isAdmitted = throttle_->admit(now, record.step, record.code);
    }
    if (isAdmitted) {
        write(record);
    } else {
        suppressedLines_.fetch_add(1, std::memory_order_relaxed);
    }
    if (const std::optional<LogRecord> summary = takeSummary(now, false)) {
        write(*summary);
    }
}

void Logger::flush()
{
    if (const std::optional<LogRecord> summary = takeSummary(BootClock::now(), true)) {
        write(*summary);
    }
}

void Logger::write(const LogRecord &record)
{
    output_->logger.log(detail::RecordEvent(output_->logger.getName(), record));
}

std::optional<LogRecord> Logger::takeSummary(TimePoint now, bool isForced)
{
    std::vector<SuppressedLines> suppressed;
    {
        const std::lock_guard lock(mutex_);
        suppressed = throttle_->takeSummary(now, isForced);
    }
    if (suppressed.empty()) {
        return std::nullopt;
    }
    LogRecord record;
    record.level = LogLevel::Warn;
    record.step = suppressed.front().step;
    std::uint64_t total = 0;
    for (const SuppressedLines &lines : suppressed) {
        const std::string kind = std::string(sassafrasvane::name(lines.step)) + '/'
            + (lines.code ? sassafrasvane::name(*lines.code) : "none");
        record.fields.push_back({kind, std::to_string(lines.count)});
        total += lines.count;
    }
    record.message = std::to_string(total) + " similar lines were suppressed";
    return record;
}

Logger::Builder &Logger::Builder::level(LogLevel level) noexcept
{
    level_ = level;
    return *this;
}

Logger::Builder &Logger::Builder::file(std::string path)
{
    path_ = std::move(path);
    return *this;
}

Result<std::unique_ptr<Logger>> Logger::Builder::build() const
{
    if (!path_.empty() && !std::ofstream(path_, std::ios::app)) {
        return Error{Errc::Unavailable, Step::Settings, {}, path_ + ": cannot be opened for the log"};
    }
    return std::unique_ptr<Logger>(new Logger(level_, std::make_unique<Output>(path_)));
}

} // namespace sassafrasvane
