#include "selfreportlog.h"

#include <algorithm>
#include <memory>

namespace sassafrasvane::detail
{

namespace
{

EventLine lineAbout(EventLog &log,
                    EventRank rank,
                    const char *event,
                    const TrackedSearcher &searcher,
                    const ReportingReply &reply)
{
    EventLine line = log.line(rank, event);
    line.text("request", reply.request)
        .text("backend", searcher.entry().backend)
        .text("searcher", searcher.entry().instance)
        .text("peer", searcher.entry().address.toString())
        .count("status", reply.status)
        .milliseconds("elapsed_ms", reply.elapsed);
    return line;
}

} // namespace

void logSelfReport(EventLog &log,
                   TimePoint now,
                   const SearcherPool &pool,
                   const TrackedSearcher &searcher,
                   const ReportingReply &reply,
                   const SelfReportChanges &changes,
                   double limitBefore)
{
    if (changes.hasBegunToLeave) {
        lineAbout(log, EventRank::Important, "searcher_leaving", searcher, reply)
            .text("source", "reply")
            .flag("leaving_in_store", searcher.entry().isLeaving);
    }
    if (changes.pause != PauseChange::None) {
        lineAbout(log, EventRank::Important, "searcher_paused", searcher, reply)
            .text("source", "reply")
            .text("change", name(changes.pause))
            .milliseconds("pause_ms", std::max(Duration{0}, searcher.incarnationState()->pause.endsAt() - now));
    }
    if (changes.limit != LimitChange::None) {
        const EventRank rank = changes.limit == LimitChange::Changed ? EventRank::Routine : EventRank::Important;
        lineAbout(log, rank, "searcher_limit_changed", searcher, reply)
            .text("change", name(changes.limit))
            .number("before", limitBefore)
            .number("calls_per_second", searcher.statedLimit().callsPerSecond())
            .count("sharing_vms", pool.fleetSize());
    }
}

void logLimitUse(EventLog &log, TimePoint now, const SearcherPool &pool, TimePoint since)
{
    for (const std::shared_ptr<TrackedSearcher> &searcher : pool.limitedSearchers()) {
        StatedLimit &limit = searcher->statedLimit();
        log.line(EventRank::Routine, "searcher_limit_used")
            .text("backend", searcher->entry().backend)
            .text("searcher", searcher->entry().instance)
            .number("calls_per_second", limit.callsPerSecond())
            .milliseconds("stated_ms", now - limit.statedAt())
            .count("calls", limit.takeCallCount())
            .milliseconds("span_ms", now - std::max(limit.statedAt(), since))
            .count("sharing_vms", pool.fleetSize());
    }
}

} // namespace sassafrasvane::detail
