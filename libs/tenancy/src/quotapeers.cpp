#include "quotapeers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasvane::detail
{

namespace
{

/// Length of a round while no other VM is heard.
constexpr Duration loneRoundLength = std::chrono::milliseconds(100);
/// Difference between two parts that is due to rounding to permille.
constexpr double partTolerance = 0.01;
/// Time for which a VM that is neither listed nor heard stays in memory.
constexpr Duration peerRetention = std::chrono::minutes(15);

} // namespace

QuotaPeers::QuotaPeers(TimePoint now, DaemonId self) noexcept
    : self_(self)
    , startedAt_(now)
    , minoritySince_(now)
    , majoritySince_(now)
    , updateAt_(now)
    , roundStartedAt_(now)
    , lastConfirmedAt_(now)
{
}

void QuotaPeers::setParticipants(TimePoint now, std::span<const DaemonId> participants)
{
    for (QuotaPeer &peer : peers_) {
        peer.isListed = false;
    }
    isInList_ = false;
    for (const DaemonId daemon : participants) {
        if (daemon == self_) {
            isInList_ = true;
            continue;
        }
        QuotaPeer *peer = findOrAdd(now, daemon);
        if (peer != nullptr) {
            peer->isListed = true;
        }
    }
    const bool isConfirmed = !minoritySince_ || hasEstablishedPeers() || now - startedAt_ < startTime();
    isSelfListed_ = isInList_ && (isSelfListed_ || isConfirmed);
    hasChanged_ = true;
}

QuotaPeer *QuotaPeers::onReport(TimePoint now, DaemonId daemon, const QuotaReport &report)
{
    QuotaPeer *peer = daemon == self_ ? nullptr : findOrAdd(now, daemon);
    if (peer == nullptr || (peer->run == report.run && report.sequence <= peer->sequence)) {
        return nullptr;
    }
    if (!peer->isHeard) {
        peer->resumedAt = now;
        hasChanged_ = true;
    }
    hasChanged_ = hasChanged_ || peer->partPermille != report.partPermille || peer->participants != report.participants;
    peer->run = report.run;
    peer->sequence = report.sequence;
    peer->partPermille = report.partPermille;
    peer->participants = report.participants;
    peer->isHeard = true;
    peer->hasReported = true;
    peer->heardAt = now;
    confirmRound(now);
    return peer;
}

bool QuotaPeers::update(TimePoint now)
{
    if (!hasChanged_ && now < updateAt_) {
        return false;
    }
    const double part = part_;
    const double partOfOthers = partOfOthers_;
    const std::size_t count = participantCount_;
    hasChanged_ = false;
    expire(now);
    compute(now);
    confirmRound(now);
    scheduleUpdate(now);
    return part != part_ || partOfOthers != partOfOthers_ || count != participantCount_;
}

void QuotaPeers::expire(TimePoint now)
{
    for (QuotaPeer &peer : peers_) {
        peer.isHeard = peer.isHeard && now - peer.heardAt < silenceTime();
    }
    std::erase_if(peers_, [now](const QuotaPeer &peer) {
        return !peer.isListed && !peer.isVoter && now - std::max(peer.addedAt, peer.heardAt) > peerRetention;
    });
}

void QuotaPeers::compute(TimePoint now)
{
    if (!isEstablished_) {
        adoptVoters(now);
    }
    std::size_t voters = isSelfVoter_ ? 1 : 0;
    std::size_t heard = voters;
    for (const QuotaPeer &peer : peers_) {
        voters += peer.isVoter ? 1 : 0;
        heard += peer.isVoter && peer.isHeard ? 1 : 0;
    }
    const bool isMajority = 2 * heard > voters;
    const double partOfPeers = isEstablished_ ? 1 : partOfEstablishedPeers();
    const double ownPart = voters == 0 ? 0 : static_cast<double>(heard) / static_cast<double>(voters);
    const bool isConsistent = isMajority && partOfPeers > ownPart - partTolerance;
    consistentSince_ = isConsistent ? std::optional(consistentSince_.value_or(now)) : std::nullopt;
    isEstablished_ = isEstablished_ || (isConsistent && now - *consistentSince_ >= establishTime());
    const std::optional<TimePoint> formerMinority = std::exchange(minoritySince_, std::nullopt);
    if (!isMajority) {
        minoritySince_ = formerMinority.value_or(now);
    }
    if (!isMajority || !isEstablished_) {
        majoritySince_ = now;
    }
    const bool acceptsList = isMajority || now - *minoritySince_ >= minorityRetention();
    if (isEstablished_ && acceptsList && adoptVoters(now)) {
        compute(now);
        return;
    }
    std::size_t excluded = 0;
    std::size_t sharing = isSelfListed_ ? 1 : 0;
    std::size_t most = 1;
    for (const QuotaPeer &peer : peers_) {
        const bool isLost = !peer.isHeard && now - silentSince(peer) >= exclusionTime();
        excluded += peer.isVoter && isLost ? 1 : 0;
        sharing += peer.isSharing() ? 1 : 0;
        most = peer.isHeard ? std::max<std::size_t>(most, peer.participants) : most;
    }
    heardParticipants_ = sharing;
    participantCount_ = std::max(most, sharing);
    const std::size_t counted = voters - excluded;
    part_ = counted == 0 ? 0 : static_cast<double>(heard) / static_cast<double>(counted);
    if (!isMajority) {
        const bool isLasting = now - *minoritySince_ >= minorityTime();
        part_ *= isLasting ? minorityShare() : earlyMinorityShare();
    }
    part_ = std::min(part_, partOfPeers);
    if (!isSelfListed_ && !isMajority && !hasEstablishedPeers()) {
        // This VM is none of those that the parts were computed for, and many such VMs may be alone at once.
        part_ = 0;
    }
    const double partOfExcluded
        = voters == 0 ? 0 : minorityShare() * static_cast<double>(excluded) / static_cast<double>(voters);
    partOfOthers_ = 1 - part_ + partOfExcluded;
    const bool hasAll = heard >= counted && part_ > 0;
    const bool isAlone = heard <= (isSelfVoter_ ? 1U : 0U);
    basis_ = hasAll ? QuotaBasis::Shared : isAlone ? QuotaBasis::Alone : QuotaBasis::Partial;
}

TimePoint QuotaPeers::silentSince(const QuotaPeer &peer) const noexcept
{
    return std::max({peer.addedAt, peer.heardAt, majoritySince_});
}

bool QuotaPeers::adoptVoters(TimePoint now)
{
    bool hasChanged = isSelfVoter_ != isSelfListed_;
    isSelfVoter_ = isSelfListed_;
    for (QuotaPeer &peer : peers_) {
        if (peer.isVoter != peer.isListed) {
            hasChanged = true;
            peer.isVoter = peer.isListed;
            peer.addedAt = now;
        }
    }
    return hasChanged;
}

bool QuotaPeers::hasEstablishedPeers() const noexcept
{
    return std::any_of(
        peers_.begin(), peers_.end(), [](const QuotaPeer &peer) { return peer.isHeard && peer.partPermille > 0; });
}

double QuotaPeers::partOfEstablishedPeers() const noexcept
{
    std::uint32_t least = wholeQuotaPermille;
    for (const QuotaPeer &peer : peers_) {
        least = peer.isHeard && peer.partPermille > 0 ? std::min(least, peer.partPermille) : least;
    }
    return static_cast<double>(least) / wholeQuotaPermille;
}

std::size_t QuotaPeers::rankOf(std::uint64_t key) const noexcept
{
    const std::uint64_t own = mix(key, self_.value);
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [key, own](const QuotaPeer &peer) {
        return peer.isSharing() && mix(key, peer.daemon.value) > own;
    }));
}

