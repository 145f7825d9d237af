#include "entryimplementation.h"

#include "admission/crashbar.h"
#include "base/random.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// A leaf has this much less time than the entry, for the way back.
constexpr Duration replyMargin = 2ms;

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

} // namespace

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

QueryTerms EntryTask::Implementation::termsFor(const detail::WaitingQuery &query,
                                               const detail::ClassRuntime &runtime,
                                               TimePoint now) const
{
    const QueryBounds &cls = runtime.controller.bounds();
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
        reply(CallerOutcome::failure(Error(Errc::Unavailable, Step::Route, {}, "no configuration has been read yet"),
                                     Ran::No));
        return;
    }
    const std::optional<ClassIndex> index = view->configuration->findClass(query.className);
    if (!index || !view->configuration->classes[index->value].isIdempotent) {
        reply(CallerOutcome::failure(Error(Errc::InvalidRequest, Step::Accept, {}, "/class names no class of queries"),
                                     Ran::No));
        return;
    }
    const TimePoint now = BootClock::now();
    const QueryId id{++lastQuery};
    const RequestClass &cls = view->configuration->classes[index->value];
    const detail::WaitingQuery &placed
        = waiting.emplace(id, detail::WaitingQuery{query, cls, *index, traceparent, reply, now}).first->second;
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
                = CallerOutcome::failure(Error(refusal.reason, Step::Queue, {}, "cannot be answered in time"), Ran::No);
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
    const detail::WaitingQuery asked = std::move(waiting.at(id));
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
        CallerOutcome outcome = CallerOutcome::failure(
            Error(Errc::Barred, Step::Route, {}, "the request has crashed servers that ran it"), Ran::No);
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
        asked.reply(CallerOutcome::failure(built.error(), Ran::No));
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
    detail::OpenQuery open{std::move(built.value()),
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

void EntryTask::Implementation::answer(QueryId id, QueryAnswer answer)
{
    const TimePoint now = BootClock::now();
    const auto found = queries.find(id);
    const detail::OpenQuery open = std::move(found->second);
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
        open.reply(CallerOutcome::failure(Error(reason, Step::Run, {}, "no part of the index answered"),
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

} // namespace sassafrasvane
