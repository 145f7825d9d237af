#include "placement/trackedsearcher.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sassafrasvane
{

namespace
{

/// Weight of a new call in the slowness and in the share of failures.
constexpr double slownessWeight = 0.25;
constexpr double failureWeight = 0.2;
/// Slowness of a call counts up to this bound.
constexpr double mostSlowness = 30;
/// Time in which half of what was learnt fades, in seconds.
constexpr double slownessHalfLife = 3;
constexpr double failureHalfLife = 4;
/// A call is overdue after this many times of what it was expected to take, but not before leastOverdue.
constexpr double overdueFactor = 3;
constexpr Duration leastOverdue = std::chrono::milliseconds(12);
/// Cost of a searcher with an overdue call, beside its usual one.
constexpr double overdueCost = 10;
/// Cost of a certain failure, in calls.
constexpr double failureCost = 8;
/// Cost of a call that runs beside others in free slots.
constexpr double busySlotCost = 0.4;
/// Time in which a load report loses its meaning, in milliseconds.
constexpr double loadFadeMs = 60;
/// Time for which a searcher's queue counts after the searcher has told of it.
constexpr Duration queueMemory = std::chrono::milliseconds(500);
/// Factor by which a cold searcher is slower.
constexpr double coldSlowness = 1.6;
/// First and longest time for which a searcher is left alone after failures in a row.
constexpr Duration firstBlock = std::chrono::milliseconds(100);
constexpr Duration longestBlock = std::chrono::milliseconds(2'000);
/// Longest pause between two attempts to reach a searcher.
constexpr Duration longestCheckPause = std::chrono::milliseconds(500);
/// Failures in a row after which a searcher that answers is left alone.
constexpr std::uint32_t errorsToBlock = 3;
/// Time for which a searcher that is full is left alone.
constexpr Duration rejectedBlock = std::chrono::milliseconds(20);
/// Time for which an address is left alone that another searcher has; its registration is about to be removed.
constexpr Duration wrongSearcherBlock = std::chrono::seconds(10);

double secondsBetween(TimePoint earlier, TimePoint later)
{
    return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

double faded(double value, double rest, TimePoint since, TimePoint now, double halfLife)
{
    return rest + (value - rest) * std::exp2(-secondsBetween(since, now) / halfLife);
}

double ratio(Duration elapsed, Duration typical)
{
    return static_cast<double>(elapsed.count()) / static_cast<double>(std::max<Duration::rep>(1, typical.count()));
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

TrackedSearcher::TrackedSearcher(TimePoint now, const SearcherEntry &entry)
    : entry_(entry)
    , slownessAt_(now)
    , failureAt_(now)
    , blockedUntil_(now)
    , heardAt_(now)
    , coldUntil_(now + entry.coldLeft)
    , loadAt_(now)
{
}

void TrackedSearcher::update(TimePoint now, const SearcherEntry &entry)
{
    entry_ = entry;
    coldUntil_ = now + entry.coldLeft;
}

std::uint64_t TrackedSearcher::begin(TimePoint now, Duration typical)
{
    const double expected = std::max(1.0, slowness(now)) * overdueFactor * static_cast<double>(typical.count());
    OpenCall call;
    call.number = ++lastNumber_;
    call.startedAt = now;
    call.typical = typical;
    call.overdueAt = now + std::max(leastOverdue, Duration(static_cast<Duration::rep>(expected)));
    calls_.push_back(call);
    return call.number;
}

void TrackedSearcher::end(TimePoint now, std::uint64_t number, CallEnd end, std::optional<LoadReport> load)
{
    const std::vector<OpenCall>::iterator found
        = std::find_if(calls_.begin(), calls_.end(), [number](const OpenCall &call) { return call.number == number; });
    if (found == calls_.end()) {
        return;
    }
    const OpenCall call = *found;
    calls_.erase(found);
    const Duration elapsed = now - call.startedAt;
    if (load && end == CallEnd::Answered) {
        addServiceTime(ratio(elapsed, call.typical), *load);
    }
    if (load) {
        addLoad(now, *load);
    }
    switch (end) {
    case CallEnd::Answered:
        onGood(now, elapsed, call.typical);
        break;
    case CallEnd::Cancelled:
        // The call would have taken at least this long.
        if (ratio(elapsed, call.typical) > slowness(now)) {
            addSlowness(now, ratio(elapsed, call.typical));
        }
        break;
    default:
        onBad(now, call, end);
        break;
    }
}

void TrackedSearcher::addLoad(TimePoint now, const LoadReport &load)
{
    const double others = static_cast<double>(load.running + load.waiting) - static_cast<double>(calls_.size());
    othersCalls_ = std::max(0.0, others);
    loadAt_ = now;
    const double slots = std::max<double>(1, load.slots);
    queueRounds_ = static_cast<double>(load.waiting) / slots * serviceRounds_;
    queueKnownUntil_ = now + queueMemory;
}

// The calls that are waiting now are about as many as those that were when this one arrived.
void TrackedSearcher::addServiceTime(double rounds, const LoadReport &load) noexcept
{
    const double slots = std::max<double>(1, load.slots);
    const double sample = std::min(mostSlowness, rounds * slots / (slots + static_cast<double>(load.waiting)));
    serviceRounds_ += (sample - serviceRounds_) * slownessWeight;
}

void TrackedSearcher::takeTurn(TimePoint now, Duration turn) noexcept
{
    // A turn that was not used is kept, but no more than one.
    nextTurnAt_ = std::max(nextTurnAt_, now - turn) + turn;
}

void TrackedSearcher::onGood(TimePoint now, Duration elapsed, Duration typical)
{
    failuresInRow_ = 0;
    blockedUntil_ = now;
    isUnreachable_ = false;
    heardAt_ = now;
    addFailure(now, 0);
    addSlowness(now, ratio(elapsed, typical));
}

void TrackedSearcher::onBad(TimePoint now, const OpenCall &call, CallEnd end)
{
    if (end == CallEnd::Rejected || end == CallEnd::ServerError) {
        heardAt_ = now;
    }
    const bool isSilent = end == CallEnd::TimedOut && heardAt_ < call.startedAt;
    const bool isGone = end == CallEnd::NotConnected || end == CallEnd::Crashed;
    isUnreachable_ = isUnreachable_ || isGone || isSilent;
    if (end == CallEnd::WrongSearcher) {
        blockedUntil_ = now + wrongSearcherBlock;
        return;
    }
    // Once a connection opens again, having been out of reach says nothing of how calls will end.
    if (!isGone) {
        addFailure(now, 1);
    }
    if (end == CallEnd::Rejected) {
        blockedUntil_ = std::max(blockedUntil_, now + rejectedBlock);
        return;
    }
    ++failuresInRow_;
    const bool answers = end == CallEnd::ServerError || end == CallEnd::Broken;
    const std::uint32_t free = answers ? errorsToBlock - 1 : 0;
    if (failuresInRow_ <= free) {
        return;
    }
    leaveAlone(now, failuresInRow_ - free - 1, isUnreachable_ ? longestCheckPause : longestBlock);
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
    leaveAlone(now, failuresInRow_, longestCheckPause);
}

void TrackedSearcher::leaveAlone(TimePoint now, std::uint32_t doublings, Duration longest)
{
    constexpr std::uint32_t mostDoublings = 10;
    blockedUntil_ = now + std::min(longest, firstBlock * (1U << std::min(doublings, mostDoublings)));
}

void TrackedSearcher::addSlowness(TimePoint now, double sample)
{
    const double before = slowness(now);
    slowness_ = before + (std::min(sample, mostSlowness) - before) * slownessWeight;
    slownessAt_ = now;
}

void TrackedSearcher::addFailure(TimePoint now, double sample)
{
    const double before = failureShare(now);
    failureShare_ = before + (sample - before) * failureWeight;
    failureAt_ = now;
}

double TrackedSearcher::slowness(TimePoint now) const noexcept
{
    return faded(slowness_, 1, slownessAt_, now, slownessHalfLife);
}

double TrackedSearcher::failureShare(TimePoint now) const noexcept
{
    return faded(failureShare_, 0, failureAt_, now, failureHalfLife);
}

bool TrackedSearcher::isOverdue(TimePoint now) const noexcept
{
    return std::any_of(calls_.begin(), calls_.end(), [now](const OpenCall &call) { return now >= call.overdueAt; });
}

double TrackedSearcher::expectedQueue(TimePoint now) const noexcept
{
    const double age = secondsBetween(loadAt_, now) * 1'000;
    return static_cast<double>(calls_.size()) + othersCalls_ * std::exp(-age / loadFadeMs);
}

double TrackedSearcher::waitingRounds(TimePoint now) const noexcept
{
    const double slots = std::max<double>(1, entry_.slots);
    return std::max(0.0, expectedQueue(now) + 1 - slots) / slots;
}

double TrackedSearcher::expectedRounds(TimePoint now) const noexcept
{
    return slowness(now) * (1 + waitingRounds(now));
}

double TrackedSearcher::cost(TimePoint now) const noexcept
{
    const double slots = std::max<double>(1, entry_.slots);
    const double running = std::min(expectedQueue(now), slots) / slots * busySlotCost;
    double cost = slowness(now) * (1 + waitingRounds(now) + running) + failureShare(now) * failureCost;
    if (isCold(now)) {
        cost *= coldSlowness;
    }
    if (isOverdue(now)) {
        cost += overdueCost;
    }
    return cost;
}

} // namespace sassafrasvane
