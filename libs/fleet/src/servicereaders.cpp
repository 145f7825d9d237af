#include "servicereaders.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Time over which the first reads of a starting fleet are spread, in all and for each daemon.
constexpr Duration shortestStartSpread = std::chrono::milliseconds(1500);
constexpr Duration startSpreadPerDaemon = std::chrono::milliseconds(3);

/// Shortest mean time between two reads by a daemon that is no reader, and that time for each daemon of its domain: so
/// the calls of a domain do not grow with it.
constexpr Duration shortestOtherPause = std::chrono::seconds(2);
constexpr Duration otherPausePerDaemon = std::chrono::milliseconds(500);

} // namespace

ServiceReaders::ServiceReaders(TimePoint now, const MemberRecord &self, std::uint64_t seed, const SpreadLimits &limits)
    : limits_(limits)
    , self_(self.daemon)
    , failureDomain_(self.failureDomain)
    , random_(seed)
    , startedAt_(now)
    , startShare_(random_.unit())
{
    for (Slot &slot : slots_) {
        slot.nextAt = now
            + Duration(static_cast<Duration::rep>(startShare_ * static_cast<double>(shortestStartSpread.count())));
    }
}

Duration ServiceReaders::jitter(Duration duration) noexcept
{
    return Duration(static_cast<Duration::rep>((0.5 + random_.unit()) * static_cast<double>(duration.count())));
}

Duration ServiceReaders::otherPause() noexcept
{
    const Duration perDomain = otherPausePerDaemon * static_cast<Duration::rep>(domainPeers_.size() + 1);
    return jitter(std::max(shortestOtherPause, perDomain));
}

void ServiceReaders::setMembers(TimePoint now, std::span<const Member> members)
{
    domainPeers_.clear();
    for (const Member &member : members) {
        if (member.record.state == MemberState::Alive && member.record.failureDomain == failureDomain_) {
            domainPeers_.push_back(member.record.daemon);
        }
    }
    const Duration spread
        = std::max(shortestStartSpread, startSpreadPerDaemon * static_cast<Duration::rep>(members.size() + 1));
    for (Slot &slot : slots_) {
        if (slot.isFirst) {
            slot.nextAt
                = startedAt_ + Duration(static_cast<Duration::rep>(startShare_ * static_cast<double>(spread.count())));
        }
    }
    choose(now);
}

void ServiceReaders::setEpoch(TimePoint now, ConfigVersion epoch)
{
    epoch_ = epoch;
    choose(now);
}

void ServiceReaders::choose(TimePoint now)
{
    for (std::size_t key = 0; key < configKeyCount; ++key) {
        // Rendezvous hashing: the daemons with the highest weights read (Thaler and Ravishankar, 1998).
        const std::uint64_t round = mix(key, epoch_.value);
        const std::uint64_t own = mix(round, self_.value);
        const auto above = std::count_if(domainPeers_.begin(), domainPeers_.end(), [round, own](DaemonId peer) {
            return mix(round, peer.value) > own;
        });
        Slot &slot = slots_[key];
        const bool isReader = static_cast<std::size_t>(above) < limits_.readersPerDomain;
        if (isReader && !slot.isReader && !slot.isFirst) {
            slot.nextAt = std::min(slot.nextAt, now);
        }
        slot.isReader = isReader;
    }
}

std::optional<ServiceRead> ServiceReaders::take(TimePoint now, ConfigKey key, ConfigVersion highest, bool isSettled)
{
    Slot &slot = this->slot(key);
    if (slot.isOut || now < slot.nextAt) {
        return std::nullopt;
    }
    const bool isStale = !slot.confirmedAt || *slot.confirmedAt + limits_.staleAfter < now;
    if (!slot.isFirst && !slot.isReader && isSettled && !isStale) {
        slot.nextAt = now + otherPause();
        return std::nullopt;
    }
    if (!slot.isFirst && !isSettled && slot.failures == 0) {
        // The service has answered; what is missing is what peers say.
        slot.nextAt = now + limits_.shortestReadPause;
        return std::nullopt;
    }
    const bool canWait = slot.isReader && isSettled && !slot.isFirst && !slot.isHurried;
    slot.isHurried = false;
    slot.isOut = true;
    slot.isFirst = false;
    slot.issuedAt = now;
    return ServiceRead{key, canWait ? highest : ConfigVersion{0}, canWait ? limits_.watch : Duration{0}};
}

void ServiceReaders::hurry(TimePoint now, ConfigKey key) noexcept
{
    slot(key).nextAt = std::min(slot(key).nextAt, now);
    slot(key).confirmedAt.reset();
    slot(key).isHurried = true;
}

void ServiceReaders::onCurrentReply(TimePoint now, ConfigKey key) noexcept
{
    Slot &slot = this->slot(key);
    slot.isOut = false;
    slot.failures = 0;
    // What was asked for at that time was answered later, so it was true then.
    slot.confirmedAt = slot.confirmedAt ? std::max(*slot.confirmedAt, slot.issuedAt) : slot.issuedAt;
    slot.nextAt = slot.isReader ? std::max(now, slot.issuedAt + limits_.shortestReadPause) : now + otherPause();
}

void ServiceReaders::onStaleReply(TimePoint now, ConfigKey key) noexcept
{
    Slot &slot = this->slot(key);
    slot.isOut = false;
    slot.failures = 0;
    slot.nextAt = now + (slot.isReader ? limits_.watch : otherPause());
}

void ServiceReaders::onFailed(TimePoint now, ConfigKey key) noexcept
{
    Slot &slot = this->slot(key);
    slot.isOut = false;
    const Duration pause = limits_.shortestReadPause * (1U << std::min(slot.failures, 4U));
    ++slot.failures;
    slot.nextAt = now + (slot.isReader ? jitter(std::min(pause, limits_.longestReadPause)) : otherPause());
}

void ServiceReaders::onPeerConfirmed(ConfigKey key, TimePoint confirmedAt) noexcept
{
    Slot &slot = this->slot(key);
    slot.confirmedAt = slot.confirmedAt ? std::max(*slot.confirmedAt, confirmedAt) : confirmedAt;
}

TimePoint ServiceReaders::nextAt() const noexcept
{
    TimePoint next = TimePoint::max();
    for (const Slot &slot : slots_) {
        next = slot.isOut ? next : std::min(next, slot.nextAt);
    }
    return next;
}

} // namespace sassafrasvane::detail
