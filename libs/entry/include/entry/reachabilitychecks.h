#pragma once

#include "entry/searcherconnectionpool.h"
#include "observe/eventlog.h"
#include "placement/searcherpool.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Checks whether searchers are reachable.

namespace sassafrasvane
{

/// The result of an attempt to connect to a searcher.
enum class ConnectResult {
    Open,    ///< The connection was opened.
    Refused, ///< Opening it failed with an error of any kind, not only a refusal.
    Unknown, ///< It was not tried, or neither opened nor failed in time.
};

/// Opens connections to searchers outside of requests, so that no request waits for the connect.
///
/// Checks unreachable searchers until they are reachable again, with the backoff that also keeps calls away from a
/// failed searcher. A connection that was opened is kept for calls.
class ReachabilityChecks
{
public:
    using Done = std::function<void(ConnectResult state)>;

    ReachabilityChecks(SearcherPool &pool, SearcherConnectionPool &connections, EventLog &log);
    ~ReachabilityChecks();
    ReachabilityChecks(const ReachabilityChecks &) = delete;
    ReachabilityChecks &operator=(const ReachabilityChecks &) = delete;

    /// Sets the callback that runs when a searcher of \p backend is reachable again.
    void setOnReachable(std::function<void(const std::string &backend)> hook) { onReachable_ = std::move(hook); }

    /// Opens a connection to \p searcher, or waits for a check that is already running. \p done is called once,
    /// possibly before this returns. A check that is started here reports Unknown after about \p timeout.
    void check(TimePoint now, const std::shared_ptr<TrackedSearcher> &searcher, Duration timeout, Done done);

    /// Ends checks that have timed out and starts the due checks of unreachable searchers. Must be called several times
    /// a second.
    void onTick(TimePoint now);

private:
    struct Check {
        std::shared_ptr<TrackedSearcher> searcher;
        std::shared_ptr<http::ClientConnection> connection;
        TimePoint expiresAt;
        std::vector<Done> done;
        bool isEnded = false;
    };
    using CheckPtr = std::shared_ptr<Check>;

    CheckPtr runningCheck(const TrackedSearcher &searcher) const;
    void end(const CheckPtr &check, ConnectResult state);
    void onUnreachableChecked(const std::shared_ptr<TrackedSearcher> &searcher, ConnectResult state);

    SearcherPool &pool_;
    SearcherConnectionPool &connections_;
    EventLog &log_;
    std::function<void(const std::string &backend)> onReachable_;
    std::list<CheckPtr> checks_;
};

} // namespace sassafrasvane
