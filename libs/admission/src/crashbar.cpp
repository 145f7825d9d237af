#include "admission/crashbar.h"

#include "base/random.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Maximum number of events per fingerprint. Weak ones are dropped first, as they never bar a request.
constexpr std::size_t maxEvents = 8;
/// Capacity of the cache of successful fingerprints; it takes 64 KiB.
constexpr std::size_t maxSuccesses = 4096;
/// If at least this many servers are lost within lossWindow, no single request is the likely cause.
constexpr std::size_t minServersOfMassLoss = 3;
constexpr Duration lossWindow = 1s;
/// Weight of a strong event; a weak one weighs 1. Fingerprints with the lowest total weight are dropped first. It
/// exceeds maxEvents, so that weak events alone never reach the weight of a strong one.
constexpr std::uint32_t strongWeight = 16;

} // namespace

CrashBar::CrashBar(std::uint64_t seed) : seed_(seed), successes_(maxSuccesses)
{
}

CrashVerdict CrashBar::check(TimePoint now, Fingerprint fingerprint) const noexcept
{
    const auto found = suspects_.find(fingerprint);
    const std::uint32_t evidence = found == suspects_.end() ? 0 : evidenceWeight(now, found->second);
    if (evidence >= strongCrashesToBar() * strongWeight) {
        return CrashVerdict::Barred;
    }
    if (evidence > 0) {
        return now < found->second.lastCrash + suspectPause() ? CrashVerdict::Wait : CrashVerdict::Suspect;
    }
    return successes_.contains(now, fingerprint) ? CrashVerdict::Run : CrashVerdict::ProbeFirst;
}

bool CrashBar::mayRunAlongside(TimePoint now,
                               Fingerprint fingerprint,
                               std::span<const Fingerprint> running) const noexcept
{
    if (!isSuspect(now, fingerprint)) {
        return true;
    }
    return std::none_of(running.begin(), running.end(), [this, now, fingerprint](Fingerprint other) {
        return other != fingerprint && isSuspect(now, other);
    });
}

std::optional<SearcherId> CrashBar::probeServer(Fingerprint fingerprint,
                                                std::span<const SearcherId> candidates) noexcept
{
    std::optional<SearcherId> best;
    std::uint64_t bestHash = 0;
    for (const SearcherId candidate : candidates) {
        const std::uint64_t hash = mix(fingerprint.value, candidate.value);
        if (!best || hash > bestHash) {
            best = candidate;
            bestHash = hash;
        }
    }
    return best;
}

void CrashBar::onServerLost(TimePoint now, SearcherId searcher, std::span<const Fingerprint> running)
{
    std::vector<Fingerprint> all(running.begin(), running.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    const auto isUnproven
        = [this, now](Fingerprint fingerprint) { return check(now, fingerprint) != CrashVerdict::Run; };
    const auto isSuspected = [this, now](Fingerprint fingerprint) { return isSuspect(now, fingerprint); };
    // The likely causes are the suspects or, if there are none, the requests without a known success.
    std::vector<Fingerprint> causes;
    std::copy_if(all.begin(), all.end(), std::back_inserter(causes), isSuspected);
    if (causes.empty()) {
        std::copy_if(all.begin(), all.end(), std::back_inserter(causes), isUnproven);
    }
    const bool isOneServer = !hasLostManyServers(now, searcher);
    const bool hasOneCause = isOneServer && causes.size() == 1;
    for (const Fingerprint fingerprint : all) {
        record(now, fingerprint, hasOneCause && fingerprint == causes.front());
    }
    evictSuspects(now);
}

std::vector<CrashEntry> CrashBar::onRequestLost(TimePoint now,
                                                Fingerprint fingerprint,
                                                std::uint32_t servers,
                                                TimePoint lostAt)
{
    const std::uint64_t versionBefore = version_;
    const bool isStrong = !successes_.contains(now, fingerprint) || hasEarlierCrash(fingerprint, lostAt);
    Suspect &suspect = suspects_[fingerprint];
    suspect.lastCrash = lostAt;
    for (std::uint32_t server = 0; server < std::min(servers, strongCrashesToBar()); ++server) {
        mergeEvent(suspect, {mix(seed_, ++eventCount_), isStrong, false, lostAt + entryLifetime(), 0});
    }
    evictSuspects(now);
    return changes(now, versionBefore);
}

void CrashBar::onSuccess(TimePoint now, Fingerprint fingerprint) noexcept
{
    successes_.add(fingerprint, now + successLifetime());
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return;
    }
    for (Event &event : found->second.events) {
        if (!event.isCleared) {
            event.isCleared = true;
            event.version = ++version_;
        }
    }
}

std::vector<CrashEntry> CrashBar::changes(TimePoint now, std::uint64_t since) const
{
    std::vector<CrashEntry> changed;
    for (const auto &[fingerprint, suspect] : suspects_) {
        for (const Event &event : suspect.events) {
            if (event.version > since && now < event.expiresAt) {
                changed.push_back({fingerprint, event.id, event.isStrong, event.isCleared, event.expiresAt - now});
            }
        }
    }
    return changed;
}

