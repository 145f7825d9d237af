#include "membertable.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane::detail
{

namespace
{

/// Maximum number of members in the table, so that no peer can exhaust the memory.
constexpr std::size_t maxMembers = 4'096;

/// Number of suspicions by other members after which the minimum timeout applies (Lifeguard, section IV-B).
constexpr std::size_t maxConfirmations = 3;

/// The maximum suspicion timeout as a multiple of the minimum.
constexpr double maxSuspicionFactor = 3;

/// The minimum suspicion timeout, in probe periods, and the number of transmissions of each update are this factor
/// times the logarithm of the fleet's size (SWIM, section 4.1).
constexpr double logarithmFactor = 4;
/// Updates about failures are sent this many times as often, because members that miss one keep sending callers to the
/// failed member.
constexpr std::uint32_t failureTransmissionFactor = 2;

constexpr Duration forgetPeriod = std::chrono::minutes(1);

bool isReachable(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

std::size_t bucketOf(DaemonId daemon) noexcept
{
    return mix(daemon.value) % digestBuckets;
}

} // namespace

MemberTable::MemberTable(TimePoint now, const MemberRecord &self, const MembershipLimits &limits)
    : limits_(limits), self_(self), nextForget_(now + forgetPeriod)
{
    self_.sequence = 0;
    self_.state = MemberState::Alive;
    self_.phase = MemberPhase::Serving;
    self_.suspectedBy = {};
    toggleDigest(self_);
}

bool MemberTable::merge(TimePoint now, const MemberRecord &record, MembershipActions &actions)
{
    if (record.daemon == self_.daemon) {
        refute(record, actions);
        return false;
    }
    const auto found = entries_.find(record.daemon);
    const bool isKnown = found != entries_.end() && found->second.isKnown;
    if (!isKnown && (!isReachable(record.state) || entries_.size() >= maxMembers)) {
        return false;
    }
    Entry &entry = entries_[record.daemon];
    if (isKnown && !supersedes(record, entry.record)) {
        const bool isSame = record.incarnation == entry.record.incarnation && record.sequence == entry.record.sequence;
        if (isSame && record.state == MemberState::Suspect && entry.record.state == MemberState::Suspect) {
            confirmSuspicion(entry, record.suspectedBy);
        }
        return false;
    }
    if (isKnown && record.state == MemberState::Dead && entry.record.state == MemberState::Alive) {
        if (!entry.deathReport) {
            reportedDead_.push_back(record.daemon);
        }
        entry.deathReport = record;
        return false;
    }
    const bool isUrgent = record.state == MemberState::Left || (isKnown && record.phase != entry.record.phase);
    applyRecord(now, entry, record, actions);
    return isUrgent;
}

void MemberTable::applyRecord(TimePoint now, Entry &entry, const MemberRecord &record, MembershipActions &actions)
{
    const bool wasReachable = entry.isKnown && isReachable(entry.record.state);
    const bool isVisible = !entry.isKnown || entry.record.state != record.state || entry.record.phase != record.phase
        || entry.record.incarnation != record.incarnation;
    if (wasReachable) {
        toggleDigest(entry.record);
        --reachableCount_;
    }
    if (record.state == MemberState::Suspect && (!entry.isKnown || entry.record.state != MemberState::Suspect)) {
        suspects_.push_back(record.daemon);
    }
    if (record.state == MemberState::Suspect) {
        entry.suspectedAt = now;
        entry.suspectedBy = {record.suspectedBy};
    } else {
        std::erase(suspects_, record.daemon);
        entry.suspectedBy.clear();
    }
    entry.record = record;
    entry.isKnown = true;
    entry.deathReport.reset();
    if (isReachable(record.state)) {
        toggleDigest(record);
        ++reachableCount_;
    }
    if (isVisible) {
        entry.stateSince = now;
        actions.changes.push_back({record.daemon, record.state, record.phase, record.incarnation});
    }
    enqueueUpdate(record.daemon);
}

void MemberTable::confirmSuspicion(Entry &entry, DaemonId suspectedBy)
{
    const bool isNew
        = std::find(entry.suspectedBy.begin(), entry.suspectedBy.end(), suspectedBy) == entry.suspectedBy.end();
    if (!isNew || entry.suspectedBy.size() > maxConfirmations) {
        return;
    }
    entry.suspectedBy.push_back(suspectedBy);
    // A pending update keeps its send count, so that it does not delay the first update about another failure.
    const bool isWaiting
        = std::any_of(pendingUpdates_.begin(), pendingUpdates_.end(), [&entry](const PendingUpdate &update) {
              return update.member == entry.record.daemon;
          });
    if (!isWaiting) {
        enqueueUpdate(entry.record.daemon);
    }
}

void MemberTable::suspect(TimePoint now, DaemonId member, MembershipActions &actions)
{
    const auto found = entries_.find(member);
    if (found == entries_.end() || !found->second.isKnown) {
        return;
    }
    Entry &entry = found->second;
    if (entry.record.state == MemberState::Suspect) {
        confirmSuspicion(entry, self_.daemon);
        return;
    }
    if (entry.record.state != MemberState::Alive) {
        return;
    }
    MemberRecord record = entry.record;
    record.state = MemberState::Suspect;
    record.suspectedBy = self_.daemon;
    applyRecord(now, entry, record, actions);
}

Duration MemberTable::suspicionTimeout(const Entry &entry) const noexcept
{
    const double periods = logarithmFactor * std::max(1.0, std::log10(static_cast<double>(reachableCount_)));
    const double minTimeout = periods * static_cast<double>(limits_.probePeriod.count());
    const std::size_t expected = std::min(maxConfirmations, reachableCount_ > 2 ? reachableCount_ - 2 : 0);
    if (expected == 0) {
        return Duration(static_cast<Duration::rep>(minTimeout));
    }
    // The timeout falls with the logarithm of the number of independent suspicions (Lifeguard, section IV-B).
    const double maxTimeout = maxSuspicionFactor * minTimeout;
    const double confirmed = static_cast<double>(std::min(entry.suspectedBy.size() - 1, expected));
    const double part = std::log(confirmed + 1) / std::log(static_cast<double>(expected) + 1);
    return Duration(static_cast<Duration::rep>(maxTimeout - (maxTimeout - minTimeout) * part));
}

void MemberTable::expire(TimePoint now, MembershipActions &actions)
{
    const std::vector<DaemonId> suspects = suspects_;
    for (const DaemonId member : suspects) {
        Entry &entry = entries_.at(member);
        if (entry.suspectedAt + suspicionTimeout(entry) > now) {
            continue;
        }
        MemberRecord record = entry.record;
        record.state = MemberState::Dead;
        record.suspectedBy = self_.daemon;
        applyRecord(now, entry, record, actions);
    }
    if (now < nextForget_) {
        return;
    }
    nextForget_ = now + forgetPeriod;
    std::erase_if(entries_, [this, now](const std::pair<const DaemonId, Entry> &item) {
        const Entry &entry = item.second;
        const bool isGone = !entry.isKnown || !isReachable(entry.record.state);
        return isGone && !entry.isPublished && entry.stateSince + limits_.retention <= now;
    });
}

void MemberTable::postponeExpiry(Duration pause) noexcept
{
    for (const DaemonId member : suspects_) {
        entries_.at(member).suspectedAt += pause;
    }
}

std::optional<TimePoint> MemberTable::nextExpiry() const noexcept
{
    std::optional<TimePoint> next;
    for (const DaemonId member : suspects_) {
        const Entry &entry = entries_.at(member);
        const TimePoint end = entry.suspectedAt + suspicionTimeout(entry);
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

void MemberTable::setSelf(MemberPhase phase, MemberState state)
{
    toggleDigest(self_);
    self_.phase = phase;
    self_.state = state;
    ++self_.sequence;
    toggleDigest(self_);
}

void MemberTable::refute(const MemberRecord &record, MembershipActions &actions)
{
    if (!supersedes(record, self_) || self_.state == MemberState::Left) {
        return;
    }
    toggleDigest(self_);
    if (record.incarnation > self_.incarnation) {
        self_.incarnation = Incarnation{record.incarnation.value + 1};
        self_.sequence = 0;
        actions.ownIncarnation = self_.incarnation;
    } else {
        self_.sequence = record.sequence + 1;
    }
    toggleDigest(self_);
}

void MemberTable::setPublished(TimePoint now, const VmList &list, MembershipActions &actions)
{
    for (auto &[member, entry] : entries_) {
        entry.isPublished = false;
    }
    for (const Vm &vm : list.vms) {
        const DaemonId member = daemonId(vm.peer);
        if (member == self_.daemon || (entries_.size() >= maxMembers && !entries_.contains(member))) {
            continue;
        }
        Entry &entry = entries_[member];
        if (!entry.isKnown && entry.record.daemon != member) {
            entry.stateSince = now;
            entry.record.daemon = member;
        }
        entry.isPublished = true;
        const bool isLeaving = vm.state == ServerState::Leaving;
        if (entry.isKnown && entry.isPublishedLeaving != isLeaving) {
            actions.changes.push_back({member,
                                       entry.record.state,
                                       isLeaving ? MemberPhase::Leaving : entry.record.phase,
                                       entry.record.incarnation});
        }
        entry.isPublishedLeaving = isLeaving;
    }
}

const MemberRecord *MemberTable::find(DaemonId member) const noexcept
{
    const auto found = entries_.find(member);
    return found != entries_.end() && found->second.isKnown ? &found->second.record : nullptr;
}

std::uint32_t MemberTable::transmissions() const noexcept
{
    return static_cast<std::uint32_t>(
        std::ceil(logarithmFactor * std::log10(static_cast<double>(reachableCount_ + 9))));
}

void MemberTable::enqueueUpdate(DaemonId member)
{
    std::erase_if(pendingUpdates_, [member](const PendingUpdate &update) { return update.member == member; });
    pendingUpdates_.push_back({member, 0});
}

bool MemberTable::isFailure(const PendingUpdate &update) const
{
    const MemberRecord *record = find(update.member);
    return record != nullptr && (record->state == MemberState::Suspect || record->state == MemberState::Dead);
}

void MemberTable::takeLeastSentUpdates(std::vector<PendingUpdate>::iterator begin,
                                       std::vector<PendingUpdate>::iterator end,
                                       std::size_t count,
                                       DaemonId receiver,
                                       std::vector<MemberRecord> &records)
{
    const std::vector<PendingUpdate>::iterator last = begin + static_cast<std::ptrdiff_t>(count);
    // Members with the same updates send them in different orders, so that fewer are sent twice.
    const auto rank = [this](const PendingUpdate &update) {
        return std::pair(update.sendCount, mix(self_.daemon.value, update.member.value));
    };
    std::partial_sort(begin, last, end, [&rank](const PendingUpdate &first, const PendingUpdate &second) {
        return rank(first) < rank(second);
    });
    for (std::vector<PendingUpdate>::iterator update = begin; update != last; ++update) {
        ++update->sendCount;
        if (const MemberRecord *record = find(update->member); record != nullptr && update->member != receiver) {
            records.push_back(*record);
        }
    }
}

std::vector<MemberRecord> MemberTable::takeUpdates(DaemonId receiver)
{
    std::vector<MemberRecord> records;
    const auto about = entries_.find(receiver);
    if (about != entries_.end() && about->second.isKnown) {
        const Entry &entry = about->second;
        if (entry.deathReport) {
            records.push_back(*entry.deathReport);
        } else if (entry.record.state != MemberState::Alive) {
            records.push_back(entry.record);
        }
    }
    const std::size_t capacity = std::min(maxRecordsPerMessage - records.size(), pendingUpdates_.size());
    const std::vector<PendingUpdate>::iterator failures
        = std::partition(pendingUpdates_.begin(), pendingUpdates_.end(), [this](const PendingUpdate &update) {
              return !isFailure(update);
          });
    // Hundreds of suspicions after a partition must not delay refutations and new members, and hundreds of new members
    // must not delay updates about failures. Each group gets at least half of the message if it needs it.
    const std::size_t failureCount = static_cast<std::size_t>(pendingUpdates_.end() - failures);
    const std::size_t otherCount = pendingUpdates_.size() - failureCount;
    const std::size_t others
        = std::min(otherCount, std::max((capacity + 1) / 2, capacity - std::min(capacity, failureCount)));
    takeLeastSentUpdates(pendingUpdates_.begin(), failures, others, receiver, records);
    takeLeastSentUpdates(failures, pendingUpdates_.end(), capacity - others, receiver, records);
    const std::uint32_t limit = transmissions();
    std::erase_if(pendingUpdates_, [this, limit](const PendingUpdate &update) {
        return update.sendCount >= (isFailure(update) ? failureTransmissionFactor * limit : limit);
    });
    return records;
}

std::optional<DaemonId> MemberTable::takeReportedDead()
{
    while (!reportedDead_.empty()) {
        const DaemonId member = reportedDead_.back();
        reportedDead_.pop_back();
        const auto found = entries_.find(member);
        if (found != entries_.end() && found->second.deathReport) {
            return member;
        }
    }
    return std::nullopt;
}

std::vector<MemberRecord> MemberTable::differingRecords(std::span<const std::uint32_t> digest, std::size_t first) const
{
    std::vector<MemberRecord> records;
    if (digest[bucketOf(self_.daemon)] != digest_[bucketOf(self_.daemon)]) {
        records.push_back(self_);
    }
    for (const auto &[member, entry] : entries_) {
        if (entry.isKnown && digest[bucketOf(member)] != digest_[bucketOf(member)]) {
            records.push_back(entry.record);
        }
    }
    std::sort(records.begin(), records.end(), [first](const MemberRecord &left, const MemberRecord &right) {
        const std::size_t leftDistance = (bucketOf(left.daemon) + digestBuckets - first) % digestBuckets;
        const std::size_t rightDistance = (bucketOf(right.daemon) + digestBuckets - first) % digestBuckets;
        return std::pair(leftDistance, left.daemon) < std::pair(rightDistance, right.daemon);
    });
    return records;
}

std::vector<DaemonId> MemberTable::reachable(bool withSuspects) const
{
    std::vector<DaemonId> found;
    for (const auto &[member, entry] : entries_) {
        const MemberState state = entry.record.state;
        if (entry.isKnown && (state == MemberState::Alive || (withSuspects && state == MemberState::Suspect))) {
            found.push_back(member);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::vector<DaemonId> MemberTable::unreachable() const
{
    std::vector<DaemonId> found;
    for (const auto &[member, entry] : entries_) {
        if (!entry.isKnown || entry.record.state == MemberState::Dead
            || (entry.record.state == MemberState::Left && entry.isPublished)) {
            found.push_back(member);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members;
    for (const auto &[daemon, entry] : entries_) {
        if (entry.isKnown) {
            members.push_back(
                {entry.record, entry.stateSince, entry.isPublishedLeaving, entry.deathReport.has_value()});
        }
    }
    std::sort(members.begin(), members.end(), [](const Member &first, const Member &second) {
        return first.record.daemon < second.record.daemon;
    });
    return members;
}

void MemberTable::toggleDigest(const MemberRecord &record) noexcept
{
    const std::uint64_t hash = mix(mix(record.daemon.value, record.incarnation.value), record.sequence);
    digest_[bucketOf(record.daemon)] ^= static_cast<std::uint32_t>(hash);
}

} // namespace sassafrasvane::detail
