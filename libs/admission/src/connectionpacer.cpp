#include "admission/connectionpacer.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration firstBackoff = 50ms;
constexpr Duration maxBackoff = 5s;
/// Keeps the shift within its type; maxBackoff is reached before.
constexpr std::uint32_t maxDoublings = 10;
/// A warm-up doubles the allowance at each step.
constexpr std::uint32_t warmUpFactor = 2;

} // namespace

void ConnectionPacer::setShare(const BackEndLimits &limits, HolderShare share) noexcept
{
    limits_.slots = limits.slots;
    limits_.connections = limits.connections;
    limits_.connectionCost = limits.connectionCost;
    limits_.coldAllowance = limits.coldAllowance;
    share_ = share;
}

std::size_t ConnectionPacer::cap() const noexcept
{
    return share_.of(limits_.connections);
}

std::size_t ConnectionPacer::target(const ConnectionDemand &demand) const noexcept
{
    if (demand.concurrency == 0) {
        return 0;
    }
    const std::size_t slots = share_.of(limits_.slots);
    const std::size_t nextStep = std::size_t{demand.concurrency} * warmUpFactor;
    const std::size_t wanted = demand.isCold ? std::min(slots, nextStep) : slots + 1;
    return std::min(wanted, cap());
}

std::optional<TimePoint> ConnectionPacer::nextOpening(const ConnectionDemand &demand) const noexcept
{
    if (demand.open >= target(demand)) {
        return std::nullopt;
    }
    if (!lastOpening_) {
        return TimePoint();
    }
    Duration pause = interval(demand.isCold);
    if (failuresInRow_ > 0) {
        const std::uint32_t doublings = std::min(failuresInRow_ - 1, maxDoublings);
        pause = std::max(pause, std::min(maxBackoff, firstBackoff * (1U << doublings)));
    }
    return *lastOpening_ + pause;
}

void ConnectionPacer::onOpening(TimePoint now) noexcept
{
    lastOpening_ = now;
}

Duration ConnectionPacer::interval(bool isCold) const noexcept
{
    const double parallel = std::max<std::uint32_t>(isCold ? limits_.coldAllowance : limits_.slots, 1);
    const double fraction = isCold ? maxColdOpeningFraction() : maxOpeningFraction();
    const double cost = static_cast<double>(limits_.connectionCost.count());
    return Duration(static_cast<Duration::rep>(std::ceil(cost * share_.holders / (fraction * parallel))));
}

ConnectionPacer::Builder &ConnectionPacer::Builder::limits(const BackEndLimits &limits)
{
    limits_ = limits;
    return *this;
}

ConnectionPacer::Builder &ConnectionPacer::Builder::share(HolderShare share) noexcept
{
    share_ = share;
    return *this;
}

ConnectionPacer ConnectionPacer::Builder::build() const
{
    ConnectionPacer pacer;
    pacer.setShare(limits_, share_);
    return pacer;
}

} // namespace sassafrasvane
