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
/// How long a holder is avoided for a searcher after it refused a call without sending it.
constexpr Duration holderPause = 50ms;

// True if the refusal speaks of the holder and not of the searcher.
bool isHolderRefusal(const SearchReply &reply) noexcept
{
    return reply.outcome == CallOutcome::Refused && !reply.wasSent && reply.error != Errc::ConnectFailed;
}

} // namespace

ReplicaRouter::ReplicaRouter(DaemonId self, std::uint64_t seed) noexcept : self_(self), random_(seed)
{
}

void ReplicaRouter::setView(RouterView view)
{
    view_ = std::move(view);
    for (auto &[searcher, state] : states_) {
        state.pauses.clear();
    }
    std::erase_if(states_, [this](const auto &entry) { return view_.map->searcher(entry.first) == nullptr; });
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
        const bool isDoubtful = states_[replica].avoidUntil > now || !hasWillingHolder(now, replica);
        std::vector<SearcherId> &list = isDoubtful ? doubtful_ : good_;
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

std::optional<DaemonId> ReplicaRouter::holder(TimePoint now, SearcherId searcher)
{
    const std::span<const DaemonId> holders = view_.holders->holders(searcher);
    SearcherState &state = states_[searcher];
    const bool isSelfHolder = std::find(holders.begin(), holders.end(), self_) != holders.end();
    if (isSelfHolder && pausedUntil(state, self_) <= now) {
        return self_;
    }
    std::optional<DaemonId> best;
    ++state.turn;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const DaemonId daemon = holders[(state.turn + i) % holders.size()];
        if (!isUsableHolder(daemon)) {
            continue;
        }
        if (pausedUntil(state, daemon) <= now) {
            return daemon;
        }
        if (!best || pausedUntil(state, daemon) < pausedUntil(state, *best)) {
            best = daemon;
        }
    }
    return best;
}

void ReplicaRouter::onSent(SearcherId searcher)
{
    ++states_[searcher].openCalls;
}

void ReplicaRouter::onReply(TimePoint now, const SearchReply &reply, Duration latency, DaemonId holder)
{
    SearcherState &state = states_[reply.searcher];
    state.openCalls -= state.openCalls > 0 ? 1 : 0;
    if (isHolderRefusal(reply)) {
        pause(state, holder, now + holderPause);
        return;
    }
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

bool ReplicaRouter::isUsableHolder(DaemonId daemon) const
{
    return daemon == self_ || !unusableDaemons_.contains(daemon);
}

bool ReplicaRouter::hasHolder(SearcherId searcher) const
{
    const std::span<const DaemonId> holders = view_.holders->holders(searcher);
    return std::any_of(holders.begin(), holders.end(), [this](DaemonId daemon) { return isUsableHolder(daemon); });
}

bool ReplicaRouter::hasWillingHolder(TimePoint now, SearcherId searcher)
{
    const std::span<const DaemonId> holders = view_.holders->holders(searcher);
    const SearcherState &state = states_[searcher];
    return std::any_of(holders.begin(), holders.end(), [this, now, &state](DaemonId daemon) {
        return isUsableHolder(daemon) && pausedUntil(state, daemon) <= now;
    });
}

TimePoint ReplicaRouter::pausedUntil(const SearcherState &state, DaemonId holder) noexcept
{
    for (const HolderPause &pause : state.pauses) {
        if (pause.holder == holder) {
            return pause.until;
        }
    }
    return {};
}

void ReplicaRouter::pause(SearcherState &state, DaemonId holder, TimePoint until)
{
    for (HolderPause &present : state.pauses) {
        if (present.holder == holder) {
            present.until = until;
            return;
        }
    }
    state.pauses.push_back({holder, until});
}

double ReplicaRouter::expectedWait(SearcherId searcher)
{
    const SearcherState &state = states_[searcher];
    const double latency = state.latency == 0 ? initialLatency : state.latency;
    return latency * (1 + state.openCalls);
}

} // namespace sassafrasvane
