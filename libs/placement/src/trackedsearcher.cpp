#include "placement/trackedsearcher.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sassafrasvane
{

namespace
{

/// Weights of a new call in the moving averages of the slowness and of the failure share.
constexpr double slownessWeight = 0.25;
constexpr double failureWeight = 0.2;
/// Slowness samples are capped at this value.
constexpr double maxSlowness = 30;
/// Half-lives of the slowness and of the failure share, in seconds.
constexpr double slownessHalfLife = 3;
constexpr double failureHalfLife = 4;
/// A call is overdue after this multiple of its expected duration, but not before minOverdueTime.
constexpr double overdueFactor = 3;
constexpr Duration minOverdueTime = std::chrono::milliseconds(12);
/// Cost that is added for a searcher with an overdue call.
constexpr double overdueCost = 10;
/// Cost of a call that is certain to fail, in multiples of the typical duration.
constexpr double failureCost = 8;
/// Share of a call's duration that is added to the cost if all slots are busy; proportionally less if some are free.
constexpr double busySlotCost = 0.4;
/// Time constant, in milliseconds, with which the other calls in a load report decay towards their mean.
constexpr double loadDecayMs = 60;
/// Time constants, in seconds, of the mean of the other calls and of its decay towards 0 while no report comes.
constexpr double otherCallsMeanSeconds = 2;
constexpr double otherCallsDecaySeconds = 30;
/// Bounds of the weight of a report in the mean of the other calls. Where reports are rare, each is a sample of one
/// moment only.
constexpr double minOtherCallsWeight = 0.02;
constexpr double maxOtherCallsWeight = 0.25;
/// Bounds of a relative work time, and the weight of a new one in its average.
constexpr double minWorkTime = 0.1;
constexpr double maxWorkTime = 20;
constexpr double workTimeWeight = 0.05;
/// Time constant, in milliseconds, with which a relative work time decays towards its average. A slow phase of a
/// searcher lasts about 600 ms.
constexpr double workTimeDecayMs = 500;
/// Time for which the queue length in a load report is valid.
constexpr Duration queueReportLifetime = std::chrono::milliseconds(500);
/// Cost factor of a cold searcher, as it is slower.
constexpr double coldSlowness = 1.6;
/// Cost that is added for a searcher whose stated limit is used up, as a share of its cost; proportionally less before.
constexpr double usedLimitCost = 0.5;
/// Minimum and maximum time for which a searcher is blocked after consecutive failures.
constexpr Duration minBlockTime = std::chrono::milliseconds(100);
constexpr Duration maxBlockTime = std::chrono::milliseconds(2'000);
/// Maximum interval between two attempts to connect to an unreachable searcher.
constexpr Duration maxCheckInterval = std::chrono::milliseconds(500);
/// Number of consecutive failures from which on a searcher that accepts connections is blocked.
constexpr std::uint32_t errorsToBlock = 3;
/// Time for which a searcher is blocked after it has rejected a call, as it is full.
constexpr Duration rejectedBlockTime = std::chrono::milliseconds(20);
/// Time for which a searcher is blocked if another searcher listens on its address. The registration is about to be
/// removed.
constexpr Duration wrongSearcherBlockTime = std::chrono::seconds(10);

double secondsBetween(TimePoint earlier, TimePoint later)
{
    return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

double decayed(double value, double target, TimePoint since, TimePoint now, double halfLife)
{
    return target + (value - target) * std::exp2(-secondsBetween(since, now) / halfLife);
}

// Share of a value that is left after the time since it was measured.
double remaining(TimePoint since, TimePoint now, double decayMs)
{
    constexpr double millisecondsPerSecond = 1'000;
    return std::exp(-secondsBetween(since, now) * millisecondsPerSecond / decayMs);
}

double ratio(Duration elapsed, Duration typicalDuration)
{
    return static_cast<double>(elapsed.count())
        / static_cast<double>(std::max<Duration::rep>(1, typicalDuration.count()));
}

} // namespace

const char *name(CallEnd end) noexcept
{
    constexpr std::array<const char *, 9> names{"answered",
                                                "rejected",
                                                "wrong_searcher",
                                                "server_error",
                                                "broken",
                                                "crashed",
                                                "not_connected",
                                                "timed_out",
                                                "cancelled"};
    return names.at(static_cast<std::size_t>(end));
}

TrackedSearcher::TrackedSearcher(TimePoint now, const SearcherEntry &entry, std::shared_ptr<IncarnationState> state)
    : entry_(entry)
    , slownessAt_(now)
    , failureAt_(now)
    , blockedUntil_(now)
    , lastReplyAt_(now)
    , coldUntil_(now + entry.remainingColdTime)
    , loadReportedAt_(now)
    , state_(std::move(state))
{
}

void TrackedSearcher::update(TimePoint now, const SearcherEntry &entry)
{
    entry_ = entry;
    coldUntil_ = now + entry.remainingColdTime;
}

std::uint64_t TrackedSearcher::beginCall(TimePoint now, Duration typicalDuration)
{
    const double expected = std::max(1.0, slowness(now)) * overdueFactor * static_cast<double>(typicalDuration.count());
    OpenCall call;
    call.number = ++lastNumber_;
    call.startedAt = now;
    call.typicalDuration = typicalDuration;
    call.overdueAt = now + std::max(minOverdueTime, Duration(static_cast<Duration::rep>(expected)));
    calls_.push_back(call);
    return call.number;
}

void TrackedSearcher::endCall(TimePoint now, std::uint64_t number, CallEnd end, std::optional<LoadReport> load)
{
    const std::vector<OpenCall>::iterator found
        = std::find_if(calls_.begin(), calls_.end(), [number](const OpenCall &call) { return call.number == number; });
    if (found == calls_.end()) {
        return;
    }
    const OpenCall call = *found;
    calls_.erase(found);
    const Duration elapsed = now - call.startedAt;
    if (load && load->relativeWorkTime) {
        addWorkTime(now, *load->relativeWorkTime);
    }
    const double relativeTime = ratio(elapsed, call.typicalDuration) / workTime(now);
    if (load && end == CallEnd::Answered) {
        addServiceTime(relativeTime, *load);
    }
    if (load) {
        addLoad(now, *load);
    }
    switch (end) {
    case CallEnd::Answered:
        onSuccess(now, relativeTime);
        break;
    case CallEnd::Cancelled:
        // The elapsed time is a lower bound of the duration, so it counts only if it is above the average.
        if (relativeTime > usualSlowness(now)) {
            addSlownessSample(now, relativeTime);
        }
        break;
    default:
        onFailure(now, call, end);
        break;
    }
}

void TrackedSearcher::addLoad(TimePoint now, const LoadReport &load)
{
    addOtherCalls(now, static_cast<double>(load.running + load.waiting) - static_cast<double>(calls_.size()));
    const double slots = std::max<double>(1, load.slots);
    relativeQueueWait_ = static_cast<double>(load.waiting) / slots * relativeServiceTime(now);
    queueReportValidUntil_ = now + queueReportLifetime;
}

void TrackedSearcher::addOtherCalls(TimePoint now, double calls) noexcept
{
    const double left = remaining(loadReportedAt_, now, otherCallsMeanSeconds * 1'000);
    meanOtherCalls_ *= remaining(loadReportedAt_, now, otherCallsDecaySeconds * 1'000);
    otherProcessCalls_ = std::max(0.0, calls);
    meanOtherCalls_
        += (otherProcessCalls_ - meanOtherCalls_) * std::clamp(1 - left, minOtherCallsWeight, maxOtherCallsWeight);
    loadReportedAt_ = now;
}

void TrackedSearcher::addWorkTime(TimePoint now, double workTime) noexcept
{
    workTime_ = std::clamp(workTime, minWorkTime, maxWorkTime);
    meanWorkTime_ += (workTime_ - meanWorkTime_) * workTimeWeight;
    workTimeAt_ = now;
    hasWorkTime_ = true;
}

double TrackedSearcher::workTime(TimePoint now) const noexcept
{
    if (!hasWorkTime_) {
        return 1;
    }
    return meanWorkTime_ + (workTime_ - meanWorkTime_) * remaining(workTimeAt_, now, workTimeDecayMs);
}

// Estimates the queue length at the arrival of the call by the length that is reported now.
void TrackedSearcher::addServiceTime(double relativeTime, const LoadReport &load) noexcept
{
    const double slots = std::max<double>(1, load.slots);
    const double sample = std::min(maxSlowness, relativeTime * slots / (slots + static_cast<double>(load.waiting)));
    relativeServiceTime_ += (sample - relativeServiceTime_) * slownessWeight;
}

void TrackedSearcher::takeTurn(TimePoint now, Duration turn) noexcept
{
    // At most one unused turn is saved up.
    nextTurnAt_ = std::max(nextTurnAt_, now - turn) + turn;
}

void TrackedSearcher::onSuccess(TimePoint now, double relativeTime)
{
    failuresInRow_ = 0;
    blockedUntil_ = now;
    isUnreachable_ = false;
    lastReplyAt_ = now;
    addFailureSample(now, 0);
    addSlownessSample(now, relativeTime);
}

void TrackedSearcher::onFailure(TimePoint now, const OpenCall &call, CallEnd end)
{
    if (end == CallEnd::Rejected || end == CallEnd::ServerError) {
        lastReplyAt_ = now;
    }
    // A searcher that asks for a pause protects itself; what it fails meanwhile does not predict how other calls will
    // end.
    if (isPaused(now) && (end == CallEnd::Rejected || end == CallEnd::ServerError)) {
        return;
    }
    const bool hasNotReplied = end == CallEnd::TimedOut && lastReplyAt_ < call.startedAt;
    const bool isConnectFailure = end == CallEnd::NotConnected || end == CallEnd::Crashed;
    isUnreachable_ = isUnreachable_ || isConnectFailure || hasNotReplied;
    if (end == CallEnd::WrongSearcher) {
        blockedUntil_ = now + wrongSearcherBlockTime;
        return;
    }
    // A searcher that states a limit rejects calls to protect itself; that does not predict how other calls will end.
    const bool isLimitRejection = end == CallEnd::Rejected && isLimited(now);
    // Connection failures are not added: once a connection opens again, they do not predict how calls will end.
    if (!isConnectFailure && !isLimitRejection) {
        addFailureSample(now, 1);
    }
    if (end == CallEnd::Rejected) {
        blockedUntil_ = std::max(blockedUntil_, now + rejectedBlockTime);
        return;
    }
    ++failuresInRow_;
    const bool hasConnected = end == CallEnd::ServerError || end == CallEnd::Broken;
    const std::uint32_t toleratedFailures = hasConnected ? errorsToBlock - 1 : 0;
    if (failuresInRow_ <= toleratedFailures) {
        return;
    }
    block(now, failuresInRow_ - toleratedFailures - 1, isUnreachable_ ? maxCheckInterval : maxBlockTime);
}

void TrackedSearcher::onReachable(TimePoint now)
{
    isUnreachable_ = false;
    blockedUntil_ = now;
}

void TrackedSearcher::onUnreachable(TimePoint now)
{
    isUnreachable_ = true;
    ++failuresInRow_;
    block(now, failuresInRow_, maxCheckInterval);
}

void TrackedSearcher::block(TimePoint now, std::uint32_t doublings, Duration maxTime)
{
    constexpr std::uint32_t maxDoublings = 10;
    blockedUntil_ = now + std::min(maxTime, minBlockTime * (1U << std::min(doublings, maxDoublings)));
}

void TrackedSearcher::addSlownessSample(TimePoint now, double sample)
{
    const double capped = std::min(sample, maxSlowness);
    const double before = usualSlowness(now);
    const double steadyBefore = decayed(steadySlowness_, 1, slownessAt_, now, slownessHalfLife);
    slowness_ = before + (capped - before) * slownessWeight;
    steadySlowness_ = steadyBefore + (medianWithFormer(capped) - steadyBefore) * slownessWeight;
    slownessAt_ = now;
}

double TrackedSearcher::medianWithFormer(double sample) noexcept
{
    const auto [first, second] = formerSamples_;
    formerSamples_ = {second, sample};
    return std::max(std::min(first, second), std::min(std::max(first, second), sample));
}

void TrackedSearcher::addFailureSample(TimePoint now, double sample)
{
    const double before = failureShare(now);
    failureShare_ = before + (sample - before) * failureWeight;
    failureAt_ = now;
}

double TrackedSearcher::usualSlowness(TimePoint now) const noexcept
{
    return decayed(slowness_, 1, slownessAt_, now, slownessHalfLife);
}

double TrackedSearcher::slowness(TimePoint now) const noexcept
{
    return usualSlowness(now) * workTime(now);
}

double TrackedSearcher::failureShare(TimePoint now) const noexcept
{
    return decayed(failureShare_, 0, failureAt_, now, failureHalfLife);
}

bool TrackedSearcher::isOverdue(TimePoint now) const noexcept
{
    return std::any_of(calls_.begin(), calls_.end(), [now](const OpenCall &call) { return now >= call.overdueAt; });
}

double TrackedSearcher::reportedCalls(TimePoint now) const noexcept
{
    return static_cast<double>(calls_.size()) + otherProcessCalls_ * remaining(loadReportedAt_, now, loadDecayMs);
}

double TrackedSearcher::expectedCalls(TimePoint now) const noexcept
{
    const double fresh = remaining(loadReportedAt_, now, loadDecayMs);
    const double mean = meanOtherCalls_ * remaining(loadReportedAt_, now, otherCallsDecaySeconds * 1'000);
    return static_cast<double>(calls_.size()) + mean + (otherProcessCalls_ - mean) * fresh;
}

double TrackedSearcher::relativeSlotWait(double calls) const noexcept
{
    const double slots = std::max<double>(1, entry_.slots);
    return std::max(0.0, calls + 1 - slots) / slots;
}

double TrackedSearcher::relativeReportedTime(TimePoint now) const noexcept
{
    return slowness(now) * (1 + relativeSlotWait(reportedCalls(now)));
}

TrackedSearcher::Expectation TrackedSearcher::expectation(TimePoint now) const noexcept
{
    const double slots = std::max<double>(1, entry_.slots);
    const double calls = expectedCalls(now);
    const double runningCost = std::min(calls, slots) / slots * busySlotCost;
    const double slownessNow = slowness(now);
    Expectation expectation;
    expectation.time = slownessNow * (1 + relativeSlotWait(calls));
    expectation.steadyTime = decayed(steadySlowness_, 1, slownessAt_, now, slownessHalfLife) * workTime(now)
        * (1 + relativeSlotWait(calls));
    expectation.cost = expectation.time + slownessNow * runningCost + failureShare(now) * failureCost;
    if (isCold(now)) {
        expectation.cost *= coldSlowness;
    }
    // An observer that does not call in its slot learns late that the limit has ended.
    if (isLimited(now) && !pacedShare().isObservationDue(now)) {
        expectation.cost *= 1 + usedLimitCost * (1 - pacedShare().headroom(now));
    }
    expectation.isOverdue = isOverdue(now);
    if (expectation.isOverdue) {
        expectation.cost += overdueCost;
    }
    return expectation;
}

} // namespace sassafrasvane
