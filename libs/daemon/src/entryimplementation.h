#pragma once

#include "daemon/entrytask.h"

#include "admission/entryadmission.h"
#include "base/random.h"
#include "classruntime.h"
#include "daemon/eventloop.h"
#include "fanout/query.h"
#include "fanout/replicarouter.h"

#include <algorithm>
#include <future>
#include <map>
#include <unordered_map>

/// \file
/// The state of the entry task.

namespace sassafrasvane
{

namespace detail
{

/// A query that waits for admission.
struct WaitingQuery {
    CallerQuery asked;
    RequestClass cls;
    ClassIndex index;
    std::string traceparent;
    CallerReply reply;
    TimePoint arrivedAt;
};

/// A fan-out query and its caller.
struct OpenQuery {
    Query query;
    std::string className;
    CallerReply reply;
    LeafRequest request; ///< Template of the requests to leaves.
    TimePoint deadline;
    TimePoint arrivedAt;
    TimePoint startedAt;
    /// Calls that a holder or a searcher refused for lack of room.
    std::size_t refusedCalls = 0;
};

/// An attempt of a non-idempotent request.
struct OpenRun {
    RunReply reply;
    /// The leaf always answers before this time; afterwards the attempt is given up.
    TimePoint giveUpAt;
};

/// A call that has been handed to a leaf daemon.
struct OpenCall {
    QueryId query;
    DaemonId holder;
    SearcherId searcher;
    IndexVersion version;
    TimePoint sentAt;
    bool isExtra = false;
};

} // namespace detail

struct EntryTask::Implementation {
    Implementation(const EntryIdentity &identity, SharedCrashBar &crashes, EntryHooks hooks)
        : identity(identity), crashes(crashes), hooks(std::move(hooks)), router(identity.daemon, identity.seed)
    {
    }

    EntryIdentity identity;
    SharedCrashBar &crashes;
    EntryHooks hooks;
    std::shared_ptr<const PublishedView> view;
    ReplicaRouter router;
    EntryAdmission admission{{}};
    std::unordered_map<QueryId, detail::WaitingQuery> waiting;
    std::unordered_map<QueryId, detail::OpenQuery> queries;
    std::unordered_map<QueryId, detail::OpenRun> runs;
    std::unordered_map<CallId, detail::OpenCall> calls;
    std::map<std::string, detail::ClassRuntime, std::less<>> classes;
    std::uint64_t lastQuery = 0;
    std::uint64_t lastCall = 0;
    EventLoop loop{"entry"};

    void adopt(std::shared_ptr<const PublishedView> next);
    void offerQuery(const CallerQuery &query, const std::string &traceparent, const CallerReply &reply);
    void applyAdmission(EntryActions &actions);
    void startQuery(QueryId id);
    void startRun(const RunWork &work, const RunReply &reply);
    QueryHooks hooksFor(detail::ClassRuntime &runtime);
    QueryTerms termsFor(const detail::WaitingQuery &query, const detail::ClassRuntime &runtime, TimePoint now) const;
    void apply(QueryId id, QueryActions &actions);
    void send(QueryId id, const LeafRequest &request, std::vector<SearchCall> sent);
    void cancel(const std::vector<CallId> &cancelled);
    void answer(QueryId id, QueryAnswer answer);
    void take(LeafReply reply);
    void learn(const detail::OpenCall &call, const SearchReply &reply, const detail::OpenQuery *query);
    void learnGivenUp(const detail::OpenCall &call);
    void endRun(QueryId id, RunEnd end);
    void wake(QueryId id);
    void failCall(CallId call, CallOutcome outcome, Errc error);
    const RequestClass *findClass(std::string_view name) const;
    double completenessOf(std::string_view className) const;
};

} // namespace sassafrasvane
