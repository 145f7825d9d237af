#pragma once

#include "entry/searcherlinks.h"
#include "observe/eventlog.h"
#include "placement/searcherpool.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

/// \file
/// Finds out when searchers that could not be reached are back.

namespace sassafrasvane
{

/// Opens connections to unreachable searchers, so that no request has to wait for one that may still be gone.
///
/// A connection that opens is kept for calls. The pauses between the checks of a searcher are those for which the
/// searcher is left alone after failures.
class LinkChecks
{
public:
    LinkChecks(SearcherPool &pool, SearcherLinks &links, EventLog &log);
    ~LinkChecks();
    LinkChecks(const LinkChecks &) = delete;
    LinkChecks &operator=(const LinkChecks &) = delete;

    /// Sets what is called when a searcher of a back end can be reached again.
    void setOnReachable(std::function<void(const std::string &backend)> hook) { onReachable_ = std::move(hook); }

    /// Ends overdue checks and begins those that are due. To be called several times a second.
    void onTick(TimePoint now);

private:
    struct Check {
        std::shared_ptr<TrackedSearcher> searcher;
        std::shared_ptr<http::ClientConnection> connection;
        TimePoint expiresAt;
        bool isEnded = false;
    };
    using CheckPtr = std::shared_ptr<Check>;

    bool isRunning(const TrackedSearcher &searcher) const;
    void begin(TimePoint now, const std::shared_ptr<TrackedSearcher> &searcher);
    void end(const CheckPtr &check, bool isOpen);

    SearcherPool &pool_;
    SearcherLinks &links_;
    EventLog &log_;
    std::function<void(const std::string &backend)> onReachable_;
    std::list<CheckPtr> checks_;
};

} // namespace sassafrasvane
