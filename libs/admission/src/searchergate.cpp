#include "admission/searchergate.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Max number of calls that wait for one searcher.
constexpr std::size_t maxWaiting = 256;
/// Retry delay while no call may run: by then a peer may have reported that the searcher is warm.
constexpr Duration noShareRetry = 250ms;
constexpr Duration minRetry = 1ms;
/// Ratio of the average latency to its floor above which the answers of a searcher that is warming up count as slow.
constexpr int slowLatencyFactor = 2;

bool isSame(HolderShare left, HolderShare right) noexcept
{
    return left.rank == right.rank && left.holders == right.holders;
}

} // namespace

void GateActions::clear() noexcept
{
    start.clear();
    refuse.clear();
    wakeAt.reset();
}

SearcherGate::SearcherGate() : cold_(1, 1), queue_(maxWaiting)
{
}

void SearcherGate::offer(TimePoint now, const GateRequest &request, GateActions &actions)
{
    const std::uint32_t allowed = concurrency(now);
    if (request.deadline <= now) {
        actions.refuse.push_back({request.call, Errc::DeadlinePassed, Duration{0}});
    } else if (allowed == 0 || !canMeetDeadline(now, request, allowed)) {
        actions.refuse.push_back({request.call, Errc::Overloaded, retryAfter(now, allowed)});
    } else if (const std::optional<GateRequest> evicted = queue_.push(request)) {
        actions.refuse.push_back({evicted->call, Errc::Overloaded, retryAfter(now, allowed)});
    }
    dispatch(now, actions);
}

void SearcherGate::onResult(TimePoint now, const GateResult &result, GateActions &actions)
{
    if (isRunning(result.call)) {
        recordResult(now, result);
    }
    onNotSent(now, result.call, actions);
}

void SearcherGate::onNotSent(TimePoint now, CallId call, GateActions &actions)
{
    const auto found = std::find(running_.begin(), running_.end(), call);
    if (found != running_.end()) {
        *found = running_.back();
        running_.pop_back();
    }
    dispatch(now, actions);
}

bool SearcherGate::cancel(TimePoint now, CallId call, GateActions &actions)
{
    const bool isErased = queue_.erase(call);
    dispatch(now, actions);
    return isErased;
}

void SearcherGate::onTimer(TimePoint now, GateActions &actions)
{
    dispatch(now, actions);
}

void SearcherGate::setShare(TimePoint now, const BackEndLimits &limits, HolderShare share, GateActions &actions)
{
    limits_ = limits;
    cold_.setLimits(limits.slots, limits.coldAllowance, limits.warmUp);
    std::erase_if(earlierShares_, [now, this](const EarlierShare &earlier) {
        return earlier.until <= now || isSame(earlier.share, share_);
    });
    if (!isSame(share, share_)) {
        earlierShares_.push_back({share_, now + holdOff()});
        share_ = share;
    }
    dispatch(now, actions);
}

void SearcherGate::suspend(TimePoint now) noexcept
{
    heldOffUntil_ = std::max(heldOffUntil_, now + holdOff());
}

void SearcherGate::onPeerWarmth(TimePoint now, Incarnation incarnation, std::uint32_t allowance, Duration age)
{
    const Incarnation before = cold_.incarnation();
    cold_.onPeerWarmth(now, incarnation, allowance, age);
    if (cold_.incarnation() != before) {
        service_.reset();
    }
}

void SearcherGate::onAlive(TimePoint now, TimePoint askedAt, Incarnation incarnation) noexcept
{
    const Incarnation before = cold_.incarnation();
    cold_.onAlive(now, askedAt, incarnation);
    if (cold_.incarnation() != before) {
        service_.reset();
    }
}

void SearcherGate::onConnectionLost(TimePoint now) noexcept
{
    cold_.onConnectionLost(now);
}

void SearcherGate::refuseAll(Errc reason, GateActions &actions)
{
    while (const std::optional<GateRequest> waiting = queue_.pop()) {
        actions.refuse.push_back({waiting->call, reason, noShareRetry});
    }
}

std::uint32_t SearcherGate::concurrency(TimePoint now) const noexcept
{
    if (now < heldOffUntil_) {
        return 0;
    }
    const std::uint32_t total = std::min(cold_.allowance(now), limits_.slots);
    std::uint32_t allowed = std::min(share_.of(total), share_.of(limits_.connections));
    for (const EarlierShare &earlier : earlierShares_) {
        if (now < earlier.until) {
            allowed = std::min({allowed, earlier.share.of(total), earlier.share.of(limits_.connections)});
        }
    }
    return limit_.within(allowed);
}

void SearcherGate::dispatch(TimePoint now, GateActions &actions)
{
    while (const std::optional<GateRequest> expired = queue_.popExpired(now)) {
        actions.refuse.push_back({expired->call, Errc::DeadlinePassed, Duration{0}});
    }
    const std::uint32_t allowed = concurrency(now);
    if (allowed == 0) {
        refuseAll(Errc::Overloaded, actions);
    } else if (now >= limit_.pausedUntil()) {
        startNext(now, allowed, actions);
    }
    setWakeUp(now, actions);
}

