#pragma once

#include "fleet/membership.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// What one daemon knows of the others: their records, who is suspected, and what is yet to be passed on.

namespace sassafrasvane::detail
{

/// Records of all members, with the rules by which one supersedes another.
class MemberTable
{
public:
    MemberTable(TimePoint now, const MemberRecord &self, const MembershipLimits &limits);

    /// Merges a record that a peer sent.
    /// \return true if the record is an urgent change: a new phase or a departure.
    bool merge(TimePoint now, const MemberRecord &record, MembershipActions &actions);

    /// Marks \p member as suspected by this daemon.
    void suspect(TimePoint now, DaemonId member, MembershipActions &actions);

    /// Declares members dead whose suspicion has run out, and forgets old ones.
    void expire(TimePoint now, MembershipActions &actions);

    /// Puts all suspicions off by \p pause, for this daemon could not hear refutations.
    void postponeExpiry(Duration pause) noexcept;

    /// The next end of a suspicion.
    std::optional<TimePoint> nextExpiry() const noexcept;

    /// Changes this daemon's own record and has it passed on.
    void setSelf(MemberPhase phase, MemberState state);

    /// Raises this daemon's sequence above \p record if that says anything but that it is alive.
    void refute(const MemberRecord &record, MembershipActions &actions);

    void setPublished(TimePoint now, const VmList &list, MembershipActions &actions);

    const MemberRecord &self() const noexcept { return self_; }

    /// The record of \p member, or nullptr.
    const MemberRecord *find(DaemonId member) const noexcept;

    /// Records for a message to \p receiver: what is said of itself first, then the least often sent changes.
    std::vector<MemberRecord> takeUpdates(DaemonId receiver);

    /// True once if a peer has called \p member dead while it is alive here, with the record that said so.
    std::optional<DaemonId> takeReportedDead();

    /// Digest of the table of members that are alive or suspected, one number a bucket.
    std::span<const std::uint32_t> digest() const noexcept { return digest_; }

    /// All records in the buckets that differ from \p digest, starting at bucket \p first.
    std::vector<MemberRecord> differingRecords(std::span<const std::uint32_t> digest, std::size_t first) const;

    /// Members that are alive or suspected.
    std::vector<DaemonId> reachable(bool withSuspects) const;

    /// Members that are dead, and published ones that were never heard of.
    std::vector<DaemonId> unreachable() const;

    std::vector<Member> members() const;

    /// Members that are alive or suspected, with this daemon.
    std::size_t reachableCount() const noexcept { return reachableCount_; }

private:
    struct Entry {
        MemberRecord record;
        /// False for a published member that was never heard of.
        bool isKnown = false;
        bool isPublished = false;
        bool isPublishedLeaving = false;
        TimePoint stateSince;
        /// While suspected: when that began, and who else suspects the member.
        TimePoint suspectedAt;
        std::vector<DaemonId> suspectedBy;
        /// A report of the member's death that is not believed yet.
        std::optional<MemberRecord> deathReport;
    };
    struct PendingUpdate {
        DaemonId member;
        std::uint32_t sendCount = 0;
    };

    void applyRecord(TimePoint now, Entry &entry, const MemberRecord &record, MembershipActions &actions);
    void confirmSuspicion(Entry &entry, DaemonId accuser);
    void toggleDigest(const MemberRecord &record) noexcept;
    void enqueueUpdate(DaemonId member);
    bool isFailure(const PendingUpdate &update) const;
    void takeLeastSentUpdates(std::vector<PendingUpdate>::iterator begin,
                              std::vector<PendingUpdate>::iterator end,
                              std::size_t count,
                              DaemonId receiver,
                              std::vector<MemberRecord> &records);
    Duration suspicionTimeout(const Entry &entry) const noexcept;
    std::uint32_t transmissions() const noexcept;

    MembershipLimits limits_;
    MemberRecord self_;
    std::unordered_map<DaemonId, Entry> entries_;
    std::vector<DaemonId> suspects_;
    std::vector<DaemonId> reportedDead_;
    std::vector<PendingUpdate> pendingUpdates_;
    std::array<std::uint32_t, digestBuckets> digest_{};
    std::size_t reachableCount_ = 1;
    TimePoint nextForget_;
};

} // namespace sassafrasvane::detail
