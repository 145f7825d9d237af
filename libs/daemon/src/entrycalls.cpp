#include "entryimplementation.h"

#include "base/random.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Time after its deadline for which the leaf's reply to an attempt is awaited.
constexpr Duration runGrace = 5s;

} // namespace

// Groups calls by the daemon that holds their searcher. A call whose searcher has no usable holder ends at once.
void EntryTask::Implementation::send(QueryId id, const LeafRequest &request, std::vector<SearchCall> sent)
{
    const TimePoint now = BootClock::now();
    std::map<DaemonId, std::vector<SearchCall>> groups;
    std::vector<CallId> homeless;
    for (SearchCall &call : sent) {
        const std::optional<DaemonId> holder = router.holder(now, call.searcher);
        calls.emplace(
            call.call,
            detail::OpenCall{id, holder.value_or(DaemonId{}), call.searcher, call.version, now, call.isExtra});
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
            learnGivenUp(found->second);
            router.onAbandoned(found->second.searcher);
            calls.erase(found);
        }
    }
    for (auto &[holder, group] : groups) {
        hooks.sendCancel(holder, LeafCancel{identity.incarnation, std::move(group)});
    }
}

// A call that was given up took at least as long as it ran.
void EntryTask::Implementation::learnGivenUp(const detail::OpenCall &call)
{
    const auto query = queries.find(call.query);
    if (query != queries.end()) {
        classes.at(query->second.className).controller.onCall(BootClock::now() - call.sentAt);
    }
}

// Feeds what a reply says of its searcher, its holder and its class to those who follow them.
void EntryTask::Implementation::learn(const detail::OpenCall &call,
                                      const SearchReply &reply,
                                      const detail::OpenQuery *query)
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
    const detail::OpenCall call = found->second;
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
    runs.emplace(id, detail::OpenRun{reply, giveUpAt});
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

} // namespace sassafrasvane
