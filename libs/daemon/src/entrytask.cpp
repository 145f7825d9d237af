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

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// A leaf has this much less time than the entry, for the way back.
constexpr Duration replyMargin = 2ms;
/// Time after its deadline for which the leaf's reply to an attempt is awaited.
constexpr Duration runGrace = 5s;

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

FirstSend firstSendOf(CrashVerdict verdict)
{
    switch (verdict) {
    case CrashVerdict::Run:
        return FirstSend::All;
    case CrashVerdict::ProbeFirst:
        return FirstSend::ProbeFirst;
    case CrashVerdict::Suspect:
    case CrashVerdict::Wait:
    case CrashVerdict::Barred:
        return FirstSend::Suspect;
    }
    return FirstSend::Suspect;
}

/// Share of the parts for which a server could be asked at all.
double reachableShare(const QueryAnswer &answer)
{
    if (answer.totalParts == 0) {
        return 0;
    }
    const std::ptrdiff_t unreachable
        = std::count_if(answer.missed.begin(), answer.missed.end(), [](const MissedPart &part) {
              return part.reason == Errc::NoServer;
          });
    return 1 - static_cast<double>(unreachable) / static_cast<double>(answer.totalParts);
}

CallerOutcome failure(Error error, Ran ran)
{
    CallerOutcome outcome;
    outcome.error = std::move(error);
    outcome.ran = ran;
    return outcome;
}

} // namespace

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
    std::unordered_map<QueryId, WaitingQuery> waiting;
    std::unordered_map<QueryId, OpenQuery> queries;
    std::unordered_map<QueryId, OpenRun> runs;
    std::unordered_map<CallId, OpenCall> calls;
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
    QueryTerms termsFor(const WaitingQuery &query, const detail::ClassRuntime &runtime, TimePoint now) const;
    void apply(QueryId id, QueryActions &actions);
    void send(QueryId id, const LeafRequest &request, std::vector<SearchCall> sent);
    void cancel(const std::vector<CallId> &cancelled);
    void answer(QueryId id, QueryAnswer answer);
    void take(LeafReply reply);
    void learn(const OpenCall &call, const SearchReply &reply, const OpenQuery *query);
    void endRun(QueryId id, RunEnd end);
    void wake(QueryId id);
    void failCall(CallId call, CallOutcome outcome, Errc error);
    const RequestClass *findClass(std::string_view name) const;
    double completenessOf(std::string_view className) const;
};

void EntryTask::Implementation::adopt(std::shared_ptr<const PublishedView> next)
{
    view = std::move(next);
    const TimePoint now = BootClock::now();
    router.setView({view->map, view->configuration, view->holders, now});
    for (const RequestClass &cls : view->configuration->classes) {
        classes.try_emplace(cls.name, cls).first->second.setTarget(cls);
    }
    EntryActions actions;
    admission.setClasses(now, view->configuration->classes, actions);
    applyAdmission(actions);
}

const RequestClass *EntryTask::Implementation::findClass(std::string_view name) const
{
    const std::optional<ClassIndex> index = view->configuration->findClass(name);
    return index ? &view->configuration->classes[index->value] : nullptr;
}

double EntryTask::Implementation::completenessOf(std::string_view className) const
{
    const RequestClass *cls = findClass(className);
    return cls == nullptr ? 1 : cls->target.completeness;
}

QueryHooks EntryTask::Implementation::hooksFor(detail::ClassRuntime &runtime)
{
    QueryHooks queryHooks;
    queryHooks.chooseReplica = [this](IndexVersion version, const Part &part, std::span<const SearcherId> avoid) {
        return router.choose(BootClock::now(), version, part, avoid);
    };
    // Classes are never removed from the map, so the reference stays good.
    queryHooks.spendExtra = [&runtime] { return runtime.budget.spend(BootClock::now()); };
    queryHooks.nextCall = [this] { return CallId{++lastCall}; };
    return queryHooks;
}

QueryTerms EntryTask::Implementation::termsFor(const WaitingQuery &query,
                                               const detail::ClassRuntime &runtime,
                                               TimePoint now) const
{
    const ClassTerms &cls = runtime.controller.terms();
    QueryTerms terms;
    terms.deadline = query.arrivedAt + cls.deadline;
    if (query.asked.timeLeft) {
        terms.deadline = std::min(terms.deadline, query.arrivedAt + *query.asked.timeLeft);
    }
    terms.hedgeAt = std::min(now + cls.hedgeDelay, terms.deadline);
    terms.earlyStopAt = now + cls.earlyStopDelay;
    terms.quorum = cls.quorum;
    terms.hitLimit = query.asked.hitLimit;
    return terms;
}

