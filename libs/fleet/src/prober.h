#pragma once

#include "fleet/membership.h"
#include "membertable.h"
#include "sendbudget.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

/// \file
/// Whom to probe, when, and what a missing answer means.

namespace sassafrasvane::detail
{

/// Probes random members, directly and through others, and compares tables with them.
class Prober
{
public:
    Prober(TimePoint now, MemberTable &table, std::uint64_t seed, const MembershipLimits &limits);

    /// Notices that this process did not run for a while, so that nobody else is blamed for it.
    void noticePause(TimePoint now);

    /// Ends and starts probes.
    void onTimer(TimePoint now, MembershipActions &actions);

    /// When onTimer() wants to be called.
    TimePoint nextTimer() const;

    /// Probes random members at once.
    void probeNow(TimePoint now, MembershipActions &actions);

    /// Takes an Ack. \return when the probe was sent that it answers, or nothing if none is pending.
    std::optional<TimePoint> onAck(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Answers a Ping.
    void onPing(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Probes the target on behalf of the sender.
    void onPingRequest(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Sends the records that differ from the sender's digest.
    void onSyncRequest(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Notes how much the answer to a SyncRequest taught; compares again soon if it taught something.
    void onSyncRecords(TimePoint now, std::size_t learned);

    /// Sends the changes that wait to a few random members at once.
    void notify(TimePoint now, MembershipActions &actions);

    /// The same for losses, as far as the budget leaves room for probes and acks.
    void tellLosses(TimePoint now, MembershipActions &actions);

    /// Sends the own record to \p receiver, who holds an outdated one.
    void inform(TimePoint now, DaemonId receiver, MembershipActions &actions);

    void setStatus(const ConfigStatus &status) noexcept { status_ = status; }

    std::vector<DaemonId> randomPeers(std::size_t count);

    std::uint64_t suppressed() const noexcept { return budget_.suppressed(); }

private:
    struct Probe {
        DaemonId target;
        TimePoint sentAt;
        bool isIndirect = false;
        /// True if the target was not held reachable: its silence means nothing.
        bool isLost = false;
        /// Set if the probe is on behalf of another member.
        DaemonId origin;
        std::uint64_t originProbe = 0;
    };

    GossipMessage message(GossipKind kind, DaemonId receiver) const;
    bool send(TimePoint now, GossipMessage message, MembershipActions &actions);
    bool send(TimePoint now, GossipMessage message, double reserve, MembershipActions &actions);
    void notify(TimePoint now, double reserve, MembershipActions &actions);
    void startProbe(TimePoint now, DaemonId target, bool isLost, MembershipActions &actions);
    void startRound(TimePoint now, MembershipActions &actions);
    void probeIndirectly(TimePoint now, std::uint64_t number, Probe &probe, MembershipActions &actions);
    void checkProbes(TimePoint now, MembershipActions &actions);
    void probeLost(TimePoint now, MembershipActions &actions);
    void synchronize(TimePoint now, MembershipActions &actions);
    std::optional<DaemonId> nextTarget();
    Duration probeTimeout() const noexcept;

    MemberTable &table_;
    MembershipLimits limits_;
    Random random_;
    SendBudget budget_;
    ConfigStatus status_;
    std::map<std::uint64_t, Probe> probes_;
    /// Members yet to be probed before the next shuffle (SWIM, section 4.3).
    std::vector<DaemonId> rotation_;
    std::uint64_t lastProbe_ = 0;
    TimePoint nextRound_;
    TimePoint nextSync_;
    Duration syncPause_;
    /// 0 to maxSlowness: how late this process was of late (Lifeguard's local health).
    unsigned slowness_ = 0;
};

} // namespace sassafrasvane::detail
