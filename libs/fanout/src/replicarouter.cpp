#include "fanout/replicarouter.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Weight of the newest latency in the moving average.
constexpr double latencyWeight = 0.2;
/// Expected latency of a searcher that has not answered yet, in microseconds.
constexpr double initialLatency = 5'000;
/// How long a searcher that lacks a version is not asked for it.
constexpr Duration lackedVersionTime = 2s;
/// How long a searcher is avoided after its first failure; doubles with each further one.
constexpr Duration firstAvoidance = 100ms;
constexpr std::uint32_t maxAvoidanceDoublings = 5;

} // namespace

ReplicaRouter::ReplicaRouter(DaemonId self, std::uint64_t seed) noexcept : self_(self), random_(seed)
{
}

void ReplicaRouter::setView(RouterView view)
{
    view_ = std::move(view);
    std::erase_if(states_, [this](const auto &entry) { return view_.map->searcher(entry.first) == nullptr; });
}

void ReplicaRouter::confirm(TimePoint now) noexcept
{
    view_.confirmedAt = now;
}

void ReplicaRouter::setUnusableDaemons(std::unordered_set<DaemonId> daemons)
{
    unusableDaemons_ = std::move(daemons);
}

std::optional<SearcherId> ReplicaRouter::choose(TimePoint now,
                                                IndexVersion version,
                                                const Part &part,
                                                std::span<const SearcherId> avoid)
{
    good_.clear();
    doubtful_.clear();
    for (const SearcherId replica : part.replicas) {
        const bool isAvoided = std::find(avoid.begin(), avoid.end(), replica) != avoid.end();
        if (isAvoided || !isUsable(now, replica, version)) {
            continue;
        }
        std::vector<SearcherId> &list = states_[replica].avoidUntil > now ? doubtful_ : good_;
        list.push_back(replica);
    }
    const std::vector<SearcherId> &list = good_.empty() ? doubtful_ : good_;
    if (list.empty()) {
        return std::nullopt;
    }
    if (list.size() == 1) {
        return list.front();
    }
    const std::size_t first = random_.below(list.size());
    const std::size_t second = (first + 1 + random_.below(list.size() - 1)) % list.size();
    return expectedWait(list[first]) <= expectedWait(list[second]) ? list[first] : list[second];
}

std::optional<DaemonId> ReplicaRouter::holder(SearcherId searcher)
{
    const std::span<const DaemonId> holders = view_.holders->holders(searcher);
    if (std::find(holders.begin(), holders.end(), self_) != holders.end()) {
        return self_;
    }
    std::uint32_t &turn = states_[searcher].turn;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const DaemonId daemon = holders[turn++ % holders.size()];
        if (!unusableDaemons_.contains(daemon)) {
            return daemon;
        }
    }
    return std::nullopt;
}

void ReplicaRouter::onSent(SearcherId searcher)
{
    ++states_[searcher].openCalls;
}

void ReplicaRouter::onReply(TimePoint now, const SearchReply &reply, Duration latency)
{
    SearcherState &state = states_[reply.searcher];
    state.openCalls -= state.openCalls > 0 ? 1 : 0;
    switch (reply.outcome) {
    case CallOutcome::Answered: {
        const double sample = static_cast<double>(latency.count());
        state.latency = state.latency == 0 ? sample : state.latency + latencyWeight * (sample - state.latency);
        state.failuresInRow = 0;
        state.avoidUntil = TimePoint();
        break;
    }
    case CallOutcome::WrongVersion:
        state.lackedVersion = reply.version;
        state.lackedUntil = now + lackedVersionTime;
        break;
    case CallOutcome::Refused:
    case CallOutcome::Failed: {
        const std::uint32_t doublings = std::min(state.failuresInRow, maxAvoidanceDoublings);
        state.avoidUntil = now + firstAvoidance * (std::int64_t{1} << doublings);
        ++state.failuresInRow;
        break;
    }
    }
}

void ReplicaRouter::onAbandoned(SearcherId searcher)
{
    SearcherState &state = states_[searcher];
    state.openCalls -= state.openCalls > 0 ? 1 : 0;
}

bool ReplicaRouter::isUsable(TimePoint now, SearcherId searcher, IndexVersion version)
{
    const Searcher *published = view_.map->searcher(searcher);
    if (published == nullptr || published->state == ServerState::Leaving
        || view_.configuration->isOut(published->failureDomain)) {
        return false;
    }
    const SearcherState &state = states_[searcher];
    const bool isVersionLacked = state.lackedVersion == version && state.lackedUntil > now;
    return !isVersionLacked && hasHolder(searcher);
}

bool ReplicaRouter::hasHolder(SearcherId searcher) const
{
    const std::span<const DaemonId> holders = view_.holders->holders(searcher);
    return std::any_of(holders.begin(), holders.end(), [this](DaemonId daemon) {
        return daemon == self_ || !unusableDaemons_.contains(daemon);
    });
}

double ReplicaRouter::expectedWait(SearcherId searcher)
{
    const SearcherState &state = states_[searcher];
    const double latency = state.latency == 0 ? initialLatency : state.latency;
    return latency * (1 + state.openCalls);
}

} // namespace sassafrasvane
