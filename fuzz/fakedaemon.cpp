#include "fakedaemon.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr double extraLoad = 0.5;
constexpr const char *backEndName = "riders";

} // namespace

FakeDaemon::FakeDaemon(std::size_t position, DaemonId id, Hooks hooks)
    : position_(position), id_(id), hooks_(std::move(hooks)), router_(id, id.value), budget_(extraLoad)
{
}

void FakeDaemon::setView(TimePoint now, const RouterView &view, const std::vector<DaemonId> &daemons)
{
    now_ = now;
    view_ = view;
    daemons_ = daemons;
    router_.setView(view);
    const BackEndLimits &limits = *view.configuration->findBackEnd(backEndName);
    std::map<SearcherId, Held> kept;
    for (const SearcherId searcher : view.holders->heldBy(id_)) {
        const HolderShare share = *view.holders->share(searcher, id_);
        const auto found = held_.find(searcher);
        if (found == held_.end()) {
            SearcherGate::Builder builder;
            builder.limits(limits).share(share);
            if (hasStarted_) {
                builder.becameHolderAt(now);
            }
            kept.emplace(searcher, Held{builder.build(), limits, share});
            continue;
        }
        Held held = std::move(found->second);
        GateActions actions;
        held.gate.setShare(now, limits, share, actions);
        kept.emplace(searcher, std::move(held));
        held_.erase(found);
    }
    held_ = std::move(kept);
    hasStarted_ = true;
    refuseUnheld();
}

void FakeDaemon::refuseUnheld()
{
    std::vector<CallId> unheld;
    for (const auto &[id, call] : leafCalls_) {
        if (!call.isRunning && !held_.contains(call.message.call.searcher)) {
            unheld.push_back(id);
        }
    }
    for (const CallId id : unheld) {
        refuse(id, Errc::NoServer);
    }
}

QueryHooks FakeDaemon::queryHooks()
{
    QueryHooks hooks;
    hooks.chooseReplica = [this](IndexVersion version, const Part &part, std::span<const SearcherId> avoid) {
        return router_.choose(now_, version, part, avoid);
    };
    hooks.spendExtra = [this] { return budget_.spend(now_); };
    hooks.nextCall = [this] { return CallId{++lastCall_}; };
    return hooks;
}

bool FakeDaemon::ask(TimePoint now, const CallerAsk &ask)
{
    now_ = now;
    Result<Query> built = Query::Builder().map(view_.map, backEndName).terms(ask.terms).hooks(queryHooks()).build(now);
    if (built.has_error()) {
        return false;
    }
    const QueryId id{++lastQuery_};
    const auto placed
        = queries_.emplace(id, OpenQuery{std::move(built.value()), ask.caller, ask.terms.deadline, std::nullopt}).first;
    QueryActions actions;
    placed->second.query.start(now, actions);
    apply(now, id, std::move(actions));
    return true;
}

void FakeDaemon::apply(TimePoint now, QueryId id, QueryActions actions)
{
    const auto found = queries_.find(id);
    if (found == queries_.end()) {
        return;
    }
    const EntryOrigin origin{position_, incarnation_, id, found->second.caller};
    for (const CallId call : actions.cancel) {
        const auto open = calls_.find(call);
        if (open != calls_.end()) {
            router_.onAbandoned(open->second.searcher);
            hooks_.send(CancelToHolder{origin, positionOf(open->second.holder), call});
            calls_.erase(open);
        }
    }
    if (actions.answer) {
        const CallerQueryId caller = found->second.caller;
        queries_.erase(found);
        hooks_.answer(caller, *actions.answer);
        return;
    }
    found->second.wakeAt = actions.wakeAt;
    budget_.onNeeded(static_cast<std::size_t>(
        std::count_if(actions.send.begin(), actions.send.end(), [](const SearchCall &call) { return !call.isExtra; })));
    for (const SearchCall &call : actions.send) {
        const auto again = queries_.find(id);
        if (again == queries_.end()) {
            return;
        }
        sendCall(now, id, again->second, call);
    }
}

