#include "daemon/leaftask.h"

#include "base/random.h"
#include "daemon/eventloop.h"
#include "heldsearcher.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <unordered_map>
#include <utility>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;
using detail::HeldSearcher;
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

/// Time between two looks at connections, warmth and lost time.
constexpr Duration tickInterval = 100ms;
/// Time between two questions to the other holders about searchers that are not known to be warm.
constexpr Duration warmthInterval = 300ms;
/// A pause of this process beyond which another daemon may have held the searchers meanwhile.
constexpr Duration longestPause = 3s;
/// Time between two looks at calls that the lease holds back.
constexpr Duration leaseRetry = 10ms;
/// Questions whose answers are awaited.
constexpr std::size_t maxWarmthQuestions = 64;

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
    Implementation(DaemonId self, SharedCrashBar &crashes, LeafHooks hooks)
        : self(self), crashes(crashes), hooks(std::move(hooks)), random(mix(self.value, wallClockMicros()))
    {
    }

    DaemonId self;
    SharedCrashBar &crashes;
    LeafHooks hooks;
    std::shared_ptr<const PublishedView> view;
    std::map<SearcherId, HeldSearcher> held;
    std::unordered_map<CallId, LeafCall> calls;
    std::uint64_t lastCall = 0;
    Random random;
    TimePoint lastTick = BootClock::now();
    TimePoint nextWarmth;
    std::uint64_t lastWarmthQuery = 0;
    std::map<std::uint64_t, TimePoint> warmthAskedAt;
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
    void endUnsent(SearcherId searcher, CallId id, Errc reason);
    std::vector<Fingerprint> runningAt(SearcherId searcher, CallId except) const;
    bool passesCrashBar(SearcherId searcher, const LeafCall &call, CallId id) const;
    void learnOfCrash(SearcherId searcher, const LeafCall &call, const SearcherJobEnd &jobEnd);
    void tick();
    void askWarmth(TimePoint now);
    WarmthReply answerWarmth(const WarmthQuery &query) const;
    void takeWarmth(const WarmthReply &reply);
    std::vector<HeldStatus> status() const;
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
    if (found == held.end()) {
        const TimePoint now = BootClock::now();
        auto connections = std::make_unique<SearcherConnections>(searcher.address, [this, id](SearcherJobEnd jobEnd) {
            loop.post([this, id, jobEnd = std::move(jobEnd)] { end(id, jobEnd); });
        });
        SearcherGate gate = SearcherGate::Builder().limits(limits).share(share).becameHolderAt(now).build();
        ConnectionPacer pacer = ConnectionPacer::Builder().limits(limits).share(share).build();
        found
            = held.emplace(id,
                           HeldSearcher{
                               searcher, limits, share, {}, std::move(gate), std::move(pacer), std::move(connections)})
                  .first;
    }
    HeldSearcher &present = found->second;
    present.published = searcher;
    present.otherHolders.clear();
    for (const DaemonId holder : view->holders->holders(id)) {
        if (holder != self) {
            present.otherHolders.push_back(holder);
        }
    }
    const bool isSame = present.limits.slots == limits.slots && present.limits.connections == limits.connections
        && present.limits.coldAllowance == limits.coldAllowance && present.share.rank == share.rank
        && present.share.holders == share.holders;
    if (!isSame) {
        present.limits = limits;
        present.share = share;
        present.pacer.setShare(limits, share);
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

// Everything that this daemon knows is checked here once more, at the moment of sending: it may have changed while the
// call waited, or while this process did not run.
void LeafTask::Implementation::start(HeldSearcher &searcher, CallId id)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    LeafCall &call = found->second;
    const TimePoint now = BootClock::now();
    call.isRunning = true;
    call.startedAt = now;
    const bool mayBeSent = mayReceiveWork(searcher.published) && call.deadline > now;
    if (mayBeSent && hooks.checkLease() == LeaseState::Held) {
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
        SearcherJob{id, call.request->kind, bodyOf(call), call.trace.toTraceparent(), call.deadline});
}

// The fingerprints of the other calls that run at the searcher.
std::vector<Fingerprint> LeafTask::Implementation::runningAt(SearcherId searcher, CallId except) const
{
    std::vector<Fingerprint> running;
    for (const auto &[id, call] : calls) {
        if (call.isRunning && id != except && call.call.searcher == searcher
            && call.request->kind == WorkKind::Search) {
            running.push_back(call.request->fingerprint);
        }
    }
    return running;
}

// The holder decides once more, as it alone sees what runs at the searcher and which crashes there were.
bool LeafTask::Implementation::passesCrashBar(SearcherId searcher, const LeafCall &call, CallId id) const
{
    if (call.request->kind == WorkKind::Run) {
        return true;
    }
    const Fingerprint fingerprint = call.request->fingerprint;
    const CrashVerdict verdict = crashes.check(fingerprint);
    if (verdict == CrashVerdict::Wait || verdict == CrashVerdict::Barred) {
        return false;
    }
    return verdict != CrashVerdict::Suspect || crashes.mayJoin(fingerprint, runningAt(searcher, id));
}

void LeafTask::Implementation::endUnsent(SearcherId searcher, CallId id, Errc reason)
{
    SearcherJobEnd jobEnd;
    jobEnd.call = id;
    jobEnd.answer.outcome = CallOutcome::Refused;
    jobEnd.answer.error = reason;
    end(searcher, jobEnd);
}

