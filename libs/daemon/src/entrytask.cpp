#include "daemon/entrytask.h"

#include "base/random.h"
#include "daemon/eventloop.h"
#include "fanout/query.h"
#include "fanout/replicarouter.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Share of a class's latency target after which parts without an answer are hedged.
constexpr double hedgeShare = 0.3;
/// Share of a class's latency target after which a complete enough answer goes out.
constexpr double earlyStopShare = 0.6;
/// Share of a class's latency target at which the answer goes out.
constexpr double deadlineShare = 0.9;
/// Extra calls that a class may save up.
constexpr double maxExtraTokens = 50;
/// A leaf has this much less time than the entry, for the way back.
constexpr Duration replyMargin = 2ms;
/// Time after its deadline for which the leaf's reply to an attempt is awaited.
constexpr Duration runGrace = 5s;

/// A fan-out query and its caller.
struct OpenQuery {
    Query query;
    ClassIndex cls;
    CallerReply reply;
    LeafRequest request; ///< Template of the requests to leaves.
    TimePoint deadline;
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
};

/// The budget of extra calls of one class.
struct ExtraTokens {
    double tokens = 0;
};

CallerOutcome failure(Error error, Ran ran)
{
    CallerOutcome outcome;
    outcome.error = std::move(error);
    outcome.ran = ran;
    return outcome;
}

} // namespace

struct EntryTask::Implementation {
    Implementation(const EntryIdentity &identity, EntryHooks hooks)
        : identity(identity), hooks(std::move(hooks)), router(identity.daemon, identity.seed)
    {
    }

    EntryIdentity identity;
    EntryHooks hooks;
    std::shared_ptr<const PublishedView> view;
    ReplicaRouter router;
    std::unordered_map<QueryId, OpenQuery> queries;
    std::unordered_map<QueryId, OpenRun> runs;
    std::unordered_map<CallId, OpenCall> calls;
    std::map<std::string, ExtraTokens, std::less<>> budgets;
    std::uint64_t lastQuery = 0;
    std::uint64_t lastCall = 0;
    EventLoop loop{"entry"};

    void adopt(std::shared_ptr<const PublishedView> next);
    void startQuery(const CallerQuery &query, const std::string &traceparent, CallerReply reply);
    void startRun(const RunWork &work, const RunReply &reply);
    QueryHooks hooksFor(const std::string &className, double extraLoad);
    void apply(QueryId id, QueryActions &actions);
    void send(QueryId id, const LeafRequest &request, std::vector<SearchCall> sent);
    void cancel(const std::vector<CallId> &cancelled);
    void answer(QueryId id, QueryAnswer answer);
    void take(LeafReply reply);
    void endRun(QueryId id, RunEnd end);
    void wake(QueryId id);
    void failCall(CallId call, CallOutcome outcome, Errc error);
    const RequestClass *findClass(std::string_view name) const;
};

void EntryTask::Implementation::adopt(std::shared_ptr<const PublishedView> next)
{
    view = std::move(next);
    router.setView({view->map, view->configuration, view->holders, BootClock::now()});
}

const RequestClass *EntryTask::Implementation::findClass(std::string_view name) const
{
    const std::optional<ClassIndex> index = view->configuration->findClass(name);
    return index ? &view->configuration->classes[index->value] : nullptr;
}

QueryHooks EntryTask::Implementation::hooksFor(const std::string &className, double extraLoad)
{
    QueryHooks queryHooks;
    queryHooks.chooseReplica = [this](IndexVersion version, const Part &part, std::span<const SearcherId> avoid) {
        return router.choose(BootClock::now(), version, part, avoid);
    };
    queryHooks.spendExtra = [this, className] {
        double &tokens = budgets[className].tokens;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    };
    queryHooks.nextCall = [this, className, extraLoad] {
        double &tokens = budgets[className].tokens;
        tokens = std::min(tokens + extraLoad, maxExtraTokens);
        return CallId{++lastCall};
    };
    return queryHooks;
}

void EntryTask::Implementation::startQuery(const CallerQuery &query, const std::string &traceparent, CallerReply reply)
{
    const TimePoint now = BootClock::now();
    if (view == nullptr) {
        reply(failure(Error(Errc::Unavailable, Step::Route, {}, "no configuration has been read yet"), Ran::No));
        return;
    }
    const RequestClass *cls = findClass(query.className);
    if (cls == nullptr || !cls->isIdempotent) {
        reply(failure(Error(Errc::InvalidRequest, Step::Accept, {}, "/class names no class of queries"), Ran::No));
        return;
    }
    const double target = static_cast<double>(cls->target.latency.count());
    Duration timeLeft(static_cast<Duration::rep>(target * deadlineShare));
    if (query.timeLeft) {
        timeLeft = std::min(timeLeft, *query.timeLeft);
    }
    QueryTerms terms;
    terms.deadline = now + timeLeft;
    terms.hedgeAt = now + Duration(static_cast<Duration::rep>(target * hedgeShare));
    terms.earlyStopAt = now + Duration(static_cast<Duration::rep>(target * earlyStopShare));
    terms.quorum = cls->target.completeness;
    terms.hitLimit = query.hitLimit;
    Result<Query> built = Query::Builder()
                              .map(view->map, cls->backEnd)
                              .terms(terms)
                              .hooks(hooksFor(cls->name, cls->target.extraLoad))
                              .build(now);
    if (built.has_error()) {
        reply(failure(built.error(), Ran::No));
        return;
    }
    const QueryId id{++lastQuery};
    LeafRequest request;
    request.query = id;
    request.entryIncarnation = identity.incarnation;
    request.cls = *view->configuration->findClass(cls->name);
    request.hitLimit = query.hitLimit;
    request.fingerprint = Fingerprint{hashBytes(query.query)};
    request.traceparent = traceparent;
    request.payload = query.query;
    const auto placed
        = queries
              .emplace(id,
                       OpenQuery{
                           std::move(built.value()), request.cls, std::move(reply), std::move(request), terms.deadline})
              .first;
    QueryActions actions;
    placed->second.query.start(now, actions);
    apply(id, actions);
}

