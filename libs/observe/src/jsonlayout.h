#pragma once

#include "observe/logger.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

/// \file
/// The log4cplus layout of JSON lines.

namespace sassafrasvane::detail
{

/// A log4cplus event that carries a LogRecord. Valid during the call of Logger::log only, as the appenders are
/// synchronous.
class RecordEvent : public log4cplus::spi::InternalLoggingEvent
{
public:
    /// \param record must outlive the event.
    RecordEvent(const log4cplus::tstring &logger, const LogRecord &record);

    const LogRecord &record() const noexcept { return record_; }

private:
    const LogRecord &record_;
};

/// Writes each event as one JSON object and a line end.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &output, const log4cplus::spi::InternalLoggingEvent &event) override;
};

} // namespace sassafrasvane::detail
