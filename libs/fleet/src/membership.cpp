#include "fleet/membership.h"

#include "membertable.h"
#include "prober.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace sassafrasvane
{

bool supersedes(const MemberRecord &first, const MemberRecord &second) noexcept
{
    return std::tie(first.incarnation, first.sequence, first.state)
        > std::tie(second.incarnation, second.sequence, second.state);
}

const char *name(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    }
    return "dead";
}

const char *name(ConfigKey key) noexcept
{
    switch (key) {
    case ConfigKey::Configuration:
        return "configuration";
    case ConfigKey::ShardMap:
        return "shardmap";
    case ConfigKey::Vms:
        return "vms";
    }
    return "unknown";
}

void MembershipActions::clear() noexcept
{
    sends.clear();
    changes.clear();
    contacts.clear();
    ownIncarnation.reset();
    wakeAt.reset();
}

Membership::Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;
Membership::~Membership() = default;

Result<void> Membership::handle(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    prober_->detectPause(now);
    const DaemonId sender = message.sender.daemon;
    if (message.receiver != self().daemon) {
        return refuse(Errc::InvalidRequest, message, "addressed to another daemon");
    }
    if (sender == self().daemon || sender.value == 0 || message.records.size() > maxRecordsPerMessage) {
        return refuse(Errc::InvalidRequest, message, "invalid sender id or too many records");
    }
    if (message.kind == GossipKind::SyncRequest && message.digest.size() != digestBuckets) {
        return refuse(Errc::InvalidRequest, message, "digest of the wrong length");
    }
    const MemberRecord *known = table_->find(sender);
    if (known != nullptr && message.sender.incarnation < known->incarnation) {
        // If the sender's wall clock was set back, it must learn of its later incarnation to choose one above it.
        prober_->informStaleSender(now, sender, actions);
        actions.wakeAt = prober_->nextTimer();
        return refuse(Errc::StaleIncarnation, message, "from an earlier incarnation of the sender");
    }
    mergeRecords(now, message, actions);
    answer(now, message, actions);
    actions.wakeAt = prober_->nextTimer();
    return boost::outcome_v2::success();
}

void Membership::mergeRecords(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    const std::size_t changesBefore = actions.changes.size();
    bool isUrgent = table_->merge(now, message.sender, actions);
    for (const MemberRecord &record : message.records) {
        isUrgent = table_->merge(now, record, actions) || isUrgent;
    }
    if (message.kind == GossipKind::SyncRecords) {
        prober_->onSyncRecords(now, actions.changes.size() - changesBefore);
    }
    if (isUrgent) {
        prober_->notify(now, actions);
    }
    notifyFailures(now, changesBefore, actions);
}

// Callers are sent to a failed member until the other members know of the failure. Piggybacking on probes alone is too
// slow when many members fail at once.
void Membership::notifyFailures(TimePoint now, std::size_t changesBefore, MembershipActions &actions)
{
    const std::span<const MemberChange> changes = std::span(actions.changes).subspan(changesBefore);
    const bool hasFailure = std::any_of(changes.begin(), changes.end(), [](const MemberChange &change) {
        return change.state == MemberState::Suspect;
    });
    if (hasFailure) {
        prober_->notifyFailures(now, actions);
    }
}

void Membership::answer(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    std::optional<TimePoint> probedAt;
    switch (message.kind) {
    case GossipKind::Ping:
        prober_->onPing(now, message, actions);
        break;
    case GossipKind::Ack:
        probedAt = prober_->onAck(now, message, actions);
        break;
    case GossipKind::PingRequest:
        prober_->onPingRequest(now, message, actions);
        break;
    case GossipKind::SyncRequest:
        prober_->onSyncRequest(now, message, actions);
        break;
    case GossipKind::Notify:
    case GossipKind::SyncRecords:
        break;
    }
    actions.contacts.push_back({message.sender.daemon, message.status, probedAt});
}

void Membership::onTimer(TimePoint now, MembershipActions &actions)
{
    prober_->detectPause(now);
    const std::size_t changesBefore = actions.changes.size();
    prober_->onTimer(now, actions);
    notifyFailures(now, changesBefore, actions);
    actions.wakeAt = prober_->nextTimer();
}

void Membership::probeNow(TimePoint now, MembershipActions &actions)
{
    prober_->detectPause(now);
    prober_->probeNow(now, actions);
    actions.wakeAt = prober_->nextTimer();
}

void Membership::leave(TimePoint now, MembershipActions &actions)
{
    if (self().phase == MemberPhase::Leaving) {
        return;
    }
    table_->setSelf(MemberPhase::Leaving, MemberState::Alive);
    prober_->notify(now, actions);
}

void Membership::depart(TimePoint now, MembershipActions &actions)
{
    table_->setSelf(MemberPhase::Leaving, MemberState::Left);
    prober_->notify(now, actions);
}

void Membership::setPublished(TimePoint now, const VmList &list, MembershipActions &actions)
{
    table_->setPublished(now, list, actions);
    actions.wakeAt = prober_->nextTimer();
}

void Membership::setStatus(const ConfigStatus &status) noexcept
{
    prober_->setStatus(status);
}

std::vector<Member> Membership::members() const
{
    return table_->members();
}

std::size_t Membership::reachableCount() const noexcept
{
    return table_->reachableCount();
}

std::vector<DaemonId> Membership::randomPeers(std::size_t count)
{
    return prober_->randomPeers(count);
}

const MemberRecord &Membership::self() const noexcept
{
    return table_->self();
}

std::uint64_t Membership::suppressed() const noexcept
{
    return prober_->suppressed();
}

Error Membership::refuse(Errc reason, const GossipMessage &message, const char *detail)
{
    ++refusals_[reason];
    return Error{reason, Step::Gossip, peerAddress(message.sender.daemon).toString(), detail};
}

Membership::Builder &Membership::Builder::self(const MemberRecord &record)
{
    self_ = record;
    return *this;
}

Membership::Builder &Membership::Builder::seed(std::uint64_t seed) noexcept
{
    seed_ = seed;
    return *this;
}

Membership::Builder &Membership::Builder::limits(const MembershipLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

Membership Membership::Builder::build(TimePoint now) const
{
    Membership membership;
    membership.table_ = std::make_unique<detail::MemberTable>(now, self_, limits_);
    membership.prober_ = std::make_unique<detail::Prober>(now, *membership.table_, seed_, limits_);
    return membership;
}

} // namespace sassafrasvane
