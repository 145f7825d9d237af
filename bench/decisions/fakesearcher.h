#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "virtualloop.h"

#include <deque>
#include <functional>
#include <vector>

/// \file
/// A searcher in virtual time: slots, connections, service times, straggling and cold starts.

namespace sassafrasvane
{

/// How a searcher behaves.
struct SearcherModel {
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    std::uint32_t coldAllowance = 1;
    /// A call takes \ref fixedTime plus an exponential time of mean \ref tailTime.
    Duration fixedTime = std::chrono::milliseconds(3);
    Duration tailTime = std::chrono::milliseconds(2);
    /// Share of the calls that straggle, and the longest time that it adds; the shortest is half of it.
    double stragglerShare = 0;
    Duration straggle = std::chrono::milliseconds(800);
    /// Multiplies every service time.
    double slowFactor = 1;
    /// Calls after which a cold searcher bears twice as many at a time.
    std::uint32_t callsPerStep = 16;
    /// Multiplies the service time of a cold searcher.
    double coldFactor = 2;

    /// Mean service time of a warm searcher.
    Duration meanTime() const noexcept { return fixedTime + tailTime; }
};

/// How a call ended at a searcher.
struct SearcherEnd {
    enum class Kind {
        Answered,
        Refused,  ///< No connection left.
        NoServer, ///< Nothing listens there.
        Broken,   ///< The searcher went away.
        Stopped,  ///< Cancelled by the caller.
    };
    Kind kind = Kind::Answered;
    /// Time since the call arrived.
    Duration latency{0};
    Incarnation incarnation;
    int load = 0;
};

/// What a searcher saw.
struct SearcherCounters {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    /// Most calls at a time, running and waiting.
    std::uint32_t peakOpen = 0;
    /// Calls that came while as many as a cold searcher bears were already there.
    std::uint64_t coldOverruns = 0;
    /// When it last became warm; the start of time if never.
    TimePoint warmAt;
    /// When it last started cold.
    TimePoint coldAt;
};

/// One searcher. Calls over its slots wait inside, first come, first served; a cold one that is given more than it
/// bears serves everything more slowly the more it is given.
class FakeSearcher
{
public:
    using Done = std::function<void(const SearcherEnd &)>;

    FakeSearcher(VirtualLoop &loop, const SearcherModel &model, std::uint64_t seed);

    /// Takes a call. \p done is called once, later or at once.
    void submit(CallId call, std::size_t parts, Done done);

    /// Stops a call; its end is Stopped. Nothing happens if it has ended.
    void cancel(CallId call);

    /// Goes away: all calls break.
    void goDown();

    /// Starts anew, cold.
    void startCold();

    /// Behaviour that may be changed at any time; holds for calls that start later.
    SearcherModel &model() noexcept { return model_; }

    const SearcherCounters &counters() const noexcept { return counters_; }

    /// Calls that it bears at a time now.
    std::uint32_t bears() const noexcept;

private:
    struct Job {
        CallId call;
        std::size_t parts = 1;
        TimePoint arrivedAt;
        Done done;
        std::uint64_t number = 0;
    };

    void start(Job job);
    void startWaiting();
    void finish(std::uint64_t number);
    void end(const Job &job, SearcherEnd::Kind kind) const;
    Duration serviceTime(const Job &job);

    VirtualLoop &loop_;
    SearcherModel model_;
    Random random_;
    bool isDown_ = false;
    Incarnation incarnation_{1};
    /// Calls served since the start; a warm searcher has served enough.
    std::uint64_t served_;
    std::uint64_t lastJob_ = 0;
    std::vector<Job> running_;
    std::deque<Job> waiting_;
    SearcherCounters counters_;
};

} // namespace sassafrasvane
