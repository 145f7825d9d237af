#pragma once

#include "limitoracle.h"
#include "placement/searcherpool.h"
#include "quietoracle.h"
#include "worldcommands.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

/// \file
/// A fleet of entry VMs before searchers that state rate limits, leave or ask for pauses, in virtual time.

namespace sassafrasvane
{

/// VMs that start, stop, sleep and are cut off, and searchers that ask something of them.
class LimitWorld
{
public:
    /// What is judged.
    enum class Watched {
        Limits, ///< Searchers get no more calls than they state.
        Quiet,  ///< Searchers that leave or want a pause get no calls.
    };

    explicit LimitWorld(Watched watched);

    /// All that can happen.
    static const std::vector<WorldAction<LimitWorld>> &actions();

    /// Sends requests at all VMs until all limits had time to take effect.
    void finish();

    /// The first failure, or nothing.
    std::optional<std::string> failure() const;

private:
    /// An entry VM.
    struct Vm {
        std::string name;
        std::shared_ptr<SearcherPool> pool;
        /// When this VM last saw each VM advertised.
        std::map<std::string, TimePoint> advertisedAt;
        bool isAsleep = false;
        bool isCutOff = false;
    };

    /// A searcher and its present process.
    struct Searcher {
        SearcherEntry entry;
        std::optional<double> limit;
        /// What each answer asks for; the call is rejected then.
        std::optional<Duration> pause;
        bool isLeaving = false;
        LimitOracle oracle;
        QuietOracle quietOracle;
    };

    /// A call whose reply has not arrived.
    struct Call {
        std::size_t vm = 0;
        std::shared_ptr<SearcherPool> pool;
        std::shared_ptr<TrackedSearcher> tracked;
        std::uint64_t number = 0;
        TimePoint sentAt;
        std::size_t searcher = 0;
        std::uint64_t startedAtMs = 0;
        SelfReport report;
    };

    void request(std::size_t vm, std::size_t count);
    void requestEverywhere(std::size_t count, std::size_t);
    void repeat(std::size_t call, std::size_t isHedge);
    void reply(std::size_t call, std::size_t);
    void replyToAll(std::size_t, std::size_t);
    void passTime(std::size_t milliseconds, std::size_t);
    void stateLimit(std::size_t searcher, std::size_t limit);
    void endLimit(std::size_t searcher, std::size_t);
    void askForPause(std::size_t searcher, std::size_t milliseconds);
    void endPauses(std::size_t, std::size_t);
    void leave(std::size_t searcher, std::size_t);
    void restartVm(std::size_t vm, std::size_t);
    void toggleSleep(std::size_t vm, std::size_t);
    void toggleCut(std::size_t vm, std::size_t);
    void toggleAdvertised(std::size_t vm, std::size_t);
    void registerAgain(std::size_t searcher, std::size_t);
    void restartSearcher(std::size_t searcher, std::size_t);
    void send(std::size_t vm, std::span<const std::shared_ptr<TrackedSearcher>> tried = {}, bool isHedge = false);
    void deliver(std::size_t call);
    void start(Vm &vm);
    void refreshViews();
    void disturb(const Vm &vm);

    Watched watched_;
    static constexpr std::size_t vmCount = 12;
    static constexpr std::size_t searcherCount = 3;

    TimePoint now_{std::chrono::seconds(1'000)};
    std::array<Vm, vmCount> vms_;
    std::array<Searcher, searcherCount> searchers_;
    std::set<std::string> advertised_;
    std::vector<Call> calls_;
    std::uint64_t starts_ = 0;
};

} // namespace sassafrasvane
