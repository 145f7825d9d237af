#include "entry/dispatcher.h"

#include "refusal.h"
#include "selfreportlog.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <vector>

namespace sassafrasvane
{

namespace
{

/// Maximum idle time of a connection for a call that must not be repeated: an older connection may be stale.
constexpr Duration maxIdleNonIdempotent = std::chrono::milliseconds(500);
/// Maximum idle time of a connection for any other call. In effect no limit: the idle timeout of the searcher is
/// usually much shorter.
constexpr Duration maxIdleIdempotent = std::chrono::hours(1);

/// Maximum number of connections that one openMissingConnections() opens. The limit keeps it from delaying requests.
constexpr std::size_t maxConnectionsPerPass = 20;

/// Interval of the log lines about searchers that state a rate limit.
constexpr Duration limitReportPeriod = std::chrono::seconds(4);

/// Timeout of the check that finds out whether a searcher crashed when its connection is lost.
constexpr Duration crashCheckTimeout = std::chrono::milliseconds(50);

/// Size limits of a searcher's answer in bytes. The limit for parts is smaller, because the parts of a request are kept
/// in memory until the last one has arrived.
constexpr std::uint64_t maxAnswerBytes = 8'388'608;
constexpr std::uint64_t maxPartBytes = 1'048'576;

constexpr unsigned firstSuccess = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned firstServerError = 500;

} // namespace

struct Dispatcher::Call {
    SearcherCall spec;
    Done done;
    std::shared_ptr<http::ClientConnection> connection;
    std::uint64_t number = 0;
    TimePoint startedAt;
    /// When the call times out.
    TimePoint expiresAt;
    /// What the headers of the response say.
    SearcherReply reply;
    bool isSent = false;
    /// False once the connection has been given back or closed.
    bool hasConnection = true;
    bool isEnded = false;
    std::list<CallPtr>::iterator position;
};

Dispatcher::Dispatcher(boost::asio::io_context &context,
                       http::ResponseMemory &memory,
                       const EntryProtocol &protocol,
                       SearcherPool &pool,
                       EventLog &log)
    : protocol_(protocol), pool_(pool), log_(log), connections_(context, memory), checks_(pool, connections_, log)
{
}

Dispatcher::~Dispatcher()
{
    for (const CallPtr &call : calls_) {
        call->connection->close();
    }
}

void Dispatcher::setOnSearcherFree(std::function<void(const std::string &backend)> hook)
{
    onSearcherFree_ = hook;
    checks_.setOnReachable(std::move(hook));
}

std::optional<CallHandle> Dispatcher::send(const SearcherCall &spec, Done done)
{
    const TimePoint now = BootClock::now();
    const std::size_t limit = pool_.connectionLimit(*spec.searcher);
    const SearcherConnectionPool::Lease lease = connections_.acquire(
        now, *spec.searcher, limit, spec.isIdempotent ? maxIdleIdempotent : maxIdleNonIdempotent);
    if (!lease.connection) {
        return std::nullopt;
    }
    const CallPtr call = std::make_shared<Call>();
    call->spec = spec;
    call->done = std::move(done);
    call->connection = lease.connection;
    call->startedAt = now;
    call->expiresAt
        = lease.isNew ? std::min(spec.deadline, now + SearcherConnectionPool::connectTimeout()) : spec.deadline;
    call->number = spec.searcher->beginCall(now, spec.typicalDuration);
    call->position = calls_.insert(calls_.end(), call);
    if (lease.isNew) {
        call->connection->open([this, call](const std::error_code &error) { onOpened(call, error); });
    } else {
        transmit(call);
    }
    return CallHandle(call);
}

void Dispatcher::onOpened(const CallPtr &call, const std::error_code &error)
{
    if (error) {
        abort(call, CallEnd::NotConnected);
    } else if (!call->isEnded) {
        transmit(call);
    }
}

void Dispatcher::transmit(const CallPtr &call)
{
    const TimePoint now = BootClock::now();
    call->isSent = true;
    call->expiresAt = call->spec.deadline;
    // All calls of a request share its body.
    http::Request request(call->spec.request->base());
    const Duration timeLeft = std::max(Duration{0}, call->spec.deadline - now);
    protocol_.addressCall(request, timeLeft, call->spec.searcher->entry().instance);
    if (call->spec.span && call->spec.span->isPropagated) {
        writeTraceHeader(request, *call->spec.span);
    }
    call->connection->call(
        std::move(request),
        std::shared_ptr<const std::string>(call->spec.request, &call->spec.request->body()),
        call->spec.isPart ? maxPartBytes : maxAnswerBytes,
        [this, call](const http::Response &response) { return onReply(call, response); },
        [this, call](http::CallResult result) { onResult(call, std::move(result)); });
}

// Called when the headers of a response have arrived. Returns whether the response belongs to the call.
bool Dispatcher::onReply(const CallPtr &call, const http::Response &response)
{
    call->reply = protocol_.readSearcherReply(response);
    const bool isOwn = call->reply.requestId.empty() || call->reply.requestId == call->spec.requestId;
    if (!call->reply.isWrongSearcher) {
        const SelfReport &report = call->reply.selfReport;
        applySelfReport(*call, isOwn ? report : lastingPart(report), response.result_int());
    }
    return isOwn;
}

void Dispatcher::applySelfReport(const Call &call, const SelfReport &report, unsigned status)
{
    const TimePoint now = BootClock::now();
    TrackedSearcher &searcher = *call.spec.searcher;
    const bool hasRun = !call.reply.isNotRun && !call.reply.stamp.empty();
    const double limitBefore = searcher.statedLimit().callsPerSecond();
    const SelfReportChanges changes = pool_.applySelfReport(now, searcher, call.startedAt, report, hasRun);
    const detail::ReportingReply reply{call.spec.requestId, status, now - call.startedAt};
    detail::logSelfReport(log_, now, pool_, searcher, reply, changes, limitBefore);
}

void Dispatcher::onResult(const CallPtr &call, http::CallResult result)
{
    if (call->isEnded) {
        return;
    }
    const TimePoint now = BootClock::now();
    const bool isReusable = result.isReusable && pool_.isRegistered(*call->spec.searcher);
    SearcherCallResult outcome = classify(*call, std::move(result));
    call->hasConnection = false;
    if (isReusable) {
        connections_.release(now, *call->spec.searcher, call->connection, outcome.reply.idleTimeout);
    } else {
        call->connection->close();
        connections_.discard(*call->spec.searcher);
    }
    if (outcome.end == CallEnd::Broken) {
        checkSearcher(call, outcome);
    } else {
        end(call, std::move(outcome));
    }
}

// Opens a new connection to find out whether only the connection was lost or the searcher crashed. The new connection
// replaces the lost one.
void Dispatcher::checkSearcher(const CallPtr &call, const SearcherCallResult &outcome)
{
    // The check has its own timeout.
    call->expiresAt = TimePoint::max();
    const ReachabilityChecks::Done done = [this, call, ran = outcome.ran](ConnectResult state) {
        if (call->isEnded) {
            return;
        }
        SearcherCallResult result;
        result.end = state == ConnectResult::Refused ? CallEnd::Crashed : CallEnd::Broken;
        result.ran = ran;
        end(call, std::move(result));
    };
    checks_.check(BootClock::now(), call->spec.searcher, crashCheckTimeout, done);
}

SearcherCallResult Dispatcher::classify(Call &call, http::CallResult result)
{
    SearcherCallResult outcome;
    const bool isUnusable = result.failure == Errc::BadMessage || result.failure == Errc::TooLarge;
    if (!result.response && isUnusable) {
        outcome.end = CallEnd::ServerError;
        outcome.ran = Ran::Unknown;
        return outcome;
    }
    if (!result.response) {
        outcome.end = result.mayHaveArrived ? CallEnd::Broken : CallEnd::NotConnected;
        outcome.ran = result.mayHaveArrived ? Ran::Unknown : Ran::No;
        return outcome;
    }
    outcome.response = std::move(result.response);
    outcome.lease = std::move(result.lease);
    outcome.reply = std::move(call.reply);
    const unsigned status = outcome.response->result_int();
    // Without the call's id it may be the late answer to an earlier call on the connection.
    const bool namesCall = outcome.reply.requestId == call.spec.requestId;
    if (namesCall && (outcome.reply.isWrongSearcher || outcome.reply.isNotRun)) {
        outcome.end = outcome.reply.isWrongSearcher ? CallEnd::WrongSearcher : CallEnd::Rejected;
        outcome.ran = Ran::No;
        return outcome;
    }
    const bool isSuccess = status >= firstSuccess && status < firstRedirect;
    const bool isVerified = !outcome.reply.stamp.empty() && !outcome.reply.isEncoded && namesCall;
    const bool isFinal
        = isSuccess || (!call.spec.isPart && status < firstServerError && !detail::isNotRunStatus(status));
    const bool isAnswer = isVerified && isFinal;
    outcome.end = isAnswer ? CallEnd::Answered : CallEnd::ServerError;
    outcome.ran = isVerified ? Ran::Yes : Ran::Unknown;
    return outcome;
}

void Dispatcher::end(const CallPtr &call, SearcherCallResult outcome)
{
    const TimePoint now = BootClock::now();
    call->isEnded = true;
    calls_.erase(call->position);
    outcome.elapsed = now - call->startedAt;
    TrackedSearcher &searcher = *call->spec.searcher;
    searcher.endCall(now, call->number, outcome.end, outcome.reply.load);
    latencies_.add(searcher.entry().backend, name(outcome.end), outcome.elapsed);
    if (call->spec.span) {
        spanLine(log_, *call->spec.span, "searcher call", outcome.elapsed)
            .text("request", call->spec.requestId)
            .text("peer", searcher.entry().address.toString())
            .text("end", name(outcome.end));
    }
    const bool isFailure = outcome.end != CallEnd::Answered && outcome.end != CallEnd::Cancelled;
    if (isFailure) {
        log_.line(EventRank::Important, "call_failed")
            .text("request", call->spec.requestId)
            .text("backend", searcher.entry().backend)
            .text("searcher", searcher.entry().instance)
            .text("peer", searcher.entry().address.toString())
            .text("end", name(outcome.end))
            .text("ran", name(outcome.ran))
            .count("status", outcome.response ? outcome.response->result_int() : 0)
            .milliseconds("elapsed_ms", outcome.elapsed)
            .count("failures_in_row", searcher.failuresInRow());
    }
    const std::string backend = searcher.entry().backend;
    if (const Done done = std::move(call->done)) {
        done(std::move(outcome));
    }
    if (onSearcherFree_) {
        onSearcherFree_(backend);
    }
}

void Dispatcher::abort(const CallPtr &call, CallEnd callEnd)
{
    if (call->isEnded) {
        return;
    }
    if (call->hasConnection) {
        call->hasConnection = false;
        call->connection->close();
        connections_.discard(*call->spec.searcher);
    }
    SearcherCallResult outcome;
    outcome.end = callEnd;
    outcome.ran = call->isSent ? Ran::Unknown : Ran::No;
    end(call, std::move(outcome));
}

void Dispatcher::cancel(const CallHandle &handle)
{
    const CallPtr call = std::static_pointer_cast<Call>(handle.lock());
    if (!call || call->isEnded) {
        return;
    }
    call->done = nullptr;
    abort(call, CallEnd::Cancelled);
}

void Dispatcher::detach(const CallHandle &handle)
{
    const CallPtr call = std::static_pointer_cast<Call>(handle.lock());
    if (!call || call->isEnded) {
        return;
    }
    call->done = nullptr;
    if (!call->hasConnection) {
        return;
    }
    if (call->isSent) {
        call->expiresAt = std::min(call->expiresAt, BootClock::now() + detachedCallTimeout());
    } else {
        abort(call, CallEnd::Cancelled);
    }
}

void Dispatcher::openMissingConnections(TimePoint now)
{
    std::size_t left = maxConnectionsPerPass;
    for (const std::shared_ptr<TrackedSearcher> &searcher : pool_.available(now)) {
        if (connections_.hasConnection(*searcher)) {
            continue;
        }
        checks_.check(now, searcher, SearcherConnectionPool::connectTimeout(), [searcher](ConnectResult state) {
            if (state != ConnectResult::Open) {
                searcher->onUnreachable(BootClock::now());
            }
        });
        if (--left == 0) {
            return;
        }
    }
}

void Dispatcher::reportLimitedSearchers(TimePoint now)
{
    if (now - limitsReportedAt_ >= limitReportPeriod) {
        detail::logLimitUse(log_, now, pool_, limitsReportedAt_);
        limitsReportedAt_ = now;
    }
}

void Dispatcher::onTick(TimePoint now)
{
    std::vector<CallPtr> expired;
    for (const CallPtr &call : calls_) {
        if (now >= call->expiresAt) {
            expired.push_back(call);
        }
    }
    for (const CallPtr &call : expired) {
        abort(call, call->isSent ? CallEnd::TimedOut : CallEnd::NotConnected);
    }
    connections_.closeStale(now);
    checks_.onTick(now);
}

} // namespace sassafrasvane
