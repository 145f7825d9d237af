#include "admission/classcontroller.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

/// Steps of the deadline, once a period.
constexpr double relaxFactor = 1.15;
constexpr double tightenFactor = 0.95;
/// Good periods before a bound is first tightened, and the most that are waited for.
constexpr std::uint32_t firstPatience = 4;
constexpr std::uint32_t maxPatience = 32;
/// A target counts as missed above this multiple of the allowed misses, and as met with room below the other one.
constexpr double badFactor = 2;
constexpr double goodFactor = 0.5;
/// Extra load over its target at which hedges are taken to lack budget, and at which they have room.
constexpr double spentFraction = 0.9;
constexpr double roomFraction = 0.7;
constexpr double minHedgeFactor = 0.25;
constexpr double maxHedgeFactor = 2;
constexpr double hedgeStep = 1.1;
/// Largest change of the hedge delay in one period.
constexpr double hedgeDelayStep = 1.25;
/// Calls before their quantiles are used.
constexpr std::uint64_t minCalls = 100;
/// The hedge delay before that, over the deadline.
constexpr double firstHedgeFraction = 0.5;
/// A hedge has twice the median call's time to be answered before the answer may go out early.
constexpr int hedgeAnswerFactor = 2;
constexpr double quorumStep = 0.25;

Duration scaled(Duration duration, double factor) noexcept
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

const char *name(ConflictCause cause) noexcept
{
    switch (cause) {
    case ConflictCause::Slow:
        return "slow";
    case ConflictCause::ExtraLoadSpent:
        return "extra_load_spent";
    case ConflictCause::Unreachable:
        return "unreachable";
    }
    return "slow";
}

const char *name(GivesWay target) noexcept
{
    return target == GivesWay::Latency ? "latency" : "coverage";
}

ClassController::ClassController(const ClassTarget &target, GivesWay givesWay) noexcept
{
    setTarget(target, givesWay);
}

void ClassController::setTarget(const ClassTarget &target, GivesWay givesWay) noexcept
{
    target_ = target;
    givesWay_ = givesWay;
    stretch_ = maxFraction();
    quorum_ = target.completeness;
    hedgeFactor_ = 1;
    goodPeriods_ = 0;
    patience_ = firstPatience;
    isProbing_ = false;
    conflict_.reset();
    period_ = Period();
    queries_.clear();
    terms_.hedgeDelay = scaled(target.latency, firstHedgeFraction);
    setTerms();
}

void ClassController::onQuery(const QuerySample &sample) noexcept
{
    ++period_.queries;
    period_.late += sample.latency > target_.latency ? 1 : 0;
    if (sample.coverage < target_.completeness) {
        ++period_.incomplete;
        period_.unreachable += sample.reachable < target_.completeness ? 1 : 0;
    }
    period_.leastCoverage = std::min(period_.leastCoverage, sample.coverage);
    period_.neededCalls += sample.neededCalls;
    period_.extraCalls += sample.extraCalls;
    queries_.add(sample.latency);
    if (period_.queries >= period() || isFailedProbe()) {
        endPeriod();
    }
}

void ClassController::endPeriod() noexcept
{
    const Level latency = levelOf(period_.late);
    const Level coverage = levelOf(period_.incomplete);
    // The target that does not give way is the one that a move may hurt.
    const bool isGood = (givesWay_ == GivesWay::Latency ? coverage : latency) == Level::Good;
    goodPeriods_ = isGood ? goodPeriods_ + 1 : 0;
    if (givesWay_ == GivesWay::Coverage) {
        yieldCoverage(latency);
    } else {
        yieldLatency(latency, coverage);
    }
    judge(latency, coverage);
    setHedgeDelay();
    setTerms();
    period_ = Period();
    queries_.clear();
}

// An attempt that fails is ended as soon as that is certain, so that it costs only a few queries.
bool ClassController::isFailedProbe() const noexcept
{
    return isProbing_ && levelOf(givesWay_ == GivesWay::Latency ? period_.incomplete : period_.late) == Level::Bad;
}

ClassController::Level ClassController::levelOf(std::uint32_t misses) const noexcept
{
    const double allowed = (1 - target_.percentile / 100) * period();
    if (misses > badFactor * allowed + 1) {
        return Level::Bad;
    }
    return misses <= goodFactor * allowed ? Level::Good : Level::Between;
}