std::uint32_t QuotaPeers::partPermille() const noexcept
{
    return isEstablished_ ? std::max(1U, static_cast<std::uint32_t>(std::floor(part_ * wholeQuotaPermille))) : 0;
}

void QuotaPeers::confirmRound(TimePoint now)
{
    bool hasHeard = false;
    for (const QuotaPeer &peer : peers_) {
        if (peer.isSharing()) {
            hasHeard = true;
            if (peer.heardAt <= roundStartedAt_) {
                return;
            }
        }
    }
    if (hasHeard || now - roundStartedAt_ >= loneRoundLength) {
        lastConfirmedAt_ = hasHeard ? roundStartedAt_ : lastConfirmedAt_;
        roundStartedAt_ = now;
        ++round_;
    }
}

void QuotaPeers::scheduleUpdate(TimePoint now)
{
    updateAt_ = now + exclusionTime();
    const auto consider = [this, now](TimePoint at) { updateAt_ = at > now ? std::min(updateAt_, at) : updateAt_; };
    bool hasHeard = false;
    for (const QuotaPeer &peer : peers_) {
        hasHeard = hasHeard || peer.isHeard;
        consider(peer.isHeard ? peer.heardAt + silenceTime() : silentSince(peer) + exclusionTime());
    }
    if (!hasHeard) {
        consider(now + loneRoundLength);
    }
    if (consistentSince_) {
        consider(*consistentSince_ + establishTime());
    }
    if (minoritySince_) {
        consider(*minoritySince_ + minorityTime());
    }
}

std::vector<DaemonId> QuotaPeers::recipients(TimePoint now) const
{
    std::vector<DaemonId> daemons;
    for (const QuotaPeer &peer : peers_) {
        if (peer.isListed || (peer.hasReported && now - peer.heardAt < answerTime())) {
            daemons.push_back(peer.daemon);
        }
    }
    return daemons;
}

QuotaPeer *QuotaPeers::find(DaemonId daemon) noexcept
{
    const auto found
        = std::find_if(peers_.begin(), peers_.end(), [daemon](const QuotaPeer &peer) { return peer.daemon == daemon; });
    return found == peers_.end() ? nullptr : &*found;
}

QuotaPeer *QuotaPeers::findOrAdd(TimePoint now, DaemonId daemon)
{
    QuotaPeer *known = find(daemon);
    if (known != nullptr || peers_.size() >= TenantQuotas::maxPeers()) {
        return known;
    }
    QuotaPeer peer;
    peer.daemon = daemon;
    peer.addedAt = now;
    return &peers_.emplace_back(peer);
}

} // namespace sassafrasvane::detail