void FakeDaemon::sendCall(TimePoint now, QueryId id, const OpenQuery &open, const SearchCall &call)
{
    const std::optional<DaemonId> holder = router_.holder(now, call.searcher);
    const EntryOrigin origin{position_, incarnation_, id, open.caller};
    calls_.emplace(call.call, OpenCall{id, call.searcher, holder.value_or(DaemonId{}), now});
    router_.onSent(call.searcher);
    if (holder) {
        hooks_.send(CallToHolder{origin, positionOf(*holder), call, open.deadline - now});
        return;
    }
    onReply(now, {origin, {call.call, call.searcher, call.version, CallOutcome::Refused, Errc::NoServer, false, {}}});
}

void FakeDaemon::onCall(TimePoint now, const CallToHolder &message)
{
    now_ = now;
    const CallId id{++lastLeafCall_};
    const TimePoint deadline = now + message.timeLeft;
    const SearcherId searcher = message.call.searcher;
    leafCalls_.emplace(id, LeafCall{message, deadline, now});
    const auto held = held_.find(searcher);
    if (held == held_.end()) {
        refuse(id, Errc::NoServer);
        return;
    }
    GateActions actions;
    held->second.gate.offer(now, {id, ClassIndex{0}, deadline, message.call.isExtra}, actions);
    applyGate(now, actions);
}

void FakeDaemon::applyGate(TimePoint now, const GateActions &actions)
{
    for (const GateRefusal &refusal : actions.refuse) {
        refuse(refusal.call, refusal.reason);
    }
    for (const CallId id : actions.start) {
        startCall(now, id);
    }
}

// What the daemon knows is checked again at the moment of sending, for the call may have waited. A call that may not be
// sent ends as one that the gate sees refused without a run.
void FakeDaemon::startCall(TimePoint now, CallId id)
{
    LeafCall &call = leafCalls_.at(id);
    call.isRunning = true;
    call.startedAt = now;
    CallToServer message{position_, incarnation_, id, call.message.origin, call.message.call, call.deadline, {}};
    if (maySend(now, call.message.call.searcher)) {
        hooks_.send(message);
        return;
    }
    EndOfCall end;
    end.call = message;
    const SearchCall &search = message.call;
    end.reply = {search.call, search.searcher, search.version, CallOutcome::Refused, Errc::NoServer, false, {}};
    hooks_.send(end);
}

bool FakeDaemon::maySend(TimePoint now, SearcherId searcher)
{
    LeaseActions actions;
    const LeaseState state = lease_.check(now, actions);
    isRefreshWanted_ = isRefreshWanted_ || actions.refresh;
    const Searcher *published = view_.map->searcher(searcher);
    return state != LeaseState::Refreshing && published != nullptr && published->state == ServerState::Live
        && !view_.configuration->isOut(published->failureDomain);
}

void FakeDaemon::reportWarmth(TimePoint now)
{
    for (const auto &[searcher, held] : held_) {
        const std::optional<WarmthReport> report = held.gate.warmth();
        for (const DaemonId other : view_.holders->holders(searcher)) {
            if (report && other != id_) {
                hooks_.send(WarmthToHolder{positionOf(other), searcher, *report, now});
            }
        }
    }
}

void FakeDaemon::onWarmth(TimePoint now, const WarmthToHolder &message)
{
    const auto held = held_.find(message.searcher);
    if (held != held_.end()) {
        const WarmthReport &report = message.report;
        const Duration age = message.sentAt - report.confirmedAt + SearcherGate::maxReportAge();
        held->second.gate.onPeerWarmth(now, report.incarnation, report.allowance, age);
    }
}

void FakeDaemon::refuse(CallId leafCall, Errc reason)
{
    const auto found = leafCalls_.find(leafCall);
    const CallToHolder message = found->second.message;
    leafCalls_.erase(found);
    const SearchCall &call = message.call;
    hooks_.send(ReplyToEntry{message.origin,
                             {call.call, call.searcher, call.version, CallOutcome::Refused, reason, false, {}}});
}

