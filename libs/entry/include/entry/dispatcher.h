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

/// The outcome of a call to a searcher.
struct SearcherCallResult {
    CallEnd end = CallEnd::Cancelled;
    /// Whether the searcher ran the call.
    Ran ran = Ran::Unknown;
    /// The searcher's response, if one was received.
    std::optional<http::Response> response;
    /// Accounts for the memory of the response.
    http::MemoryLease lease;
    /// What the headers of the response say.
    SearcherReply reply;
    /// Time from Dispatcher::send() to the end of the call.
    Duration elapsed{0};
};

/// Describes a call to a searcher.
struct SearcherCall {
    std::shared_ptr<TrackedSearcher> searcher;
    /// The caller's request without connection-specific headers.
    std::shared_ptr<const http::Request> request;
    std::string requestId;
    TimePoint deadline;
    /// Typical duration of calls of this route.
    Duration typicalDuration{0};
    /// False if the call must not be repeated, and so must not be sent on a connection that may be stale.
    bool isIdempotent = true;
    /// True if the response becomes part of a merged answer. Only a success status then counts as an answer.
    bool isPart = false;
    /// Set if the call is traced.
    std::optional<TraceSpan> span;
};

/// Identifies a call for cancel() and detach(), which do nothing once the call has ended.
using CallHandle = std::weak_ptr<void>;

/// Sends calls to searchers over persistent connections, classifies their responses, and reports each outcome to the
/// called TrackedSearcher.
class Dispatcher
{
public:
    using Done = std::function<void(SearcherCallResult outcome)>;

    /// How long a detached call may continue. Aborting it would close a connection of the searcher.
    static constexpr Duration detachedCallTimeout() noexcept { return std::chrono::milliseconds(200); }

    /// \param memory limits the total memory of the responses of all searchers.
    Dispatcher(boost::asio::io_context &context,
               http::ResponseMemory &memory,
               const EntryProtocol &protocol,
               SearcherPool &pool,
               EventLog &log);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Sets the callback that runs when a searcher of \p backend may have become free.
    void setOnSearcherFree(std::function<void(const std::string &backend)> hook);

    /// Sends a call. \p done is called once unless the call is cancelled or detached first.
    /// \return nothing if the connection limit of the searcher is reached; the call is then not sent.
    std::optional<CallHandle> send(const SearcherCall &spec, Done done);

    /// Aborts the call and closes its connection. Its callback is not called.
    void cancel(const CallHandle &handle);

    /// Lets a call that was sent continue for up to detachedCallTimeout(); aborts one that was not sent yet. Its
    /// callback is not called.
    void detach(const CallHandle &handle);

    /// Aborts calls that have timed out and closes stale connections. Must be called several times a second.
    void onTick(TimePoint now);

    /// Opens connections to available searchers that have none, so that requests need not wait for a connect. Opens a
    /// limited number of connections each time. Must be called several times a second.
    void openMissingConnections(TimePoint now);

    /// Closes the idle connections to a searcher that is no longer registered.
    void closeIdleConnections(const std::string &instance) { connections_.closeIdle(instance); }

    /// Logs how many calls this process has sent to each searcher that states a rate limit. Must be called several
    /// times a second.
    void reportLimitedSearchers(TimePoint now);

    std::size_t openCalls() const noexcept { return calls_.size(); }
    const SearcherConnectionPool &connections() const noexcept { return connections_; }

    /// Durations of the calls, by backend and CallEnd.
    const LatencyMetric &latencies() const noexcept { return latencies_; }

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    void onOpened(const CallPtr &call, const std::error_code &error);
    void transmit(const CallPtr &call);
    bool onReply(const CallPtr &call, const http::Response &response);
    void onResult(const CallPtr &call, http::CallResult result);
    void applySelfReport(const Call &call, const SelfReport &report, unsigned status);
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
    TimePoint limitsReportedAt_;
    LatencyMetric latencies_{"call_seconds", "backend"};
    std::function<void(const std::string &backend)> onSearcherFree_;
};

} // namespace sassafrasvane