// Answers are late although the deadline is within the target if time is spent outside of the query: the deadline then
// leaves more room for it.
void ClassController::yieldCoverage(Level latency) noexcept
{
    if (latency == Level::Bad) {
        if (isProbing_) {
            patience_ = std::min(maxPatience, patience_ * 2);
            isProbing_ = false;
        }
        stretch_ = std::max(minFraction(), stretch_ * tightenFactor);
        return;
    }
    if (stretch_ < maxFraction() && goodPeriods_ >= patience_) {
        stretch_ = std::min(maxFraction(), stretch_ / tightenFactor);
        goodPeriods_ = 0;
        isProbing_ = true;
    }
}

void ClassController::yieldLatency(Level latency, Level coverage) noexcept
{
    const bool isLackingServers = period_.unreachable * 2 > period_.incomplete;
    if (coverage == Level::Bad && !isLackingServers) {
        if (isProbing_) {
            patience_ = std::min(maxPatience, patience_ * 2);
            isProbing_ = false;
        }
        stretch_ = std::min(maxStretch(), stretch_ * relaxFactor);
        quorum_ = target_.completeness;
        goodPeriods_ = 0;
        return;
    }
    if (latency != Level::Good) {
        quorum_ = std::max(target_.completeness, quorum_ - quorumStep * (1 - target_.completeness));
    } else if (coverage == Level::Good) {
        quorum_ = std::min(1.0, quorum_ + quorumStep * (1 - target_.completeness));
    }
    tighten();
}

void ClassController::tighten() noexcept
{
    if (stretch_ <= maxFraction() || goodPeriods_ < patience_) {
        return;
    }
    stretch_ = std::max(maxFraction(), stretch_ * tightenFactor);
    goodPeriods_ = 0;
    isProbing_ = stretch_ > maxFraction();
    patience_ = isProbing_ ? patience_ : firstPatience;
}

void ClassController::judge(Level latency, Level coverage) noexcept
{
    if (latency != Level::Bad && coverage != Level::Bad) {
        const bool isClear = latency == Level::Good && coverage == Level::Good;
        conflict_ = isClear ? std::nullopt : conflict_;
        return;
    }
    TargetConflict conflict;
    conflict.gaveWay = coverage == Level::Bad ? GivesWay::Coverage : GivesWay::Latency;
    if (latency == Level::Bad && coverage == Level::Bad) {
        conflict.gaveWay = givesWay_;
    }
    conflict.latency = queries_.quantile(target_.percentile / 100);
    conflict.incompleteShare = static_cast<double>(period_.incomplete) / period_.queries;
    conflict.leastCoverage = period_.leastCoverage;
    conflict.extraLoad = extraLoad();
    if (period_.unreachable * 2 > period_.incomplete) {
        conflict.cause = ConflictCause::Unreachable;
    } else if (conflict.extraLoad >= spentFraction * target_.extraLoad) {
        conflict.cause = ConflictCause::ExtraLoadSpent;
    }
    conflict_ = conflict;
}

void ClassController::setHedgeDelay() noexcept
{
    if (target_.extraLoad <= 0 || calls_.count() < minCalls) {
        return;
    }
    if (extraLoad() >= spentFraction * target_.extraLoad) {
        hedgeFactor_ = std::max(minHedgeFactor, hedgeFactor_ / hedgeStep);
    } else if (extraLoad() < roomFraction * target_.extraLoad) {
        hedgeFactor_ = std::min(maxHedgeFactor, hedgeFactor_ * hedgeStep);
    }
    const Duration wanted = calls_.quantile(1 - target_.extraLoad * hedgeFactor_);
    const Duration least = scaled(terms_.hedgeDelay, 1 / hedgeDelayStep);
    const Duration most = scaled(terms_.hedgeDelay, hedgeDelayStep) + Duration{1};
    terms_.hedgeDelay = std::clamp(wanted, least, most);
}

void ClassController::setTerms() noexcept
{
    terms_.deadline = scaled(target_.latency, stretch_);
    terms_.quorum = quorum_;
    if (target_.extraLoad <= 0) {
        terms_.hedgeDelay = terms_.deadline;
        terms_.earlyStopDelay = std::min(terms_.deadline, hedgeAnswerFactor * calls_.quantile(firstHedgeFraction));
        return;
    }
    terms_.hedgeDelay = std::clamp(terms_.hedgeDelay, Duration{1}, terms_.deadline);
    const Duration answer = hedgeAnswerFactor * calls_.quantile(firstHedgeFraction);
    terms_.earlyStopDelay = std::min(terms_.deadline, terms_.hedgeDelay + answer);
}

double ClassController::extraLoad() const noexcept
{
    return period_.neededCalls == 0
        ? 0
        : static_cast<double>(period_.extraCalls) / static_cast<double>(period_.neededCalls);
}

} // namespace sassafrasvane
