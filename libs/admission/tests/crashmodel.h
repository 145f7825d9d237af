#pragma once

#include "admission/crashbar.h"
#include "base/random.h"

#include <algorithm>
#include <set>
#include <vector>

namespace sassafrasvane
{

/// Simulates several daemons that hold searchers, one request that crashes every server that runs it, and innocent
/// requests that crash none.
class CrashModel
{
public:
    static constexpr std::size_t searchersOfDaemon = 3;

    CrashModel(std::size_t daemons, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            bars_.emplace_back(mix(seed, i));
            sentVersions_.emplace_back(daemons, 0);
        }
        for (std::uint32_t i = 0; i < daemons * searchersOfDaemon; ++i) {
            searchers_.push_back(SearcherId{i});
        }
    }

    /// Sends the bad request to daemon \p entry while \p innocents run at its probe server.
    void sendBad(std::size_t entry, const std::vector<Fingerprint> &innocents)
    {
        if (!mayRun(bars_[entry].check(now_, bad))) {
            return;
        }
        const SearcherId probe = *CrashBar::probeServer(bad, searchers_);
        CrashBar &holder = bars_[holderOf(probe)];
        std::vector<Fingerprint> running = runningInnocents(holder, innocents);
        if (!mayRun(holder.check(now_, bad)) || !holder.mayRunAlongside(now_, bad, running)) {
            return;
        }
        running.push_back(bad);
        coincidences_ += hasLostManyServers(probe) ? 1 : 0;
        holder.onServerLost(now_, probe, running);
        // The holder sees the same crash on a second connection.
        holder.onServerLost(now_, probe, running);
        ++crashes_;
    }

    /// Lets a server that runs \p innocents fail by itself.
    void failServer(std::size_t searcher, const std::vector<Fingerprint> &innocents)
    {
        const SearcherId id = searchers_[searcher % searchers_.size()];
        CrashBar &holder = bars_[holderOf(id)];
        failures_.push_back({id, now_});
        holder.onServerLost(now_, id, runningInnocents(holder, innocents));
    }

    /// Sends an innocent request to daemon \p entry. \return false if it was barred.
    bool sendInnocent(std::size_t entry, Fingerprint innocent)
    {
        const CrashVerdict verdict = bars_[entry].check(now_, innocent);
        if (verdict == CrashVerdict::Barred || verdict == CrashVerdict::Wait) {
            return verdict != CrashVerdict::Barred;
        }
        CrashBar &holder = bars_[holderOf(*CrashBar::probeServer(innocent, searchers_))];
        const CrashVerdict atHolder = holder.check(now_, innocent);
        if (!mayRun(atHolder)) {
            return atHolder != CrashVerdict::Barred;
        }
        holder.onSuccess(now_, innocent);
        bars_[entry].onSuccess(now_, innocent);
        return true;
    }

    /// Sends the entries of \p from that changed since its last message to \p to. On average \p kept of 4 messages
    /// arrive, some of them twice.
    void spread(std::size_t from, std::size_t to, std::uint64_t kept)
    {
        const std::vector<CrashEntry> entries = bars_[from].changes(now_, sentVersions_[from][to]);
        if (random_.below(4) >= kept) {
            return;
        }
        sentVersions_[from][to] = bars_[from].version();
        bars_[to].merge(now_, entries);
        if (random_.chance(0.3)) {
            bars_[to].merge(now_, entries);
        }
    }

    /// Restarts a daemon, which loses its state.
    void restart(std::size_t daemon)
    {
        memoryLosses_ += holderOf(*CrashBar::probeServer(bad, searchers_)) == daemon ? 1 : 0;
        bars_[daemon] = CrashBar(random_.next());
        std::fill(sentVersions_[daemon].begin(), sentVersions_[daemon].end(), 0);
        for (std::vector<std::uint64_t> &sentVersion : sentVersions_) {
            sentVersion[daemon] = 0;
        }
    }

    void advance(Duration time) { now_ += time; }

    std::size_t daemons() const { return bars_.size(); }
    std::size_t crashes() const { return crashes_; }
    std::size_t memoryLosses() const { return memoryLosses_; }

    /// Crashes by the bad request within a second of the failure of two other servers of the same holder.
    std::size_t coincidences() const { return coincidences_; }

    CrashBar &bar(std::size_t daemon) { return bars_[daemon]; }
    TimePoint now() const { return now_; }

    static constexpr Fingerprint bad{666};

private:
    struct Failure {
        SearcherId searcher;
        TimePoint at;
    };

    bool hasLostManyServers(SearcherId probe) const
    {
        std::set<SearcherId> lost;
        for (const Failure &failure : failures_) {
            const bool isSameHolder = holderOf(failure.searcher) == holderOf(probe) && failure.searcher != probe;
            if (isSameHolder && now_ - failure.at < std::chrono::seconds(1)) {
                lost.insert(failure.searcher);
            }
        }
        return lost.size() >= 2;
    }

    static bool mayRun(CrashVerdict verdict)
    {
        return verdict != CrashVerdict::Barred && verdict != CrashVerdict::Wait;
    }

    std::size_t holderOf(SearcherId searcher) const { return searcher.value % bars_.size(); }

    /// The requests of \p innocents that the holder would run at one server at the same time.
    std::vector<Fingerprint> runningInnocents(const CrashBar &holder, const std::vector<Fingerprint> &innocents) const
    {
        std::vector<Fingerprint> running;
        for (const Fingerprint innocent : innocents) {
            if (mayRun(holder.check(now_, innocent)) && holder.mayRunAlongside(now_, innocent, running)) {
                running.push_back(innocent);
            }
        }
        return running;
    }

    Random random_;
    std::vector<CrashBar> bars_;
    /// The version up to which each daemon has sent its entries to each other daemon.
    std::vector<std::vector<std::uint64_t>> sentVersions_;
    std::vector<SearcherId> searchers_;
    TimePoint now_{std::chrono::seconds(100)};
    std::size_t crashes_ = 0;
    std::size_t memoryLosses_ = 0;
    std::size_t coincidences_ = 0;
    std::vector<Failure> failures_;
};

} // namespace sassafrasvane
