#pragma once

#include "fleet/membership.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// Table of one daemon with the records of all members, the suspicions and the updates to send.

namespace sassafrasvane::detail
{

/// Records of all members, and the rules by which a record supersedes another.
class MemberTable
{
public:
    MemberTable(TimePoint now, const MemberRecord &self, const MembershipLimits &limits);

    /// Merges a record received from a peer.
    /// \return true if the record is an urgent change: a new phase or a departure.
    bool merge(TimePoint now, const MemberRecord &record, MembershipActions &actions);

    /// Marks \p member as suspected by this daemon.
    void suspect(TimePoint now, DaemonId member, MembershipActions &actions);

    /// Declares members dead whose suspicion timed out, and removes old entries.
    void expire(TimePoint now, MembershipActions &actions);

    /// Extends all suspicions by \p pause, during which this daemon could not receive refutations.
    void postponeExpiry(Duration pause) noexcept;

    /// When the next suspicion times out; nullopt if no member is suspected.
    std::optional<TimePoint> nextExpiry() const noexcept;

    /// Changes this daemon's own record and raises its sequence.
    void setSelf(MemberPhase phase, MemberState state);

    /// Makes this daemon's own record supersede \p record if \p record is newer: raises the sequence, or the
    /// incarnation if \p record has a later one. Does nothing after the departure.
    void refute(const MemberRecord &record, MembershipActions &actions);

    void setPublished(TimePoint now, const VmList &list, MembershipActions &actions);

    const MemberRecord &self() const noexcept { return self_; }

    /// The record of \p member, or nullptr if it is unknown. Valid until the table changes.
    const MemberRecord *find(DaemonId member) const noexcept;

    /// Records for a message to \p receiver: a record that claims it is not alive first, then the least often sent
    /// updates.
    std::vector<MemberRecord> takeUpdates(DaemonId receiver);

    /// Removes and returns a member that a peer reported dead while it is alive in this table; nullopt if there is
    /// none.
    std::optional<DaemonId> takeReportedDead();

    /// Digest of the members that are alive or suspected, one number per bucket.
    std::span<const std::uint32_t> digest() const noexcept { return digest_; }

    /// All records in the buckets whose digest differs from \p digest, in the order of buckets from \p first on.
    std::vector<MemberRecord> differingRecords(std::span<const std::uint32_t> digest, std::size_t first) const;

    /// Members that are alive, and those that are suspected if \p withSuspects; ordered by id.
    std::vector<DaemonId> reachable(bool withSuspects) const;

    /// Members that are dead, and published ones that have left or are unknown; ordered by id.
    std::vector<DaemonId> unreachable() const;

    std::vector<Member> members() const;

    /// Number of members that are alive or suspected, including this daemon.
    std::size_t reachableCount() const noexcept { return reachableCount_; }

private:
    struct Entry {
        MemberRecord record;
        /// False for a published member from which no record has arrived.
        bool isKnown = false;
        bool isPublished = false;
        bool isPublishedLeaving = false;
        TimePoint stateSince;
        /// When the suspicion began, while the member is suspected.
        TimePoint suspectedAt;
        /// Members that suspect it.
        std::vector<DaemonId> suspectedBy;
        /// A record that reports the member dead while it is still considered alive.
        std::optional<MemberRecord> deathReport;
    };
    /// A change that is still to be sent to other members.
    struct PendingUpdate {
        DaemonId member;
        std::uint32_t sendCount = 0;
    };

    void applyRecord(TimePoint now, Entry &entry, const MemberRecord &record, MembershipActions &actions);
    void confirmSuspicion(Entry &entry, DaemonId suspectedBy);
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
