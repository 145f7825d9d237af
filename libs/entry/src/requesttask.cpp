#include "requesttask.h"

#include "entry/retryadvice.h"
#include "gather/recordmerge.h"
#include "headers.h"
#include "refusal.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sassafrasvane::detail
{

namespace
{

/// Time that a request and its answer spend in queues of this VM and of the caller's.
constexpr Duration queueTime = std::chrono::milliseconds(7);
/// Round trips before the request of a new connection has arrived and its answer is back, and those of a kept one.
constexpr int newConnectionTrips = 2;
constexpr int keptConnectionTrips = 1;
/// The way takes at most this part of the latency target.
constexpr double mostWayShare = 0.4;
/// A request of which nothing could be sent in this share of its latency target is refused.
constexpr double refuseShare = 0.2;
/// Time before the caller's deadline at which the answer goes out.
constexpr Duration deadlineMargin = std::chrono::milliseconds(5);
/// Searchers that may crash with a request before it goes to no others until one has answered it.
constexpr std::uint32_t crashesToHold = 2;
/// A searcher is congested if a call would take more than this share of the latency target there.
constexpr double congestedShare = 0.5;
/// Searchers that free themselves within this time are waited for.
constexpr Duration shortBlock = std::chrono::milliseconds(25);

} // namespace

RequestTask::RequestTask(RequestContext &shared,
                         std::shared_ptr<http::Exchange> exchange,
                         CallerTerms terms,
                         Fingerprint fingerprint,
                         std::shared_ptr<const RouteTable> table,
                         const RequestRoute &route,
                         std::vector<BackendPool *> backends,
                         CallTimes &times)
    : shared_(shared)
    , exchange_(std::move(exchange))
    , terms_(std::move(terms))
    , fingerprint_(fingerprint)
    , span_(beginTrace(exchange_->request(), shared.random))
    , table_(std::move(table))
    , route_(route)
    , times_(times)
    , parts_(backends.size())
    , deadline_(exchange_->receivedAt() + std::min(terms_.patience.value_or(route.timeLimit), route.timeLimit)
                - deadlineMargin)
    , gatherTerms_(makeGatherTerms())
    , gather_(gatherTerms_, gatherHooks())
    , timer_(shared.context)
{
    for (std::size_t part = 0; part < backends.size(); ++part) {
        parts_[part].backend = backends[part];
    }
    http::Request request = exchange_->request();
    removeConnectionHeaders(request);
    request.prepare_payload();
    request_ = std::make_shared<const http::Request>(std::move(request));
}

GatherTerms RequestTask::makeGatherTerms() const
{
    const TimePoint receivedAt = exchange_->receivedAt();
    GatherTerms terms;
    terms.parts = parts_.size();
    terms.leastParts = route_.isGathered()
        ? std::max<std::size_t>(
            1, static_cast<std::size_t>(std::ceil(route_.minShardShare * static_cast<double>(parts_.size()) - 1e-9)))
        : 1;
    terms.maxAttempts = route_.maxAttempts;
    terms.isIdempotent = route_.isIdempotent;
    terms.hedgeDelay = times_.hedgeDelay();
    const int trips = exchange_->isFirstOfConnection() ? newConnectionTrips : keptConnectionTrips;
    const Duration way = exchange_->roundTrip() * trips + queueTime;
    terms.targetAt = receivedAt + route_.latencyTarget - std::min(way, shareOf(route_.latencyTarget, mostWayShare));
    terms.refuseAt = receivedAt + shareOf(route_.latencyTarget, refuseShare);
    terms.deadline = deadline_;
    return terms;
}

GatherHooks RequestTask::gatherHooks()
{
    GatherHooks hooks;
    hooks.hasRoom = [this](std::size_t part) {
        return shared_.pool.hasRoom(BootClock::now(), *parts_[part].backend, mostRounds());
    };
    hooks.place = [this](std::size_t part, CallPurpose purpose) { return place(part, purpose); };
    hooks.finish = [this](GatherEnd end) { finish(end); };
    return hooks;
}

void RequestTask::start()
{
    const TimePoint now = BootClock::now();
    exchange_->setOnAbandoned([weak = weak_from_this()] {
        if (const std::shared_ptr<RequestTask> self = weak.lock()) {
            self->onAbandoned();
        }
    });
    for (Part &part : parts_) {
        part.backend->budget().onRequest();
    }
    if (!canBeServed(now)) {
        finish(GatherEnd::Unserved);
        return;
    }
    if (!gather_.start(now)) {
        waitToStart();
    }
    schedule();
}

void RequestTask::waitToStart()
{
    const WaitingList::Attempt attempt = [weak = weak_from_this()] {
        const std::shared_ptr<RequestTask> self = weak.lock();
        if (!self || self->gather_.isFinished()) {
            return WaitingList::Turn::Over;
        }
        if (!self->gather_.start(BootClock::now())) {
            return WaitingList::Turn::Busy;
        }
        self->schedule();
        return WaitingList::Turn::Over;
    };
    if (!shared_.entrance.add(parts_.front().backend->name(), waitingTerms(), attempt)) {
        gather_.refuse();
    }
}

WaitingList::Terms RequestTask::waitingTerms() const
{
    return {route_.priority, BootClock::now(), gatherTerms_.targetAt - times_.typical()};
}

// Nothing is sent for a request whose answer could not have enough parts.
bool RequestTask::canBeServed(TimePoint now) const
{
    const std::ptrdiff_t serving = std::count_if(parts_.begin(), parts_.end(), [this, now](const Part &part) {
        return shared_.pool.isServing(now, *part.backend);
    });
    return static_cast<std::size_t>(serving) >= gatherTerms_.leastParts;
}

Placement RequestTask::place(std::size_t part, CallPurpose purpose)
{
    return place(part, purpose, purpose != CallPurpose::Hedge);
}

Placement RequestTask::place(std::size_t index, CallPurpose purpose, bool mayWait)
{
    if (isSuspect()) {
        return mayWait ? wait(index, purpose) : Placement::Declined;
    }
    Part &part = parts_[index];
    const TimePoint now = BootClock::now();
    if (!spendBudget(part, purpose)) {
        return Placement::Declined;
    }
    const Choice choice = shared_.pool.choose(now, *part.backend, part.tried, mostRounds());
    std::optional<CallHandle> handle;
    if (choice.searcher) {
        CallOrder order;
        order.searcher = choice.searcher;
        order.request = request_;
        order.requestId = terms_.requestId;
        order.deadline = deadline_;
        order.typical = times_.typical();
        order.isIdempotent = route_.isIdempotent;
        order.isPart = route_.isGathered();
        if (span_) {
            order.span = childSpan(*span_, shared_.random);
        }
        handle = shared_.dispatcher.send(order, [weak = weak_from_this(), index](CallVerdict outcome) {
            if (const std::shared_ptr<RequestTask> self = weak.lock()) {
                self->onCallEnded(index, std::move(outcome));
            }
        });
    }
    if (handle) {
        part.tried.push_back(choice.searcher);
        part.calls.push_back(*handle);
        if (purpose != CallPurpose::First) {
            ++extraCalls_;
            shared_.log.line(EventRank::Routine, "call_repeated")
                .text("request", terms_.requestId)
                .text("purpose", name(purpose))
                .text("backend", part.backend->name())
                .text("searcher", choice.searcher->entry().instance)
                .number("budget_left", part.backend->budget().available());
        }
        return Placement::Sent;
    }
    if (purpose != CallPurpose::First && !part.isNextFree) {
        part.backend->budget().refund();
    }
    const bool isBusy = choice.searcher || choice.reason == Unplaced::Saturated
        || (choice.reason == Unplaced::Blocked && shared_.pool.isServing(now + shortBlock, *part.backend));
    return isBusy && mayWait ? wait(index, purpose) : Placement::Declined;
}

double RequestTask::mostRounds() const
{
    const Duration longest = shareOf(route_.latencyTarget, congestedShare);
    return toMilliseconds(longest) / std::max(1.0, toMilliseconds(times_.typical()));
}

bool RequestTask::spendBudget(Part &part, CallPurpose purpose)
{
    return purpose == CallPurpose::First || part.isNextFree || part.backend->budget().spend();
}

Placement RequestTask::wait(std::size_t index, CallPurpose purpose)
{
    const WaitingList::Attempt attempt = [weak = weak_from_this(), index, purpose] {
        const std::shared_ptr<RequestTask> self = weak.lock();
        if (!self || self->gather_.isFinished()) {
            return WaitingList::Turn::Over;
        }
        const TimePoint now = BootClock::now();
        if (self->place(index, purpose, false) == Placement::Sent) {
            self->gather_.onPlaced(now, index);
            self->schedule();
            return WaitingList::Turn::Over;
        }
        const bool isChoosy = self->isSuspect() || !self->parts_[index].tried.empty();
        return isChoosy ? WaitingList::Turn::Passed : WaitingList::Turn::Busy;
    };
    const bool isWaiting = shared_.waiting.add(parts_[index].backend->name(), waitingTerms(), attempt);
    return isWaiting ? Placement::Waiting : Placement::Declined;
}

void RequestTask::onCallEnded(std::size_t index, CallVerdict outcome)
{
    const TimePoint now = BootClock::now();
    Part &part = parts_[index];
    crashedSearchers_ += outcome.end == CallEnd::Crashed ? 1 : 0;
    if (outcome.ran == Ran::Yes && !isProven_) {
        isProven_ = true;
        shared_.crashes.onAnswered(now, fingerprint_);
    }
    if (outcome.end == CallEnd::Answered) {
        times_.add(outcome.elapsed);
        if (!part.response) {
            part.response = std::move(outcome.response);
            part.proof = std::move(outcome.reply.proof);
        }
        gather_.onAnswered(now, index);
    } else {
        if (outcome.ran == Ran::Yes && outcome.response) {
            failure_ = std::move(outcome.response);
        }
        part.isNextFree = outcome.end == CallEnd::NotConnected;
        gather_.onFailed(now, index, outcome.ran);
    }
    if (isSuspect() && !gather_.hasOpenCalls()) {
        gather_.giveUpWaiting(now);
    }
    schedule();
}

// True while the request is the likely cause of crashes: nothing else is known to have ended its calls.
bool RequestTask::isSuspect() const noexcept
{
    return crashedSearchers_ >= crashesToHold && !isProven_;
}

void RequestTask::reportCrashes()
{
    if (crashedSearchers_ > 0 && !isProven_) {
        shared_.crashes.onRequestLost(BootClock::now(), fingerprint_, crashedSearchers_, terms_.requestId);
    }
}

void RequestTask::schedule()
{
    const std::optional<TimePoint> wakeAt = gather_.wakeAt();
    if (!wakeAt || wakeAt == timerAt_) {
        return;
    }
    timerAt_ = wakeAt;
    timer_.expires_after(std::max(Duration{0}, *wakeAt - BootClock::now()));
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<RequestTask> self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

void RequestTask::onTimer()
{
    timerAt_.reset();
    gather_.onTimer(BootClock::now());
    schedule();
}

void RequestTask::onAbandoned()
{
    if (gather_.isFinished()) {
        return;
    }
    ++shared_.counters.abandoned;
    shared_.log.line(EventRank::Important, "request_abandoned")
        .text("request", terms_.requestId)
        .text("route", route_.name)
        .milliseconds("elapsed_ms", BootClock::now() - exchange_->receivedAt());
    const std::shared_ptr<RequestTask> self = shared_from_this();
    reportCrashes();
    endCalls(true);
    timer_.cancel();
    shared_.release(this);
}

void RequestTask::finish(GatherEnd end)
{
    const std::shared_ptr<RequestTask> self = shared_from_this();
    http::Response response = answer(end);
    const unsigned status = response.result_int();
    exchange_->respond(std::move(response));
    logEnd(end, status);
    reportCrashes();
    endCalls(false);
    timer_.cancel();
    shared_.release(this);
}

void RequestTask::endCalls(bool isAbandoned)
{
    for (Part &part : parts_) {
        for (const CallHandle &call : part.calls) {
            if (isAbandoned) {
                shared_.dispatcher.cancel(call);
            } else {
                shared_.dispatcher.detach(call);
            }
        }
    }
}

http::Response RequestTask::answer(GatherEnd end)
{
    constexpr unsigned badGateway = 502;
    constexpr unsigned gatewayTimeout = 504;
    switch (end) {
    case GatherEnd::Answered:
        if (route_.isGathered()) {
            return mergedAnswer();
        }
        removeConnectionHeaders(*parts_.front().response);
        parts_.front().response->prepare_payload();
        return std::move(*parts_.front().response);
    case GatherEnd::Unserved:
        return notRunResponse(retryAfter({outage(BootClock::now()), terms_.patience}, shared_.random));
    case GatherEnd::Failed:
        if (failure_ && !route_.isGathered() && !promisesNotRun(failure_->result_int())) {
            removeConnectionHeaders(*failure_);
            failure_->prepare_payload();
            return std::move(*failure_);
        }
        return http::emptyResponse(badGateway);
    case GatherEnd::TimedOut:
        break;
    }
    return http::emptyResponse(gatewayTimeout);
}

// How long the back end that has been out of service for the longest time has been so.
Duration RequestTask::outage(TimePoint now) const
{
    Duration longest{0};
    for (const Part &part : parts_) {
        const std::optional<TimePoint> lastChosenAt = part.backend->lastChosenAt();
        if (lastChosenAt && !shared_.pool.isServing(now, *part.backend)) {
            longest = std::max(longest, now - *lastChosenAt);
        }
    }
    return longest;
}

http::Response RequestTask::mergedAnswer()
{
    std::vector<std::string_view> bodies;
    std::vector<std::string_view> proofs;
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (gather_.isAnswered(part)) {
            bodies.push_back(parts_[part].response->body());
            proofs.push_back(parts_[part].proof);
        }
    }
    http::Response response
        = http::textResponse(200, "application/octet-stream", mergeRecords(bodies, route_.topRecords));
    shared_.protocol.writeCoverage(response, proofs, parts_.size() - proofs.size());
    return response;
}

void RequestTask::logEnd(GatherEnd end, unsigned status) const
{
    const Duration elapsed = BootClock::now() - exchange_->receivedAt();
    shared_.counters.record(route_.name, end, elapsed);
    if (span_) {
        spanLine(shared_.log, *span_, "request", elapsed)
            .text("request", terms_.requestId)
            .text("route", route_.name)
            .text("end", name(end));
    }
    const EventRank rank = end == GatherEnd::Answered ? EventRank::Routine : EventRank::Important;
    EventLine line = shared_.log.line(rank, "request_ended");
    line.text("request", terms_.requestId)
        .text("route", route_.name)
        .text("end", name(end))
        .count("status", status)
        .milliseconds("elapsed_ms", elapsed)
        .count("parts", parts_.size())
        .count("answered", gather_.answeredParts())
        .count("extra_calls", extraCalls_)
        .count("crashed_searchers", crashedSearchers_)
        .milliseconds("typical_call_ms", times_.typical())
        .milliseconds("hedge_after_ms", gatherTerms_.hedgeDelay)
        .count("configuration", table_->version());
    if (gather_.answeredParts() < parts_.size()) {
        std::string missing;
        for (std::size_t part = 0; part < parts_.size(); ++part) {
            if (!gather_.isAnswered(part)) {
                missing += (missing.empty() ? "" : ",") + parts_[part].backend->name();
            }
        }
        line.text("missing", missing);
    }
}

} // namespace sassafrasvane::detail
