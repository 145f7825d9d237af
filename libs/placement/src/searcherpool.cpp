#include "placement/searcherpool.h"

#include "fleetsize.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafrasvane
{

namespace
{

using detail::minFleetSize;

/// Shares of the retry limits over all entry VMs that are handed out to the VMs.
constexpr double usableSlackShare = 0.7;
constexpr double usableRatioShare = 0.85;
/// Connections of a searcher that are reserved for clients other than entry VMs.
constexpr std::uint32_t reservedConnections = 2;
/// Maximum number of calls of all entry VMs at a searcher, per slot. More calls would only queue there.
constexpr std::size_t maxCallsPerSlot = 3;
/// Every process may have this many open calls at a searcher, unless its connection limit is lower.
constexpr std::size_t minCallLimit = 2;
/// Call rate that all entry VMs together may send to a searcher with a long queue, as a multiple of its service rate.
/// It is above 1 because not every entry VM uses its share all the time.
constexpr double turnOvercommitFactor = 1.25;
/// A queue is long if the wait in it exceeds this share of CallParameters::maxWait.
constexpr double longQueueWaitShare = 0.35;
/// Share of the rate limit of a cold searcher that its owner VM uses. It is below one half because two VMs may each
/// consider themselves the owner for a short time.
constexpr double usableColdRateShare = 0.45;
/// Range of the random cost factor, which keeps entry VMs from choosing the same searcher at the same time.
constexpr double costJitter = 0.3;

double retryBurst(const PoolBounds &bounds, std::size_t fleet)
{
    return bounds.retrySlack * usableSlackShare / static_cast<double>(std::max(fleet, minFleetSize));
}

bool contains(std::span<const std::shared_ptr<TrackedSearcher>> searchers,
              const std::shared_ptr<TrackedSearcher> &searcher)
{
    return std::find(searchers.begin(), searchers.end(), searcher) != searchers.end();
}

} // namespace

const char *name(PlacementFailure reason) noexcept
{
    constexpr std::array<const char *, 4> names{"none", "unknown", "blocked", "saturated"};
    return names.at(static_cast<std::size_t>(reason));
}

BackendPool::BackendPool(std::string name, const RetryBudget &budget) : name_(std::move(name)), budget_(budget)
{
}

SearcherPool::SearcherPool(std::string self, std::string failureDomain, const PoolBounds &bounds, std::uint64_t seed)
    : self_(std::move(self))
    , failureDomain_(std::move(failureDomain))
    , bounds_(bounds)
    , random_(seed)
    , fleet_{{self_}, 1, 1}
    , callers_{self_}
{
}

void SearcherPool::put(TimePoint now, const SearcherEntry &entry)
{
    const std::shared_ptr<TrackedSearcher> known = find(entry.instance);
    const bool isSameProcess = known && known->entry().startedAtMs == entry.startedAtMs
        && known->entry().address == entry.address && known->entry().backend == entry.backend;
    if (isSameProcess) {
        known->update(now, entry);
        return;
    }
    remove(entry.instance);
    const std::shared_ptr<TrackedSearcher> searcher
        = std::make_shared<TrackedSearcher>(now, entry, retained_.take(entry));
    searchers_[entry.instance] = searcher;
    updateLimitShare(now, *searcher);
    backend(entry.backend).searchers_.push_back(searcher);
}

void SearcherPool::remove(std::string_view instance)
{
    const std::shared_ptr<TrackedSearcher> known = find(instance);
    if (!known) {
        return;
    }
    std::vector<std::shared_ptr<TrackedSearcher>> &siblings = backend(known->entry().backend).searchers_;
    siblings.erase(std::remove(siblings.begin(), siblings.end(), known), siblings.end());
    retained_.keep(known->entry(), known->incarnationState());
    searchers_.erase(known->entry().instance);
}

void SearcherPool::setBackendLimits(const std::vector<BackendLimits> &limits)
{
    for (const BackendLimits &backendLimits : limits) {
        backend(backendLimits.name).limits_ = backendLimits;
    }
}

bool SearcherPool::setExcludedDomains(const std::set<std::string> &domains)
{
    if (excludedDomains_ == domains) {
        return false;
    }
    excludedDomains_ = domains;
    return true;
}

void SearcherPool::setFleet(TimePoint now, const Fleet &fleet)
{
    if (fleet_ == fleet) {
        return;
    }
    fleet_ = fleet;
    callers_ = fleet.sharers;
    callers_.insert(self_);
    updateBudgets();
    for (const auto &[instance, searcher] : searchers_) {
        if (searcher->isLimited(now)) {
            updateLimitShare(now, *searcher);
        }
    }
}

void SearcherPool::setBounds(const PoolBounds &bounds)
{
    bounds_ = bounds;
    updateBudgets();
}

void SearcherPool::updateBudgets()
{
    for (const auto &[name, pool] : backends_) {
        pool->budget_.setLimits(bounds_.retryRatio * usableRatioShare, retryBurst(bounds_, callers_.size()));
    }
}

BackendPool &SearcherPool::backend(std::string_view name)
{
    const auto known = backends_.find(name);
    if (known != backends_.end()) {
        return *known->second;
    }
    const RetryBudget budget(bounds_.retryRatio * usableRatioShare, retryBurst(bounds_, callers_.size()));
    std::unique_ptr<BackendPool> pool = std::make_unique<BackendPool>(std::string(name), budget);
    return *backends_.emplace(std::string(name), std::move(pool)).first->second;
}

Choice SearcherPool::choose(TimePoint now,
                            BackendPool &backend,
                            std::span<const std::shared_ptr<TrackedSearcher>> tried,
                            const CallParameters &parameters)
{
    candidates_.clear();
    candidateSearchers_.clear();
    PlacementFailure reason = PlacementFailure::Unknown;
    for (const std::shared_ptr<TrackedSearcher> &searcher : backend.searchers_) {
        if (!isUsable(*searcher) || contains(tried, searcher)) {
            continue;
        }
        if (searcher->incarnationState()->recovery.advance(now)) {
            updateLimitShare(now, *searcher);
        }
        if (!isAvailable(now, *searcher)) {
            reason = std::max(reason, PlacementFailure::Blocked);
            continue;
        }
        if (!hasRoom(now, *searcher, backend.limits_, parameters)) {
            reason = PlacementFailure::Saturated;
            continue;
        }
        candidates_.push_back(candidate(now, *searcher, parameters));
        candidateSearchers_.push_back(searcher);
    }
    // Retries and hedges go wherever they are answered soonest.
    const bool isFirst = tried.empty() && !parameters.isHedge;
    const std::optional<Duration> timeLeft = isFirst ? parameters.timeLeft : std::nullopt;
    const std::optional<ReplicaChoice> choice = chooseReplica(candidates_, timeLeft, timeLeft ? random_.unit() : 0);
    if (!choice) {
        return {nullptr, reason};
    }
    const std::shared_ptr<TrackedSearcher> best = std::move(candidateSearchers_[choice->index]);
    candidateSearchers_.clear();
    recordChoice(now, backend, *best, parameters);
    return {best, PlacementFailure::None, choice->reason, candidates_[choice->index].isLocal};
}

ReplicaCandidate SearcherPool::candidate(TimePoint now,
                                         const TrackedSearcher &searcher,
                                         const CallParameters &parameters)
{
    ReplicaCandidate candidate;
    const TrackedSearcher::Expectation expectation = searcher.expectation(now);
    candidate.cost = expectation.cost * (1 + costJitter * random_.unit());
    candidate.expectedTime = shareOf(parameters.typicalDuration, expectation.steadyTime);
    candidate.failureShare = searcher.failureShare(now);
    candidate.isLocal = searcher.entry().failureDomain == failureDomain_;
    candidate.isSound
        = !searcher.isCold(now) && !expectation.isOverdue && !searcher.isLimited(now) && searcher.failuresInRow() == 0;
    return candidate;
}

void SearcherPool::recordChoice(TimePoint now,
                                BackendPool &backend,
                                TrackedSearcher &searcher,
                                const CallParameters &parameters) const
{
    backend.lastChosenAt_ = now;
    if (searcher.isCold(now) && backend.limits_.coldCallsPerSecond > 0) {
        const double rate = backend.limits_.coldCallsPerSecond * bounds_.coldFactor + bounds_.coldSlack;
        searcher.incarnationState()->nextColdCallAt = now + fromMilliseconds(1'000 / (rate * usableColdRateShare));
    }
    searcher.takeTurn(now, turnInterval(now, searcher, parameters));
    if (searcher.isLimited(now)) {
        searcher.statedLimit().countCall();
        searcher.pacedShare().onCall(now);
    }
}

Room SearcherPool::room(TimePoint now,
                        const BackendPool &backend,
                        const CallParameters &parameters,
                        bool hasWaitingCalls) const
{
    Room room = Room::None;
    for (const std::shared_ptr<TrackedSearcher> &searcher : backend.searchers_) {
        if (!isUsable(*searcher) || !isAvailable(now, *searcher)) {
            continue;
        }
        room = std::min(room, roomAt(now, *searcher, backend.limits_, parameters, hasWaitingCalls));
    }
    return room;
}

Room SearcherPool::roomAt(TimePoint now,
                          const TrackedSearcher &searcher,
                          const BackendLimits &limits,
                          const CallParameters &parameters,
                          bool hasWaitingCalls) const
{
    if (searcher.isLimited(now) && (hasWaitingCalls || !searcher.isWithinLimit(now))) {
        return roomWithinLimit(now, searcher, parameters, hasWaitingCalls);
    }
    const bool isQueueLong = hasLongQueue(now, searcher, parameters);
    if (!hasWaitingCalls && hasRoom(now, searcher, limits, parameters)) {
        return isQueueLong ? Room::Turn : Room::Now;
    }
    if (isCongested(now, searcher, parameters)) {
        return Room::None;
    }
    if (!isQueueLong) {
        return Room::Soon;
    }
    const bool hasTurnSoon = !hasWaitingCalls && searcher.hasTurn(now + parameters.maxWait);
    return hasTurnSoon ? Room::NextTurn : Room::None;
}

// Waiting calls use up what is left of the limit.
Room SearcherPool::roomWithinLimit(TimePoint now,
                                   const TrackedSearcher &searcher,
                                   const CallParameters &parameters,
                                   bool hasWaitingCalls)
{
    const bool hasCallSoon = !hasWaitingCalls && searcher.pacedShare().nextCallAt(now) <= now + parameters.maxWait;
    return hasCallSoon ? Room::NextTurn : Room::None;
}

std::optional<TimePoint> SearcherPool::askedToWaitUntil(TimePoint now,
                                                        const BackendPool &backend,
                                                        std::span<const std::shared_ptr<TrackedSearcher>> tried) const
{
    std::optional<TimePoint> until;
    for (const std::shared_ptr<TrackedSearcher> &searcher : backend.searchers_) {
        if (!isUsable(*searcher) || !isReachable(now, *searcher) || contains(tried, searcher)) {
            continue;
        }
        const TimePoint resumesAt = std::max(now, searcher->incarnationState()->pause.endsAt());
        const TimePoint callAt
            = searcher->isLimited(resumesAt) ? searcher->pacedShare().nextCallAt(resumesAt) : resumesAt;
        if (callAt <= now) {
            return std::nullopt;
        }
        until = std::min(until.value_or(TimePoint::max()), callAt);
    }
    return until;
}

bool SearcherPool::hasRoom(TimePoint now,
                           const TrackedSearcher &searcher,
                           const BackendLimits &limits,
                           const CallParameters &parameters) const
{
    const bool mayQueue = searcher.hasTurn(now) && !parameters.isHedge;
    // The limit is left to first calls and retries while they need all of it.
    if (!searcher.isWithinLimit(now) || (parameters.isHedge && !searcher.hasSpareCalls(now))) {
        return false;
    }
    return !isCongested(now, searcher, parameters) && (mayQueue || !hasLongQueue(now, searcher, parameters))
        && searcher.openCalls() < callLimit(searcher, limits) && mayCallCold(now, searcher, limits);
}

bool SearcherPool::isCongested(TimePoint now, const TrackedSearcher &searcher, const CallParameters &parameters)
{
    const double expected = searcher.relativeReportedTime(now) * toMilliseconds(parameters.typicalDuration);
    return searcher.openCalls() > 0 && expected > toMilliseconds(parameters.maxWait);
}

// True if calls wait in the queue of the searcher for a substantial share of the time that they have.
bool SearcherPool::hasLongQueue(TimePoint now, const TrackedSearcher &searcher, const CallParameters &parameters)
{
    const double wait = searcher.relativeQueueWait(now) * toMilliseconds(parameters.typicalDuration);
    return wait > longQueueWaitShare * toMilliseconds(parameters.maxWait);
}

// Interval between two calls of this process to a searcher with a long queue: the process gets an equal share of the
// rate that the searcher sustains.
Duration SearcherPool::turnInterval(TimePoint now,
                                    const TrackedSearcher &searcher,
                                    const CallParameters &parameters) const
{
    const double slots = std::max<double>(1, searcher.entry().slots);
    return shareOf(parameters.typicalDuration,
                   searcher.relativeServiceTime(now)
                       * static_cast<double>(std::max<std::size_t>(1, fleet_.advertisedCount))
                       / (slots * turnOvercommitFactor));
}

bool SearcherPool::hasAvailableSearcher(TimePoint now, const BackendPool &backend) const
{
    return std::any_of(backend.searchers_.begin(),
                       backend.searchers_.end(),
                       [this, now](const std::shared_ptr<TrackedSearcher> &searcher) {
                           return isUsable(*searcher) && isAvailable(now, *searcher);
                       });
}

bool SearcherPool::isUsable(const TrackedSearcher &searcher) const
{
    return !searcher.isLeaving() && !excludedDomains_.contains(searcher.entry().failureDomain);
}

bool SearcherPool::isReachable(TimePoint now, const TrackedSearcher &searcher)
{
    return !searcher.isBlocked(now) && !searcher.isUnreachable();
}

bool SearcherPool::isAvailable(TimePoint now, const TrackedSearcher &searcher)
{
    return isReachable(now, searcher) && !searcher.isPaused(now);
}

std::vector<std::shared_ptr<TrackedSearcher>> SearcherPool::reconnectCandidates(TimePoint now) const
{
    return usableWhere(
        [now](const TrackedSearcher &searcher) { return searcher.isUnreachable() && !searcher.isBlocked(now); });
}

std::vector<std::shared_ptr<TrackedSearcher>> SearcherPool::available(TimePoint now) const
{
    return usableWhere([now](const TrackedSearcher &searcher) { return isAvailable(now, searcher); });
}

std::vector<std::shared_ptr<TrackedSearcher>> SearcherPool::usableWhere(
    const std::function<bool(const TrackedSearcher &searcher)> &isListed) const
{
    std::vector<std::shared_ptr<TrackedSearcher>> found;
    for (const auto &[instance, searcher] : searchers_) {
        if (isUsable(*searcher) && isListed(*searcher)) {
            found.push_back(searcher);
        }
    }
    return found;
}

bool SearcherPool::mayCallCold(TimePoint now, const TrackedSearcher &searcher, const BackendLimits &limits) const
{
    if (!searcher.isCold(now) || limits.coldCallsPerSecond <= 0) {
        return true;
    }
    // Each VM that knows only itself would be the owner.
    if (fleet_.isIsolated) {
        return false;
    }
    const std::uint64_t key = hashBytes(searcher.entry().instance);
    const std::set<std::string>::const_iterator owner
        = std::max_element(callers_.begin(), callers_.end(), [key](const std::string &left, const std::string &right) {
              return mix(key, hashBytes(left)) < mix(key, hashBytes(right));
          });
    return *owner == self_ && now >= searcher.incarnationState()->nextColdCallAt;
}

std::size_t SearcherPool::connectionLimit(const TrackedSearcher &searcher) const
{
    const auto pool = backends_.find(searcher.entry().backend);
    return connectionLimit(pool == backends_.end() ? BackendLimits() : pool->second->limits_);
}

std::size_t SearcherPool::connectionLimit(const BackendLimits &limits) const
{
    const std::uint32_t connections = limits.maxConnections;
    const std::uint32_t shared = connections > reservedConnections ? connections - reservedConnections : 1;
    return std::max<std::size_t>(1, shared / std::max(callers_.size(), minFleetSize));
}

std::size_t SearcherPool::callLimit(const TrackedSearcher &searcher, const BackendLimits &limits) const
{
    const std::size_t fleet = std::max(callers_.size(), minFleetSize);
    const std::size_t shared = (searcher.entry().slots * maxCallsPerSlot + fleet - 1) / fleet;
    return std::min(connectionLimit(limits), std::max(minCallLimit, shared));
}

SelfReportChanges SearcherPool::applySelfReport(TimePoint now,
                                                TrackedSearcher &searcher,
                                                TimePoint sentAt,
                                                const SelfReport &report,
                                                bool hasRun)
{
    IncarnationState &state = *searcher.incarnationState();
    SelfReportChanges changes;
    changes.hasBegunToLeave = report.isLeaving && !std::exchange(state.isLeaving, true);
    changes.pause = state.pause.apply(now, report, report.pause ? random_.unit() : 0);
    const double limitBefore = state.statedLimit.callsPerSecond();
    changes.limit = state.statedLimit.apply(now, sentAt, report, hasRun);
    if (changes.limit == LimitChange::Ended) {
        state.recovery.start(now, limitBefore);
    } else if (changes.limit == LimitChange::Stated) {
        state.recovery.cancel();
    }
    if (changes.limit != LimitChange::None) {
        updateLimitShare(now, searcher);
    }
    return changes;
}

void SearcherPool::updateLimitShare(TimePoint now, TrackedSearcher &searcher)
{
    const StatedLimit &limit = searcher.statedLimit();
    if (!searcher.isLimited(now)) {
        searcher.pacedShare().clear();
        return;
    }
    const double rate
        = limit.isInForce() ? limit.callsPerSecond() : searcher.incarnationState()->recovery.callsPerSecond();
    searcher.pacedShare().setShare(now, limitShare(rate, searcher.entry().instance, self_, fleet_), random_.unit());
}

std::vector<std::shared_ptr<TrackedSearcher>> SearcherPool::limitedSearchers() const
{
    std::vector<std::shared_ptr<TrackedSearcher>> limited;
    for (const auto &[instance, searcher] : searchers_) {
        if (searcher->statedLimit().isInForce()) {
            limited.push_back(searcher);
        }
    }
    return limited;
}

std::size_t SearcherPool::countWhere(const std::function<bool(const TrackedSearcher &searcher)> &isCounted) const
{
    return static_cast<std::size_t>(std::count_if(
        searchers_.begin(), searchers_.end(), [&isCounted](const auto &entry) { return isCounted(*entry.second); }));
}

std::size_t SearcherPool::leavingCount() const
{
    return countWhere([](const TrackedSearcher &searcher) { return searcher.isLeaving(); });
}

std::size_t SearcherPool::pausedCount(TimePoint now) const
{
    return countWhere([now](const TrackedSearcher &searcher) { return searcher.isPaused(now); });
}

std::set<std::string> SearcherPool::domainsOf(std::string_view name) const
{
    std::set<std::string> domains;
    const auto known = backends_.find(name);
    if (known != backends_.end()) {
        for (const std::shared_ptr<TrackedSearcher> &searcher : known->second->searchers_) {
            domains.insert(searcher->entry().failureDomain);
        }
    }
    return domains;
}

bool SearcherPool::isRegistered(const TrackedSearcher &searcher) const
{
    return find(searcher.entry().instance).get() == &searcher;
}

std::shared_ptr<TrackedSearcher> SearcherPool::find(std::string_view instance) const
{
    const auto known = searchers_.find(std::string(instance));
    return known == searchers_.end() ? nullptr : known->second;
}

} // namespace sassafrasvane
