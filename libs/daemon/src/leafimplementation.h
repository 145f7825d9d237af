#pragma once

#include "daemon/leaftask.h"

#include "base/random.h"
#include "daemon/eventloop.h"
#include "heldsearcher.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <unordered_map>
#include <utility>

/// \file
/// The state of the leaf task.

namespace sassafrasvane
{

namespace detail
{

/// What the sender of a call calls it.
struct OriginCall {
    LeafOrigin origin;
    Incarnation entryIncarnation;
    CallId call;

    auto operator<=>(const OriginCall &) const noexcept = default;
};

/// A call that waits or runs here.
struct LeafCall {
    LeafOrigin origin;
    std::shared_ptr<const LeafRequest> request;
    SearchCall call;
    /// Of this daemon's own span.
    TraceContext trace;
    TimePoint deadline;
    TimePoint offeredAt;
    TimePoint startedAt;
    std::uint64_t offeredMicros = 0;
    bool isRunning = false;
    bool isCancelled = false;
};

} // namespace detail

struct LeafTask::Implementation {
    Implementation(DaemonId self, SharedCrashBar &crashes, LeafHooks hooks)
        : self(self), crashes(crashes), hooks(std::move(hooks)), random(mix(self.value, wallClockMicros()))
    {
    }

    /// Memory for the answers of all searchers, in bytes.
    static constexpr std::size_t maxResponseMemory() noexcept { return std::size_t{64} * 1024 * 1024; }

    http::ResponseMemory responses{maxResponseMemory()};
    DaemonId self;
    SharedCrashBar &crashes;
    LeafHooks hooks;
    std::shared_ptr<const PublishedView> view;
    std::map<SearcherId, detail::HeldSearcher> held;
    std::unordered_map<CallId, detail::LeafCall> calls;
    /// The calls by what their senders call them.
    std::map<detail::OriginCall, CallId> callsByOrigin;
    std::uint64_t lastCall = 0;
    Random random;
    TimePoint lastTick = BootClock::now();
    TimePoint nextWarmth;
    std::uint64_t lastWarmthQuery = 0;
    std::map<std::uint64_t, TimePoint> warmthAskedAt;
    std::atomic<std::size_t> inFlight{0};
    EventLoop loop{"leaf"};
    /// Ends connections that are no longer used, which waits for their last jobs. Destroyed before the loop that the
    /// connections post to.
    EventLoop closer{"leaf-closer"};

    void adopt(std::shared_ptr<const PublishedView> next);
    void hold(const Searcher &searcher, const BackEndLimits &limits, HolderShare share);
    void release(SearcherId searcher);
    void close(std::unique_ptr<detail::SearcherConnections> connections);
    void offer(const LeafOrigin &origin, const std::shared_ptr<const LeafRequest> &request, const SearchCall &call);
    void apply(SearcherId searcher, const GateActions &actions);
    void start(detail::HeldSearcher &searcher, CallId call);
    void end(SearcherId searcher, const detail::SearcherJobEnd &end);
    void endUnsent(SearcherId searcher, CallId id, Errc reason);
    void wake(SearcherId searcher, TimePoint due);
    void takeHealth(SearcherId searcher, const detail::SearcherHealth &health);
    std::vector<Fingerprint> runningAt(SearcherId searcher, CallId except) const;
    bool passesCrashBar(SearcherId searcher, const detail::LeafCall &call, CallId id) const;
    void learnOfCrash(SearcherId searcher, const detail::LeafCall &call, const detail::SearcherJobEnd &jobEnd);
    void tick();
    void askWarmth(TimePoint now);
    WarmthReply answerWarmth(const WarmthQuery &query) const;
    void takeWarmth(const WarmthReply &reply);
    std::vector<HeldStatus> status() const;
    std::optional<detail::LeafCall> take(CallId id);
    void refuse(CallId call, Errc reason);
    void reply(const detail::LeafCall &call, SearchReply reply, std::string result, Duration served);
    void recordSpan(const detail::LeafCall &call, const SearchReply &reply, Duration queued);
    void cancel(const LeafOrigin &origin, const LeafCancel &cancel);
    bool mayReceiveWork(const Searcher &searcher) const;
};

} // namespace sassafrasvane
