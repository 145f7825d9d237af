#pragma once

#include "base/error.h"
#include "base/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Log lines in JSON, bounded when one fault repeats many times a second.

namespace sassafrasvane
{

class LogThrottle;

/// Severity of a log line.
enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/// Stable lower-case name of \p level, as in the process settings.
const char *name(LogLevel level) noexcept;

/// The level called \p text, or nothing.
std::optional<LogLevel> logLevel(std::string_view text) noexcept;

/// An additional member of a log line.
struct LogField {
    std::string name;
    std::string value;
};

/// One log line. Never holds a caller's payload or a key.
struct LogRecord {
    LogLevel level = LogLevel::Info;
    Step step = Step::Accept;
    std::string message;
    /// The error that the line speaks of, if any; lines of the same step and code share a rate limit.
    std::optional<Errc> code;
    /// Address of the peer or server concerned, as ip:port.
    std::string peer;
    /// Trace id in hexadecimal.
    std::string trace;
    /// Name of the class of work.
    std::string cls;
    std::vector<LogField> fields;

    /// A line at \p level that speaks of \p error.
    static LogRecord of(LogLevel level, const Error &error);
};

/// Writes log lines as one JSON object a line, through log4cplus.
///
/// Lines of the same step and error code share a token bucket. Lines over its rate are counted, and one line a period
/// tells how many there were. May be used by any thread.
///
/// \code
/// std::unique_ptr<Logger> logger = Logger::Builder().level(LogLevel::Info).file(path).build().value();
/// logger->log(LogRecord::of(LogLevel::Warn, error));
/// \endcode
class Logger
{
public:
    class Builder;

    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;
    /// Writes the summary of suppressed lines and closes the file.
    ~Logger();

    /// True if lines of \p level are written.
    bool isEnabled(LogLevel level) const noexcept { return level >= level_; }

    /// Writes \p record unless its level is off or its rate is exceeded.
    void log(const LogRecord &record);

    /// Writes the summary of the lines suppressed since the last one, if there were any.
    void flush();

    /// Lines suppressed since the start.
    std::uint64_t suppressedLines() const noexcept { return suppressedLines_.load(std::memory_order_relaxed); }

private:
    struct Output;

    Logger(LogLevel level, std::unique_ptr<Output> output);
    void write(const LogRecord &record);
    std::optional<LogRecord> takeSummary(TimePoint now, bool isForced);

    const LogLevel level_;
    std::unique_ptr<Output> output_;
    std::atomic<std::uint64_t> suppressedLines_{0};
    std::mutex mutex_;
    std::unique_ptr<LogThrottle> throttle_;
};

/// Collects what a Logger needs.
class Logger::Builder
{
public:
    /// Least severity that is written; LogLevel::Info by default.
    Builder &level(LogLevel level) noexcept;

    /// Appends to the file at \p path; standard error if it is empty or not set.
    Builder &file(std::string path);

    /// \return the logger, or Errc::Unavailable if the file cannot be opened.
    Result<std::unique_ptr<Logger>> build() const;

private:
    LogLevel level_ = LogLevel::Info;
    std::string path_;
};

} // namespace sassafrasvane
