#include "daemon/leaftask.h"

#include "admission/searchergate.h"
#include "base/random.h"
#include "daemon/eventloop.h"
#include "searcherconnections.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <unordered_map>
#include <utility>

namespace sassafrasvane
{

namespace
{

using detail::SearcherConnections;
using detail::SearcherJob;
using detail::SearcherJobEnd;

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

/// A searcher that this daemon holds a share of.
struct HeldSearcher {
    Searcher published;
    BackEndLimits limits;
    HolderShare share;
    SearcherGate gate;
    std::unique_ptr<SearcherConnections> connections;
};

GateResult::End endOf(const BackEndAnswer &answer)
{
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

std::string bodyOf(const LeafCall &call)
{
    const LeafRequest &request = *call.request;
    if (request.kind == WorkKind::Run) {
        return writeRunBody(request.identity, request.payload);
    }
    return writeSearchBody({call.call.version, call.call.parts, request.payload, request.hitLimit});
}

} // namespace

struct LeafTask::Implementation {
    Implementation(DaemonId self, LeafHooks hooks)
        : self(self), hooks(std::move(hooks)), random(mix(self.value, wallClockMicros()))
    {
    }

    DaemonId self;
    LeafHooks hooks;
    std::shared_ptr<const PublishedView> view;
    std::map<SearcherId, HeldSearcher> held;
    std::unordered_map<CallId, LeafCall> calls;
    std::uint64_t lastCall = 0;
    Random random;
    std::atomic<std::size_t> inFlight{0};
    EventLoop loop{"leaf"};
    /// Ends connections that are no longer used, which waits for their last jobs. Destroyed before the loop that the
    /// connections post to.
    EventLoop closer{"leaf-closer"};

    void adopt(std::shared_ptr<const PublishedView> next);
    void hold(const Searcher &searcher, const BackEndLimits &limits, HolderShare share);
    void release(SearcherId searcher);
    void close(std::unique_ptr<SearcherConnections> connections);
    void offer(const LeafOrigin &origin, const std::shared_ptr<const LeafRequest> &request, const SearchCall &call);
    void apply(SearcherId searcher, const GateActions &actions);
    void start(HeldSearcher &searcher, CallId call);
    void end(SearcherId searcher, const SearcherJobEnd &end);
    void refuse(CallId call, Errc reason);
    void reply(const LeafCall &call, SearchReply reply, std::string result, Duration served);
    void recordSpan(const LeafCall &call, const SearchReply &reply, Duration queued);
    void cancel(const LeafOrigin &origin, const LeafCancel &cancel);
    bool mayReceiveWork(const Searcher &searcher) const;
};

void LeafTask::Implementation::adopt(std::shared_ptr<const PublishedView> next)
{
    view = std::move(next);
    std::vector<SearcherId> gone;
    for (const auto &[id, searcher] : held) {
        gone.push_back(id);
    }
    for (const SearcherId id : view->holders->heldBy(self)) {
        const Searcher *searcher = view->map->searcher(id);
        const BackEndLimits *limits = view->configuration->findBackEnd(view->map->backEndOf(id)->name);
        if (limits != nullptr) {
            hold(*searcher, *limits, *view->holders->share(id, self));
            std::erase(gone, id);
        }
    }
    for (const SearcherId id : gone) {
        release(id);
    }
}

void LeafTask::Implementation::hold(const Searcher &searcher, const BackEndLimits &limits, HolderShare share)
{
    const SearcherId id = searcher.id;
    auto found = held.find(id);
    if (found != held.end() && found->second.published.address != searcher.address) {
        release(id);
        found = held.end();
    }
    const auto connect = [this, id, &searcher, &limits, share] {
        const std::uint32_t count
            = std::max<std::uint32_t>(std::min(share.of(limits.slots), share.of(limits.connections)), 1);
        return std::make_unique<SearcherConnections>(searcher.address, count, [this, id](SearcherJobEnd jobEnd) {
            loop.post([this, id, jobEnd = std::move(jobEnd)] { end(id, jobEnd); });
        });
    };
    if (found == held.end()) {
        SearcherGate gate = SearcherGate::Builder().limits(limits).share(share).build();
        held.emplace(id, HeldSearcher{searcher, limits, share, std::move(gate), connect()});
        return;
    }
    HeldSearcher &present = found->second;
    const bool isSame = present.limits.slots == limits.slots && present.limits.connections == limits.connections
        && present.limits.coldAllowance == limits.coldAllowance && present.share.rank == share.rank
        && present.share.holders == share.holders;
    present.published = searcher;
    if (!isSame) {
        present.limits = limits;
        present.share = share;
        close(std::exchange(present.connections, connect()));
        GateActions actions;
        present.gate.setShare(BootClock::now(), limits, share, actions);
        apply(id, actions);
    }
}

void LeafTask::Implementation::release(SearcherId searcher)
{
    const auto found = held.find(searcher);
    close(std::move(found->second.connections));
    held.erase(found);
    std::vector<CallId> waiting;
    for (const auto &[id, call] : calls) {
        if (call.call.searcher == searcher && !call.isRunning) {
            waiting.push_back(id);
        }
    }
    for (const CallId id : waiting) {
        refuse(id, Errc::NoServer);
    }
}

void LeafTask::Implementation::close(std::unique_ptr<SearcherConnections> connections)
{
    closer.post([connections = std::shared_ptr<SearcherConnections>(std::move(connections))]() mutable {
        connections.reset();
    });
}

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
    calls.emplace(id, LeafCall{origin, request, call, trace, deadline, now, now, wallClockMicros()});
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
    if (actions.wakeAt) {
        loop.at(*actions.wakeAt, [this, searcher] {
            const auto again = held.find(searcher);
            if (again != held.end()) {
                GateActions next;
                again->second.gate.onTimer(BootClock::now(), next);
                apply(searcher, next);
            }
        });
    }
}

void LeafTask::Implementation::start(HeldSearcher &searcher, CallId id)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    LeafCall &call = found->second;
    call.isRunning = true;
    call.startedAt = BootClock::now();
    if (!mayReceiveWork(searcher.published)) {
        // Knowledge may have changed while the call waited, so it is checked again at the moment of sending.
        SearcherJobEnd jobEnd;
        jobEnd.call = id;
        jobEnd.answer.outcome = CallOutcome::Refused;
        jobEnd.answer.error = Errc::NoServer;
        loop.post([this, target = searcher.published.id, jobEnd] { end(target, jobEnd); });
        return;
    }
    searcher.connections->run(
        SearcherJob{id, call.request->kind, bodyOf(call), call.trace.toTraceparent(), call.deadline});
}

