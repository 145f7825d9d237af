#include "requesttask.h"

#include <algorithm>

// The calls of a request to searchers.

namespace sassafrasvane::detail
{

namespace
{

/// A searcher is congested if a call to it would take more than this share of the latency target.
constexpr double congestedShare = 0.5;
/// A request waits for blocked searchers only if one becomes usable within this time.
constexpr Duration maxBlockedWait = std::chrono::milliseconds(25);

} // namespace

WaitingList::QueueParameters RequestTask::queueParameters() const
{
    WaitingList::QueueParameters parameters;
    parameters.priority
        = caller_.tenant == nullptr ? route_.priority : caller_.tenant->priority.value_or(route_.priority);
    parameters.addedAt = BootClock::now();
    parameters.targetAt = gatherParameters_.targetAt - times_.typicalDuration();
    parameters.isLowOnQuota = caller_.isLowOnQuota;
    return parameters;
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
    const Choice choice
        = shared_.pool.choose(now, *part.backend, part.tried, callParameters(now, purpose == CallPurpose::Hedge));
    std::optional<CallHandle> handle;
    if (choice.searcher) {
        handle = send(index, choice.searcher);
    }
    if (handle) {
        part.tried.push_back(choice.searcher);
        part.calls.push_back(*handle);
        recordSent(part, purpose, choice);
        return Placement::Sent;
    }
    if (purpose != CallPurpose::First && !part.hasFreeRetry) {
        part.backend->budget().refund();
    }
    const bool isBusy = choice.searcher || choice.reason == PlacementFailure::Saturated
        || (choice.reason == PlacementFailure::Blocked
            && shared_.pool.hasAvailableSearcher(now + maxBlockedWait, *part.backend));
    const bool isTooLate = shared_.pool.askedToWaitUntil(now, *part.backend, part.tried).value_or(now) >= deadline_;
    return isBusy && !isTooLate && mayWait ? wait(index, purpose) : Placement::Declined;
}

std::optional<CallHandle> RequestTask::send(std::size_t index, const std::shared_ptr<TrackedSearcher> &searcher)
{
    SearcherCall spec;
    spec.searcher = searcher;
    spec.request = request_;
    spec.requestId = metadata_.requestId;
    spec.deadline = deadline_;
    spec.typicalDuration = times_.typicalDuration();
    spec.isIdempotent = route_.isIdempotent;
    spec.isPart = route_.isGathered();
    if (span_) {
        spec.span = childSpan(*span_, shared_.random);
    }
    return shared_.dispatcher.send(spec, [weak = weak_from_this(), index](SearcherCallResult outcome) {
        if (const std::shared_ptr<RequestTask> self = weak.lock()) {
            self->onCallEnded(index, std::move(outcome));
        }
    });
}

void RequestTask::recordSent(const Part &part, CallPurpose purpose, const Choice &choice)
{
    EntryCounters &counters = shared_.counters;
    ++(choice.isLocal ? counters.localCalls : counters.remoteCalls).at(static_cast<std::size_t>(choice.basis));
    remoteCalls_ += choice.isLocal ? 0 : 1;
    timeShortCalls_ += choice.basis == ChoiceReason::TimeShort ? 1 : 0;
    localImpairedCalls_ += choice.basis == ChoiceReason::LocalImpaired ? 1 : 0;
    const bool isLimited = part.tried.back()->statedLimit().isInForce();
    counters.limitedCalls.at(static_cast<std::size_t>(purpose)) += isLimited ? 1 : 0;
    if (purpose == CallPurpose::First) {
        return;
    }
    ++extraCalls_;
    shared_.log.line(EventRank::Routine, "call_repeated")
        .text("request", metadata_.requestId)
        .text("purpose", name(purpose))
        .text("backend", part.backend->name())
        .text("searcher", part.tried.back()->entry().instance)
        .flag("limited", isLimited)
        .flag("local", choice.isLocal)
        .number("budget_left", part.backend->budget().available());
}

CallParameters RequestTask::callParameters(TimePoint now, bool isHedge) const
{
    return {times_.typicalDuration(),
            shareOf(route_.latencyTarget, congestedShare),
            isHedge,
            std::max(Duration{0}, gatherParameters_.targetAt - now)};
}

bool RequestTask::spendBudget(Part &part, CallPurpose purpose)
{
    return purpose == CallPurpose::First || part.hasFreeRetry || part.backend->budget().spend();
}

Placement RequestTask::wait(std::size_t index, CallPurpose purpose)
{
    const WaitingList::Attempt attempt = [weak = weak_from_this(), index, purpose] {
        const std::shared_ptr<RequestTask> self = weak.lock();
        if (!self || self->gather_.isFinished()) {
            return WaitingList::AttemptResult::Done;
        }
        const TimePoint now = BootClock::now();
        if (self->place(index, purpose, false) == Placement::Sent) {
            self->gather_.onPlaced(now, index);
            self->schedule();
            return WaitingList::AttemptResult::Done;
        }
        const bool isRestricted = self->isSuspect() || !self->parts_[index].tried.empty();
        return isRestricted ? WaitingList::AttemptResult::Skipped : WaitingList::AttemptResult::Busy;
    };
    const bool isWaiting = shared_.waiting.add(parts_[index].backend->name(), queueParameters(), attempt);
    return isWaiting ? Placement::Waiting : Placement::Declined;
}

void RequestTask::onCallEnded(std::size_t index, SearcherCallResult outcome)
{
    const TimePoint now = BootClock::now();
    Part &part = parts_[index];
    if (outcome.end == CallEnd::Crashed) {
        ++crashedSearchers_;
        lastCrashAt_ = now;
    }
    if (outcome.ran == Ran::Yes && !isCleared_) {
        isCleared_ = true;
        shared_.crashes.onAnswered(now, fingerprint_);
    }
    if (outcome.end == CallEnd::Answered) {
        times_.add(outcome.elapsed);
        if (!part.response) {
            part.response = std::move(outcome.response);
            part.lease = std::move(outcome.lease);
            part.stamp = std::move(outcome.reply.stamp);
        }
        gather_.onAnswered(now, index);
    } else {
        if (outcome.ran == Ran::Yes && outcome.response) {
            failureResponse_ = std::move(outcome.response);
        }
        part.hasFreeRetry = outcome.end == CallEnd::NotConnected;
        gather_.onFailed(now, index, outcome.ran);
    }
    if (isSuspect() && !gather_.hasOpenCalls()) {
        gather_.giveUpWaiting(now);
    }
    schedule();
}

// True while the request is the likely cause of crashes. It is then sent to no more searchers until one has answered.
bool RequestTask::isSuspect() const noexcept
{
    return crashedSearchers_ >= CrashBar::strongCrashesToBar() && !isCleared_;
}

void RequestTask::reportCrashes()
{
    if (crashedSearchers_ > 0 && !isCleared_) {
        shared_.crashes.onRequestLost(
            BootClock::now(), fingerprint_, crashedSearchers_, lastCrashAt_, metadata_.requestId);
    }
}

} // namespace sassafrasvane::detail
