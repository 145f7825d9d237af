#include "placement/limitshare.h"

#include "base/random.h"
#include "fleetsize.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Parts of a limit for its senders, for the other VMs that are advertised to callers, and for all other VMs together.
/// Senders also get the second part if every advertised VM is one.
constexpr double senderPart = 0.8;
constexpr double advertisedObserverPart = 0.15;
constexpr double strayObserverPart = 0.05;
/// Time, multiplied by the number of observers, in which each observer calls the searcher however low the limit is.
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

LimitShare observerShare(double callsPerSecond, std::size_t observers)
{
    const double count = static_cast<double>(std::max<std::size_t>(1, observers));
    return {fromSeconds(std::min(count / callsPerSecond, count * maxObserverSpacingSeconds)), false};
}

} // namespace

LimitShare limitShare(double callsPerSecond, std::string_view instance, std::string_view self, const Fleet &fleet)
{
    const std::size_t sharers = std::max(fleet.sharers.size(), detail::minFleetSize);
    const std::size_t senders = static_cast<std::size_t>(std::clamp(callsPerSecond, 1.0, static_cast<double>(sharers)));
    if (!fleet.sharers.contains(std::string(self))) {
        return observerShare(callsPerSecond * strayObserverPart,
                             std::max(fleet.memberCount, fleet.sharers.size() + 1) - fleet.sharers.size());
    }
    if (rankOf(instance, self, fleet.sharers) >= senders) {
        return observerShare(callsPerSecond * advertisedObserverPart, sharers - senders);
    }
    const double part = senders == sharers ? senderPart + advertisedObserverPart : senderPart;
    return {fromSeconds(static_cast<double>(senders) / (callsPerSecond * part)), true};
}

} // namespace sassafrasvane
