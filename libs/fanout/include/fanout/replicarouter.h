#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fanout/messages.h"
#include "settings/published.h"
#include "shardmap/holders.h"
#include "shardmap/shardmap.h"

#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// Chooses the searcher for each part and the daemon through which it is reached.

namespace sassafrasvane
{

/// Where a call goes.
struct Route {
    SearcherId searcher;
    /// The holder of the searcher's connections; may be this daemon itself.
    DaemonId holder;
};

/// What the router goes by; replaced as a whole when a published value changes.
struct RouterView {
    std::shared_ptr<const ShardMap> map;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const HolderTable> holders;
};

/// Knows which searchers may be used, how fast they answered, and which index versions they lack.
///
/// The choice among replicas is the better of two taken at random, by expected wait (Mitzenmacher, "The power of two
/// choices in randomized load balancing", 2001). A searcher that is leaving, that stands in a failure domain taken
/// out, or that has no usable holder is never chosen.
///
/// \code
/// ReplicaRouter router(self, seed);
/// router.setView(view);
/// const std::optional<SearcherId> searcher = router.choose(now, version, part, {});
/// \endcode
class ReplicaRouter
{
public:
    /// \param self this daemon. \param seed of the random choices.
    ReplicaRouter(DaemonId self, std::uint64_t seed) noexcept;

    /// Takes new published values. What was learned of searchers that remain is kept.
    void setView(RouterView view);

    /// Sets the daemons that are not to be used as holders, such as suspected and leaving ones.
    void setUnusableDaemons(std::unordered_set<DaemonId> daemons);

    /// Chooses a searcher for \p part of \p version that is not in \p avoid, or nothing.
    std::optional<SearcherId> choose(TimePoint now,
                                     IndexVersion version,
                                     const Part &part,
                                     std::span<const SearcherId> avoid);

    /// The holder to reach \p searcher through: this daemon if it is one, else the usable ones in turn. One that has
    /// just refused is taken only if all have.
    std::optional<DaemonId> holder(TimePoint now, SearcherId searcher);

    /// Notes that a call was sent.
    void onSent(SearcherId searcher);

    /// Notes the end of a call that was sent to \p holder \p latency ago.
    void onReply(TimePoint now, const SearchReply &reply, Duration latency, DaemonId holder);

    /// Notes that a call was given up without a reply.
    void onAbandoned(SearcherId searcher);

private:
    /// A holder that refused a call, by itself or because it could not be reached.
    struct HolderPause {
        DaemonId holder;
        TimePoint until;
    };

    struct SearcherState {
        /// Moving average of the latency, in microseconds.
        double latency = 0;
        std::uint32_t openCalls = 0;
        std::uint32_t failuresInRow = 0;
        /// Not chosen before this time while there is another replica.
        TimePoint avoidUntil;
        IndexVersion lackedVersion;
        TimePoint lackedUntil;
        std::uint32_t turn = 0;
        std::vector<HolderPause> pauses;
    };

    bool isUsable(TimePoint now, SearcherId searcher, IndexVersion version);
    bool isUsableHolder(DaemonId daemon) const;
    bool hasHolder(SearcherId searcher) const;
    bool hasWillingHolder(TimePoint now, SearcherId searcher);
    static TimePoint pausedUntil(const SearcherState &state, DaemonId holder) noexcept;
    static void pause(SearcherState &state, DaemonId holder, TimePoint until);
    double expectedWait(SearcherId searcher);

    DaemonId self_;
    Random random_;
    RouterView view_;
    std::unordered_set<DaemonId> unusableDaemons_;
    std::unordered_map<SearcherId, SearcherState> states_;
    std::vector<SearcherId> good_;
    std::vector<SearcherId> doubtful_;
};

} // namespace sassafrasvane