void LeafTask::Implementation::learnOfCrash(SearcherId searcher, const LeafCall &call, const SearcherJobEnd &jobEnd)
{
    if (call.request->kind == WorkKind::Run) {
        return;
    }
    const Fingerprint fingerprint = call.request->fingerprint;
    if (jobEnd.answer.outcome == CallOutcome::Answered) {
        crashes.onSuccess(fingerprint);
    } else if (jobEnd.isConnectionLost) {
        std::vector<Fingerprint> running = runningAt(searcher, jobEnd.call);
        running.push_back(fingerprint);
        crashes.onServerLost(searcher, running);
    }
}

void LeafTask::Implementation::tick()
{
    const TimePoint now = BootClock::now();
    const bool hasSlept = now - lastTick > longestPause;
    lastTick = now;
    for (auto &[id, searcher] : held) {
        if (hasSlept) {
            searcher.gate.suspend(now);
        }
        searcher.openConnection(now);
    }
    if (now >= nextWarmth) {
        nextWarmth = now + warmthInterval;
        askWarmth(now);
    }
    loop.at(now + tickInterval, [this] { tick(); });
}

// Asks the other holders about the searchers that are not known to be warm. Asking, rather than being told, bounds the
// age of the answer by this daemon's own clock.
void LeafTask::Implementation::askWarmth(TimePoint now)
{
    std::map<DaemonId, WarmthQuery> queries;
    for (const auto &[id, searcher] : held) {
        if (searcher.gate.coldCause(now) == ColdCause::None) {
            continue;
        }
        for (const DaemonId holder : searcher.otherHolders) {
            queries[holder].searchers.push_back(id);
        }
    }
    for (auto &[holder, query] : queries) {
        query.number = ++lastWarmthQuery;
        warmthAskedAt[query.number] = now;
        hooks.sendWarmthQuery(holder, std::move(query));
    }
    while (warmthAskedAt.size() > maxWarmthQuestions) {
        warmthAskedAt.erase(warmthAskedAt.begin());
    }
}

WarmthReply LeafTask::Implementation::answerWarmth(const WarmthQuery &query) const
{
    WarmthReply reply;
    reply.number = query.number;
    const TimePoint now = BootClock::now();
    for (const SearcherId id : query.searchers) {
        const auto found = held.find(id);
        const std::optional<WarmthReport> report = found == held.end() ? std::nullopt : found->second.gate.warmth();
        if (report) {
            reply.entries.push_back({id, report->incarnation, report->allowance, now - report->confirmedAt});
        }
    }
    return reply;
}

void LeafTask::Implementation::takeWarmth(const WarmthReply &reply)
{
    const auto asked = warmthAskedAt.find(reply.number);
    if (asked == warmthAskedAt.end()) {
        return;
    }
    const TimePoint now = BootClock::now();
    for (const WarmthEntry &entry : reply.entries) {
        const auto found = held.find(entry.searcher);
        if (found != held.end() && entry.age >= Duration{0}) {
            found->second.gate.onPeerWarmth(now, entry.incarnation, entry.allowance, entry.age + (now - asked->second));
        }
    }
    warmthAskedAt.erase(asked);
}

std::vector<HeldStatus> LeafTask::Implementation::status() const
{
    std::vector<HeldStatus> list;
    const TimePoint now = BootClock::now();
    for (const auto &[id, searcher] : held) {
        list.push_back({id,
                        searcher.gate.coldCause(now),
                        searcher.gate.running(),
                        searcher.gate.waiting(),
                        searcher.gate.concurrency(now),
                        searcher.connections->count()});
    }
    return list;
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
    learnOfCrash(searcher, call, jobEnd);
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
        const bool isCancelled = answer.error == Errc::Cancelled;
        const GateResult result{jobEnd.call,
                                endOf(answer),
                                now - call.startedAt,
                                // A cancelled call proves nothing of the searcher's warmth.
                                isCancelled ? Incarnation{} : answer.incarnation,
                                answer.saysCold,
                                answer.reportedLoad,
                                jobEnd.isConnectionLost || answer.error == Errc::ConnectFailed};
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

LeafTask::LeafTask(DaemonId self, SharedCrashBar &crashes, LeafHooks hooks)
    : implementation_(std::make_unique<Implementation>(self, crashes, std::move(hooks)))
{
    implementation_->loop.post([implementation = implementation_.get()] { implementation->tick(); });
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

void LeafTask::onWarmthQuery(LinkId link, WarmthQuery query)
{
    implementation_->loop.post([implementation = implementation_.get(), link, query = std::move(query)] {
        implementation->hooks.sendWarmthReply(link, implementation->answerWarmth(query));
    });
}

void LeafTask::onWarmthReply(WarmthReply reply)
{
    implementation_->loop.post(
        [implementation = implementation_.get(), reply = std::move(reply)] { implementation->takeWarmth(reply); });
}

std::vector<HeldStatus> LeafTask::status() const
{
    std::promise<std::vector<HeldStatus>> promise;
    implementation_->loop.post(
        [implementation = implementation_.get(), &promise] { promise.set_value(implementation->status()); });
    return promise.get_future().get();
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
