#include "jsonlayout.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace sassafrasvane::detail
{

namespace
{

/// Length at which the text of a member is cut, in bytes.
constexpr std::size_t maxTextLength = 1'024;
/// Additional members of a line.
constexpr std::size_t maxFields = 16;

log4cplus::LogLevel log4cplusLevel(LogLevel level) noexcept
{
    constexpr std::array<log4cplus::LogLevel, 5> levels{log4cplus::TRACE_LOG_LEVEL,
                                                        log4cplus::DEBUG_LOG_LEVEL,
                                                        log4cplus::INFO_LOG_LEVEL,
                                                        log4cplus::WARN_LOG_LEVEL,
                                                        log4cplus::ERROR_LOG_LEVEL};
    return levels[static_cast<std::size_t>(level)];
}

std::string bounded(const std::string &text)
{
    return text.substr(0, maxTextLength);
}

// RFC 3339 in UTC with microseconds.
std::string timeText(const log4cplus::helpers::Time &time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    const std::time_t seconds = sinceEpoch.count() / 1'000'000;
    std::tm broken{};
    gmtime_r(&seconds, &broken);
    std::array<char, 40> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &broken);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(sinceEpoch.count() % 1'000'000));
    return std::string(date.data()) + fraction.data();
}

void addText(nlohmann::ordered_json &line, const char *name, const std::string &value)
{
    if (!value.empty()) {
        line[name] = bounded(value);
    }
}

void addRecord(nlohmann::ordered_json &line, const LogRecord &record)
{
    line["level"] = name(record.level);
    line["step"] = name(record.step);
    if (record.code) {
        line["code"] = name(*record.code);
    }
    addText(line, "peer", record.peer);
    addText(line, "trace", record.trace);
    addText(line, "class", record.cls);
    line["message"] = bounded(record.message);
    const std::size_t count = std::min(record.fields.size(), maxFields);
    for (std::size_t i = 0; i < count; ++i) {
        line["fields"][bounded(record.fields[i].name)] = bounded(record.fields[i].value);
    }
}

} // namespace

RecordEvent::RecordEvent(const log4cplus::tstring &logger, const LogRecord &record)
    : InternalLoggingEvent(logger, log4cplusLevel(record.level), record.message, nullptr, 0), record_(record)
{
}

void JsonLayout::formatAndAppend(log4cplus::tostream &output, const log4cplus::spi::InternalLoggingEvent &event)
{
    nlohmann::ordered_json line;
    line["time"] = timeText(event.getTimestamp());
    if (const auto *recordEvent = dynamic_cast<const RecordEvent *>(&event)) {
        addRecord(line, recordEvent->record());
    } else {
        line["message"] = bounded(event.getMessage());
    }
    output << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

} // namespace sassafrasvane::detail
