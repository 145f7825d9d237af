#include "entry/reachabilitychecks.h"

#include <algorithm>
#include <optional>
#include <system_error>

namespace sassafrasvane
{

ReachabilityChecks::ReachabilityChecks(SearcherPool &pool, SearcherConnectionPool &connections, EventLog &log)
    : pool_(pool), connections_(connections), log_(log)
{
}

ReachabilityChecks::~ReachabilityChecks()
{
    for (const CheckPtr &check : checks_) {
        check->connection->close();
    }
}

void ReachabilityChecks::check(TimePoint now,
                               const std::shared_ptr<TrackedSearcher> &searcher,
                               Duration timeout,
                               Done done)
{
    if (const CheckPtr known = runningCheck(*searcher)) {
        known->done.push_back(std::move(done));
        return;
    }
    const SearcherConnectionPool::Lease lease = connections_.acquireNew(*searcher, pool_.connectionLimit(*searcher));
    if (!lease.connection) {
        done(ConnectResult::Unknown);
        return;
    }
    const CheckPtr check = std::make_shared<Check>();
    check->searcher = searcher;
    check->connection = lease.connection;
    check->expiresAt = now + timeout;
    check->done.push_back(std::move(done));
    checks_.push_back(check);
    check->connection->open([this, check](const std::error_code &error) {
        end(check, error ? ConnectResult::Refused : ConnectResult::Open);
    });
}

void ReachabilityChecks::onTick(TimePoint now)
{
    std::vector<CheckPtr> overdue;
    std::copy_if(checks_.begin(), checks_.end(), std::back_inserter(overdue), [now](const CheckPtr &check) {
        return now >= check->expiresAt;
    });
    for (const CheckPtr &check : overdue) {
        end(check, ConnectResult::Unknown);
    }
    for (const std::shared_ptr<TrackedSearcher> &searcher : pool_.reconnectCandidates(now)) {
        if (runningCheck(*searcher)) {
            continue;
        }
        // Connections that were opened before the failure do not show that the searcher is reachable now.
        connections_.closeIdle(searcher->entry().instance);
        check(now, searcher, SearcherConnectionPool::connectTimeout(), [this, searcher](ConnectResult state) {
            onUnreachableChecked(searcher, state);
        });
    }
}

ReachabilityChecks::CheckPtr ReachabilityChecks::runningCheck(const TrackedSearcher &searcher) const
{
    const std::list<CheckPtr>::const_iterator found
        = std::find_if(checks_.begin(), checks_.end(), [&searcher](const CheckPtr &check) {
              return check->searcher.get() == &searcher;
          });
    return found == checks_.end() ? nullptr : *found;
}

void ReachabilityChecks::end(const CheckPtr &check, ConnectResult state)
{
    if (check->isEnded) {
        return;
    }
    check->isEnded = true;
    checks_.remove(check);
    if (state == ConnectResult::Open && pool_.isRegistered(*check->searcher)) {
        connections_.release(BootClock::now(), *check->searcher, check->connection, std::nullopt);
    } else {
        check->connection->close();
        connections_.discard(*check->searcher);
    }
    for (const Done &done : check->done) {
        done(state);
    }
}

void ReachabilityChecks::onUnreachableChecked(const std::shared_ptr<TrackedSearcher> &searcher, ConnectResult state)
{
    const TimePoint now = BootClock::now();
    if (state != ConnectResult::Open) {
        searcher->onUnreachable(now);
        return;
    }
    searcher->onReachable(now);
    log_.line(EventRank::Important, "searcher_reachable")
        .text("searcher", searcher->entry().instance)
        .text("backend", searcher->entry().backend)
        .text("peer", searcher->entry().address.toString())
        .count("failures_in_row", searcher->failuresInRow());
    if (onReachable_) {
        onReachable_(searcher->entry().backend);
    }
}

} // namespace sassafrasvane
