#pragma once

#include "base/random.h"
#include "fleet/configdistributor.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Schedule of a daemon's reads of the platform's service.

namespace sassafrasvane::detail
{

/// Decides when this daemon reads each key at the service, and whether it is one of its failure domain's readers.
class ServiceReadScheduler
{
public:
    ServiceReadScheduler(TimePoint now, const MemberRecord &self, std::uint64_t seed, const DistributionLimits &limits);

    /// Chooses the readers of this daemon's failure domain again.
    void setMembers(TimePoint now, std::span<const Member> members);

    /// Chooses the readers again. \param epoch changes the choice, so that the load moves to other daemons.
    void setEpoch(TimePoint now, ConfigVersion epoch);

    bool isReader(ConfigKey key) const noexcept { return scheduleOf(key).isReader; }

    /// \return a read of \p key if one is due now; it counts as in flight until its result is reported.
    /// \param highest the version above which a watch waits.
    /// \param hasJoined false during the join phase of the key.
    std::optional<ServiceRead> takeDueRead(TimePoint now, ConfigKey key, ConfigVersion highest, bool hasJoined);

    /// Makes the next read due at once, as a plain read and not as a watch.
    void expedite(TimePoint now, ConfigKey key) noexcept;

    /// The service returned the version in force, or a newer one.
    void onCurrentReply(TimePoint now, ConfigKey key) noexcept;

    /// The service returned a version older than the one in force.
    void onStaleReply(TimePoint now, ConfigKey key) noexcept;

    void onFailed(TimePoint now, ConfigKey key) noexcept;

    /// A peer with the same version in force reports that the service confirmed it at \p confirmedAt.
    void onPeerConfirmed(ConfigKey key, TimePoint confirmedAt) noexcept;

    /// When the service last confirmed the version in force, to this daemon or to a peer that reported it.
    std::optional<TimePoint> confirmedAt(ConfigKey key) const noexcept { return scheduleOf(key).confirmedAt; }

    /// Earliest time at which takeDueRead() may return a read.
    TimePoint nextAt() const noexcept;

private:
    struct KeySchedule {
        bool isReader = true;
        bool isInFlight = false;
        bool isFirstRead = true;
        /// True if the next read must be a plain read and not a watch.
        bool isExpedited = false;
        TimePoint issuedAt;
        TimePoint nextAt;
        unsigned failures = 0;
        std::optional<TimePoint> confirmedAt;
    };

    KeySchedule &scheduleOf(ConfigKey key) noexcept { return schedules_[static_cast<std::size_t>(key)]; }
    const KeySchedule &scheduleOf(ConfigKey key) const noexcept { return schedules_[static_cast<std::size_t>(key)]; }
    void chooseReaders(TimePoint now);
    /// \return \p duration times a random factor from 0.5 to 1.5.
    Duration jitter(Duration duration) noexcept;
    Duration nonReaderInterval() noexcept;

    DistributionLimits limits_;
    DaemonId self_;
    std::string failureDomain_;
    Random random_;
    TimePoint startedAt_;
    /// Position of this daemon's first reads in the start-up window, in [0, 1).
    double startupJitter_;
    ConfigVersion epoch_;
    std::vector<DaemonId> domainPeers_;
    std::array<KeySchedule, configKeyCount> schedules_;
};

} // namespace sassafrasvane::detail
