#pragma once

#include "base/random.h"
#include "fleet/configdistributor.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Who reads the platform's service, and when.

namespace sassafrasvane::detail
{

/// Decides when this daemon reads each key at the service.
class ServiceReadScheduler
{
public:
    ServiceReadScheduler(TimePoint now, const MemberRecord &self, std::uint64_t seed, const DistributionLimits &limits);

    /// Chooses the readers of the own failure domain anew.
    /// \param epoch changes the choice, so that the burden moves.
    void setMembers(TimePoint now, std::span<const Member> members);
    void setEpoch(TimePoint now, ConfigVersion epoch);

    bool isReader(ConfigKey key) const noexcept { return scheduleOf(key).isReader; }

    /// A read of \p key if one is due now.
    /// \param highest the highest version that need not be read again.
    /// \param hasJoined false while the newcomer's wait lasts.
    std::optional<ServiceRead> takeDueRead(TimePoint now, ConfigKey key, ConfigVersion highest, bool hasJoined);

    /// Makes the next read due at once, without waiting at the service.
    void expedite(TimePoint now, ConfigKey key) noexcept;

    /// The service has confirmed, or brought, the version in force.
    void onCurrentReply(TimePoint now, ConfigKey key) noexcept;

    /// The service answered with an outdated version.
    void onStaleReply(TimePoint now, ConfigKey key) noexcept;

    void onFailed(TimePoint now, ConfigKey key) noexcept;

    /// A peer, which has the version in force too, knows that it was confirmed at \p confirmedAt.
    void onPeerConfirmed(ConfigKey key, TimePoint confirmedAt) noexcept;

    /// When the service last confirmed the version in force, as far as this daemon has heard.
    std::optional<TimePoint> confirmedAt(ConfigKey key) const noexcept { return scheduleOf(key).confirmedAt; }

    /// When take() may next give a read.
    TimePoint nextAt() const noexcept;

private:
    struct KeySchedule {
        bool isReader = true;
        bool isInFlight = false;
        bool isFirstRead = true;
        /// True if the next read must not wait at the service.
        bool isExpedited = false;
        TimePoint issuedAt;
        TimePoint nextAt;
        unsigned failures = 0;
        std::optional<TimePoint> confirmedAt;
    };

    KeySchedule &scheduleOf(ConfigKey key) noexcept { return schedules_[static_cast<std::size_t>(key)]; }
    const KeySchedule &scheduleOf(ConfigKey key) const noexcept { return schedules_[static_cast<std::size_t>(key)]; }
    void chooseReaders(TimePoint now);
    /// \p duration times a random factor from 0.5 to 1.5.
    Duration jitter(Duration duration) noexcept;
    Duration nonReaderInterval() noexcept;

    DistributionLimits limits_;
    DaemonId self_;
    std::string failureDomain_;
    Random random_;
    TimePoint startedAt_;
    /// Place of the first reads in the time over which a starting fleet spreads them, in [0, 1).
    double startupJitter_;
    ConfigVersion epoch_;
    std::vector<DaemonId> domainPeers_;
    std::array<KeySchedule, configKeyCount> schedules_;
};

} // namespace sassafrasvane::detail
