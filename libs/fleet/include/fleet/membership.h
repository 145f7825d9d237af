#pragma once

#include "base/error.h"
#include "base/random.h"
#include "fleet/messages.h"
#include "settings/published.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

/// \file
/// Membership of the fleet: which daemons belong to it and which of them are reachable.

namespace sassafrasvane
{

namespace detail
{
class MemberTable;
class Prober;
} // namespace detail

/// Periods and limits of the membership protocol.
struct MembershipLimits {
    /// Mean time between two rounds of probes.
    Duration probePeriod = std::chrono::seconds(1);
    /// Time without an Ack after which a probe is repeated, directly and through other members.
    Duration directTimeout = std::chrono::milliseconds(300);
    /// Members probed in each round.
    std::size_t probesPerRound = 2;
    /// Members asked to probe a silent member on behalf of this daemon.
    std::size_t indirectProbes = 3;
    /// Number of members to which an urgent change is sent immediately.
    std::size_t notifyFanout = 3;
    /// Sustained rate of messages per second. This plus messageBurst is the maximum in any second.
    double messagesPerSecond = 20;
    /// Maximum number of messages sent at once.
    double messageBurst = 6;
    /// Maximum time, before jitter, between two comparisons of the whole table with a random peer.
    Duration maxSyncInterval = std::chrono::seconds(10);
    /// Time after which a dead or departed member that is not in the published list is removed.
    Duration retention = std::chrono::hours(2);
};

/// A member as the router and the entry advice see it.
struct Member {
    MemberRecord record;
    /// When the state, phase or incarnation last changed.
    TimePoint stateSince;
    /// True if the published list marks it as leaving.
    bool isPublishedLeaving = false;

    /// True if another member reported it dead and this daemon has not yet confirmed that by a probe of its own.
    bool isReportedDead = false;

    /// True if it may get new work.
    bool takesWork() const noexcept
    {
        return !isReportedDead && record.state == MemberState::Alive && record.phase == MemberPhase::Serving
            && !isPublishedLeaving;
    }
};

/// A message that the caller shall send to a peer.
struct GossipSend {
    DaemonId to;
    GossipMessage message;
};

/// A member whose state, phase or incarnation has changed.
struct MemberChange {
    DaemonId member;
    MemberState state = MemberState::Alive;
    MemberPhase phase = MemberPhase::Serving;
    Incarnation incarnation;
};

/// A message from a peer was accepted.
struct PeerContact {
    DaemonId peer;
    ConfigStatus status;
    /// When the probe that the message answers was sent; nullopt if it answers none. The peer's status was true at this
    /// time or later, however long the datagram waited in a buffer.
    std::optional<TimePoint> probedAt;
};

/// Actions that Membership requests after an event. The caller carries them out and clears them before the next event.
struct MembershipActions {
    std::vector<GossipSend> sends;
    std::vector<MemberChange> changes;
    std::vector<PeerContact> contacts;
    /// This daemon's new incarnation. Set if peers know a later incarnation than the current one, which happens when
    /// the wall clock was set back before a restart.
    std::optional<Incarnation> ownIncarnation;
    /// When onTimer() must be called next.
    std::optional<TimePoint> wakeAt;

    /// Resets all fields.
    void clear() noexcept;
};

/// Membership of the fleet, kept by random probes, suspicion and gossip.
///
/// The protocol follows Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol" (2002), with the suspicion timeout of Dadgar, Phillips and Currey, "Lifeguard: Local Health
/// Awareness for More Accurate Failure Detection" (2018). A daemon that considers a member alive does not accept
/// a report of its death, but probes the member first. Without this, the two sides of a healed partition would declare
/// each other dead.
///
/// \code
/// Membership membership = Membership::Builder().self(record).seed(seed).build(now);
/// membership.setPublished(now, list);
/// const Result<void> result = membership.handle(now, message, actions);
/// membership.onTimer(now, actions);
/// \endcode
class Membership
{
public:
    class Builder;

    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;
    ~Membership();

    /// Handles a message that the codec has accepted.
    /// \return an Error of Step::Gossip if it is refused: Errc::StaleIncarnation, or Errc::InvalidRequest if it is
    /// addressed to another daemon or malformed. A refused message changes no member.
    Result<void> handle(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Sends probes that are due and declares members dead whose suspicion timed out.
    void onTimer(TimePoint now, MembershipActions &actions);

    /// Probes a few random members immediately, so that their answers confirm this daemon's view of the fleet.
    void probeNow(TimePoint now, MembershipActions &actions);

    /// Announces immediately that this daemon takes no new work. It keeps answering probes.
    void leave(TimePoint now, MembershipActions &actions);

    /// Announces immediately that this daemon stops now. Must be the last call.
    void depart(TimePoint now, MembershipActions &actions);

    /// Sets the platform's list of VMs. The list may be stale: it only adds peers to probe and marks members as
    /// leaving.
    void setPublished(TimePoint now, const VmList &list, MembershipActions &actions);

    /// Sets the status of this daemon's published values that the next messages carry.
    void setStatus(const ConfigStatus &status) noexcept;

    /// All known members that have not been removed, without this daemon, ordered by id.
    std::vector<Member> members() const;

    /// Number of members that are alive or suspected, including this daemon.
    std::size_t reachableCount() const noexcept;

    /// At most \p count random members that are alive, without this daemon.
    std::vector<DaemonId> randomPeers(std::size_t count);

    /// This daemon's record.
    const MemberRecord &self() const noexcept;

    /// Number of refused messages by reason.
    const std::map<Errc, std::uint64_t> &refusals() const noexcept { return refusals_; }

    /// Number of messages that were not sent because of the rate limit.
    std::uint64_t suppressed() const noexcept;

private:
    Membership();
    Error refuse(Errc reason, const GossipMessage &message, const char *detail);
    void mergeRecords(TimePoint now, const GossipMessage &message, MembershipActions &actions);
    void notifyFailures(TimePoint now, std::size_t changesBefore, MembershipActions &actions);
    void answer(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    std::unique_ptr<detail::MemberTable> table_;
    std::unique_ptr<detail::Prober> prober_;
    std::map<Errc, std::uint64_t> refusals_;
};

/// Builds a Membership.
class Membership::Builder
{
public:
    /// Sets this daemon's record; state, phase and sequence are set by Membership.
    Builder &self(const MemberRecord &record);

    /// Sets the seed of the random choices.
    Builder &seed(std::uint64_t seed) noexcept;

    /// Sets periods and limits; the defaults suit 2 to 500 daemons.
    Builder &limits(const MembershipLimits &limits) noexcept;

    /// \return a membership that knows only this daemon.
    Membership build(TimePoint now) const;

private:
    MemberRecord self_;
    std::uint64_t seed_ = 1;
    MembershipLimits limits_;
};

} // namespace sassafrasvane
