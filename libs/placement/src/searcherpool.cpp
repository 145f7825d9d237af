#include "placement/searcherpool.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

/// Entry VMs among which limits are divided at least, so that VMs that start find room.
constexpr std::size_t leastFleet = 8;
/// Share of a bound over all entry VMs that is given out.
constexpr double slackShare = 0.7;
constexpr double ratioShare = 0.85;
/// Connections of a searcher that are left for others than entry VMs.
constexpr std::uint32_t spareConnections = 2;
/// Calls at a searcher over all entry VMs, in multiples of its slots: more would only wait there.
constexpr std::size_t callsPerSlot = 3;
/// Calls that one process may have at a searcher in any case.
constexpr std::size_t leastCalls = 2;
/// Calls that a searcher at which calls queue is given, in multiples of what it bears: the entry VMs do not all use
/// their parts at all times.
constexpr double fullShare = 1.25;
/// Share of the longest wait of a call from which on a searcher's queue counts as full.
constexpr double fullWaitShare = 0.35;
/// Share of a cold searcher's rate that its holder uses; two VMs may take themselves for the holder for a short time.
constexpr double coldShare = 0.45;
/// Range of the random factor that keeps entry VMs from choosing alike.
constexpr double spread = 0.3;
/// Cost factor of a searcher in another failure domain.
constexpr double remoteFactor = 1.2;

double retryBurst(const PoolBounds &bounds, std::size_t fleet)
{
    return bounds.retrySlack * slackShare / static_cast<double>(std::max(fleet, leastFleet));
}

bool contains(std::span<const std::shared_ptr<TrackedSearcher>> searchers,
              const std::shared_ptr<TrackedSearcher> &searcher)
{
    return std::find(searchers.begin(), searchers.end(), searcher) != searchers.end();
}

} // namespace

const char *name(Unplaced reason) noexcept
{
    constexpr std::array<const char *, 4> names{"none", "unknown", "blocked", "saturated"};
    return names.at(static_cast<std::size_t>(reason));
}

BackendPool::BackendPool(std::string name, const RetryBudget &budget) : name_(std::move(name)), budget_(budget)
{
}

SearcherPool::SearcherPool(std::string self, std::string failureDomain, const PoolBounds &bounds, std::uint64_t seed)
    : self_(std::move(self)), failureDomain_(std::move(failureDomain)), bounds_(bounds), random_(seed), fleet_{self_}
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
    const std::shared_ptr<TrackedSearcher> searcher = std::make_shared<TrackedSearcher>(now, entry);
    searchers_[entry.instance] = searcher;
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
    searchers_.erase(known->entry().instance);
    coldPaces_.erase(known->entry().instance);
}

void SearcherPool::setTerms(const std::vector<BackendTerms> &terms)
{
    for (const BackendTerms &each : terms) {
        backend(each.name).terms_ = each;
    }
}

bool SearcherPool::setDomainsOut(const std::set<std::string> &domains)
{
    if (domainsOut_ == domains) {
        return false;
    }
    domainsOut_ = domains;
    return true;
}

void SearcherPool::setFleet(const std::set<std::string> &vms, std::size_t named)
{
    fleet_ = vms;
    named_ = std::max<std::size_t>(1, named);
    fleet_.insert(self_);
    updateBudgets();
}

void SearcherPool::setBounds(const PoolBounds &bounds)
{
    bounds_ = bounds;
    updateBudgets();
}

void SearcherPool::updateBudgets()
{
    for (const auto &[name, pool] : backends_) {
        pool->budget_.setTerms(bounds_.retryRatio * ratioShare, retryBurst(bounds_, fleet_.size()));
    }
}

BackendPool &SearcherPool::backend(std::string_view name)
{
    const auto known = backends_.find(name);
    if (known != backends_.end()) {
        return *known->second;
    }
    const RetryBudget budget(bounds_.retryRatio * ratioShare, retryBurst(bounds_, fleet_.size()));
    std::unique_ptr<BackendPool> pool = std::make_unique<BackendPool>(std::string(name), budget);
    return *backends_.emplace(std::string(name), std::move(pool)).first->second;
}