bool CrashBar::merge(TimePoint now, std::span<const CrashEntry> entries)
{
    bool isChanged = false;
    for (const CrashEntry &entry : entries) {
        if (entry.timeLeft <= Duration{0}) {
            continue;
        }
        const TimePoint expiresAt = now + std::min(entry.timeLeft, entryLifetime());
        const Event event{entry.event, entry.isStrong, entry.isCleared, expiresAt, 0};
        isChanged = mergeEvent(suspects_[entry.fingerprint], event) || isChanged;
    }
    evictSuspects(now);
    return isChanged;
}

void CrashBar::onTimer(TimePoint now)
{
    for (auto &[fingerprint, suspect] : suspects_) {
        std::erase_if(suspect.events, [now](const Event &event) { return event.expiresAt <= now; });
    }
    std::erase_if(suspects_, [](const auto &item) { return item.second.events.empty(); });
    std::erase_if(losses_, [now](const Loss &loss) { return now - loss.at >= lossWindow; });
}

std::uint32_t CrashBar::evidenceWeight(TimePoint now, const Suspect &suspect) const noexcept
{
    std::uint32_t sum = 0;
    for (const Event &event : suspect.events) {
        if (!event.isCleared && now < event.expiresAt) {
            sum += event.isStrong ? strongWeight : 1;
        }
    }
    return sum;
}

// A success clears all events, so the request has had none since those that remain. Servers that are lost within
// suspectPause() may have been lost together.
bool CrashBar::hasEarlierCrash(Fingerprint fingerprint, TimePoint lostAt) const noexcept
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return false;
    }
    const std::vector<Event> &events = found->second.events;
    return std::any_of(events.begin(), events.end(), [lostAt](const Event &event) {
        return !event.isCleared && lostAt < event.expiresAt
            && event.expiresAt - entryLifetime() + suspectPause() <= lostAt;
    });
}

bool CrashBar::isSuspect(TimePoint now, Fingerprint fingerprint) const noexcept
{
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() && evidenceWeight(now, found->second) > 0;
}

bool CrashBar::hasLostManyServers(TimePoint now, SearcherId searcher)
{
    std::erase_if(losses_, [now, searcher](const Loss &loss) {
        return now - loss.at >= lossWindow || loss.searcher == searcher;
    });
    losses_.push_back({searcher, now});
    return losses_.size() >= minServersOfMassLoss;
}

void CrashBar::record(TimePoint now, Fingerprint fingerprint, bool isStrong)
{
    Suspect &suspect = suspects_[fingerprint];
    const bool isSameCrash = !suspect.events.empty() && now < suspect.lastCrash + suspectPause();
    if (isSameCrash) {
        return;
    }
    suspect.lastCrash = now;
    mergeEvent(suspect, {mix(seed_, ++eventCount_), isStrong, false, now + entryLifetime(), 0});
}

// Forms the union of both sets by id. The flags of the same event are combined by "or", its expiry is the earlier one.
// These operations are commutative, associative and idempotent, so the order and repetition of merges do not matter.
bool CrashBar::mergeEvent(Suspect &suspect, const Event &event)
{
    const auto place = std::lower_bound(suspect.events.begin(),
                                        suspect.events.end(),
                                        event.id,
                                        [](const Event &left, std::uint64_t id) { return left.id < id; });
    if (place == suspect.events.end() || place->id != event.id) {
        suspect.events.insert(place, event)->version = ++version_;
        dropWeakestEvent(suspect);
        return true;
    }
    const bool isChanged = (event.isCleared && !place->isCleared) || (event.isStrong && !place->isStrong);
    place->isCleared = place->isCleared || event.isCleared;
    place->isStrong = place->isStrong || event.isStrong;
    place->expiresAt = std::min(place->expiresAt, event.expiresAt);
    if (isChanged) {
        place->version = ++version_;
    }
    return isChanged;
}

void CrashBar::dropWeakestEvent(Suspect &suspect)
{
    if (suspect.events.size() <= maxEvents) {
        return;
    }
    const auto rank = [](const Event &event) { return (event.isStrong ? 2 : 0) + (event.isCleared ? 0 : 1); };
    const auto weakest
        = std::min_element(suspect.events.begin(), suspect.events.end(), [rank](const Event &left, const Event &right) {
              return rank(left) != rank(right) ? rank(left) < rank(right) : left.id > right.id;
          });
    suspect.events.erase(weakest);
}

void CrashBar::evictSuspects(TimePoint now)
{
    if (suspects_.size() <= maxSuspects()) {
        return;
    }
    onTimer(now);
    while (suspects_.size() > maxSuspects()) {
        const auto weakest
            = std::min_element(suspects_.begin(), suspects_.end(), [this, now](const auto &left, const auto &right) {
                  const std::uint32_t leftWeight = evidenceWeight(now, left.second);
                  const std::uint32_t rightWeight = evidenceWeight(now, right.second);
                  return leftWeight != rightWeight ? leftWeight < rightWeight : left.first < right.first;
              });
        suspects_.erase(weakest);
    }
}

} // namespace sassafrasvane
