#pragma once

#include "base/random.h"
#include "searcherrecords.h"
#include "searchersettings.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

/// \file
/// The behaviour of one stand-in searcher, without its HTTP face.

namespace sassafrasvane
{

/// How a request ended.
enum class RunEnd {
    Ran,
    Cold,      ///< Refused: cold and at its allowance.
    Busy,      ///< Refused: slots and queue are full.
    Draining,  ///< Refused: leaving.
    Deadline,  ///< Refused: the deadline passed before it ran.
    Version,   ///< Refused: the version or a part is not held.
    Cancelled, ///< Stopped while it ran, by its sender or by its deadline.
    Lost,      ///< The searcher crashed or restarted; no answer may be given.
};

/// What a request asks for.
struct SearcherRequest {
    /// For cancellation; may be empty.
    std::string call;
    std::optional<TimePoint> deadline;
    /// Crashes the searcher that runs it.
    bool crashes = false;
    /// The version and parts that must be held; none for a request that is not a search.
    std::optional<std::uint64_t> version;
    std::vector<std::uint32_t> parts;
};

/// The end of a request, with what is needed for its answer.
struct SearcherEnd {
    RunEnd end = RunEnd::Lost;
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// The version that was searched, with the parts that were asked for.
    StandinIndex index;
};

/// Faults and state that control can set at any time.
struct SearcherFaults {
    Duration serviceTime{0};
    /// A share of the requests runs this many times as long.
    double straggleFactor = 1;
    double straggleShare = 0;
    bool isDraining = false;
    /// Takes requests and never answers.
    bool isSilent = false;
    /// Accepts no connection.
    bool isDown = false;
    /// Reports no load, whatever it has.
    bool isLying = false;
};

/// Slots, queue, cold start, crashes and records of one searcher. Safe to use from many threads; run() blocks for the
/// time that the request takes.
class StandinSearcher
{
public:
    /// Called without locks held when all connections must be cut.
    using CutHook = std::function<void()>;

    StandinSearcher(SearcherSettings settings, std::uint64_t seed);

    void setCutHook(CutHook hook) { cutHook_ = std::move(hook); }

    /// Runs \p request to its end; \p effect is called once, under the lock, if it ran.
    SearcherEnd run(const SearcherRequest &request, const std::function<void(SearcherRecords &)> &effect);

    /// Takes a new connection, which costs a slot for a time. \return false if it is not accepted.
    bool openConnection();

    /// Cancels the call \p call, whether it waits or runs.
    void cancel(const std::string &call);

    /// The load report, which may lag or lie.
    nlohmann::json load();

    SearcherFaults faults() const;
    void setFaults(const SearcherFaults &faults);
    void setIndexes(std::vector<StandinIndex> indexes);

    /// Ends this life as a crash would, and begins a cold one.
    void restart();

    /// Turns cold without a new incarnation and without cutting anything.
    void turnCold();

    /// Ends all waits for good.
    void shutdown();

    nlohmann::json records() const;
    void resetRecords();

    const SearcherSettings &settings() const noexcept { return settings_; }

private:
    using Lock = std::unique_lock<std::mutex>;

    bool isCold(TimePoint now) const;
    bool isOver(std::uint64_t life) const { return life != life_ || isShutdown_; }
    std::optional<RunEnd> admit(Lock &lock, const SearcherRequest &request, std::uint64_t life);
    std::optional<RunEnd> checkHeld(const SearcherRequest &request) const;
    std::optional<RunEnd> begin(const SearcherRequest &request);
    RunEnd serve(Lock &lock, const SearcherRequest &request, std::uint64_t life);
    Duration serviceTime();
    const StandinIndex *find(std::uint64_t version) const;
    bool hasFreeSlot() const;
    bool isCancelled(const SearcherRequest &request) const;
    SearcherEnd ended(RunEnd end, std::uint64_t incarnation) const;
    void noteArrival(const SearcherRequest &request, TimePoint now);
    void noteRunning(TimePoint now);
    void crash(bool isOwnFault);

    SearcherSettings settings_;
    CutHook cutHook_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Random random_;
    SearcherFaults faults_;
    SearcherRecords records_;
    /// Counts the lives; the incarnation is the time of its start.
    std::uint64_t life_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint32_t running_ = 0;
    /// Connections that are being opened; each takes a slot.
    std::uint32_t opening_ = 0;
    std::uint32_t waiting_ = 0;
    /// Set by a crash until the connections were cut.
    bool mustCut_ = false;
    bool isShutdown_ = false;
    std::optional<TimePoint> firstRunAt_;
    TimePoint downUntil_;
    /// Calls that wait or run, and whether they were cancelled.
    std::map<std::string, bool> active_;
    TimePoint loadAt_;
    nlohmann::json load_;
};

} // namespace sassafrasvane
