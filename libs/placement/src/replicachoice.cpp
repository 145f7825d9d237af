#include "placement/replicachoice.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

/// Parts of the time left that a call may take at a local searcher. Below the first, it always stays local; above the
/// second, it always competes.
constexpr double spareTimePart = 0.2;
constexpr double shortTimePart = 0.4;
/// Failure share from which on a searcher is never preferred for being local.
constexpr double maxLocalFailureShare = 0.1;
/// Cost factor of a searcher in another failure domain when all candidates compete.
constexpr double remoteCostFactor = 1.2;

// From 0, if the call has time to spare at the candidate and no failures are expected, to 1.
double urgency(const ReplicaCandidate &candidate, Duration timeLeft) noexcept
{
    if (timeLeft <= Duration{0}) {
        return 1;
    }
    const double part = static_cast<double>(candidate.expectedTime.count()) / static_cast<double>(timeLeft.count());
    const double pressure = (part - spareTimePart) / (shortTimePart - spareTimePart);
    return std::clamp(std::max(pressure, candidate.failureShare / maxLocalFailureShare), 0.0, 1.0);
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
    const ReplicaCandidate *cheapest = nullptr;
    const ReplicaCandidate *local = nullptr;
    ChoiceReason reason = timeLeft ? ChoiceReason::NoneLocal : ChoiceReason::Unrestricted;
    for (const ReplicaCandidate &candidate : candidates) {
        if (!cheapest || competingCost(candidate) < competingCost(*cheapest)) {
            cheapest = &candidate;
        }
        if (!timeLeft || !candidate.isLocal) {
            continue;
        }
        if (!candidate.isSound) {
            reason = reason == ChoiceReason::NoneLocal ? ChoiceReason::LocalImpaired : reason;
        } else if (urgency(candidate, *timeLeft) > caution) {
            reason = ChoiceReason::TimeShort;
        } else if (!local || candidate.cost < local->cost) {
            local = &candidate;
        }
    }
    const ReplicaCandidate *chosen = local ? local : cheapest;
    return ReplicaChoice{static_cast<std::size_t>(chosen - candidates.data()), local ? ChoiceReason::Local : reason};
}

} // namespace sassafrasvane
