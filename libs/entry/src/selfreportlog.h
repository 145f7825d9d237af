#pragma once

#include "observe/eventlog.h"
#include "placement/searcherpool.h"

#include <string>

/// \file
/// Log lines about what searchers ask of their callers.

namespace sassafrasvane::detail
{

/// The reply that told something of its searcher.
struct ReportingReply {
    /// Id of the request that the reply answers.
    const std::string &request;
    unsigned status = 0;
    /// Time since the call was sent.
    Duration elapsed{0};
};

/// Writes a line for each of \p changes. \param limitBefore the limit before the reply, in calls per second.
void logSelfReport(EventLog &log,
                   TimePoint now,
                   const SearcherPool &pool,
                   const TrackedSearcher &searcher,
                   const ReportingReply &reply,
                   const SelfReportChanges &changes,
                   double limitBefore);

/// Writes how many calls this process has sent to each searcher that states a limit. \param since time of the previous
/// lines.
void logLimitUse(EventLog &log, TimePoint now, const SearcherPool &pool, TimePoint since);

} // namespace sassafrasvane::detail
