#include "prober.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// A timer that is later than this means that the process or the machine was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(500);

constexpr unsigned maxSlowness = 2;

/// Probability that a round also probes an unreachable member.
constexpr double unreachableProbeProbability = 0.5;

/// Unreachable members probed in each round while no other member is reachable.
constexpr std::size_t probesWhenAlone = 3;

/// Maximum number of datagrams in the answer to one SyncRequest.
constexpr std::size_t maxSyncDatagrams = 4;

/// Minimum time between two comparisons of tables.
constexpr Duration minSyncInterval = std::chrono::milliseconds(500);

/// Tokens that synchronization messages leave for probes and acks.
constexpr double probeReserve = 2;
/// Tokens that immediate notifications of failures leave for probes and acks; hundreds may occur at once.
constexpr double failureReserve = 4;

} // namespace

Prober::Prober(TimePoint now, MemberTable &table, std::uint64_t seed, const MembershipLimits &limits)
    : table_(table)
    , limits_(limits)
    , random_(seed)
    , budget_(limits.messagesPerSecond, limits.messageBurst)
    , nextRound_(now + Duration(random_.below(static_cast<std::uint64_t>(limits.probePeriod.count()) / 2 + 1)))
    , nextSync_(now + minSyncInterval)
    , syncInterval_(minSyncInterval)
{
}

GossipMessage Prober::makeMessage(GossipKind kind, DaemonId receiver) const
{
    GossipMessage message;
    message.kind = kind;
    message.receiver = receiver;
    return message;
}

bool Prober::send(TimePoint now, GossipMessage message, MembershipActions &actions)
{
    const bool canWait = message.kind == GossipKind::SyncRequest || message.kind == GossipKind::SyncRecords;
    return send(now, std::move(message), canWait ? probeReserve : 0, actions);
}

bool Prober::send(TimePoint now, GossipMessage message, double reserve, MembershipActions &actions)
{
    if (!budget_.take(now, reserve)) {
        return false;
    }
    message.sender = table_.self();
    message.status = status_;
    if (message.records.empty() && message.kind != GossipKind::SyncRequest) {
        message.records = table_.takeUpdates(message.receiver);
    }
    actions.sends.push_back({message.receiver, std::move(message)});
    return true;
}

void Prober::detectPause(TimePoint now)
{
    const TimePoint expected = nextTimer();
    if (now < expected + pauseThreshold) {
        return;
    }
    probes_.clear();
    table_.postponeExpiry(now - expected);
    nextRound_ = now;
    slowness_ = std::min(slowness_ + 1, maxSlowness);
}

Duration Prober::probeTimeout() const noexcept
{
    return limits_.probePeriod * (1 + slowness_);
}

TimePoint Prober::nextTimer() const
{
    TimePoint next = std::min(nextRound_, nextSync_);
    for (const auto &[number, probe] : probes_) {
        const bool mayRetry = !probe.isIndirect && !probe.isTargetUnreachable && probe.requester.value == 0;
        next = std::min(next, probe.sentAt + (mayRetry ? limits_.directTimeout : probeTimeout()));
    }
    if (const std::optional<TimePoint> expiry = table_.nextExpiry()) {
        next = std::min(next, *expiry);
    }
    return next;
}

void Prober::onTimer(TimePoint now, MembershipActions &actions)
{
    checkProbes(now, actions);
    table_.expire(now, actions);
    if (now >= nextRound_) {
        startRound(now, actions);
    }
    if (now >= nextSync_) {
        synchronize(now, actions);
    }
}

void Prober::startRound(TimePoint now, MembershipActions &actions)
{
    // Jitter keeps the rounds of many daemons from synchronizing.
    const std::uint64_t period = static_cast<std::uint64_t>(limits_.probePeriod.count());
    nextRound_ = now + Duration(period * 9 / 10 + random_.below(period / 5 + 1));
    std::vector<DaemonId> targets;
    while (targets.size() < limits_.probesPerRound) {
        const std::optional<DaemonId> target = nextTarget();
        if (!target || std::find(targets.begin(), targets.end(), *target) != targets.end()) {
            break;
        }
        targets.push_back(*target);
        startProbe(now, *target, false, actions);
    }
    probeUnreachable(now, actions);
}

