#include "placement/replicachoice.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

/// Parts of the time left by which a call may take longer at a local searcher than at the soonest other one. Below the
/// first, it stays local; above the second, it competes. Lower values move calls out of a domain for the noise in the
/// averages of exponential call times; higher ones keep calls at a searcher in a slow phase.
constexpr double spareExcessPart = 0.2;
constexpr double shortExcessPart = 0.4;
/// The same for the whole expected time of the call.
constexpr double spareTimePart = 0.5;
constexpr double shortTimePart = 1;
/// Failure share from which on a searcher is never preferred for being local.
constexpr double maxLocalFailureShare = 0.1;
/// Cost factor of a searcher in another failure domain when all candidates compete.
constexpr double remoteCostFactor = 1.2;

// Position of part between spare (0) and tooMuch (1); below 0 or above 1 if it is outside.
constexpr double pressure(double part, double spare, double tooMuch) noexcept
{
    return (part - spare) / (tooMuch - spare);
}

// From 0, if the call has time to spare at the candidate and no failures are expected, to 1.
double urgency(const ReplicaCandidate &candidate, Duration soonestElsewhere, Duration timeLeft) noexcept
{
    if (timeLeft <= Duration{0}) {
        return 1;
    }
    const auto partOf = [timeLeft](Duration time) {
        return static_cast<double>(time.count()) / static_cast<double>(timeLeft.count());
    };
    const double byExcess
        = pressure(partOf(candidate.expectedTime - std::min(soonestElsewhere, candidate.expectedTime)),
                   spareExcessPart,
                   shortExcessPart);
    const double byTime = pressure(partOf(candidate.expectedTime), spareTimePart, shortTimePart);
    return std::max({byExcess, byTime, candidate.failureShare / maxLocalFailureShare});
}

Duration soonestElsewhere(std::span<const ReplicaCandidate> candidates) noexcept
{
    Duration soonest = Duration::max();
    for (const ReplicaCandidate &candidate : candidates) {
        if (!candidate.isLocal && candidate.isSound) {
            soonest = std::min(soonest, candidate.expectedTime);
        }
    }
    return soonest;
}

double competingCost(const ReplicaCandidate &candidate) noexcept
{
    return candidate.isLocal ? candidate.cost : candidate.cost * remoteCostFactor;
}

} // namespace

const char *name(ChoiceReason reason) noexcept
{
    constexpr std::array<const char *, choiceReasonCount> names{
        "local", "time_short", "local_impaired", "none_local", "unrestricted"};
    return names.at(static_cast<std::size_t>(reason));
}

std::optional<ReplicaChoice> chooseReplica(std::span<const ReplicaCandidate> candidates,
                                           std::optional<Duration> timeLeft,
                                           double caution) noexcept
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Duration soonest = soonestElsewhere(candidates);
    const ReplicaCandidate *cheapest = nullptr;
    const ReplicaCandidate *local = nullptr;
    bool staysLocal = false;
    ChoiceReason reason = timeLeft ? ChoiceReason::NoneLocal : ChoiceReason::Unrestricted;
    for (const ReplicaCandidate &candidate : candidates) {
        if (!cheapest || competingCost(candidate) < competingCost(*cheapest)) {
            cheapest = &candidate;
        }
        if (!timeLeft || !candidate.isLocal) {
            continue;
        }
        // Among local searchers the cost alone decides: those that are not sound must get calls now and then to show
        // that they have recovered.
        if (!local || candidate.cost < local->cost) {
            local = &candidate;
        }
        if (!candidate.isSound) {
            reason = reason == ChoiceReason::NoneLocal ? ChoiceReason::LocalImpaired : reason;
        } else if (urgency(candidate, soonest, *timeLeft) > caution) {
            reason = ChoiceReason::TimeShort;
        } else {
            staysLocal = true;
        }
    }
    const ReplicaCandidate *chosen = staysLocal ? local : cheapest;
    return ReplicaChoice{static_cast<std::size_t>(chosen - candidates.data()),
                         staysLocal ? ChoiceReason::Local : reason};
}

} // namespace sassafrasvane