void EntryTask::Implementation::offerQuery(const CallerQuery &query,
                                           const std::string &traceparent,
                                           const CallerReply &reply)
{
    if (view == nullptr) {
        reply(failure(Error(Errc::Unavailable, Step::Route, {}, "no configuration has been read yet"), Ran::No));
        return;
    }
    const std::optional<ClassIndex> index = view->configuration->findClass(query.className);
    if (!index || !view->configuration->classes[index->value].isIdempotent) {
        reply(failure(Error(Errc::InvalidRequest, Step::Accept, {}, "/class names no class of queries"), Ran::No));
        return;
    }
    const TimePoint now = BootClock::now();
    const QueryId id{++lastQuery};
    const RequestClass &cls = view->configuration->classes[index->value];
    const WaitingQuery &placed
        = waiting.emplace(id, WaitingQuery{query, cls, *index, traceparent, reply, now}).first->second;
    const TimePoint deadline = termsFor(placed, classes.at(cls.name), now).deadline;
    EntryActions actions;
    admission.offer(now, {id, *index, deadline}, actions);
    applyAdmission(actions);
}

void EntryTask::Implementation::applyAdmission(EntryActions &actions)
{
    for (const EntryRefusal &refusal : actions.refuse) {
        const auto found = waiting.find(refusal.query);
        if (found != waiting.end()) {
            const CallerReply reply = std::move(found->second.reply);
            waiting.erase(found);
            CallerOutcome outcome
                = failure(Error(refusal.reason, Step::Queue, {}, "cannot be answered in time"), Ran::No);
            outcome.retryAfter = refusal.retryAfter;
            reply(std::move(outcome));
        }
    }
    if (actions.wakeAt) {
        loop.at(*actions.wakeAt, [this] {
            EntryActions next;
            admission.onTimer(BootClock::now(), next);
            applyAdmission(next);
        });
    }
    for (const QueryId id : actions.start) {
        startQuery(id);
    }
}

void EntryTask::Implementation::startQuery(QueryId id)
{
    const TimePoint now = BootClock::now();
    const WaitingQuery asked = std::move(waiting.at(id));
    waiting.erase(id);
    detail::ClassRuntime &runtime = classes.at(asked.cls.name);
    const BackEndMap *backEnd = view->map->find(asked.cls.backEnd);
    const IndexVersion newest
        = backEnd == nullptr || backEnd->versions.empty() ? IndexVersion{} : backEnd->versions.front().version;
    const Fingerprint fingerprint{mix(hashBytes(asked.asked.query), mix(hashBytes(asked.cls.backEnd), newest.value))};
    const CrashVerdict verdict = crashes.check(fingerprint);
    if (verdict == CrashVerdict::Barred || verdict == CrashVerdict::Wait) {
        EntryActions freed;
        admission.onFinished(now, {id, Duration{0}, false}, freed);
        CallerOutcome outcome
            = failure(Error(Errc::Barred, Step::Route, {}, "the request has crashed servers that ran it"), Ran::No);
        outcome.retryAfter = verdict == CrashVerdict::Wait ? CrashBar::suspectPause() : CrashBar::entryLifetime();
        asked.reply(std::move(outcome));
        applyAdmission(freed);
        return;
    }
    QueryTerms terms = termsFor(asked, runtime, now);
    terms.firstSend = firstSendOf(verdict);
    QueryHooks queryHooks = hooksFor(runtime);
    queryHooks.chooseProbe = [fingerprint](std::span<const SearcherId> searchers) {
        return CrashBar::probeServer(fingerprint, searchers);
    };
    Result<Query> built
        = Query::Builder().map(view->map, asked.cls.backEnd).terms(terms).hooks(std::move(queryHooks)).build(now);
    if (built.has_error()) {
        EntryActions freed;
        admission.onFinished(now, {id, Duration{0}, false}, freed);
        asked.reply(failure(built.error(), Ran::No));
        applyAdmission(freed);
        return;
    }
    LeafRequest request;
    request.query = id;
    request.entryIncarnation = identity.incarnation;
    request.cls = asked.index;
    request.hitLimit = asked.asked.hitLimit;
    request.fingerprint = fingerprint;
    request.traceparent = asked.traceparent;
    request.payload = asked.asked.query;
    OpenQuery open{std::move(built.value()),
                   asked.cls.name,
                   asked.reply,
                   std::move(request),
                   terms.deadline,
                   asked.arrivedAt,
                   now};
    Query &query = queries.emplace(id, std::move(open)).first->second.query;
    QueryActions actions;
    query.start(now, actions);
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
        const std::size_t needed = static_cast<std::size_t>(std::count_if(
            actions.send.begin(), actions.send.end(), [](const SearchCall &call) { return !call.isExtra; }));
        classes.at(found->second.className).budget.onNeeded(needed);
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
        const std::optional<DaemonId> holder = router.holder(now, call.searcher);
        calls.emplace(call.call,
                      OpenCall{id, holder.value_or(DaemonId{}), call.searcher, call.version, now, call.isExtra});
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
    const TimePoint now = BootClock::now();
    const auto found = queries.find(id);
    const OpenQuery open = std::move(found->second);
    queries.erase(found);
    detail::ClassRuntime &runtime = classes.at(open.className);
    runtime.controller.onQuery(
        {now - open.arrivedAt, answer.coverage, reachableShare(answer), answer.neededCalls, answer.extraCalls});
    EntryActions freed;
    const double tolerated = 1 - completenessOf(open.className);
    const bool isOverloaded
        = static_cast<double>(open.refusedCalls) > tolerated * static_cast<double>(answer.neededCalls);
    admission.onFinished(now, {id, now - open.startedAt, isOverloaded}, freed);
    if (answer.coveredParts == 0 && answer.totalParts > 0) {
        const Errc reason = answer.missed.empty() ? Errc::NoServer : answer.missed.front().reason;
        open.reply(failure(Error(reason, Step::Run, {}, "no part of the index answered"),
                           answer.sentCalls == 0 ? Ran::No : Ran::Unknown));
    } else {
        CallerOutcome outcome;
        outcome.answer = std::move(answer);
        outcome.ran = Ran::Yes;
        outcome.conflict = runtime.conflictText();
        open.reply(std::move(outcome));
    }
    applyAdmission(freed);
}