void SearcherGate::startNext(TimePoint now, std::uint32_t allowed, GateActions &actions)
{
    const Duration minLatency = service_.minLatency(now);
    while (running_.size() < allowed && !queue_.isEmpty()) {
        const GateRequest next = *queue_.pop();
        if (now + minLatency > next.deadline) {
            actions.refuse.push_back({next.call, Errc::Overloaded, retryAfter(now, allowed)});
            continue;
        }
        actions.start.push_back(next.call);
        running_.push_back(next.call);
    }
}

void SearcherGate::setWakeUp(TimePoint now, GateActions &actions) const
{
    actions.wakeAt = queue_.earliestDeadline();
    if (!actions.wakeAt) {
        return;
    }
    if (now < limit_.pausedUntil()) {
        actions.wakeAt = std::min(*actions.wakeAt, limit_.pausedUntil());
    }
    for (const EarlierShare &earlier : earlierShares_) {
        if (now < earlier.until) {
            actions.wakeAt = std::min(*actions.wakeAt, earlier.until);
        }
    }
    const std::optional<TimePoint> confirmedUntil = cold_.confirmedUntil();
    if (confirmedUntil && now <= *confirmedUntil) {
        actions.wakeAt = std::min(*actions.wakeAt, *confirmedUntil + Duration{1});
    }
}

bool SearcherGate::canMeetDeadline(TimePoint now, const GateRequest &request, std::uint32_t allowed) const noexcept
{
    const Duration minLatency = service_.minLatency(now);
    if (queue_.isEmpty() && running_.size() < allowed && now >= limit_.pausedUntil()) {
        return now + minLatency <= request.deadline;
    }
    const TimePoint resumedAt = std::max(now, limit_.pausedUntil());
    return resumedAt + queueTime(queue_.ahead(request), allowed) + minLatency <= request.deadline;
}

Duration SearcherGate::queueTime(std::size_t ahead, std::uint32_t allowed) const noexcept
{
    // A running call is half done on average; then the allowed slots serve the calls ahead in turn.
    const Duration mean = service_.mean();
    return (mean / 2 + mean * ahead) / std::max<std::uint32_t>(allowed, 1);
}

Duration SearcherGate::retryAfter(TimePoint now, std::uint32_t allowed) const noexcept
{
    if (allowed == 0) {
        return std::max(noShareRetry, heldOffUntil_ - now);
    }
    const Duration pause = std::max(Duration{0}, limit_.pausedUntil() - now);
    return std::max(minRetry, pause + queueTime(queue_.size(), allowed));
}

bool SearcherGate::isRunning(CallId call) const noexcept
{
    return std::find(running_.begin(), running_.end(), call) != running_.end();
}

void SearcherGate::recordResult(TimePoint now, const GateResult &result)
{
    const Duration mean = service_.mean();
    switch (result.end) {
    case GateResult::End::Answered:
        recordAnswer(now, result);
        break;
    case GateResult::End::Refused:
        limit_.onRefused(now, mean, running_.size());
        cold_.onRefused(now, result.incarnation, result.saysCold);
        break;
    case GateResult::End::Failed:
        limit_.onFailed(now, mean, running_.size());
        cold_.onFailed(now);
        break;
    }
    if (result.isConnectionLost) {
        cold_.onConnectionLost(now);
    }
}

void SearcherGate::recordAnswer(TimePoint now, const GateResult &result)
{
    const Incarnation before = cold_.incarnation();
    const Duration floor = service_.meanFloor(now);
    const bool isSlow = floor > Duration{0} && service_.steadyMean() > slowLatencyFactor * floor;
    cold_.onAnswered(now, now - result.latency, result.incarnation, isSlow);
    if (cold_.incarnation() != before) {
        service_.reset();
    }
    if (service_.add(now, result.latency)) {
        cold_.onSlower(now);
    }
    const bool hasRoom = result.reportedLoad <= static_cast<int>(limits_.slots);
    limit_.onAnswered(now, service_.steadyMean(), service_.meanFloor(now), running_.size(), hasRoom);
}

SearcherGate::Builder &SearcherGate::Builder::limits(const BackEndLimits &limits)
{
    limits_ = limits;
    return *this;
}

SearcherGate::Builder &SearcherGate::Builder::share(HolderShare share) noexcept
{
    share_ = share;
    return *this;
}

SearcherGate::Builder &SearcherGate::Builder::becameHolderAt(TimePoint now) noexcept
{
    becameHolderAt_ = now;
    return *this;
}

SearcherGate SearcherGate::Builder::build() const
{
    SearcherGate gate;
    gate.limits_ = limits_;
    gate.share_ = share_;
    gate.cold_ = ColdStart(limits_.slots, limits_.coldAllowance, limits_.warmUp);
    if (becameHolderAt_) {
        gate.heldOffUntil_ = *becameHolderAt_ + holdOff();
    }
    return gate;
}

} // namespace sassafrasvane