std::optional<DaemonId> Prober::nextTarget()
{
    if (const std::optional<DaemonId> reported = table_.takeReportedDead()) {
        return reported;
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!probeOrder_.empty()) {
            const DaemonId target = probeOrder_.back();
            probeOrder_.pop_back();
            const MemberRecord *record = table_.find(target);
            if (record != nullptr && (record->state == MemberState::Alive || record->state == MemberState::Suspect)) {
                return target;
            }
        }
        probeOrder_ = table_.reachable(true);
        for (std::size_t index = probeOrder_.size(); index > 1; --index) {
            std::swap(probeOrder_[index - 1], probeOrder_[random_.below(index)]);
        }
    }
    return std::nullopt;
}

void Prober::probeUnreachable(TimePoint now, MembershipActions &actions)
{
    const bool isAlone = table_.reachableCount() == 1;
    if (!isAlone && !random_.chance(unreachableProbeProbability)) {
        return;
    }
    std::vector<DaemonId> unreachable = table_.unreachable();
    for (std::size_t count = isAlone ? probesWhenAlone : 1; count > 0 && !unreachable.empty(); --count) {
        const std::size_t index = random_.below(unreachable.size());
        startProbe(now, unreachable[index], true, actions);
        unreachable.erase(unreachable.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Prober::startProbe(TimePoint now, DaemonId target, bool isTargetUnreachable, MembershipActions &actions)
{
    GossipMessage ping = makeMessage(GossipKind::Ping, target);
    ping.probe = ++lastProbe_;
    ping.target = target;
    // A probe that was not sent must not cause a suspicion of its target.
    if (send(now, std::move(ping), actions)) {
        Probe probe;
        probe.target = target;
        probe.sentAt = now;
        probe.isTargetUnreachable = isTargetUnreachable;
        probes_.emplace(lastProbe_, probe);
    }
}

void Prober::probeNow(TimePoint now, MembershipActions &actions)
{
    std::vector<DaemonId> targets = randomPeers(limits_.indirectProbes);
    for (const DaemonId target : targets) {
        startProbe(now, target, false, actions);
    }
    if (targets.empty()) {
        probeUnreachable(now, actions);
    }
}

void Prober::probeIndirectly(TimePoint now, std::uint64_t number, Probe &probe, MembershipActions &actions)
{
    probe.isIndirect = true;
    GossipMessage ping = makeMessage(GossipKind::Ping, probe.target);
    ping.probe = number;
    ping.target = probe.target;
    send(now, std::move(ping), actions);
    std::vector<DaemonId> helpers = randomPeers(limits_.indirectProbes + 1);
    std::erase(helpers, probe.target);
    helpers.resize(std::min(helpers.size(), limits_.indirectProbes));
    for (const DaemonId helper : helpers) {
        GossipMessage request = makeMessage(GossipKind::PingRequest, helper);
        request.probe = number;
        request.target = probe.target;
        send(now, std::move(request), actions);
    }
}

void Prober::checkProbes(TimePoint now, MembershipActions &actions)
{
    for (auto current = probes_.begin(); current != probes_.end();) {
        Probe &probe = current->second;
        if (now >= probe.sentAt + probeTimeout()) {
            if (!probe.isTargetUnreachable && probe.requester.value == 0) {
                table_.suspect(now, probe.target, actions);
            }
            current = probes_.erase(current);
            continue;
        }
        const bool mayRetry = !probe.isIndirect && !probe.isTargetUnreachable && probe.requester.value == 0;
        if (mayRetry && now >= probe.sentAt + limits_.directTimeout) {
            probeIndirectly(now, current->first, probe, actions);
        }
        ++current;
    }
}

void Prober::onPing(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    GossipMessage ack = makeMessage(GossipKind::Ack, message.sender.daemon);
    ack.probe = message.probe;
    ack.target = table_.self().daemon;
    send(now, std::move(ack), actions);
}

void Prober::onPingRequest(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    GossipMessage ping = makeMessage(GossipKind::Ping, message.target);
    ping.probe = ++lastProbe_;
    ping.target = message.target;
    if (send(now, std::move(ping), actions)) {
        Probe probe;
        probe.target = message.target;
        probe.sentAt = now;
        probe.requester = message.sender.daemon;
        probe.requesterProbe = message.probe;
        probes_.emplace(lastProbe_, probe);
    }
}

std::optional<TimePoint> Prober::onAck(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    const auto found = probes_.find(message.probe);
    if (found == probes_.end() || found->second.target != message.target) {
        return std::nullopt;
    }
    const Probe probe = found->second;
    probes_.erase(found);
    slowness_ -= slowness_ > 0 ? 1 : 0;
    if (probe.requester.value != 0) {
        GossipMessage ack = makeMessage(GossipKind::Ack, probe.requester);
        ack.probe = probe.requesterProbe;
        ack.target = probe.target;
        send(now, std::move(ack), actions);
    }
    return probe.sentAt;
}

void Prober::synchronize(TimePoint now, MembershipActions &actions)
{
    nextSync_ = now + syncInterval_ + Duration(random_.below(static_cast<std::uint64_t>(minSyncInterval.count())));
    syncInterval_ = std::min(syncInterval_ * 2, limits_.maxSyncInterval);
    const std::vector<DaemonId> peers = randomPeers(1);
    if (peers.empty()) {
        return;
    }
    GossipMessage request = makeMessage(GossipKind::SyncRequest, peers.front());
    const std::span<const std::uint32_t> digest = table_.digest();
    request.digest.assign(digest.begin(), digest.end());
    send(now, std::move(request), actions);
}

void Prober::onSyncRequest(TimePoint now, const GossipMessage &message, MembershipActions &actions)
{
    const std::vector<MemberRecord> records = table_.differingRecords(message.digest, random_.below(digestBuckets));
    const std::size_t count = std::min(records.size(), maxSyncDatagrams * maxRecordsPerMessage);
    for (std::size_t first = 0; first < count; first += maxRecordsPerMessage) {
        GossipMessage reply = makeMessage(GossipKind::SyncRecords, message.sender.daemon);
        const std::size_t last = std::min(first + maxRecordsPerMessage, count);
        reply.records.assign(records.begin() + static_cast<std::ptrdiff_t>(first),
                             records.begin() + static_cast<std::ptrdiff_t>(last));
        send(now, std::move(reply), actions);
    }
}

void Prober::onSyncRecords(TimePoint now, std::size_t learned)
{
    if (learned == 0) {
        return;
    }
    syncInterval_ = minSyncInterval;
    nextSync_ = std::min(nextSync_, now + minSyncInterval);
}

void Prober::notify(TimePoint now, MembershipActions &actions)
{
    notify(now, 0, actions);
}

void Prober::notifyFailures(TimePoint now, MembershipActions &actions)
{
    notify(now, failureReserve, actions);
}

void Prober::notify(TimePoint now, double reserve, MembershipActions &actions)
{
    for (const DaemonId peer : randomPeers(limits_.notifyFanout)) {
        send(now, makeMessage(GossipKind::Notify, peer), reserve, actions);
    }
}

void Prober::informStaleSender(TimePoint now, DaemonId receiver, MembershipActions &actions)
{
    GossipMessage notice = makeMessage(GossipKind::Notify, receiver);
    if (const MemberRecord *record = table_.find(receiver)) {
        notice.records.push_back(*record);
    }
    send(now, std::move(notice), actions);
}

std::vector<DaemonId> Prober::randomPeers(std::size_t count)
{
    std::vector<DaemonId> peers = table_.reachable(false);
    const std::size_t wanted = std::min(count, peers.size());
    for (std::size_t index = 0; index < wanted; ++index) {
        std::swap(peers[index], peers[index + random_.below(peers.size() - index)]);
    }
    peers.resize(wanted);
    return peers;
}

} // namespace sassafrasvane::detail