void EntryTask::Implementation::apply(QueryId id, QueryActions &actions)
{
    const auto found = queries.find(id);
    if (found == queries.end()) {
        return;
    }
    cancel(actions.cancel);
    if (actions.answer) {
        answer(id, std::move(*actions.answer));
        return;
    }
    if (actions.wakeAt) {
        loop.at(*actions.wakeAt, [this, id] { wake(id); });
    }
    if (!actions.send.empty()) {
        LeafRequest request = found->second.request;
        request.timeLeft = found->second.deadline - BootClock::now() - replyMargin;
        send(id, request, std::move(actions.send));
    }
}

// Groups calls by the daemon that holds their searcher. A call whose searcher has no usable holder ends at once.
void EntryTask::Implementation::send(QueryId id, const LeafRequest &request, std::vector<SearchCall> sent)
{
    const TimePoint now = BootClock::now();
    std::map<DaemonId, std::vector<SearchCall>> groups;
    std::vector<CallId> homeless;
    for (SearchCall &call : sent) {
        const std::optional<DaemonId> holder = router.holder(call.searcher);
        calls.emplace(call.call, OpenCall{id, holder.value_or(DaemonId{}), call.searcher, call.version, now});
        router.onSent(call.searcher);
        if (holder) {
            groups[*holder].push_back(std::move(call));
        } else {
            homeless.push_back(call.call);
        }
    }
    for (auto &[holder, group] : groups) {
        LeafRequest message = request;
        message.calls = std::move(group);
        hooks.sendRequest(holder, std::move(message));
    }
    for (const CallId call : homeless) {
        failCall(call, CallOutcome::Refused, Errc::NoServer);
    }
}

void EntryTask::Implementation::cancel(const std::vector<CallId> &cancelled)
{
    std::map<DaemonId, std::vector<CallId>> groups;
    for (const CallId call : cancelled) {
        const auto found = calls.find(call);
        if (found != calls.end()) {
            groups[found->second.holder].push_back(call);
            router.onAbandoned(found->second.searcher);
            calls.erase(found);
        }
    }
    for (auto &[holder, group] : groups) {
        hooks.sendCancel(holder, LeafCancel{identity.incarnation, std::move(group)});
    }
}

void EntryTask::Implementation::answer(QueryId id, QueryAnswer answer)
{
    const auto found = queries.find(id);
    const CallerReply reply = std::move(found->second.reply);
    queries.erase(found);
    if (answer.coveredParts == 0 && answer.totalParts > 0) {
        const Errc reason = answer.missed.empty() ? Errc::NoServer : answer.missed.front().reason;
        reply(failure(Error(reason, Step::Run, {}, "no part of the index answered"),
                      answer.sentCalls == 0 ? Ran::No : Ran::Unknown));
        return;
    }
    CallerOutcome outcome;
    outcome.answer = std::move(answer);
    outcome.ran = Ran::Yes;
    reply(std::move(outcome));
}

void EntryTask::Implementation::take(LeafReply reply)
{
    if (reply.entryIncarnation != identity.incarnation) {
        return;
    }
    const auto found = calls.find(reply.reply.call);
    if (found == calls.end() || found->second.query != reply.query || found->second.searcher != reply.reply.searcher) {
        return;
    }
    const TimePoint now = BootClock::now();
    const OpenCall call = found->second;
    calls.erase(found);
    router.onReply(now, reply.reply, now - call.sentAt);
    const auto query = queries.find(call.query);
    if (query == queries.end()) {
        endRun(call.query, {reply.reply.outcome, reply.reply.error, std::move(reply.result)});
        return;
    }
    QueryActions actions;
    query->second.query.onReply(now, std::move(reply.reply), actions);
    apply(call.query, actions);
}

void EntryTask::Implementation::failCall(CallId call, CallOutcome outcome, Errc error)
{
    const auto found = calls.find(call);
    if (found == calls.end()) {
        return;
    }
    LeafReply reply;
    reply.query = found->second.query;
    reply.entryIncarnation = identity.incarnation;
    reply.reply
        = {call, found->second.searcher, found->second.version, outcome, error, outcome == CallOutcome::Failed, {}};
    take(std::move(reply));
}