void FakeDaemon::onCancel(TimePoint now, const CancelToHolder &message)
{
    now_ = now;
    for (auto entry = leafCalls_.begin(); entry != leafCalls_.end(); ++entry) {
        const CallToHolder &waiting = entry->second.message;
        const bool isSame = waiting.call.call == message.call && waiting.origin.daemon == message.origin.daemon
            && waiting.origin.incarnation == message.origin.incarnation;
        const auto held = held_.find(waiting.call.searcher);
        if (!isSame || entry->second.isRunning || held == held_.end()) {
            continue;
        }
        GateActions actions;
        if (held->second.gate.cancel(now, entry->first, actions)) {
            leafCalls_.erase(entry);
        }
        applyGate(now, actions);
        return;
    }
}

void FakeDaemon::onEnd(TimePoint now, const EndOfCall &message)
{
    now_ = now;
    const auto found = leafCalls_.find(message.call.leafCall);
    if (message.call.holderIncarnation != incarnation_ || found == leafCalls_.end()) {
        return;
    }
    const LeafCall call = found->second;
    leafCalls_.erase(found);
    hooks_.send(ReplyToEntry{call.message.origin, message.reply});
    const auto held = held_.find(message.reply.searcher);
    if (held == held_.end()) {
        return;
    }
    GateResult result;
    result.call = message.call.leafCall;
    result.latency = now - call.startedAt;
    result.incarnation = message.serverIncarnation;
    result.saysCold = message.saysCold;
    result.isConnectionLost = message.isConnectionLost;
    switch (message.reply.outcome) {
    case CallOutcome::Answered:
        result.end = GateResult::End::Answered;
        break;
    case CallOutcome::WrongVersion:
    case CallOutcome::Refused:
        result.end = GateResult::End::Refused;
        break;
    case CallOutcome::Failed:
        result.end = GateResult::End::Failed;
        break;
    }
    GateActions actions;
    held->second.gate.onResult(now, result, actions);
    applyGate(now, actions);
}

void FakeDaemon::onReply(TimePoint now, const ReplyToEntry &message)
{
    now_ = now;
    if (message.origin.incarnation != incarnation_) {
        return;
    }
    const auto found = calls_.find(message.reply.call);
    if (found != calls_.end() && found->second.searcher == message.reply.searcher) {
        router_.onReply(now, message.reply, now - found->second.sentAt, found->second.holder);
        budget_.onResult(now, message.reply.outcome == CallOutcome::Answered);
        calls_.erase(found);
    }
    // Not looked up by the call, so that the query itself has to drop what is not its own.
    const auto query = queries_.find(message.origin.query);
    if (query == queries_.end()) {
        return;
    }
    QueryActions actions;
    query->second.query.onReply(now, message.reply, actions);
    if (!actions.wakeAt && !actions.answer) {
        actions.wakeAt = query->second.wakeAt;
    }
    apply(now, message.origin.query, std::move(actions));
}

void FakeDaemon::onTime(TimePoint now)
{
    now_ = now;
    LeaseActions lease;
    lease_.onTimer(now, lease);
    isRefreshWanted_ = isRefreshWanted_ || lease.refresh;
    std::vector<QueryId> due;
    for (const auto &[id, open] : queries_) {
        if (open.wakeAt && *open.wakeAt <= now) {
            due.push_back(id);
        }
    }
    for (const QueryId id : due) {
        QueryActions actions;
        queries_.at(id).query.onTimer(now, actions);
        apply(now, id, std::move(actions));
    }
    for (auto &[searcher, held] : held_) {
        GateActions actions;
        held.gate.onTimer(now, actions);
        applyGate(now, actions);
    }
}

std::vector<CallerQueryId> FakeDaemon::restart(TimePoint now)
{
    std::vector<CallerQueryId> lost;
    for (const auto &[id, open] : queries_) {
        lost.push_back(open.caller);
    }
    ++incarnation_.value;
    queries_.clear();
    calls_.clear();
    leafCalls_.clear();
    held_.clear();
    lastQuery_ = 0;
    lastCall_ = 0;
    lastLeafCall_ = 0;
    router_ = ReplicaRouter(id_, id_.value);
    lease_ = FreshnessLease(now);
    setView(now, view_, daemons_);
    return lost;
}

std::size_t FakeDaemon::positionOf(DaemonId daemon) const
{
    const auto found = std::find(daemons_.begin(), daemons_.end(), daemon);
    return static_cast<std::size_t>(found - daemons_.begin());
}

} // namespace sassafrasvane
