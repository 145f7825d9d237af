#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "tenancy/quotareport.h"
#include "tenancy/tenantquotas.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// \file
/// Which of the other VMs are heard, and the part of each quota that this VM's side of a partition may use.

namespace sassafrasvane::detail
{

/// One other VM.
struct QuotaPeer {
    DaemonId daemon;
    /// True if the VM is in the present list of participants.
    bool isListed = false;
    /// True if the VM counts for the majority; see QuotaPeers.
    bool isVoter = false;
    bool isHeard = false;
    bool hasReported = false;
    TimePoint addedAt;
    TimePoint heardAt;
    /// When the VM was heard again after a silence.
    TimePoint resumedAt;
    std::uint64_t run = 0;
    std::uint64_t sequence = 0;
    std::uint32_t partPermille = 0;
    /// As in QuotaReport.
    std::uint32_t participants = 0;

    /// True if the VM is heard and uses a share of the level as a participant does.
    bool isSharing() const noexcept { return isHeard && (isListed || isVoter || participants > 0); }
};

/// Judges the other VMs by their reports.
///
/// The part of this side is the share of the voters that are heard. The voters are the participants at the time when
/// more than half of the voters were last heard. They do not change on the smaller side of a partition: there the
/// advertised VMs are replaced by others of the same side, which would otherwise make both sides a majority.
class QuotaPeers
{
public:
    /// Time after its last report for which a VM counts as heard.
    static constexpr Duration silenceTime() noexcept { return std::chrono::milliseconds(600); }
    /// Time after which a majority no longer counts a silent VM, and gives its part to the others.
    static constexpr Duration exclusionTime() noexcept { return std::chrono::seconds(5); }
    /// Time after which a minority uses only minorityShare() of its part. Shorter than exclusionTime(), so that the
    /// minority reduces its use before the majority takes over.
    static constexpr Duration minorityTime() noexcept { return std::chrono::seconds(4); }
    /// Share of its part that a minority uses after minorityTime().
    static constexpr double minorityShare() noexcept { return 0.25; }
    /// Time for which a majority must also be one of the former voters. Two sides may each replace silent VMs by others
    /// of their own before they notice that they are sides.
    static constexpr Duration newVoterTime() noexcept { return std::chrono::seconds(5); }
    /// Share of its part that a minority uses until minorityTime() has passed. The sides may disagree by some VMs on
    /// who the voters are, so that their parts together exceed the whole.
    static constexpr double earlyMinorityShare() noexcept { return 0.5; }
    /// Time after which a minority accepts the present participants as voters. Until then it cannot know whether the
    /// others have ended or are on the other side of a partition.
    static constexpr Duration minorityRetention() noexcept { return std::chrono::minutes(10); }
    /// Time for which a VM that has started must hear a majority, and no smaller part from the others, until it trusts
    /// its own view. The others notice a partition later than silenceTime().
    static constexpr Duration establishTime() noexcept { return std::chrono::seconds(1); }
    /// Time after the start in which a VM is a participant though it hears no other yet.
    static constexpr Duration startTime() noexcept { return std::chrono::seconds(30); }
    /// Time after its last report for which a VM is reported to.
    static constexpr Duration answerTime() noexcept { return std::chrono::seconds(2); }

    QuotaPeers(TimePoint now, DaemonId self) noexcept;

    void setParticipants(TimePoint now, std::span<const DaemonId> participants);

    /// Records a report. \return the peer with the report applied; nullptr if the report is
    /// out of order or there is no room for the peer.
    QuotaPeer *onReport(TimePoint now, DaemonId daemon, const QuotaReport &report);

    /// Brings the state up to \p now. Must be called before the accessors. \return true if the part has changed.
    bool update(TimePoint now);

    /// The part of each quota that this side may use.
    double part() const noexcept { return part_; }
    /// The part that the silent VMs may use.
    double partOfOthers() const noexcept { return partOfOthers_; }
    QuotaBasis basis() const noexcept { return basis_; }
    /// True if this VM has once heard more than half of the voters for establishTime().
    bool isEstablished() const noexcept { return isEstablished_; }
    /// True if this VM is a participant.
    bool isParticipant() const noexcept { return isParticipant_; }
    /// True if this VM reports as a participant. On its own side of a partition a VM may be advertised that the others
    /// do not count; it becomes a participant when it hears them.
    bool isInParticipantList() const noexcept { return isInParticipantList_; }
    /// Number of VMs that share the quotas, this one included, as the VM that hears most of them knows.
    std::size_t participantCount() const noexcept { return participantCount_; }
    /// Number of participants that this VM hears, itself included; 0 if it is none.
    std::size_t heardParticipants() const noexcept { return isParticipant_ ? heardParticipants_ : 0; }
    /// Number of the heard participants that precede this one in the rendezvous order of \p key.
    std::size_t rankOf(std::uint64_t key) const noexcept;
    std::uint32_t partPermille() const noexcept;
    /// Number of the present round. A round ends when each VM that is heard has reported since its start.
    std::uint64_t round() const noexcept { return round_; }
    TimePoint lastConfirmedAt() const noexcept { return lastConfirmedAt_; }

    /// The participants; with \p includesFollowers also the other VMs that have reported lately.
    std::vector<DaemonId> recipients(TimePoint now, bool includesFollowers) const;

private:
    struct VoterCount {
        std::size_t voters = 0;
        std::size_t heard = 0;
        /// Those that have been voters for newVoterTime(), this time not counted while this VM was in a minority.
        std::size_t oldVoters = 0;
        std::size_t oldHeard = 0;
        /// Voters that have been silent for exclusionTime().
        std::size_t excluded = 0;
    };

    QuotaPeer *find(DaemonId daemon) noexcept;
    QuotaPeer *findOrAdd(TimePoint now, DaemonId daemon);
    void expire(TimePoint now);
    /// Since when this VM, as one of a majority, has not heard \p peer.
    TimePoint silentSince(const QuotaPeer &peer) const noexcept;
    void compute(TimePoint now);
    VoterCount countVoters(TimePoint now) const noexcept;
    void judgeMajority(TimePoint now, const VoterCount &count);
    void keepNewVotersNew(TimePoint now) noexcept;
    void countParticipants() noexcept;
    void computePart(TimePoint now, const VoterCount &count);
    bool adoptVoters(TimePoint now);
    bool hasEstablishedPeers() const noexcept;
    /// The least part that a VM which is heard and established has reported; 1 if there is none.
    double partOfEstablishedPeers(TimePoint now) const noexcept;
    void confirmRound(TimePoint now);
    void scheduleUpdate(TimePoint now);

    DaemonId self_;
    TimePoint startedAt_;
    std::vector<QuotaPeer> peers_;
    bool isInParticipantList_ = false;
    bool isParticipant_ = false;
    bool isSelfVoter_ = true;
    bool isEstablished_ = false;
    double part_ = 0;
    /// The part before those of the other VMs are taken into account.
    double ownPart_ = 0;
    double partOfOthers_ = 0;
    QuotaBasis basis_ = QuotaBasis::Alone;
    std::size_t participantCount_ = 1;
    std::size_t heardParticipants_ = 1;
    std::optional<TimePoint> minoritySince_;
    std::optional<TimePoint> consistentSince_;
    TimePoint majoritySince_;
    TimePoint establishedAt_;
    /// When this VM became a voter.
    TimePoint votesSince_;
    TimePoint updateAt_;
    bool hasChanged_ = true;
    std::uint64_t round_ = 1;
    TimePoint roundStartedAt_;
    TimePoint lastConfirmedAt_;
};

} // namespace sassafrasvane::detail
