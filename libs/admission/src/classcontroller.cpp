#include "admission/classcontroller.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

/// Factors by which the deadline changes, at most once per period.
constexpr double lengthenFactor = 1.15;
constexpr double shortenFactor = 0.95;
/// Good periods before the first attempt to restore the deadline, and their maximum after failed attempts.
constexpr std::uint32_t minGoodPeriods = 4;
constexpr std::uint32_t maxGoodPeriods = 32;
/// A period is bad above badFactor times the allowed misses, and good up to goodFactor times the allowed misses.
constexpr double badFactor = 2;
constexpr double goodFactor = 0.5;
/// Ratios of the extra load to its target: hedging is limited by the budget from the higher one on, and may increase
/// below the lower one.
constexpr double highExtraLoadFraction = 0.9;
constexpr double lowExtraLoadFraction = 0.7;
constexpr double minHedgeFactor = 0.25;
constexpr double maxHedgeFactor = 2;
constexpr double hedgeStep = 1.1;
/// Maximum factor by which the hedge delay changes in one period.
constexpr double hedgeDelayStep = 1.25;
/// Number of calls from which on their quantiles are used.
constexpr std::uint64_t minCalls = 100;
/// The hedge delay before that, as a fraction of the latency target. It is also the quantile (the median) of the call
/// latency that hedgeAnswerFactor multiplies.
constexpr double initialHedgeFraction = 0.5;
/// A hedge has this multiple of the median call latency to be answered before the answer may be sent early.
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
    deadlineFactor_ = maxDeadlineFraction();
    quorum_ = target.completeness;
    hedgeFactor_ = 1;
    goodPeriods_ = 0;
    requiredGoodPeriods_ = minGoodPeriods;
    isProbing_ = false;
    conflict_.reset();
    period_ = Period();
    queries_.clear();
    bounds_.hedgeDelay = scaled(target.latency, initialHedgeFraction);
    updateBounds();
}

void ClassController::onQuery(const QuerySample &sample) noexcept
{
    ++period_.queries;
    period_.late += sample.latency > target_.latency ? 1 : 0;
    if (sample.coverage < target_.completeness) {
        ++period_.incomplete;
        period_.unreachable += sample.reachableShare < target_.completeness ? 1 : 0;
    }
    period_.minCoverage = std::min(period_.minCoverage, sample.coverage);
    period_.neededCalls += sample.neededCalls;
    period_.extraCalls += sample.extraCalls;
    queries_.add(sample.latency);
    if (period_.queries >= queriesPerPeriod() || isFailedProbe()) {
        endPeriod();
    }
}

void ClassController::endPeriod() noexcept
{
    const Level latency = levelOf(period_.late);
    const Level coverage = levelOf(period_.incomplete);
    // The target that does not give way decides whether the period is good, as restoring a bound may cause it to be
    // missed.
    const bool isGood = (givesWay_ == GivesWay::Latency ? coverage : latency) == Level::Good;
    goodPeriods_ = isGood ? goodPeriods_ + 1 : 0;
    if (givesWay_ == GivesWay::Coverage) {
        holdLatencyTarget(latency);
    } else {
        holdCoverageTarget(latency, coverage);
    }
    updateConflict(latency, coverage);
    updateHedgeDelay();
    updateBounds();
    period_ = Period();
    queries_.clear();
}

// Detects a failed attempt before the period is over, so that it costs only a few queries.
bool ClassController::isFailedProbe() const noexcept
{
    return isProbing_ && levelOf(givesWay_ == GivesWay::Latency ? period_.incomplete : period_.late) == Level::Bad;
}

ClassController::Level ClassController::levelOf(std::uint32_t misses) const noexcept
{
    const double allowed = (1 - target_.percentile / 100) * queriesPerPeriod();
    if (misses > badFactor * allowed + 1) {
        return Level::Bad;
    }
    return misses <= goodFactor * allowed ? Level::Good : Level::Acceptable;
}

// If time is spent outside of the query, answers are late although the deadline is within the target. A shorter
// deadline compensates for that time.
void ClassController::holdLatencyTarget(Level latency) noexcept
{
    if (latency == Level::Bad) {
        if (isProbing_) {
            requiredGoodPeriods_ = std::min(maxGoodPeriods, requiredGoodPeriods_ * 2);
            isProbing_ = false;
        }
        deadlineFactor_ = std::max(minDeadlineFraction(), deadlineFactor_ * shortenFactor);
        return;
    }
    if (deadlineFactor_ < maxDeadlineFraction() && goodPeriods_ >= requiredGoodPeriods_) {
        deadlineFactor_ = std::min(maxDeadlineFraction(), deadlineFactor_ / shortenFactor);
        goodPeriods_ = 0;
        isProbing_ = true;
    }
}

