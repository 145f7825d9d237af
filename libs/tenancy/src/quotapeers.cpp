#include "quotapeers.h"

#include <algorithm>
#include <cmath>

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
    isInParticipantList_ = false;
    for (const DaemonId daemon : participants) {
        if (daemon == self_) {
            isInParticipantList_ = true;
            continue;
        }
        QuotaPeer *peer = findOrAdd(now, daemon);
        if (peer != nullptr) {
            peer->isListed = true;
        }
    }
    const bool isConfirmed = !minoritySince_ || hasEstablishedPeers() || now - startedAt_ < startTime();
    isParticipant_ = isInParticipantList_ && (isParticipant_ || isConfirmed);
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
    VoterCount count = countVoters(now);
    judgeMajority(now, count);
    const bool acceptsList = !minoritySince_ || now - *minoritySince_ >= minorityRetention();
    if (isEstablished_ && acceptsList && adoptVoters(now)) {
        count = countVoters(now);
        judgeMajority(now, count);
    }
    countParticipants();
    computePart(now, count);
}

QuotaPeers::VoterCount QuotaPeers::countVoters(TimePoint now) const noexcept
{
    VoterCount count;
    const auto add = [this, now, &count](bool isHeard, TimePoint votesSince) {
        const bool isOld = !isEstablished_ || votesSince <= establishedAt_ || now - votesSince >= newVoterTime();
        ++count.voters;
        count.heard += isHeard ? 1 : 0;
        count.oldVoters += isOld ? 1 : 0;
        count.oldHeard += isOld && isHeard ? 1 : 0;
    };
    if (isSelfVoter_) {
        add(true, votesSince_);
    }
    for (const QuotaPeer &peer : peers_) {
        if (peer.isVoter) {
            add(peer.isHeard, peer.addedAt);
            count.excluded += !peer.isHeard && now - silentSince(peer) >= exclusionTime() ? 1 : 0;
        }
    }
    return count;
}

void QuotaPeers::judgeMajority(TimePoint now, const VoterCount &count)
{
    const bool isMajority = 2 * count.heard > count.voters && 2 * count.oldHeard > count.oldVoters;
    const double ownPart = count.voters == 0 ? 0 : static_cast<double>(count.heard) / static_cast<double>(count.voters);
    const bool isConsistent = isMajority && (isEstablished_ || partOfEstablishedPeers(now) > ownPart - partTolerance);
    consistentSince_ = isConsistent ? std::optional(consistentSince_.value_or(now)) : std::nullopt;
    if (!isEstablished_ && isConsistent && now - *consistentSince_ >= establishTime()) {
        isEstablished_ = true;
        establishedAt_ = now;
    }
    if (isMajority) {
        minoritySince_.reset();
    } else {
        minoritySince_ = minoritySince_.value_or(now);
        keepNewVotersNew(now);
    }
    if (!isMajority || !isEstablished_) {
        majoritySince_ = now;
    }
}

void QuotaPeers::keepNewVotersNew(TimePoint now) noexcept
{
    const auto isNew = [this, now](TimePoint since) { return since > establishedAt_ && now - since < newVoterTime(); };
    for (QuotaPeer &peer : peers_) {
        peer.addedAt = peer.isVoter && isNew(peer.addedAt) ? now : peer.addedAt;
    }
    votesSince_ = isNew(votesSince_) ? now : votesSince_;
}

void QuotaPeers::countParticipants() noexcept
{
    heardParticipants_ = isParticipant_ ? 1 : 0;
    participantCount_ = 1;
    for (const QuotaPeer &peer : peers_) {
        heardParticipants_ += peer.isSharing() ? 1 : 0;
        participantCount_
            = peer.isHeard ? std::max<std::size_t>(participantCount_, peer.participants) : participantCount_;
    }
    participantCount_ = std::max(participantCount_, heardParticipants_);
}

void QuotaPeers::computePart(TimePoint now, const VoterCount &count)
{
    const std::size_t counted = count.voters - count.excluded;
    part_ = counted == 0 ? 0 : static_cast<double>(count.heard) / static_cast<double>(counted);
    const bool hasAll = count.heard >= counted && counted > 0 && count.heard > 0;
    const bool isAlone = count.heard <= (isSelfVoter_ ? 1U : 0U);
    basis_ = hasAll ? QuotaBasis::Shared : isAlone ? QuotaBasis::Alone : QuotaBasis::Partial;
    if (minoritySince_) {
        const bool isLasting = now - *minoritySince_ >= minorityTime();
        part_ *= isLasting ? minorityShare() : earlyMinorityShare();
    }
    ownPart_ = part_;
    if (!isEstablished_ || basis_ == QuotaBasis::Partial) {
        part_ = std::min(part_, partOfEstablishedPeers(now));
    }
    if (!isParticipant_ && minoritySince_ && !hasEstablishedPeers()) {
        // This VM is none of those that the parts were computed for, and many such VMs may be alone at once.
        part_ = 0;
    }
    const double lost
        = static_cast<double>(count.excluded) / static_cast<double>(std::max<std::size_t>(1, count.voters));
    partOfOthers_ = 1 - part_ + minorityShare() * lost;
}

TimePoint QuotaPeers::silentSince(const QuotaPeer &peer) const noexcept
{
    return std::max({peer.addedAt, peer.heardAt, majoritySince_});
}

bool QuotaPeers::adoptVoters(TimePoint now)
{
    bool hasChanged = isSelfVoter_ != isParticipant_;
    votesSince_ = hasChanged ? now : votesSince_;
    isSelfVoter_ = isParticipant_;
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

double QuotaPeers::partOfEstablishedPeers(TimePoint now) const noexcept
{
    std::uint32_t least = wholeQuotaPermille;
    for (const QuotaPeer &peer : peers_) {
        // A VM that is back after a suspension reports a small part until it has heard the others.
        const bool counts
            = peer.isHeard && peer.partPermille > 0 && (!isEstablished_ || now - peer.resumedAt >= establishTime());
        least = counts ? std::min(least, peer.partPermille) : least;
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
    return isEstablished_ ? std::max(1U, static_cast<std::uint32_t>(std::floor(ownPart_ * wholeQuotaPermille))) : 0;
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

std::vector<DaemonId> QuotaPeers::recipients(TimePoint now, bool includesFollowers) const
{
    std::vector<DaemonId> daemons;
    for (const QuotaPeer &peer : peers_) {
        const bool isFollower = includesFollowers && peer.hasReported && now - peer.heardAt < answerTime();
        if (peer.isListed || isFollower) {
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
