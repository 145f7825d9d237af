#pragma once

#include "fleet/membership.h"
#include "membertable.h"
#include "sendbudget.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

/// \file
/// Failure detection: probes members and reacts to missing answers.

namespace sassafrasvane::detail
{

/// Probes random members, directly and through other members, and synchronizes tables with them.
class Prober
{
public:
    Prober(TimePoint now, MemberTable &table, std::uint64_t seed, const MembershipLimits &limits);

    /// Detects that this process was paused: drops pending probes and extends suspicions, because the missing answers
    /// say nothing about the other members.
    void detectPause(TimePoint now);

    /// Ends probes that timed out, starts those that are due, and synchronizes tables.
    void onTimer(TimePoint now, MembershipActions &actions);

    /// When onTimer() must be called next.
    TimePoint nextTimer() const;

    /// Probes a few random members immediately; unreachable ones if none is alive.
    void probeNow(TimePoint now, MembershipActions &actions);

    /// Handles an Ack. \return when the probe that it answers was sent, or nullopt if no such probe is pending.
    std::optional<TimePoint> onAck(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Answers a Ping.
    void onPing(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Probes the target on behalf of the sender.
    void onPingRequest(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Sends the records that differ from the sender's digest.
    void onSyncRequest(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Schedules the next SyncRequest soon if the answer to the last one changed members.
    /// \param learned number of members changed by the answer.
    void onSyncRecords(TimePoint now, std::size_t learned);

    /// Sends pending updates to a few random members immediately.
    void notify(TimePoint now, MembershipActions &actions);

    /// Like notify(), for failures; leaves a reserve of the budget for probes and acks.
    void notifyFailures(TimePoint now, MembershipActions &actions);

    /// Sends \p receiver the record that this daemon has of it, which is newer than the receiver's own.
    void informStaleSender(TimePoint now, DaemonId receiver, MembershipActions &actions);

    void setStatus(const ConfigStatus &status) noexcept { status_ = status; }

    std::vector<DaemonId> randomPeers(std::size_t count);

    std::uint64_t suppressed() const noexcept { return budget_.suppressed(); }

private:
    struct Probe {
        DaemonId target;
        TimePoint sentAt;
        bool isIndirect = false;
        /// True if the target was unreachable before; a missing answer then has no effect.
        bool isTargetUnreachable = false;
        /// The member that requested the probe; 0 if the probe is this daemon's own.
        DaemonId requester;
        /// Number of the requester's probe.
        std::uint64_t requesterProbe = 0;
    };

    GossipMessage makeMessage(GossipKind kind, DaemonId receiver) const;
    bool send(TimePoint now, GossipMessage message, MembershipActions &actions);
    bool send(TimePoint now, GossipMessage message, double reserve, MembershipActions &actions);
    void notify(TimePoint now, double reserve, MembershipActions &actions);
    void startProbe(TimePoint now, DaemonId target, bool isTargetUnreachable, MembershipActions &actions);
    void startRound(TimePoint now, MembershipActions &actions);
    void probeIndirectly(TimePoint now, std::uint64_t number, Probe &probe, MembershipActions &actions);
    void checkProbes(TimePoint now, MembershipActions &actions);
    void probeUnreachable(TimePoint now, MembershipActions &actions);
    void synchronize(TimePoint now, MembershipActions &actions);
    std::optional<DaemonId> nextTarget();
    Duration probeTimeout() const noexcept;

    MemberTable &table_;
    MembershipLimits limits_;
    Random random_;
    SendBudget budget_;
    ConfigStatus status_;
    std::map<std::uint64_t, Probe> probes_;
    /// Members still to be probed before the next shuffle (SWIM, section 4.3).
    std::vector<DaemonId> probeOrder_;
    std::uint64_t lastProbe_ = 0;
    TimePoint nextRound_;
    TimePoint nextSync_;
    Duration syncInterval_;
    /// How late this process recently was, from 0 to maxSlowness (local health in Lifeguard). Lengthens the probe
    /// timeout.
    unsigned slowness_ = 0;
};

} // namespace sassafrasvane::detail
