#pragma once

#include "base/random.h"
#include "base/room.h"
#include "base/time.h"
#include "catalog/searcherentry.h"
#include "placement/limitshare.h"
#include "placement/replicachoice.h"
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
/// Chooses the searcher for a call.

namespace sassafrasvane
{

/// Limits that apply to all entry VMs together.
struct PoolBounds {
    /// Extra calls (retries and hedges) to a backend: at most retryRatio per request plus retrySlack.
    double retryRatio = 0.2;
    double retrySlack = 50;
    /// Calls per second to a cold searcher: at most coldFactor times BackendLimits::coldCallsPerSecond plus coldSlack.
    double coldFactor = 1.5;
    double coldSlack = 5;
};

/// Why no searcher was chosen.
enum class PlacementFailure {
    None,      ///< A searcher was chosen.
    Unknown,   ///< No searcher may be used: none is registered, or all are leaving, in excluded domains or tried.
    Blocked,   ///< All usable searchers are blocked or unreachable after failures.
    Saturated, ///< No available searcher has room: each is at a limit of calls, queue or cold-start rate.
};

/// Stable lower-case name of \p reason, as written to log lines.
const char *name(PlacementFailure reason) noexcept;

/// Parameters of one call that depend on its route and request.
struct CallParameters {
    /// Typical duration of a call of the route.
    Duration typicalDuration{0};
    /// If a searcher already has an open call of this process and is expected to take longer than this, it gets no
    /// other call: the call would only queue there, while one that waits in this process can go to the first searcher
    /// that is free.
    Duration maxWait = std::chrono::hours(1);
    /// True if another call for the same part is open. A hedge is not sent to a searcher with a long queue: places in
    /// such queues are for parts that have no other call.
    bool isHedge = false;
    /// Time until the target of the request. A call with time to spare goes to a searcher in the failure domain of this
    /// VM. Nothing if the request has no target.
    std::optional<Duration> timeLeft{};
};

/// How a reply changed what a searcher asks of this VM.
struct SelfReportChanges {
    LimitChange limit = LimitChange::None;
    PauseChange pause = PauseChange::None;
    /// True if the reply is the first that says that the searcher leaves.
    bool hasBegunToLeave = false;
};

/// Result of SearcherPool::choose(). searcher is null if no searcher can take the call.
struct Choice {
    std::shared_ptr<TrackedSearcher> searcher;
    PlacementFailure reason = PlacementFailure::None;
    /// Why the searcher was chosen.
    ChoiceReason basis = ChoiceReason::Unrestricted;
    /// True if the searcher is in the failure domain of this VM.
    bool isLocal = false;
};

/// The searchers and the retry budget of one backend.
class BackendPool
{
public:
    BackendPool(std::string name, const RetryBudget &budget);

    const std::string &name() const noexcept { return name_; }
    RetryBudget &budget() noexcept { return budget_; }
    const std::vector<std::shared_ptr<TrackedSearcher>> &searchers() const noexcept { return searchers_; }

    /// Time at which a searcher was last chosen for a call; empty if that never happened.
    std::optional<TimePoint> lastChosenAt() const noexcept { return lastChosenAt_; }

private:
    friend class SearcherPool;

    std::string name_;
    RetryBudget budget_;
    std::vector<std::shared_ptr<TrackedSearcher>> searchers_;
    BackendLimits limits_;
    std::optional<TimePoint> lastChosenAt_;
};

/// All known searchers, grouped by backend.
///
/// The limits of connections and of calls to cold searchers apply to all entry VMs together. The connections of a
/// searcher are divided evenly among the entry VMs. A cold searcher is called only by one entry VM, which rendezvous
/// hashing selects. A rate limit that a searcher states is divided by limitShare().
///
/// \code
/// BackendPool &backend = pool.backend("desk");
/// const Choice choice = pool.choose(now, backend, tried);
/// \endcode
class SearcherPool
{
public:
    /// \param self name of this entry VM. \param failureDomain its failure domain, whose searchers are preferred.
    /// \param bounds limits over all entry VMs. \param seed seed of the random cost factors.
    SearcherPool(std::string self, std::string failureDomain, const PoolBounds &bounds, std::uint64_t seed);

    /// Adds or updates the searcher of a registration. A new process of the same instance starts with empty statistics.
    void put(TimePoint now, const SearcherEntry &entry);

    /// Removes the searcher \p instance. Its open calls continue.
    void remove(std::string_view instance);

    /// Replaces the limits over all entry VMs.
    void setBounds(const PoolBounds &bounds);

    /// Sets the limits of the given backends. The limits of other backends are kept.
    void setBackendLimits(const std::vector<BackendLimits> &limits);

    /// Sets the failure domains whose searchers get no calls. \return false if they are the same as before.
    bool setExcludedDomains(const std::set<std::string> &domains);

    /// Sets the entry VMs among which limits are divided.
    void setFleet(TimePoint now, const Fleet &fleet);

    /// Overload for a fleet in which all VMs are advertised to callers.
    void setFleet(TimePoint now, const std::set<std::string> &vms)
    {
        setFleet(now, Fleet{vms, vms.size(), vms.size()});
    }