void EntryTask::Implementation::wake(QueryId id)
{
    const TimePoint now = BootClock::now();
    if (const auto found = queries.find(id); found != queries.end()) {
        QueryActions actions;
        found->second.query.onTimer(now, actions);
        apply(id, actions);
        return;
    }
    const auto run = runs.find(id);
    if (run != runs.end() && now >= run->second.giveUpAt) {
        endRun(id, {CallOutcome::Failed, Errc::Timeout, {}});
    }
}

void EntryTask::Implementation::startRun(const RunWork &work, const RunReply &reply)
{
    const TimePoint now = BootClock::now();
    const RequestClass *cls = view == nullptr ? nullptr : findClass(work.className);
    if (cls == nullptr || cls->isIdempotent) {
        reply({CallOutcome::Refused, Errc::InvalidRequest, {}});
        return;
    }
    const BackEndMap *backEnd = view->map->find(cls->backEnd);
    if (backEnd == nullptr || backEnd->versions.empty()) {
        reply({CallOutcome::Refused, Errc::NoSnapshot, {}});
        return;
    }
    const IndexMap &index = backEnd->versions.front();
    const std::uint64_t key = hashBytes(work.identity) % index.width + index.parts.front().begin;
    const auto part = std::find_if(
        index.parts.begin(), index.parts.end(), [key](const Part &candidate) { return key < candidate.end; });
    const std::optional<SearcherId> searcher = router.choose(now, index.version, *part, {});
    if (!searcher || work.deadline <= now) {
        reply({CallOutcome::Refused, searcher ? Errc::DeadlinePassed : Errc::NoServer, {}});
        return;
    }
    const QueryId id{++lastQuery};
    LeafRequest request;
    request.kind = WorkKind::Run;
    request.query = id;
    request.entryIncarnation = identity.incarnation;
    request.cls = *view->configuration->findClass(cls->name);
    request.timeLeft = work.deadline - now;
    request.traceparent = work.traceparent;
    request.payload = work.request;
    request.identity = work.identity;
    const TimePoint giveUpAt = work.deadline + runGrace;
    runs.emplace(id, OpenRun{reply, giveUpAt});
    loop.at(giveUpAt, [this, id] { wake(id); });
    send(id, request, {SearchCall{CallId{++lastCall}, *searcher, index.version, {part->id}, false}});
}

void EntryTask::Implementation::endRun(QueryId id, RunEnd end)
{
    const auto found = runs.find(id);
    if (found == runs.end()) {
        return;
    }
    const RunReply reply = std::move(found->second.reply);
    runs.erase(found);
    reply(std::move(end));
}

EntryTask::EntryTask(const EntryIdentity &identity, EntryHooks hooks)
    : implementation_(std::make_unique<Implementation>(identity, std::move(hooks)))
{
}

EntryTask::~EntryTask()
{
    stop();
}

void EntryTask::setView(std::shared_ptr<const PublishedView> view)
{
    implementation_->loop.post(
        [implementation = implementation_.get(), view = std::move(view)] { implementation->adopt(view); });
}

void EntryTask::setUnusableDaemons(std::unordered_set<DaemonId> daemons)
{
    implementation_->loop.post([implementation = implementation_.get(), daemons = std::move(daemons)] {
        implementation->router.setUnusableDaemons(daemons);
    });
}

void EntryTask::query(CallerQuery query, std::string traceparent, CallerReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(),
                                query = std::move(query),
                                traceparent = std::move(traceparent),
                                reply = std::move(reply)] { implementation->startQuery(query, traceparent, reply); });
}

void EntryTask::run(RunWork work, RunReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(),
                                work = std::move(work),
                                reply = std::move(reply)] { implementation->startRun(work, reply); });
}

void EntryTask::onReply(LeafReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(), reply = std::move(reply)]() mutable {
        implementation->take(std::move(reply));
    });
}

void EntryTask::onUnsent(DaemonId, LeafRequest request)
{
    implementation_->loop.post([implementation = implementation_.get(), request = std::move(request)] {
        for (const SearchCall &call : request.calls) {
            implementation->failCall(call.call, CallOutcome::Refused, Errc::ConnectFailed);
        }
    });
}

void EntryTask::onLost(DaemonId daemon)
{
    implementation_->loop.post([implementation = implementation_.get(), daemon] {
        std::vector<CallId> lost;
        for (const auto &[id, call] : implementation->calls) {
            if (call.holder == daemon) {
                lost.push_back(id);
            }
        }
        for (const CallId call : lost) {
            implementation->failCall(call, CallOutcome::Failed, Errc::ConnectionLost);
        }
    });
}

void EntryTask::stop()
{
    implementation_->loop.stop();
    const Error error(Errc::Draining, Step::Stop, {}, "the daemon has stopped");
    for (auto &[id, query] : implementation_->queries) {
        query.reply(failure(error, Ran::Unknown));
    }
    for (auto &[id, run] : implementation_->runs) {
        run.reply({CallOutcome::Failed, Errc::Draining, {}});
    }
    implementation_->queries.clear();
    implementation_->runs.clear();
}

} // namespace sassafrasvane