void ClassController::holdCoverageTarget(Level latency, Level coverage) noexcept
{
    const bool hasTooFewServers = period_.unreachable * 2 > period_.incomplete;
    if (coverage == Level::Bad && !hasTooFewServers) {
        if (isProbing_) {
            requiredGoodPeriods_ = std::min(maxGoodPeriods, requiredGoodPeriods_ * 2);
            isProbing_ = false;
        }
        deadlineFactor_ = std::min(maxDeadlineStretch(), deadlineFactor_ * lengthenFactor);
        quorum_ = target_.completeness;
        goodPeriods_ = 0;
        return;
    }
    if (latency != Level::Good) {
        quorum_ = std::max(target_.completeness, quorum_ - quorumStep * (1 - target_.completeness));
    } else if (coverage == Level::Good) {
        quorum_ = std::min(1.0, quorum_ + quorumStep * (1 - target_.completeness));
    }
    shortenDeadline();
}

void ClassController::shortenDeadline() noexcept
{
    if (deadlineFactor_ <= maxDeadlineFraction() || goodPeriods_ < requiredGoodPeriods_) {
        return;
    }
    deadlineFactor_ = std::max(maxDeadlineFraction(), deadlineFactor_ * shortenFactor);
    goodPeriods_ = 0;
    isProbing_ = deadlineFactor_ > maxDeadlineFraction();
    requiredGoodPeriods_ = isProbing_ ? requiredGoodPeriods_ : minGoodPeriods;
}

void ClassController::updateConflict(Level latency, Level coverage) noexcept
{
    if (latency != Level::Bad && coverage != Level::Bad) {
        const bool isEveryTargetMet = latency == Level::Good && coverage == Level::Good;
        conflict_ = isEveryTargetMet ? std::nullopt : conflict_;
        return;
    }
    TargetConflict conflict;
    conflict.missedTarget = coverage == Level::Bad ? GivesWay::Coverage : GivesWay::Latency;
    if (latency == Level::Bad && coverage == Level::Bad) {
        conflict.missedTarget = givesWay_;
    }
    conflict.latency = queries_.quantile(target_.percentile / 100);
    conflict.incompleteShare = static_cast<double>(period_.incomplete) / period_.queries;
    conflict.minCoverage = period_.minCoverage;
    conflict.extraLoad = extraLoad();
    if (period_.unreachable * 2 > period_.incomplete) {
        conflict.cause = ConflictCause::Unreachable;
    } else if (conflict.extraLoad >= highExtraLoadFraction * target_.extraLoad) {
        conflict.cause = ConflictCause::ExtraLoadSpent;
    }
    conflict_ = conflict;
}

void ClassController::updateHedgeDelay() noexcept
{
    if (target_.extraLoad <= 0 || calls_.count() < minCalls) {
        return;
    }
    if (extraLoad() >= highExtraLoadFraction * target_.extraLoad) {
        hedgeFactor_ = std::max(minHedgeFactor, hedgeFactor_ / hedgeStep);
    } else if (extraLoad() < lowExtraLoadFraction * target_.extraLoad) {
        hedgeFactor_ = std::min(maxHedgeFactor, hedgeFactor_ * hedgeStep);
    }
    const Duration wanted = calls_.quantile(1 - target_.extraLoad * hedgeFactor_);
    const Duration minDelay = scaled(bounds_.hedgeDelay, 1 / hedgeDelayStep);
    const Duration maxDelay = scaled(bounds_.hedgeDelay, hedgeDelayStep) + Duration{1};
    bounds_.hedgeDelay = std::clamp(wanted, minDelay, maxDelay);
}

void ClassController::updateBounds() noexcept
{
    bounds_.deadline = scaled(target_.latency, deadlineFactor_);
    bounds_.quorum = quorum_;
    if (target_.extraLoad <= 0) {
        bounds_.hedgeDelay = bounds_.deadline;
        bounds_.earlyStopDelay = std::min(bounds_.deadline, hedgeAnswerFactor * calls_.quantile(initialHedgeFraction));
        return;
    }
    bounds_.hedgeDelay = std::clamp(bounds_.hedgeDelay, Duration{1}, bounds_.deadline);
    const Duration answer = hedgeAnswerFactor * calls_.quantile(initialHedgeFraction);
    bounds_.earlyStopDelay = std::min(bounds_.deadline, bounds_.hedgeDelay + answer);
}

double ClassController::extraLoad() const noexcept
{
    return period_.neededCalls == 0
        ? 0
        : static_cast<double>(period_.extraCalls) / static_cast<double>(period_.neededCalls);
}

} // namespace sassafrasvane
