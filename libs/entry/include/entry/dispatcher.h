#pragma once

#include "base/error.h"
#include "entry/latencymetric.h"
#include "entry/protocol.h"
#include "entry/reachabilitychecks.h"
#include "entry/requesttrace.h"
#include "entry/searcherconnectionpool.h"
#include "observe/eventlog.h"
#include "placement/searcherpool.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

/// \file
/// Sends calls to searchers.

namespace sassafrasvane
{

/// What became of a call.
struct SearcherCallResult {
    CallEnd end = CallEnd::Cancelled;
    /// Whether the searcher may have run the call.
    Ran ran = Ran::Unknown;
    /// The searcher's response, if there is one.
    std::optional<http::Response> response;
    /// The memory that the response takes.
    http::MemoryLease lease;
    SearcherReply reply;
    Duration elapsed{0};
};

/// One call to make.
struct SearcherCall {
    std::shared_ptr<TrackedSearcher> searcher;
    /// The caller's request without the headers that concern its connection.
    std::shared_ptr<const http::Request> request;
    std::string requestId;
    TimePoint deadline;
    /// Usual time of the route's calls.
    Duration typicalDuration{0};
    /// False if a connection that may have gone stale must not be used.
    bool isIdempotent = true;
    /// True if only a success will do: the part of a merged answer.
    bool isPart = false;
    /// Set if the call is recorded.
    std::optional<TraceSpan> span;
};

/// A call that has been made; cancel() with it.
using CallHandle = std::weak_ptr<void>;

/// Sends calls to searchers over kept connections, judges their responses, and tells the pool how they ended.
class Dispatcher
{
public:
    using Done = std::function<void(SearcherCallResult outcome)>;

    /// Time for which a call goes on whose answer nobody waits for: breaking it off costs the searcher a connection.
    static constexpr Duration detachedCallTimeout() noexcept { return std::chrono::milliseconds(200); }

    /// \param memory bounds the responses of all searchers together.
    Dispatcher(boost::asio::io_context &context,
               http::ResponseMemory &memory,
               const EntryProtocol &protocol,
               SearcherPool &pool,
               EventLog &log);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Sets what is called when a searcher of a back end may have become free.
    void setOnSearcherFree(std::function<void(const std::string &backend)> hook);

    /// Makes a call; \p done is called once unless the call is cancelled or detached first.
    /// \return nothing if no connection may be used; the call was not made then.
    std::optional<CallHandle> send(const SearcherCall &spec, Done done);

    /// Breaks the call off: the searcher sees its connection close.
    void cancel(const CallHandle &handle);

    /// Lets the call go on for a short time without telling how it ends.
    void detach(const CallHandle &handle);

    /// Ends calls whose time is over and closes stale connections. To be called several times a second.
    void onTick(TimePoint now);

    /// Opens connections to searchers that have none, so that callers need not wait for them. Bounded for each call; to
    /// be called several times a second.
    void openMissingConnections(TimePoint now);

    /// Closes the idle connections to a searcher that is registered no more.
    void closeIdleConnections(const std::string &instance) { connections_.closeIdle(instance); }

    std::size_t openCalls() const noexcept { return calls_.size(); }
    const SearcherConnectionPool &connections() const noexcept { return connections_; }

    /// Times of the calls, by how they ended.
    const LatencyMetric &latencies() const noexcept { return latencies_; }

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    void onOpened(const CallPtr &call, const std::error_code &error);
    void transmit(const CallPtr &call);
    void onResult(const CallPtr &call, http::CallResult result);
    void checkSearcher(const CallPtr &call, const SearcherCallResult &outcome);
    static SearcherCallResult classify(Call &call, http::CallResult result);
    void end(const CallPtr &call, SearcherCallResult outcome);
    void abort(const CallPtr &call, CallEnd end);

    const EntryProtocol &protocol_;
    SearcherPool &pool_;
    EventLog &log_;
    SearcherConnectionPool connections_;
    ReachabilityChecks checks_;
    std::list<CallPtr> calls_;
    LatencyMetric latencies_{"call_seconds", "backend"};
    std::function<void(const std::string &backend)> onSearcherFree_;
};

} // namespace sassafrasvane