    /// Returns the backend \p name and creates it if needed. It may have no searchers.
    BackendPool &backend(std::string_view name);

    /// Chooses the available searcher with the lowest cost for one more call, or returns the reason why there is none.
    /// \param tried searchers that the part has already been sent to; they are not chosen.
    Choice choose(TimePoint now,
                  BackendPool &backend,
                  std::span<const std::shared_ptr<TrackedSearcher>> tried,
                  const CallParameters &parameters = {});

    /// Returns how soon choose() could find a searcher of \p backend. \param hasWaitingCalls true if other calls are
    /// already waiting for the backend; they go first.
    Room room(TimePoint now, const BackendPool &backend, const CallParameters &parameters, bool hasWaitingCalls) const;

    /// True if some searcher of \p backend is usable, reachable and neither blocked nor paused at \p now.
    bool hasAvailableSearcher(TimePoint now, const BackendPool &backend) const;

    /// Unreachable searchers whose next connection attempt is due.
    std::vector<std::shared_ptr<TrackedSearcher>> reconnectCandidates(TimePoint now) const;

    /// Searchers that calls may be sent to now.
    std::vector<std::shared_ptr<TrackedSearcher>> available(TimePoint now) const;

    /// Maximum number of connections of this process to \p searcher.
    std::size_t connectionLimit(const TrackedSearcher &searcher) const;

    /// True if \p searcher is still registered.
    bool isRegistered(const TrackedSearcher &searcher) const;

    /// Applies what a reply of \p searcher says about it. \param sentAt when the call was sent. \param hasRun true if
    /// the searcher has run the call.
    SelfReportChanges applySelfReport(TimePoint now,
                                      TrackedSearcher &searcher,
                                      TimePoint sentAt,
                                      const SelfReport &report,
                                      bool hasRun);

    /// Registered searchers that state a rate limit.
    std::vector<std::shared_ptr<TrackedSearcher>> limitedSearchers() const;

    /// Number of registered searchers that leave.
    std::size_t leavingCount() const;

    /// Number of registered searchers that have asked this VM for a pause that has not ended.
    std::size_t pausedCount(TimePoint now) const;

    /// Number of entry VMs among which limits are divided, this one included.
    std::size_t fleetSize() const noexcept { return callers_.size(); }

    /// If the reachable searchers of \p backend all ask this VM, by a limit or a pause, to send no call now, returns
    /// when the first of them may be called. \param tried searchers that are left out.
    std::optional<TimePoint> askedToWaitUntil(TimePoint now,
                                              const BackendPool &backend,
                                              std::span<const std::shared_ptr<TrackedSearcher>> tried = {}) const;

    /// Failure domains of the registered searchers of the backend \p name.
    std::set<std::string> domainsOf(std::string_view name) const;

    /// Returns the registered searcher \p instance; null if there is none.
    std::shared_ptr<TrackedSearcher> find(std::string_view instance) const;

private:
    bool isUsable(const TrackedSearcher &searcher) const;
    std::vector<std::shared_ptr<TrackedSearcher>> usableWhere(
        const std::function<bool(const TrackedSearcher &searcher)> &isListed) const;
    std::size_t countWhere(const std::function<bool(const TrackedSearcher &searcher)> &isCounted) const;
    static bool isReachable(TimePoint now, const TrackedSearcher &searcher);
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
    Duration turnInterval(TimePoint now, const TrackedSearcher &searcher, const CallParameters &parameters) const;
    bool mayCallCold(TimePoint now, const TrackedSearcher &searcher, const BackendLimits &limits) const;
    std::size_t connectionLimit(const BackendLimits &limits) const;
    std::size_t callLimit(const TrackedSearcher &searcher, const BackendLimits &limits) const;
    ReplicaCandidate candidate(TimePoint now, const TrackedSearcher &searcher, const CallParameters &parameters);
    void recordChoice(TimePoint now,
                      BackendPool &backend,
                      TrackedSearcher &searcher,
                      const CallParameters &parameters) const;
    void updateBudgets();
    void updateLimitShare(TimePoint now, TrackedSearcher &searcher);
    static Room roomWithinLimit(TimePoint now,
                                const TrackedSearcher &searcher,
                                const CallParameters &parameters,
                                bool hasWaitingCalls);

    std::string self_;
    std::string failureDomain_;
    PoolBounds bounds_;
    Random random_;
    /// The searchers among which choose() chooses; members to avoid an allocation per call.
    std::vector<ReplicaCandidate> candidates_;
    std::vector<std::shared_ptr<TrackedSearcher>> candidateSearchers_;
    std::map<std::string, std::unique_ptr<BackendPool>, std::less<>> backends_;
    std::unordered_map<std::string, std::shared_ptr<TrackedSearcher>> searchers_;
    RetainedIncarnations retained_;
    std::set<std::string> excludedDomains_;
    Fleet fleet_;
    /// The VMs of the fleet that share limits, and this VM.
    std::set<std::string> callers_;
};

} // namespace sassafrasvane
