#pragma once

#include "base/random.h"
#include "entry/counters.h"
#include "entry/crashwatch.h"
#include "entry/dispatcher.h"
#include "entry/protocol.h"
#include "entry/publishedstate.h"
#include "entry/waitinglist.h"
#include "http/server.h"
#include "observe/eventlog.h"
#include "placement/calltimes.h"
#include "placement/searcherpool.h"
#include "routing/weightedsplit.h"
#include "tenancy/tenantquotas.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// Accepts and routes callers' requests.

namespace sassafrasvane
{

namespace detail
{
class LineBudget;
class RequestTask;
struct RequestContext;
} // namespace detail

/// Matches each request to a route and forwards it to the route's backends.
///
/// \code
/// EntryServer entry(context, protocol, pool, dispatcher, crashes, quotas, state, log, seed);
/// Server::Builder(context).handler([&entry](const std::shared_ptr<Exchange> &exchange) { entry.handle(exchange); });
/// \endcode
class EntryServer
{
public:
    /// Maximum number of requests in flight; further requests are refused with retry advice.
    static constexpr std::size_t maxOpenRequests() noexcept { return 500; }

    /// \param quotas their values follow the configuration. \param seed seeds the jitter of the retry advice.
    EntryServer(boost::asio::io_context &context,
                const EntryProtocol &protocol,
                SearcherPool &pool,
                Dispatcher &dispatcher,
                CrashWatch &crashes,
                TenantQuotas &quotas,
                PublishedState &state,
                EventLog &log,
                std::uint64_t seed);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Serves one request, or refuses it.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

    /// Decides on a request whose body has not arrived yet. \return the refusal of a request that no body could make
    /// servable, or nothing.
    std::optional<http::Response> refuseHead(const http::Request &head);

    /// The refusal of a request for which this process has no memory.
    http::Response overloadResponse();

    /// Refuses further requests, as not run, if their time limit ends after \p lastAnswerAt: this process may not be
    /// there to answer them.
    void refuseRequestsEndingAfter(TimePoint lastAnswerAt) noexcept { lastAnswerAt_ = lastAnswerAt; }

    /// Gives all open requests their final answer now, as if their time limit had ended.
    void endRequests();

    /// Called when a new configuration comes into force.
    void onConfiguration(const RouteTable &routes);

    /// Retries waiting calls and requests. Must be called several times a second.
    void onTick(TimePoint now);

    /// The state of the tenants with a quota, for metrics.
    std::vector<TenantUsage> tenantUsage(TimePoint now) const;

    const EntryCounters &counters() const noexcept { return counters_; }
    std::size_t openRequests() const noexcept { return requests_.size(); }
    std::size_t waitingRequests() const noexcept { return waitingRequests_.size(); }
    std::size_t waitingCalls() const noexcept { return waitingCalls_.size(); }

private:
    void onFree(const std::string &backend);
    /// A response to a request that is not tried, and why.
    struct Refusal {
        http::Response response;
        const char *reason;
        /// The tenant of the request, if it is known.
        const Tenant *tenant = nullptr;
    };

    std::optional<Refusal> refusalOfHead(const http::Request &head,
                                         const RequestMetadata &metadata,
                                         const RouteTable *routes);
    http::Response unauthorizedResponse() const;
    QuotaDecision admit(const Tenant *tenant);
    void refuse(const std::shared_ptr<http::Exchange> &exchange, const RequestMetadata &metadata, Refusal refusal);
    void recordRefusal(const http::Request &request,
                       const RequestMetadata &metadata,
                       const Refusal &refusal,
                       unsigned status);
    void refuseOverQuota(const std::shared_ptr<http::Exchange> &exchange,
                         const RequestMetadata &metadata,
                         const Tenant &tenant,
                         const QuotaDecision &decision);
    std::optional<EventLine> refusalLine(const http::Request &request,
                                         const RequestMetadata &metadata,
                                         const char *reason,
                                         unsigned status);
    http::Response retryLaterResponse(const RequestMetadata &metadata);
    Duration outageDuration() const;
    std::vector<BackendPool *> backendsOf(const RequestRoute &route);
    CallTimes &callTimesOf(const RequestRoute &route);

    const EntryProtocol &protocol_;
    SearcherPool &pool_;
    PublishedState &state_;
    EventLog &log_;
    WaitingList waitingCalls_;
    WaitingList waitingRequests_;
    WeightedSplits splits_;
    EntryCounters counters_;
    Random random_;
    TimePoint startedAt_ = BootClock::now();
    /// When this process gives its last answer; nothing unless it is stopping.
    std::optional<TimePoint> lastAnswerAt_;
    std::unordered_map<std::string, CallTimes> callTimes_;
    std::unordered_map<const detail::RequestTask *, std::shared_ptr<detail::RequestTask>> requests_;
    std::unique_ptr<detail::RequestContext> requestContext_;
    /// Bounds the log lines about refused requests.
    std::unique_ptr<detail::LineBudget> refusalLines_;
};

} // namespace sassafrasvane
