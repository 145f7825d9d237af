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
/// Finds out whether searchers can be reached.

namespace sassafrasvane
{

/// Whether a connection to a searcher can be opened.
enum class ConnectResult {
    Open,
    Refused, ///< It could not be opened.
    Unknown, ///< It was not tried, or neither opened nor failed in time.
};

/// Opens connections to searchers without a request that would have to wait for them.
///
/// Unreachable searchers are checked until they are back; the pauses between the checks of a searcher are those for
/// which it is left alone after failures. A connection that opens is kept for calls.
class ReachabilityChecks
{
public:
    using Done = std::function<void(ConnectResult state)>;

    ReachabilityChecks(SearcherPool &pool, SearcherConnectionPool &connections, EventLog &log);
    ~ReachabilityChecks();
    ReachabilityChecks(const ReachabilityChecks &) = delete;
    ReachabilityChecks &operator=(const ReachabilityChecks &) = delete;

    /// Sets what is called when a searcher of a back end can be reached again.
    void setOnReachable(std::function<void(const std::string &backend)> hook) { onReachable_ = std::move(hook); }

    /// Opens a connection to \p searcher, or joins a check that runs. \p done is called once, maybe at once; Unknown
    /// after about \p timeout.
    void check(TimePoint now, const std::shared_ptr<TrackedSearcher> &searcher, Duration timeout, Done done);

    /// Ends overdue checks and begins those of unreachable searchers that are due. To be called several times a second.
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