void LeafTask::Implementation::end(SearcherId searcher, const SearcherJobEnd &jobEnd)
{
    const TimePoint now = BootClock::now();
    const auto found = calls.find(jobEnd.call);
    if (found == calls.end()) {
        return;
    }
    const LeafCall call = std::move(found->second);
    calls.erase(found);
    inFlight = calls.size();
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
    reply(call, std::move(searchReply), answer.result, jobEnd.served);
    const auto holder = held.find(searcher);
    if (holder != held.end()) {
        GateActions actions;
        const GateResult result{
            jobEnd.call, endOf(answer), now - call.startedAt, answer.incarnation, answer.saysCold, answer.reportedLoad};
        holder->second.gate.onResult(now, result, actions);
        apply(searcher, actions);
    }
}

void LeafTask::Implementation::refuse(CallId id, Errc reason)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    const LeafCall call = std::move(found->second);
    calls.erase(found);
    reply(call,
          {call.call.call, call.call.searcher, call.call.version, CallOutcome::Refused, reason, false, {}},
          {},
          Duration{0});
}

void LeafTask::Implementation::recordSpan(const LeafCall &call, const SearchReply &reply, Duration queued)
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

void LeafTask::Implementation::reply(const LeafCall &call, SearchReply reply, std::string result, Duration served)
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
    std::vector<CallId> wanted;
    for (auto &[id, call] : calls) {
        const bool isNamed = std::find(cancel.calls.begin(), cancel.calls.end(), call.call.call) != cancel.calls.end();
        if (isNamed && call.origin == origin && call.request->entryIncarnation == cancel.entryIncarnation
            && call.request->kind == WorkKind::Search) {
            wanted.push_back(id);
        }
    }
    for (const CallId id : wanted) {
        LeafCall &call = calls.at(id);
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
        calls.erase(id);
        inFlight = calls.size();
        apply(searcher, actions);
    }
}

LeafTask::LeafTask(DaemonId self, LeafHooks hooks)
    : implementation_(std::make_unique<Implementation>(self, std::move(hooks)))
{
}

LeafTask::~LeafTask()
{
    stop();
}

void LeafTask::setView(std::shared_ptr<const PublishedView> view)
{
    implementation_->loop.post(
        [implementation = implementation_.get(), view = std::move(view)] { implementation->adopt(view); });
}

void LeafTask::request(LeafOrigin origin, LeafRequest request)
{
    const std::shared_ptr<const LeafRequest> shared = std::make_shared<const LeafRequest>(std::move(request));
    implementation_->loop.post([implementation = implementation_.get(), origin, shared] {
        for (const SearchCall &call : shared->calls) {
            implementation->offer(origin, shared, call);
        }
    });
}

void LeafTask::cancel(LeafOrigin origin, LeafCancel cancel)
{
    implementation_->loop.post([implementation = implementation_.get(), origin, cancel = std::move(cancel)] {
        implementation->cancel(origin, cancel);
    });
}

std::size_t LeafTask::inFlight() const noexcept
{
    return implementation_->inFlight;
}

void LeafTask::stop()
{
    implementation_->loop.stop();
    implementation_->closer.stop();
    implementation_->held.clear();
}

} // namespace sassafrasvane