// Feeds what a reply says of its searcher, its holder and its class to those who follow them.
void EntryTask::Implementation::learn(const OpenCall &call, const SearchReply &reply, const OpenQuery *query)
{
    const TimePoint now = BootClock::now();
    const bool isAnswered = reply.outcome == CallOutcome::Answered;
    router.onReply(now, reply, now - call.sentAt, call.holder);
    if (query == nullptr) {
        return;
    }
    if (isAnswered) {
        crashes.onSuccess(query->request.fingerprint);
    }
    detail::ClassRuntime &runtime = classes.at(query->className);
    runtime.budget.onResult(now, isAnswered);
    if (call.isExtra && !reply.wasSent) {
        runtime.budget.refund();
    }
    if (isAnswered) {
        runtime.controller.onCall(now - call.sentAt);
    }
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
    const auto query = queries.find(call.query);
    learn(call, reply.reply, query == queries.end() ? nullptr : &query->second);
    if (query == queries.end()) {
        endRun(call.query, {reply.reply.outcome, reply.reply.error, std::move(reply.result)});
        return;
    }
    const Errc error = reply.reply.error;
    if (reply.reply.outcome == CallOutcome::Refused && (error == Errc::Overloaded || error == Errc::DeadlinePassed)) {
        ++query->second.refusedCalls;
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

EntryTask::EntryTask(const EntryIdentity &identity, SharedCrashBar &crashes, EntryHooks hooks)
    : implementation_(std::make_unique<Implementation>(identity, crashes, std::move(hooks)))
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
                                reply = std::move(reply)] { implementation->offerQuery(query, traceparent, reply); });
}

void EntryTask::run(RunWork work, RunReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(),
                                work = std::move(work),
                                reply = std::move(reply)] { implementation->startRun(work, reply); });
}

std::vector<ClassState> EntryTask::classes() const
{
    std::promise<std::vector<ClassState>> promise;
    implementation_->loop.post([implementation = implementation_.get(), &promise] {
        std::vector<ClassState> list;
        for (const auto &[name, runtime] : implementation->classes) {
            list.push_back({name, runtime.conflictText()});
        }
        promise.set_value(std::move(list));
    });
    return promise.get_future().get();
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
            implementation->failCall(call.call, CallOutcome::Refused, Errc::Unavailable);
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
    for (auto &[id, query] : implementation_->waiting) {
        query.reply(failure(error, Ran::No));
    }
    for (auto &[id, query] : implementation_->queries) {
        query.reply(failure(error, Ran::Unknown));
    }
    for (auto &[id, run] : implementation_->runs) {
        run.reply({CallOutcome::Failed, Errc::Draining, {}});
    }
    implementation_->waiting.clear();
    implementation_->queries.clear();
    implementation_->runs.clear();
}

} // namespace sassafrasvane