Choice SearcherPool::choose(TimePoint now,
                            BackendPool &backend,
                            std::span<const std::shared_ptr<TrackedSearcher>> tried,
                            const CallTerms &terms)
{
    std::shared_ptr<TrackedSearcher> best;
    double bestCost = 0;
    Unplaced reason = Unplaced::Unknown;
    for (const std::shared_ptr<TrackedSearcher> &searcher : backend.searchers_) {
        if (!isUsable(*searcher) || contains(tried, searcher)) {
            continue;
        }
        if (!isAvailable(now, *searcher)) {
            reason = std::max(reason, Unplaced::Blocked);
            continue;
        }
        if (!hasRoom(now, *searcher, backend.terms_, terms)) {
            reason = Unplaced::Saturated;
            continue;
        }
        double cost = searcher->cost(now) * (1 + spread * random_.unit());
        if (searcher->entry().failureDomain != failureDomain_) {
            cost *= remoteFactor;
        }
        if (!best || cost < bestCost) {
            best = searcher;
            bestCost = cost;
        }
    }
    if (!best) {
        return {nullptr, reason};
    }
    backend.lastChosenAt_ = now;
    if (best->isCold(now) && backend.terms_.coldCallsPerSecond > 0) {
        const double rate = backend.terms_.coldCallsPerSecond * bounds_.coldFactor + bounds_.coldSlack;
        coldPaces_[best->entry().instance].nextAt = now + fromMilliseconds(1'000 / (rate * coldShare));
    }
    best->takeTurn(now, turn(*best, terms));
    return {best, Unplaced::None};
}

Room SearcherPool::room(TimePoint now, const BackendPool &backend, const CallTerms &terms, bool isWaitedFor) const
{
    Room room = Room::None;
    for (const std::shared_ptr<TrackedSearcher> &searcher : backend.searchers_) {
        if (!isUsable(*searcher) || !isAvailable(now, *searcher)) {
            continue;
        }
        room = std::min(room, roomAt(now, *searcher, backend.terms_, terms, isWaitedFor));
    }
    return room;
}

Room SearcherPool::roomAt(TimePoint now,
                          const TrackedSearcher &searcher,
                          const BackendTerms &backend,
                          const CallTerms &terms,
                          bool isWaitedFor) const
{
    const bool isSearcherFull = isFull(now, searcher, terms);
    if (!isWaitedFor && hasRoom(now, searcher, backend, terms)) {
        return isSearcherFull ? Room::Turn : Room::Now;
    }
    if (isCongested(now, searcher, terms)) {
        return Room::None;
    }
    if (!isSearcherFull) {
        return Room::Soon;
    }
    const bool hasTurnSoon = !isWaitedFor && searcher.hasTurn(now + terms.longestWait);
    return hasTurnSoon ? Room::NextTurn : Room::None;
}

bool SearcherPool::hasRoom(TimePoint now,
                           const TrackedSearcher &searcher,
                           const BackendTerms &backend,
                           const CallTerms &terms) const
{
    const bool mayQueue = searcher.hasTurn(now) && !terms.isHedge;
    return !isCongested(now, searcher, terms) && (mayQueue || !isFull(now, searcher, terms))
        && searcher.openCalls() < callLimit(searcher, backend) && mayCallCold(now, searcher, backend);
}

bool SearcherPool::isCongested(TimePoint now, const TrackedSearcher &searcher, const CallTerms &terms)
{
    const double expected = searcher.expectedRounds(now) * toMilliseconds(terms.typical);
    return searcher.openCalls() > 0 && expected > toMilliseconds(terms.longestWait);
}

// Calls queue there for a good part of the time that they have.
bool SearcherPool::isFull(TimePoint now, const TrackedSearcher &searcher, const CallTerms &terms)
{
    const double wait = searcher.queueRounds(now) * toMilliseconds(terms.typical);
    return wait > fullWaitShare * toMilliseconds(terms.longestWait);
}

// Time between two calls of this process at a searcher where calls queue: its part of what the searcher bears.
Duration SearcherPool::turn(const TrackedSearcher &searcher, const CallTerms &terms) const
{
    const double slots = std::max<double>(1, searcher.entry().slots);
    return shareOf(terms.typical, searcher.serviceRounds() * static_cast<double>(named_) / (slots * fullShare));
}

bool SearcherPool::isServing(TimePoint now, const BackendPool &backend) const
{
    return std::any_of(backend.searchers_.begin(),
                       backend.searchers_.end(),
                       [this, now](const std::shared_ptr<TrackedSearcher> &searcher) {
                           return isUsable(*searcher) && isAvailable(now, *searcher);
                       });
}

bool SearcherPool::isUsable(const TrackedSearcher &searcher) const
{
    return !searcher.entry().isLeaving && !domainsOut_.contains(searcher.entry().failureDomain);
}

bool SearcherPool::isAvailable(TimePoint now, const TrackedSearcher &searcher)
{
    return !searcher.isBlocked(now) && !searcher.isUnreachable();
}

std::vector<std::shared_ptr<TrackedSearcher>> SearcherPool::unreachable(TimePoint now) const
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

bool SearcherPool::mayCallCold(TimePoint now, const TrackedSearcher &searcher, const BackendTerms &terms) const
{
    if (!searcher.isCold(now) || terms.coldCallsPerSecond <= 0) {
        return true;
    }
    const std::uint64_t key = hashBytes(searcher.entry().instance);
    const std::set<std::string>::const_iterator holder
        = std::max_element(fleet_.begin(), fleet_.end(), [key](const std::string &left, const std::string &right) {
              return mix(key, hashBytes(left)) < mix(key, hashBytes(right));
          });
    const auto pace = coldPaces_.find(searcher.entry().instance);
    return *holder == self_ && (pace == coldPaces_.end() || now >= pace->second.nextAt);
}

std::size_t SearcherPool::connectionLimit(const TrackedSearcher &searcher) const
{
    const auto pool = backends_.find(searcher.entry().backend);
    return connectionLimit(pool == backends_.end() ? BackendTerms() : pool->second->terms_);
}

std::size_t SearcherPool::connectionLimit(const BackendTerms &terms) const
{
    const std::uint32_t connections = terms.maxConnections;
    const std::uint32_t shared = connections > spareConnections ? connections - spareConnections : 1;
    return std::max<std::size_t>(1, shared / std::max(fleet_.size(), leastFleet));
}

std::size_t SearcherPool::callLimit(const TrackedSearcher &searcher, const BackendTerms &terms) const
{
    const std::size_t fleet = std::max(fleet_.size(), leastFleet);
    const std::size_t shared = (searcher.entry().slots * callsPerSlot + fleet - 1) / fleet;
    return std::min(connectionLimit(terms), std::max(leastCalls, shared));
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
