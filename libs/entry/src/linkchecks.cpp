#include "entry/linkchecks.h"

#include <algorithm>
#include <optional>
#include <system_error>

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

void LinkChecks::check(TimePoint now, const std::shared_ptr<TrackedSearcher> &searcher, Duration patience, Done done)
{
    if (const CheckPtr known = running(*searcher)) {
        known->done.push_back(std::move(done));
        return;
    }
    const SearcherLinks::Lease lease = links_.acquireNew(*searcher, pool_.connectionLimit(*searcher));
    if (!lease.connection) {
        done(LinkState::Unknown);
        return;
    }
    const CheckPtr check = std::make_shared<Check>();
    check->searcher = searcher;
    check->connection = lease.connection;
    check->expiresAt = now + patience;
    check->done.push_back(std::move(done));
    checks_.push_back(check);
    check->connection->open(
        [this, check](const std::error_code &error) { end(check, error ? LinkState::Refused : LinkState::Open); });
}

void LinkChecks::onTick(TimePoint now)
{
    std::vector<CheckPtr> overdue;
    std::copy_if(checks_.begin(), checks_.end(), std::back_inserter(overdue), [now](const CheckPtr &check) {
        return now >= check->expiresAt;
    });
    for (const CheckPtr &check : overdue) {
        end(check, LinkState::Unknown);
    }
    for (const std::shared_ptr<TrackedSearcher> &searcher : pool_.reconnectCandidates(now)) {
        if (running(*searcher)) {
            continue;
        }
        // Connections from before the failure say nothing.
        links_.forget(searcher->entry().instance);
        check(now, searcher, SearcherLinks::connectTimeout(), [this, searcher](LinkState state) {
            onUnreachableChecked(searcher, state);
        });
    }
}

LinkChecks::CheckPtr LinkChecks::running(const TrackedSearcher &searcher) const
{
    const std::list<CheckPtr>::const_iterator found
        = std::find_if(checks_.begin(), checks_.end(), [&searcher](const CheckPtr &check) {
              return check->searcher.get() == &searcher;
          });
    return found == checks_.end() ? nullptr : *found;
}

void LinkChecks::end(const CheckPtr &check, LinkState state)
{
    if (check->isEnded) {
        return;
    }
    check->isEnded = true;
    checks_.remove(check);
    if (state == LinkState::Open && pool_.isRegistered(*check->searcher)) {
        links_.release(BootClock::now(), *check->searcher, check->connection, std::nullopt);
    } else {
        check->connection->close();
        links_.discard(*check->searcher);
    }
    for (const Done &done : check->done) {
        done(state);
    }
}

void LinkChecks::onUnreachableChecked(const std::shared_ptr<TrackedSearcher> &searcher, LinkState state)
{
    const TimePoint now = BootClock::now();
    if (state != LinkState::Open) {
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
