#include "leafimplementation.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Time between two looks at calls that the lease holds back.
constexpr Duration leaseRetry = 10ms;

GateResult::End endOf(const BackEndAnswer &answer)
{
    if (answer.error == Errc::Cancelled) {
        // The searcher did as it was told.
        return GateResult::End::Answered;
    }
    switch (answer.outcome) {
    case CallOutcome::Answered:
    case CallOutcome::WrongVersion:
        return GateResult::End::Answered;
    case CallOutcome::Refused:
        return GateResult::End::Refused;
    case CallOutcome::Failed:
        return GateResult::End::Failed;
    }
    return GateResult::End::Failed;
}

std::string bodyOf(const detail::LeafCall &call)
{
    const LeafRequest &request = *call.request;
    if (request.kind == WorkKind::Run) {
        return writeRunBody(request.identity, request.payload);
    }
    return writeSearchBody({call.call.version, call.call.parts, request.payload, request.hitLimit});
}

} // namespace

bool LeafTask::Implementation::mayReceiveWork(const Searcher &searcher) const
{
    return searcher.state == ServerState::Live && !view->configuration->isOut(searcher.failureDomain);
}

void LeafTask::Implementation::offer(const LeafOrigin &origin,
                                     const std::shared_ptr<const LeafRequest> &request,
                                     const SearchCall &call)
{
    const TimePoint now = BootClock::now();
    const CallId id{++lastCall};
    const TimePoint deadline = now + request->timeLeft;
    const Result<TraceContext> parent = TraceContext::parse(request->traceparent);
    const TraceContext trace = parent.has_value() ? parent.value().child(random) : TraceContext();
    calls.emplace(id, detail::LeafCall{origin, request, call, trace, deadline, now, now, wallClockMicros()});
    callsByOrigin[{origin, request->entryIncarnation, call.call}] = id;
    inFlight = calls.size();
    const auto found = held.find(call.searcher);
    if (found == held.end()) {
        refuse(id, Errc::NoServer);
        return;
    }
    GateActions actions;
    found->second.gate.offer(now, {id, request->cls, deadline, call.isExtra}, actions);
    apply(call.searcher, actions);
}

void LeafTask::Implementation::apply(SearcherId searcher, const GateActions &actions)
{
    const auto found = held.find(searcher);
    if (found == held.end()) {
        return;
    }
    for (const GateRefusal &refusal : actions.refuse) {
        refuse(refusal.call, refusal.reason);
    }
    for (const CallId call : actions.start) {
        start(found->second, call);
    }
    if (actions.wakeAt && (found->second.wakeAt <= BootClock::now() || *actions.wakeAt < found->second.wakeAt)) {
        found->second.wakeAt = *actions.wakeAt;
        loop.at(*actions.wakeAt, [this, searcher, due = *actions.wakeAt] { wake(searcher, due); });
    }
}

void LeafTask::Implementation::wake(SearcherId searcher, TimePoint due)
{
    const auto found = held.find(searcher);
    if (found == held.end() || found->second.wakeAt != due) {
        return;
    }
    GateActions actions;
    found->second.gate.onTimer(BootClock::now(), actions);
    apply(searcher, actions);
}

// Everything that this daemon knows is checked here once more, at the moment of sending: it may have changed while the
// call waited, or while this process did not run.
void LeafTask::Implementation::start(detail::HeldSearcher &searcher, CallId id)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    detail::LeafCall &call = found->second;
    const TimePoint now = BootClock::now();
    call.isRunning = true;
    call.startedAt = now;
    const bool mayBeSent = mayReceiveWork(searcher.published) && call.deadline > now;
    if (mayBeSent && hooks.checkLease() == LeaseState::Refreshing) {
        loop.at(now + leaseRetry, [this, target = searcher.published.id, id] {
            const auto again = held.find(target);
            if (again != held.end()) {
                start(again->second, id);
            } else {
                endUnsent(target, id, Errc::NoServer);
            }
        });
        return;
    }
    const bool isBarred = mayBeSent && !passesCrashBar(searcher.published.id, call, id);
    if (!mayBeSent || isBarred) {
        const Errc barOrTime = call.deadline > now ? Errc::NoServer : Errc::DeadlinePassed;
        const Errc reason = isBarred ? Errc::Barred : barOrTime;
        loop.post([this, target = searcher.published.id, id, reason] { endUnsent(target, id, reason); });
        return;
    }
    searcher.connections->run(
        detail::SearcherJob{id, call.request->kind, bodyOf(call), call.trace.toTraceparent(), call.deadline});
}

void LeafTask::Implementation::endUnsent(SearcherId searcher, CallId id, Errc reason)
{
    refuse(id, reason);
    const auto found = held.find(searcher);
    if (found != held.end()) {
        GateActions actions;
        found->second.gate.onNotSent(BootClock::now(), id, actions);
        apply(searcher, actions);
    }
}

