#include "servicereadscheduler.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Time window over which the first reads of a starting fleet are distributed: its minimum, and its length per daemon.
constexpr Duration minStartupWindow = std::chrono::milliseconds(1500);
constexpr Duration startupWindowPerDaemon = std::chrono::milliseconds(3);

/// Mean time between two reads by a daemon that is not a reader: its minimum, and its length per daemon of the failure
/// domain. Because it grows with the domain, the call rate of the domain does not.
constexpr Duration minNonReaderInterval = std::chrono::seconds(2);
constexpr Duration nonReaderIntervalPerDaemon = std::chrono::milliseconds(500);

} // namespace

ServiceReadScheduler::ServiceReadScheduler(TimePoint now,
                                           const MemberRecord &self,
                                           std::uint64_t seed,
                                           const DistributionLimits &limits)
    : limits_(limits)
    , self_(self.daemon)
    , failureDomain_(self.failureDomain)
    , random_(seed)
    , startedAt_(now)
    , startupJitter_(random_.unit())
{
    for (KeySchedule &schedule : schedules_) {
        schedule.nextAt = now
            + Duration(static_cast<Duration::rep>(startupJitter_ * static_cast<double>(minStartupWindow.count())));
    }
}

Duration ServiceReadScheduler::jitter(Duration duration) noexcept
{
    return Duration(static_cast<Duration::rep>((0.5 + random_.unit()) * static_cast<double>(duration.count())));
}

Duration ServiceReadScheduler::nonReaderInterval() noexcept
{
    const Duration perDomain = nonReaderIntervalPerDaemon * static_cast<Duration::rep>(domainPeers_.size() + 1);
    return jitter(std::max(minNonReaderInterval, perDomain));
}

void ServiceReadScheduler::setMembers(TimePoint now, std::span<const Member> members)
{
    domainPeers_.clear();
    for (const Member &member : members) {
        if (member.record.state == MemberState::Alive && member.record.failureDomain == failureDomain_) {
            domainPeers_.push_back(member.record.daemon);
        }
    }
    const Duration startupWindow
        = std::max(minStartupWindow, startupWindowPerDaemon * static_cast<Duration::rep>(members.size() + 1));
    for (KeySchedule &schedule : schedules_) {
        if (schedule.isFirstRead) {
            schedule.nextAt = startedAt_
                + Duration(static_cast<Duration::rep>(startupJitter_ * static_cast<double>(startupWindow.count())));
        }
    }
    chooseReaders(now);
}

void ServiceReadScheduler::setEpoch(TimePoint now, ConfigVersion epoch)
{
    epoch_ = epoch;
    chooseReaders(now);
}

void ServiceReadScheduler::chooseReaders(TimePoint now)
{
    for (std::size_t key = 0; key < configKeyCount; ++key) {
        // Rendezvous hashing (Thaler and Ravishankar, 1998): the daemons with the highest weights are the readers.
        const std::uint64_t round = mix(key, epoch_.value);
        const std::uint64_t own = mix(round, self_.value);
        const auto above = std::count_if(domainPeers_.begin(), domainPeers_.end(), [round, own](DaemonId peer) {
            return mix(round, peer.value) > own;
        });
        KeySchedule &schedule = schedules_[key];
        const bool isReader = static_cast<std::size_t>(above) < limits_.readersPerDomain;
        if (isReader && !schedule.isReader && !schedule.isFirstRead) {
            schedule.nextAt = std::min(schedule.nextAt, now);
        }
        schedule.isReader = isReader;
    }
}

std::optional<ServiceRead> ServiceReadScheduler::takeDueRead(TimePoint now,
                                                             ConfigKey key,
                                                             ConfigVersion highest,
                                                             bool hasJoined)
{
    KeySchedule &schedule = scheduleOf(key);
    if (schedule.isInFlight || now < schedule.nextAt) {
        return std::nullopt;
    }
    const bool isStale = !schedule.confirmedAt || *schedule.confirmedAt + limits_.staleAfter < now;
    if (!schedule.isFirstRead && !schedule.isReader && hasJoined && !isStale) {
        schedule.nextAt = now + nonReaderInterval();
        return std::nullopt;
    }
    if (!schedule.isFirstRead && !hasJoined && schedule.failures == 0) {
        // The service has answered; only the peers' versions are missing.
        schedule.nextAt = now + limits_.minReadInterval;
        return std::nullopt;
    }
    const bool canWait = schedule.isReader && hasJoined && !schedule.isFirstRead && !schedule.isExpedited;
    schedule.isExpedited = false;
    schedule.isInFlight = true;
    schedule.isFirstRead = false;
    schedule.issuedAt = now;
    return ServiceRead{key, canWait ? highest : ConfigVersion{0}, canWait ? limits_.watchTimeout : Duration{0}};
}

void ServiceReadScheduler::expedite(TimePoint now, ConfigKey key) noexcept
{
    scheduleOf(key).nextAt = std::min(scheduleOf(key).nextAt, now);
    scheduleOf(key).confirmedAt.reset();
    scheduleOf(key).isExpedited = true;
}

void ServiceReadScheduler::onCurrentReply(TimePoint now, ConfigKey key) noexcept
{
    KeySchedule &schedule = scheduleOf(key);
    schedule.isInFlight = false;
    schedule.failures = 0;
    // The service answered after the request was sent, so the version was current at that time.
    schedule.confirmedAt
        = schedule.confirmedAt ? std::max(*schedule.confirmedAt, schedule.issuedAt) : schedule.issuedAt;
    schedule.nextAt
        = schedule.isReader ? std::max(now, schedule.issuedAt + limits_.minReadInterval) : now + nonReaderInterval();
}

void ServiceReadScheduler::onStaleReply(TimePoint now, ConfigKey key) noexcept
{
    KeySchedule &schedule = scheduleOf(key);
    schedule.isInFlight = false;
    schedule.failures = 0;
    schedule.nextAt = now + (schedule.isReader ? limits_.watchTimeout : nonReaderInterval());
}

void ServiceReadScheduler::onFailed(TimePoint now, ConfigKey key) noexcept
{
    KeySchedule &schedule = scheduleOf(key);
    schedule.isInFlight = false;
    const Duration pause = limits_.minReadInterval * (1U << std::min(schedule.failures, 4U));
    ++schedule.failures;
    schedule.nextAt
        = now + (schedule.isReader ? jitter(std::min(pause, limits_.maxReadInterval)) : nonReaderInterval());
}

void ServiceReadScheduler::onPeerConfirmed(ConfigKey key, TimePoint confirmedAt) noexcept
{
    KeySchedule &schedule = scheduleOf(key);
    schedule.confirmedAt = schedule.confirmedAt ? std::max(*schedule.confirmedAt, confirmedAt) : confirmedAt;
}

TimePoint ServiceReadScheduler::nextAt() const noexcept
{
    TimePoint next = TimePoint::max();
    for (const KeySchedule &schedule : schedules_) {
        next = schedule.isInFlight ? next : std::min(next, schedule.nextAt);
    }
    return next;
}

} // namespace sassafrasvane::detail
