#include "placement/limitshare.h"

#include "base/random.h"
#include "fleetsize.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Parts of a limit that its senders, and all other VMs together, use.
constexpr double senderPart = 0.9;
constexpr double observerPart = 0.1;
/// An observer calls the searcher at least once in the longer of these times, however low the limit is: the second is
/// multiplied by the number of observers.
constexpr double maxObserverIntervalSeconds = 30;
constexpr double maxObserverSpacingSeconds = 30;

// Number of sharers that precede self in the rendezvous order of the searcher.
std::size_t rankOf(std::string_view instance, std::string_view self, const std::set<std::string> &sharers)
{
    const std::uint64_t key = hashBytes(instance);
    const std::uint64_t own = mix(key, hashBytes(self));
    return static_cast<std::size_t>(std::count_if(
        sharers.begin(), sharers.end(), [key, own](const std::string &vm) { return mix(key, hashBytes(vm)) > own; }));
}

Duration fromSeconds(double seconds)
{
    constexpr double millisecondsPerSecond = 1'000;
    return fromMilliseconds(seconds * millisecondsPerSecond);
}

} // namespace

LimitShare limitShare(double callsPerSecond, std::string_view instance, std::string_view self, const Fleet &fleet)
{
    const std::size_t sharers = std::max(fleet.sharers.size(), detail::minFleetSize);
    const double wanted = std::clamp(callsPerSecond, 1.0, static_cast<double>(sharers));
    const std::size_t senders = static_cast<std::size_t>(wanted);
    const bool isSharer = fleet.sharers.contains(std::string(self));
    if (isSharer && rankOf(instance, self, fleet.sharers) < senders) {
        return {fromSeconds(static_cast<double>(senders) / (callsPerSecond * senderPart)), true};
    }
    const std::size_t members = std::max({fleet.memberCount, sharers, senders + 1});
    const double observers = static_cast<double>(members - senders);
    const double longest = std::max(maxObserverIntervalSeconds, maxObserverSpacingSeconds * observers);
    return {fromSeconds(std::min(observers / (callsPerSecond * observerPart), longest)), false};
}

} // namespace sassafrasvane
