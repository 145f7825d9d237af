#pragma once

#include "admission/extraloadbudget.h"
#include "admission/searchergate.h"
#include "fanout/query.h"
#include "fanout/replicarouter.h"
#include "fleet/freshnesslease.h"
#include "searchmessages.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

/// \file
/// One daemon's search path: the decision libraries, joined as the daemon's tasks join them.

namespace sassafrasvane
{

/// What a caller asks.
struct CallerAsk {
    CallerQueryId caller = 0;
    QueryTerms terms;
};

/// Queries, router and gates of one daemon.
class FakeDaemon
{
public:
    /// What a daemon does to its surroundings.
    struct Hooks {
        std::function<void(SearchMessage)> send;
        std::function<void(CallerQueryId, const QueryAnswer &)> answer;
    };

    FakeDaemon(std::size_t position, DaemonId id, Hooks hooks);

    DaemonId id() const noexcept { return id_; }
    Incarnation incarnation() const noexcept { return incarnation_; }
    bool isPaused() const noexcept { return isPaused_; }
    void setPaused(bool isPaused) noexcept { isPaused_ = isPaused; }

    /// The platform or a peer answered at \p now a question asked at \p askedAt; \p isCurrent is false if it knows
    /// more.
    void onAnswer(TimePoint now, TimePoint askedAt, bool isCurrent) { lease_.onResponse(now, askedAt, isCurrent); }

    /// True since the lease asked for a confirmation; false after this call.
    bool takeRefresh() noexcept { return std::exchange(isRefreshWanted_, false); }

    /// Tells the other holders how warm each held searcher is.
    void reportWarmth(TimePoint now);
    void onWarmth(TimePoint now, const WarmthToHolder &message);

    /// The published version that the daemon goes by.
    ConfigVersion viewVersion() const noexcept { return view_.configuration->version; }

    /// The published values reach the daemon. \param daemons all daemons by position.
    void setView(TimePoint now, const RouterView &view, const std::vector<DaemonId> &daemons);
    void setUnusableDaemons(std::unordered_set<DaemonId> daemons) { router_.setUnusableDaemons(std::move(daemons)); }

    /// A caller's query. \return false if it was refused.
    bool ask(TimePoint now, const CallerAsk &ask);

    void onCall(TimePoint now, const CallToHolder &message);
    void onCancel(TimePoint now, const CancelToHolder &message);
    void onEnd(TimePoint now, const EndOfCall &message);
    void onReply(TimePoint now, const ReplyToEntry &message);

    /// Runs all timers that are due.
    void onTime(TimePoint now);

    /// Begins a new life that knows nothing of the earlier one. \return the callers that lost their query.
    std::vector<CallerQueryId> restart(TimePoint now);

private:
    struct OpenQuery {
        Query query;
        CallerQueryId caller = 0;
        TimePoint deadline;
        std::optional<TimePoint> wakeAt;
    };

    struct OpenCall {
        QueryId query;
        SearcherId searcher;
        DaemonId holder;
        TimePoint sentAt;
    };

    struct LeafCall {
        CallToHolder message;
        TimePoint deadline;
        TimePoint startedAt;
        bool isRunning = false;
    };

    struct Held {
        SearcherGate gate;
        BackEndLimits limits;
        HolderShare share;
    };

    QueryHooks queryHooks();
    void apply(TimePoint now, QueryId id, QueryActions actions);
    void sendCall(TimePoint now, QueryId id, const OpenQuery &open, const SearchCall &call);
    void applyGate(TimePoint now, const GateActions &actions);
    bool maySend(TimePoint now, SearcherId searcher);
    void startCall(TimePoint now, CallId id);
    void refuseUnheld();
    void refuse(CallId leafCall, Errc reason);
    std::size_t positionOf(DaemonId daemon) const;

    std::size_t position_;
    DaemonId id_;
    Hooks hooks_;
    Incarnation incarnation_{1};
    bool isPaused_ = false;
    TimePoint now_;
    RouterView view_;
    FreshnessLease lease_{TimePoint()};
    bool isRefreshWanted_ = false;
    bool hasStarted_ = false;
    std::vector<DaemonId> daemons_;
    ReplicaRouter router_;
    std::map<QueryId, OpenQuery> queries_;
    std::map<CallId, OpenCall> calls_;
    std::map<CallId, LeafCall> leafCalls_;
    std::map<SearcherId, Held> held_;
    std::uint64_t lastQuery_ = 0;
    std::uint64_t lastCall_ = 0;
    std::uint64_t lastLeafCall_ = 0;
    ExtraLoadBudget budget_;
};

} // namespace sassafrasvane
