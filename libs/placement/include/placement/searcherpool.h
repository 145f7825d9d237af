#pragma once

#include "base/random.h"
#include "base/room.h"
#include "base/time.h"
#include "catalog/searcherentry.h"
#include "placement/retrybudget.h"
#include "placement/trackedsearcher.h"
#include "routing/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// Which searcher takes a call.

namespace sassafrasvane
{

/// Bounds that hold over all entry VMs together.
struct PoolBounds {
    double retryRatio = 0.2;
    double retrySlack = 50;
    double coldFactor = 1.5;
    double coldSlack = 5;
};

/// Why no searcher was chosen.
enum class PlacementFailure {
    None,      ///< One was chosen.
    Unknown,   ///< No searcher of the back end may be used at all.
    Blocked,   ///< All that may be used have failed lately.
    Saturated, ///< All that may be used have as many calls as they are given.
};

/// Stable lower-case name of \p reason, for log lines.
const char *name(PlacementFailure reason) noexcept;

/// What a call is to its route.
struct CallParameters {
    /// Usual time of the route's calls.
    Duration typicalDuration{0};
    /// A searcher at which the call is expected to take longer gets no second call of this process: it would only wait
    /// there, while one that waits here can go to the first searcher that is free.
    Duration maxWait = std::chrono::hours(1);
    /// True if another call of the request is open. It goes to no searcher that is full: calls that are alone wait
    /// there.
    bool isHedge = false;
};

/// A choice; searcher is null if none may take the call.
struct Choice {
    std::shared_ptr<TrackedSearcher> searcher;
    PlacementFailure reason = PlacementFailure::None;
};

/// The searchers of one back end.
class BackendPool
{
public:
    BackendPool(std::string name, const RetryBudget &budget);

    const std::string &name() const noexcept { return name_; }
    RetryBudget &budget() noexcept { return budget_; }
    const std::vector<std::shared_ptr<TrackedSearcher>> &searchers() const noexcept { return searchers_; }

    /// When a searcher was last chosen for a call; nothing if none was yet.
    std::optional<TimePoint> lastChosenAt() const noexcept { return lastChosenAt_; }

private:
    friend class SearcherPool;

    std::string name_;
    RetryBudget budget_;
    std::vector<std::shared_ptr<TrackedSearcher>> searchers_;
    BackendLimits limits_;
    std::optional<TimePoint> lastChosenAt_;
};

/// All searchers, by back end.
///
/// Connections and cold starts are limits over all entry VMs. The connections of a searcher are divided by the number
/// of entry VMs; the calls of a cold searcher belong to the one entry VM that rendezvous hashing names.
///
/// \code
/// BackendPool &backend = pool.backend("desk");
/// const Choice choice = pool.choose(now, backend, tried);
/// \endcode
class SearcherPool
{
public:
    /// \param self name of this VM. \param seed of the random choices.
    SearcherPool(std::string self, std::string failureDomain, const PoolBounds &bounds, std::uint64_t seed);

    /// Takes a registration.
    void put(TimePoint now, const SearcherEntry &entry);

    /// Forgets \p instance. Its open calls go on.
    void remove(std::string_view instance);

    /// Replaces the bounds.
    void setBounds(const PoolBounds &bounds);

    /// Takes the terms of all back ends.
    void setBackendLimits(const std::vector<BackendLimits> &limits);

    /// Sets the failure domains whose searchers take no calls. \return false if they are the same as before.
    bool setExcludedDomains(const std::set<std::string> &domains);

    /// Sets the names of all entry VMs that may be sending, this one included. \param named how many of them are named
    /// to callers now, and so make nearly all calls.
    void setFleet(const std::set<std::string> &vms, std::size_t advertisedCount);

    /// The same if all of them make calls.
    void setFleet(const std::set<std::string> &vms) { setFleet(vms, vms.size()); }

    /// The back end called \p name, which need not have searchers.
    BackendPool &backend(std::string_view name);

    /// Chooses a searcher for one more call, or says why there is none.
    /// \param tried searchers that the request has already been sent to.
    Choice choose(TimePoint now,
                  BackendPool &backend,
                  std::span<const std::shared_ptr<TrackedSearcher>> tried,
                  const CallParameters &parameters = {});

    /// How soon choose() would find a searcher of \p backend. \param hasWaitingCalls true if other calls go first.
    Room room(TimePoint now, const BackendPool &backend, const CallParameters &parameters, bool hasWaitingCalls) const;

    /// True if some searcher of \p backend may be tried now or soon.
    bool hasAvailableSearcher(TimePoint now, const BackendPool &backend) const;

    /// The unreachable searchers that are due for another attempt to reach them.
    std::vector<std::shared_ptr<TrackedSearcher>> reconnectCandidates(TimePoint now) const;

    /// The searchers that calls may be sent to now.
    std::vector<std::shared_ptr<TrackedSearcher>> available(TimePoint now) const;

    /// Connections that this process may have to \p searcher.
    std::size_t connectionLimit(const TrackedSearcher &searcher) const;

    /// True if \p searcher is still registered.
    bool isRegistered(const TrackedSearcher &searcher) const;

    /// The registered searcher \p instance; null if there is none.
    std::shared_ptr<TrackedSearcher> find(std::string_view instance) const;

private:
    struct ColdCallPacing {
        TimePoint nextCallAt;
    };

    bool isUsable(const TrackedSearcher &searcher) const;
    std::vector<std::shared_ptr<TrackedSearcher>> usableWhere(
        const std::function<bool(const TrackedSearcher &searcher)> &isListed) const;
    static bool isAvailable(TimePoint now, const TrackedSearcher &searcher);
    Room roomAt(TimePoint now,
                const TrackedSearcher &searcher,
                const BackendLimits &limits,
                const CallParameters &parameters,
                bool hasWaitingCalls) const;
    bool hasRoom(TimePoint now,
                 const TrackedSearcher &searcher,
                 const BackendLimits &limits,
                 const CallParameters &parameters) const;
    static bool isCongested(TimePoint now, const TrackedSearcher &searcher, const CallParameters &parameters);
    static bool hasLongQueue(TimePoint now, const TrackedSearcher &searcher, const CallParameters &parameters);
    Duration turnInterval(const TrackedSearcher &searcher, const CallParameters &parameters) const;
    bool mayCallCold(TimePoint now, const TrackedSearcher &searcher, const BackendLimits &limits) const;
    std::size_t connectionLimit(const BackendLimits &limits) const;
    std::size_t callLimit(const TrackedSearcher &searcher, const BackendLimits &limits) const;
    void updateBudgets();

    std::string self_;
    std::string failureDomain_;
    PoolBounds bounds_;
    Random random_;
    std::map<std::string, std::unique_ptr<BackendPool>, std::less<>> backends_;
    std::unordered_map<std::string, std::shared_ptr<TrackedSearcher>> searchers_;
    std::unordered_map<std::string, ColdCallPacing> coldCallPacing_;
    std::set<std::string> excludedDomains_;
    std::set<std::string> fleet_;
    /// Entry VMs that callers are sent to.
    std::size_t advertisedCount_ = 1;
};

} // namespace sassafrasvane
