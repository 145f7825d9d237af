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
/// Which daemons belong to the fleet and which of them can be reached.

namespace sassafrasvane
{

namespace detail
{
class MemberTable;
class Prober;
} // namespace detail

/// Periods and bounds of the membership exchange.
struct MembershipLimits {
    /// Time between two rounds of probes.
    Duration period = std::chrono::seconds(1);
    /// Time after which a probe is tried again, directly and through other members.
    Duration directTimeout = std::chrono::milliseconds(300);
    /// Members probed a round.
    std::size_t probesPerRound = 2;
    /// Members asked to probe on our behalf.
    std::size_t indirectProbes = 3;
    /// Members to which an urgent change is sent at once.
    std::size_t eagerPeers = 3;
    /// Messages a second in the long run, and at once. Their sum bounds the messages of any second.
    double messagesPerSecond = 20;
    double messageBurst = 6;
    /// Time between two comparisons of the whole table with a random peer.
    Duration syncPeriod = std::chrono::seconds(10);
    /// Time after which a dead or departed member that is not published is forgotten.
    Duration retention = std::chrono::hours(2);
};

/// A member as the router and the entry advice see it.
struct Member {
    MemberRecord record;
    /// When the state last changed.
    TimePoint since;
    /// True if the published list says that it is leaving.
    bool isPublishedLeaving = false;

    /// True if another member has called it dead, which a probe of this member's own must confirm first.
    bool isAccused = false;

    /// True if new work may be given to it.
    bool takesWork() const noexcept
    {
        return !isAccused && record.state == MemberState::Alive && record.phase == MemberPhase::Serving
            && !isPublishedLeaving;
    }
};

/// A message to send.
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

/// A peer was heard.
struct PeerContact {
    DaemonId peer;
    ConfigStatus status;
    /// When the probe was sent that the message answers; nothing if it answers none. What the peer says was true then
    /// or later, however long the datagram waited in a buffer.
    std::optional<TimePoint> probedAt;
};

/// What Membership wants done after an event. The caller clears it before the next one.
struct MembershipActions {
    std::vector<GossipSend> sends;
    std::vector<MemberChange> changes;
    std::vector<PeerContact> contacts;
    /// Set if peers know of a later life of this daemon (the wall clock went back): its new incarnation.
    std::optional<Incarnation> ownIncarnation;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;

    /// Empties all lists.
    void clear() noexcept;
};

/// Membership by random probes, suspicion and epidemic spread of changes.
///
/// The protocol follows Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol" (2002), with the suspicion timeout of Dadgar, Phillips and Currey, "Lifeguard: Local Health
/// Awareness for More Accurate Failure Detection" (2018). A report that a member is dead is not believed by one who
/// holds it alive, but makes it probe that member: so two halves of a healed partition do not bury each other.
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

    /// Takes a message that the codec has accepted.
    /// \return an Error of Step::Gossip if it is refused: Errc::StaleIncarnation, or Errc::InvalidRequest if it is for
    /// another daemon or malformed. A refused message changes no member.
    Result<void> handle(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    /// Probes, and ends suspicions that were not refuted.
    void onTimer(TimePoint now, MembershipActions &actions);

    /// Probes a few random members at once, so that their answers confirm what this daemon knows.
    void probeNow(TimePoint now, MembershipActions &actions);

    /// Says at once that this daemon takes no new work. It goes on answering probes.
    void leave(TimePoint now, MembershipActions &actions);

    /// Says at once that this daemon ends now. Call it last.
    void depart(TimePoint now, MembershipActions &actions);

    /// Takes the platform's list, which lags: it names peers to try, and adds who is leaving.
    void setPublished(TimePoint now, const VmList &list, MembershipActions &actions);

    /// Sets what the next messages say of this daemon's published values.
    void setStatus(const ConfigStatus &status) noexcept;

    /// All members but this daemon that were ever heard of and are not forgotten, ordered by id.
    std::vector<Member> members() const;

    /// Members that are alive or suspected, with this daemon.
    std::size_t reachableCount() const noexcept;

    /// Random members that are alive, without this daemon; at most \p count.
    std::vector<DaemonId> randomPeers(std::size_t count);

    /// This daemon's record.
    const MemberRecord &self() const noexcept;

    /// Refused messages by reason.
    const std::map<Errc, std::uint64_t> &refusals() const noexcept { return refusals_; }

    /// Messages that were not sent because of the bound on messages a second.
    std::uint64_t suppressed() const noexcept;

private:
    Membership();
    Error refuse(Errc reason, const GossipMessage &message, const char *detail);
    void takeRecords(TimePoint now, const GossipMessage &message, MembershipActions &actions);
    void tellLosses(TimePoint now, std::size_t changesBefore, MembershipActions &actions);
    void answer(TimePoint now, const GossipMessage &message, MembershipActions &actions);

    std::unique_ptr<detail::MemberTable> table_;
    std::unique_ptr<detail::Prober> prober_;
    std::map<Errc, std::uint64_t> refusals_;
};

/// Collects what a Membership needs.
class Membership::Builder
{
public:
    /// This daemon's record; state, phase and sequence are set by Membership.
    Builder &self(const MemberRecord &record);

    /// Seed of the random choices.
    Builder &seed(std::uint64_t seed) noexcept;

    /// Periods and bounds; the defaults suit 2 to 500 daemons.
    Builder &limits(const MembershipLimits &limits) noexcept;

    /// \return the membership, knowing only this daemon.
    Membership build(TimePoint now) const;

private:
    MemberRecord self_;
    std::uint64_t seed_ = 1;
    MembershipLimits limits_;
};

} // namespace sassafrasvane