void LeafTask::Implementation::end(SearcherId searcher, const detail::SearcherJobEnd &jobEnd)
{
    const TimePoint now = BootClock::now();
    const std::optional<detail::LeafCall> taken = take(jobEnd.call);
    if (!taken) {
        return;
    }
    const detail::LeafCall &call = *taken;
    learnOfCrash(searcher, call, jobEnd);
    if (jobEnd.answer.error == Errc::BadMessage) {
        const Searcher *published = view->map->searcher(searcher);
        const std::string peer = published == nullptr ? std::string() : published->address.toString();
        hooks.onError(Error(Errc::BadMessage, Step::Receive, peer, "the answer cannot be decoded"));
    }
    const BackEndAnswer &answer = jobEnd.answer;
    const bool isWrongVersion = answer.outcome == CallOutcome::Answered && call.request->kind == WorkKind::Search
        && answer.version != call.call.version;
    SearchReply searchReply{call.call.call,
                            call.call.searcher,
                            call.call.version,
                            answer.outcome,
                            answer.error,
                            jobEnd.wasSent,
                            answer.parts};
    if (isWrongVersion) {
        searchReply.outcome = CallOutcome::WrongVersion;
        searchReply.parts.clear();
    }
    const CallOutcome searchReplyOutcome = searchReply.outcome;
    reply(call, std::move(searchReply), answer.result, jobEnd.served);
    const auto holder = held.find(searcher);
    if (holder != held.end()) {
        holder->second.askedAt = now;
        GateActions actions;
        // A call that was cancelled, or for a version that the searcher lacks, proves nothing of its warmth.
        const bool isWork = answer.error != Errc::Cancelled && searchReplyOutcome != CallOutcome::WrongVersion;
        const GateResult result{jobEnd.call,
                                endOf(answer),
                                now - call.startedAt,
                                isWork ? answer.incarnation : Incarnation{},
                                answer.saysCold,
                                answer.reportedLoad,
                                jobEnd.isConnectionLost || answer.error == Errc::ConnectFailed};
        holder->second.gate.onResult(now, result, actions);
        apply(searcher, actions);
    }
}

// Takes a call out of the books; nothing if it is not there any more.
std::optional<detail::LeafCall> LeafTask::Implementation::take(CallId id)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return std::nullopt;
    }
    std::optional<detail::LeafCall> call = std::move(found->second);
    calls.erase(found);
    callsByOrigin.erase({call->origin, call->request->entryIncarnation, call->call.call});
    inFlight = calls.size();
    return call;
}

void LeafTask::Implementation::refuse(CallId id, Errc reason)
{
    const std::optional<detail::LeafCall> call = take(id);
    if (!call) {
        return;
    }
    const SearchCall &asked = call->call;
    reply(*call, {asked.call, asked.searcher, asked.version, CallOutcome::Refused, reason, false, {}}, {}, Duration{0});
}

void LeafTask::Implementation::recordSpan(const detail::LeafCall &call, const SearchReply &reply, Duration queued)
{
    const bool isAnswered = reply.outcome == CallOutcome::Answered;
    if (!call.trace.trace.isValid() || (isAnswered && !call.trace.isSampled)) {
        return;
    }
    const SpanId parent = TraceContext::parse(call.request->traceparent).value().span;
    Span span{"searcher call", call.trace, parent, call.offeredMicros, wallClockMicros(), {}, SpanStatus::Ok, {}};
    const Searcher *searcher = view == nullptr ? nullptr : view->map->searcher(reply.searcher);
    span.attributes.push_back({"searcher", searcher == nullptr ? std::string() : searcher->address.toString()});
    span.attributes.push_back({"parts", static_cast<std::int64_t>(call.call.parts.size())});
    span.attributes.push_back({"queued_us", static_cast<std::int64_t>(queued.count())});
    span.attributes.push_back({"extra", call.call.isExtra});
    if (!isAnswered) {
        span.status = SpanStatus::Error;
        span.statusMessage = name(reply.error);
    }
    hooks.onSpan(std::move(span));
}

void LeafTask::Implementation::reply(const detail::LeafCall &call,
                                     SearchReply reply,
                                     std::string result,
                                     Duration served)
{
    recordSpan(call, reply, call.startedAt - call.offeredAt);
    if (call.isCancelled) {
        return;
    }
    LeafReply message;
    message.query = call.request->query;
    message.entryIncarnation = call.request->entryIncarnation;
    message.reply = std::move(reply);
    message.result = std::move(result);
    message.queued = call.startedAt - call.offeredAt;
    message.served = served;
    hooks.onReply(call.origin, std::move(message));
}

void LeafTask::Implementation::cancel(const LeafOrigin &origin, const LeafCancel &cancel)
{
    for (const CallId named : cancel.calls) {
        const auto local = callsByOrigin.find({origin, cancel.entryIncarnation, named});
        if (local == callsByOrigin.end() || calls.at(local->second).request->kind != WorkKind::Search) {
            continue;
        }
        const CallId id = local->second;
        detail::LeafCall &call = calls.at(id);
        call.isCancelled = true;
        const auto found = held.find(call.call.searcher);
        if (found == held.end()) {
            continue;
        }
        if (call.isRunning) {
            found->second.connections->cancel(id);
            continue;
        }
        const SearcherId searcher = call.call.searcher;
        GateActions actions;
        found->second.gate.cancel(BootClock::now(), id, actions);
        take(id);
        apply(searcher, actions);
    }
}

} // namespace sassafrasvane
