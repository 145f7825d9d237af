#pragma once

#include "entry/counters.h"
#include "entry/crashwatch.h"
#include "entry/dispatcher.h"
#include "entry/retryadvice.h"
#include "entry/waitinglist.h"
#include "gather/gather.h"
#include "http/server.h"
#include "placement/calltimes.h"
#include "routing/routetable.h"
#include "tenancy/tenantquotas.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Serves one request of a caller, from its arrival to its answer.

namespace sassafrasvane::detail
{

class RequestTask;

/// Objects that all requests of a process share.
struct RequestContext {
    boost::asio::io_context &context;
    const EntryProtocol &protocol;
    SearcherPool &pool;
    Dispatcher &dispatcher;
    CrashWatch &crashes;
    /// Calls that wait for a free searcher.
    WaitingList &waiting;
    /// Requests that have not started: none of their calls has been sent. Queued by the backend of their first part.
    WaitingList &startQueue;
    EventLog &log;
    EntryCounters &counters;
    Random &random;
    TenantQuotas &quotas;
    /// Releases a request that has ended.
    std::function<void(const RequestTask *request)> release;
};

/// Who sent a request.
struct RequestCaller {
    /// A tenant of the request's version of the configuration; nullptr if the request has no API key.
    const Tenant *tenant = nullptr;
    /// True if the tenant has used up most of its quota.
    bool isLowOnQuota = false;
};

/// Serves one request: sends a call for each of its parts, and answers the caller when Gather finishes.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
    /// \param table kept until the request ends. \param route a route of \p table.
    /// \param caller its tenant is one of \p table. \param backends the backend of each part.
    RequestTask(RequestContext &shared,
                std::shared_ptr<http::Exchange> exchange,
                RequestMetadata metadata,
                Fingerprint fingerprint,
                std::shared_ptr<const RouteTable> table,
                const RequestRoute &route,
                const RequestCaller &caller,
                std::vector<BackendPool *> backends,
                CallTimes &times);

    /// When the time limits of the caller and of \p route end, less the time to answer.
    static TimePoint deadlineOf(const http::Exchange &exchange,
                                const RequestMetadata &metadata,
                                const RequestRoute &route);

    /// Sends the calls of the parts, or refuses the request at once if it cannot be served.
    void start();

    /// Answers the caller now, as if the deadline had passed.
    void end();

private:
    struct Part {
        BackendPool *backend = nullptr;
        std::vector<std::shared_ptr<TrackedSearcher>> tried;
        std::vector<CallHandle> calls;
        std::optional<http::Response> response;
        http::MemoryLease lease;
        std::string stamp;
        /// True if the last call never reached a searcher, so that the next call is not charged to the retry budget.
        bool hasFreeRetry = false;
    };

    std::shared_ptr<const http::Request> prepareCall();
    GatherParameters makeGatherParameters() const;
    GatherHooks gatherHooks();
    Room room(std::size_t part) const;
    void waitToStart();
    WaitingList::QueueParameters queueParameters() const;
    bool canBeServed(TimePoint now) const;
    TimePoint askedToWaitUntil(TimePoint now) const;
    Placement place(std::size_t part, CallPurpose purpose);
    Placement place(std::size_t part, CallPurpose purpose, bool mayWait);
    std::optional<CallHandle> send(std::size_t part, const std::shared_ptr<TrackedSearcher> &searcher);
    void recordSent(const Part &part, CallPurpose purpose, const Choice &choice);
    CallParameters callParameters(TimePoint now, bool isHedge) const;
    bool spendBudget(Part &part, CallPurpose purpose);
    Placement wait(std::size_t part, CallPurpose purpose);
    void onCallEnded(std::size_t part, SearcherCallResult outcome);
    bool isSuspect() const noexcept;
    void reportCrashes();
    void schedule();
    void onTimer();
    void onAbandoned();
    void finish(GatherEnd end);
    void endCalls(bool isAbandoned);
    http::Response answer(GatherEnd end);
    RefusalCause refusalCause(TimePoint now) const;
    Duration longestOutage(TimePoint now) const;
    http::Response mergedAnswer();
    bool hasSentCalls() const;
    void refundQuota();
    void countForTenant(std::string_view end) const;
    void logEnd(GatherEnd end, unsigned status) const;
    std::string backendsWhere(const std::function<bool(std::size_t part)> &isListed) const;

    RequestContext &shared_;
    std::shared_ptr<http::Exchange> exchange_;
    RequestMetadata metadata_;
    Fingerprint fingerprint_;
    /// Set if the request is traced.
    std::optional<TraceSpan> span_;
    std::shared_ptr<const RouteTable> table_;
    const RequestRoute &route_;
    RequestCaller caller_;
    CallTimes &times_;
    std::shared_ptr<const http::Request> request_;
    std::vector<Part> parts_;
    TimePoint deadline_;
    GatherParameters gatherParameters_;
    Gather gather_;
    boost::asio::steady_timer timer_;
    std::optional<TimePoint> timerAt_;
    /// A failure response of a searcher, which the caller gets if the request fails.
    std::optional<http::Response> failureResponse_;
    std::uint32_t extraCalls_ = 0;
    /// Number of calls to searchers in other failure domains.
    std::uint32_t remoteCalls_ = 0;
    /// Numbers of calls that competed although there was a local searcher, by the reason.
    std::uint32_t timeShortCalls_ = 0;
    std::uint32_t localImpairedCalls_ = 0;
    /// Number of searchers that crashed while running the request.
    std::uint32_t crashedSearchers_ = 0;
    TimePoint lastCrashAt_;
    /// True if a searcher has run the request without crashing.
    bool isCleared_ = false;
};

} // namespace sassafrasvane::detail
