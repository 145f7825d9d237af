#include "entry/linkchecks.h"

#include <algorithm>
#include <optional>
#include <system_error>
#include <vector>

namespace sassafrasvane
{

LinkChecks::LinkChecks(SearcherPool &pool, SearcherLinks &links, EventLog &log) : pool_(pool), links_(links), log_(log)
{
}

LinkChecks::~LinkChecks()
{
    for (const CheckPtr &check : checks_) {
        check->connection->close();
    }
}

void LinkChecks::onTick(TimePoint now)
{
    std::vector<CheckPtr> overdue;
    std::copy_if(checks_.begin(), checks_.end(), std::back_inserter(overdue), [now](const CheckPtr &check) {
        return now >= check->expiresAt;
    });
    for (const CheckPtr &check : overdue) {
        end(check, false);
    }
    for (const std::shared_ptr<TrackedSearcher> &searcher : pool_.unreachable(now)) {
        if (!isRunning(*searcher)) {
            begin(now, searcher);
        }
    }
}

bool LinkChecks::isRunning(const TrackedSearcher &searcher) const
{
    return std::any_of(checks_.begin(), checks_.end(), [&searcher](const CheckPtr &check) {
        return check->searcher.get() == &searcher;
    });
}

void LinkChecks::begin(TimePoint now, const std::shared_ptr<TrackedSearcher> &searcher)
{
    // Connections from before the failure say nothing.
    links_.forget(searcher->entry().instance);
    const SearcherLinks::Lease lease = links_.acquire(now, *searcher, pool_.connectionLimit(*searcher), Duration{0});
    if (!lease.connection) {
        return;
    }
    const CheckPtr check = std::make_shared<Check>();
    check->searcher = searcher;
    check->connection = lease.connection;
    check->expiresAt = now + SearcherLinks::connectTimeout();
    checks_.push_back(check);
    check->connection->open([this, check](const std::error_code &error) { end(check, !error); });
}

void LinkChecks::end(const CheckPtr &check, bool isOpen)
{
    if (check->isEnded) {
        return;
    }
    check->isEnded = true;
    checks_.remove(check);
    const TimePoint now = BootClock::now();
    TrackedSearcher &searcher = *check->searcher;
    if (!isOpen) {
        check->connection->close();
        links_.discard(searcher);
        searcher.onUnreachable(now);
        return;
    }
    links_.release(now, searcher, check->connection, std::nullopt);
    searcher.onReachable(now);
    log_.line(EventRank::Important, "searcher_reachable")
        .text("searcher", searcher.entry().instance)
        .text("backend", searcher.entry().backend)
        .text("peer", searcher.entry().address.toString())
        .count("failures_in_row", searcher.failuresInRow());
    if (onReachable_) {
        onReachable_(searcher.entry().backend);
    }
}

} // namespace sassafrasvane
