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

#include <memory>
#include <string>
#include <unordered_map>

/// \file
/// Takes callers' requests.

namespace sassafrasvane
{

namespace detail
{
class RequestTask;
struct RequestContext;
} // namespace detail

/// Finds the route of each request and serves it.
///
/// \code
/// EntryServer entry(context, protocol, pool, dispatcher, state, log);
/// Server::Builder(context).handler([&entry](const std::shared_ptr<Exchange> &exchange) { entry.handle(exchange); });
/// \endcode
class EntryServer
{
public:
    /// Requests that are worked on at the same time; further ones are refused.
    static constexpr std::size_t mostRequests() noexcept { return 500; }

    /// \param seed of the random part of retry advice.
    EntryServer(boost::asio::io_context &context,
                const EntryProtocol &protocol,
                SearcherPool &pool,
                Dispatcher &dispatcher,
                CrashWatch &crashes,
                PublishedState &state,
                EventLog &log,
                std::uint64_t seed);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Serves one request.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

    /// Takes a configuration that has come into force.
    void onConfiguration(const RouteTable &routes);

    /// Tries waiting calls again. To be called several times a second.
    void onTick(TimePoint now);

    const EntryCounters &counters() const noexcept { return counters_; }
    std::size_t openRequests() const noexcept { return requests_.size(); }
    std::size_t waitingRequests() const noexcept { return entrance_.size(); }
    std::size_t waitingCalls() const noexcept { return waiting_.size(); }

private:
    void onFree(const std::string &backend);
    void refuse(const std::shared_ptr<http::Exchange> &exchange,
                const CallerTerms &terms,
                http::Response answer,
                const char *reason);
    http::Response notRun(const CallerTerms &terms);
    Duration outage() const;
    std::vector<BackendPool *> backendsOf(const RequestRoute &route);
    CallTimes &timesOf(const RequestRoute &route);

    const EntryProtocol &protocol_;
    SearcherPool &pool_;
    PublishedState &state_;
    EventLog &log_;
    WaitingList waiting_;
    WaitingList entrance_;
    WeightedSplits splits_;
    EntryCounters counters_;
    Random random_;
    TimePoint startedAt_ = BootClock::now();
    std::unordered_map<std::string, CallTimes> times_;
    std::unordered_map<const detail::RequestTask *, std::shared_ptr<detail::RequestTask>> requests_;
    std::unique_ptr<detail::RequestContext> shared_;
};

} // namespace sassafrasvane
