#include "daemonimplementation.h"

#include <algorithm>

namespace sassafrasvane
{

CallerServerHooks Daemon::Implementation::callerHooks()
{
    CallerServerHooks hooks;
    hooks.query = [this](CallerQuery query, const std::string &traceparent, const CallerReply &reply) {
        return startQuery(std::move(query), traceparent, reply);
    };
    hooks.run = [this](CallerOnce request, const std::string &traceparent, const CallerReply &reply) {
        return startRun(std::move(request), traceparent, reply);
    };
    hooks.entries = [this](const std::string &failureDomain) { return entries(failureDomain); };
    hooks.isReady = [this] {
        const std::lock_guard<std::mutex> lock(viewMutex);
        return view != nullptr && BootClock::now() >= readyAt && stop->phase() == StopPhase::Serving;
    };
    return hooks;
}

// Counts the request as open until it is answered, and records its end.
CallerReply Daemon::Implementation::recorded(const detail::RequestTrace &request, CallerReply reply)
{
    ++openRequests;
    return [this, request, reply = std::move(reply)](CallerOutcome outcome) {
        recorder.end(request, outcome);
        reply(std::move(outcome));
        --openRequests;
    };
}

std::optional<RequestClass> Daemon::Implementation::findClass(const std::string &className)
{
    const std::lock_guard<std::mutex> lock(viewMutex);
    const std::optional<ClassIndex> index = view == nullptr ? std::nullopt : view->configuration->findClass(className);
    return index ? std::optional<RequestClass>(view->configuration->classes[index->value]) : std::nullopt;
}

std::optional<Error> Daemon::Implementation::refusalWhileStopping() const
{
    if (stop->phase() <= StopPhase::Unadvised) {
        return std::nullopt;
    }
    return Error(Errc::Draining, Step::Stop, {}, "the daemon is stopping; GET /v1/entries names others");
}

std::string Daemon::Implementation::startQuery(CallerQuery query,
                                               const std::string &traceparent,
                                               const CallerReply &reply)
{
    detail::RequestTrace request = recorder.begin(traceparent);
    const std::optional<RequestClass> cls = findClass(query.className);
    if (cls) {
        request.className = cls->name;
        request.target = cls->target.latency;
    }
    const CallerReply counted = recorded(request, reply);
    if (std::optional<Error> refusal = refusalWhileStopping()) {
        counted(CallerOutcome::failure(std::move(*refusal), Ran::No));
    } else {
        entry->query(std::move(query), request.context.toTraceparent(), counted);
    }
    return request.context.trace.toString();
}

std::string Daemon::Implementation::startRun(CallerOnce onceRequest,
                                             const std::string &traceparent,
                                             const CallerReply &reply)
{
    detail::RequestTrace request = recorder.begin(traceparent);
    const std::optional<RequestClass> cls = findClass(onceRequest.run.className);
    std::optional<Error> refusal = refusalWhileStopping();
    if (!refusal && (!cls || cls->isIdempotent)) {
        refusal = Error(Errc::InvalidRequest, Step::Accept, {}, "/class names no class of non-idempotent requests");
    }
    if (cls) {
        request.className = cls->name;
        request.target = cls->target.latency;
    }
    const CallerReply counted = recorded(request, reply);
    if (refusal) {
        counted(CallerOutcome::failure(std::move(*refusal), Ran::No));
    } else {
        const Duration target = cls->target.latency;
        const Duration timeLeft = onceRequest.run.timeLeft ? std::min(*onceRequest.run.timeLeft, target) : target;
        once->accept(std::move(onceRequest), request.context.toTraceparent(), timeLeft, counted);
    }
    return request.context.trace.toString();
}

EntriesAnswer Daemon::Implementation::entries(const std::string &failureDomain)
{
    const Advice advice = fleet->advise(failureDomain);
    EntriesAnswer answer;
    answer.lifetime = advice.lifetime;
    for (const Address &address : advice.addresses) {
        answer.entries.push_back(address.toString());
    }
    if (stop->phase() == StopPhase::Serving) {
        answer.ticket = once->issueTicket();
    }
    return answer;
}

} // namespace sassafrasvane
