#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// Structured log lines of a single-threaded process: one for each decision.

namespace sassafrasvane
{

/// How much a line is worth when not all can be kept.
enum class EventRank {
    Routine,   ///< Something went as it should; dropped first.
    Important, ///< Something failed, or what the process believes has changed.
};

class EventLog;

/// One line that is being written; it is added to the log when the object ends.
///
/// \code
/// log.line(EventRank::Important, "call_failed").text("request", id).number("elapsed_ms", elapsed);
/// \endcode
class EventLine
{
public:
    EventLine(EventLine &&other) noexcept;
    EventLine(const EventLine &) = delete;
    EventLine &operator=(const EventLine &) = delete;
    ~EventLine();

    EventLine &text(std::string_view name, std::string_view value);
    EventLine &number(std::string_view name, double value);
    EventLine &count(std::string_view name, std::uint64_t value);
    EventLine &flag(std::string_view name, bool value);
    /// Milliseconds with a fraction.
    EventLine &milliseconds(std::string_view name, Duration value);
    /// Code, step, peer and detail of \p error.
    EventLine &error(const Error &error);

private:
    friend class EventLog;
    EventLine(EventLog *log, EventRank rank);

    /// Null if the line is dropped.
    EventLog *log_;
    EventRank rank_;
};

/// Writes JSON lines to a descriptor without ever blocking.
///
/// Lines wait in a buffer of bounded size until flush(). Routine lines are bounded by a rate, and all lines by the
/// buffer; routine lines find no room once half of it is used. Dropped lines are counted, and the next line that fits
/// is preceded by one that tells how many there were.
class EventLog
{
public:
    /// Most bytes that wait.
    static constexpr std::size_t bufferBytes() noexcept { return 262'144; }
    /// Routine lines a second in the long run, and at once.
    static constexpr double routinePerSecond() noexcept { return 200; }
    static constexpr double routineBurst() noexcept { return 400; }

    /// \param descriptor where lines go; set to non-blocking mode. \param process named in each line.
    EventLog(int descriptor, std::string process);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Begins a line about \p event, a stable name such as "request_answered".
    EventLine line(EventRank rank, std::string_view event);

    /// Tells and counts an exception that ended what a handler was working on.
    void unexpectedError(const std::exception &exception);

    /// Writes what the descriptor takes at once.
    void flush();

    /// Lines dropped since the start.
    std::uint64_t droppedLines() const noexcept { return droppedLines_; }

    /// Calls of unexpectedError() since the start.
    std::uint64_t unexpectedErrors() const noexcept { return unexpectedErrors_; }

private:
    friend class EventLine;
    struct Writer;

    bool admits(EventRank rank);
    void begin(std::string_view event);
    void end();

    int descriptor_;
    std::string process_;
    std::unique_ptr<Writer> writer_;
    std::string waiting_;
    double routineTokens_ = routineBurst();
    TimePoint refilledAt_;
    std::uint64_t droppedLines_ = 0;
    std::uint64_t reportedLines_ = 0;
    std::uint64_t unexpectedErrors_ = 0;
};

} // namespace sassafrasvane
