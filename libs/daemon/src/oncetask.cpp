#include "daemon/oncetask.h"

#include "base/random.h"
#include "daemon/eventloop.h"
#include "once/onceforwarder.h"
#include "once/oncetable.h"

#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace sassafrasvane
{

namespace
{

/// A copy that waits for the answer of this daemon's own table.
struct Waiting {
    CallerReply reply;          ///< Set for a caller of this daemon.
    std::optional<LinkId> link; ///< Set for a copy that was forwarded to this daemon.
    OnceForward request;
    OnceCopy copy; ///< Its ticket views the request's.
};

/// A copy that was forwarded to its owner.
struct Forwarded {
    CallerReply reply;
    DaemonId owner;
    std::string ticket;
    bool isSoleCopy = false;
};

CallerOutcome outcomeOf(const OnceAnswer &answer)
{
    CallerOutcome outcome;
    outcome.ran = answer.ran;
    outcome.retryAfter = answer.retryAfter;
    if (answer.ran == Ran::Yes) {
        outcome.result = answer.body == nullptr ? "null" : *answer.body;
    } else {
        outcome.error = Error(answer.error,
                              answer.ran == Ran::No ? Step::Ticket : Step::Run,
                              {},
                              answer.ran == Ran::No ? "the request did not run" : "the request may have run");
    }
    return outcome;
}

OnceAnswer answerOf(const OnceForwardReply &reply)
{
    OnceAnswer answer{reply.ran, reply.error, 0, nullptr, reply.retryAfter};
    if (reply.ran == Ran::Yes) {
        answer.body = std::make_shared<const std::string>(reply.result);
    }
    return answer;
}

AttemptEnd attemptEndOf(CallId attempt, RunEnd end)
{
    AttemptEnd attemptEnd;
    attemptEnd.attempt = attempt;
    attemptEnd.error = end.error;
    switch (end.outcome) {
    case CallOutcome::Answered:
        attemptEnd.end = AttemptEnd::End::Answered;
        attemptEnd.body = std::move(end.result);
        break;
    case CallOutcome::Refused:
    case CallOutcome::WrongVersion:
        attemptEnd.end = AttemptEnd::End::NotSent;
        break;
    case CallOutcome::Failed:
        attemptEnd.end = AttemptEnd::End::MaybeSent;
        break;
    }
    return attemptEnd;
}

Fingerprint contentOf(const OnceForward &request)
{
    return Fingerprint{mix(hashBytes(request.className), hashBytes(request.request))};
}

OnceTable makeTable(const TicketOrigin &origin)
{
    return OnceTable::Builder().origin(origin).limits(OnceLimits()).build().value();
}

} // namespace

struct OnceTask::Implementation {
    Implementation(const TicketOrigin &origin, const std::vector<std::string> &keys, OnceHooks hooks)
        : origin(origin)
        , codec(keys)
        , issuer(origin, ticketLifetime)
        , table(makeTable(origin))
        , forwarder(origin, codec, hooks.knownIncarnation)
        , hooks(std::move(hooks))
    {
    }

    TicketOrigin origin;
    TicketCodec codec;
    std::mutex issuerMutex;
    TicketIssuer issuer;
    OnceTable table;
    OnceForwarder forwarder;
    OnceHooks hooks;
    std::map<WaiterId, Waiting> waiting;
    std::unordered_map<std::uint64_t, Forwarded> forwarded;
    std::uint64_t lastWaiter = 0;
    std::uint64_t lastForward = 0;
    EventLoop loop{"once"};

    void accept(const CallerOnce &request, const std::string &traceparent, Duration timeLeft, const CallerReply &reply);
    void runHere(const Ticket &ticket, Waiting copy);
    void apply(OnceActions &actions);
    void startAttempt(const OnceAttempt &attempt);
    void answer(const OnceReply &reply);
    void endForward(std::uint64_t forward, const OnceAnswer &answer);
    void failForward(std::uint64_t forward, const ForwardFailure &failure);
};

void OnceTask::Implementation::accept(const CallerOnce &request,
                                      const std::string &traceparent,
                                      Duration timeLeft,
                                      const CallerReply &reply)
{
    const OnceCopy copy{request.ticket, request.isSoleCopy};
    const OnceDecision decision = forwarder.decide(copy);
    OnceForward forward{0,
                        origin.incarnation,
                        request.ticket,
                        request.key,
                        request.run.className,
                        request.run.request,
                        timeLeft,
                        traceparent};
    switch (decision.kind) {
    case OnceDecision::Kind::Answer:
        reply(outcomeOf(decision.answer));
        break;
    case OnceDecision::Kind::RunHere:
        runHere(decision.ticket, Waiting{reply, std::nullopt, std::move(forward), copy});
        break;
    case OnceDecision::Kind::Forward: {
        forward.forward = ++lastForward;
        forwarded.emplace(forward.forward, Forwarded{reply, decision.owner, request.ticket, request.isSoleCopy});
        loop.at(BootClock::now() + timeLeft, [this, id = forward.forward] { failForward(id, {Errc::Timeout, true}); });
        hooks.sendForward(decision.owner, std::move(forward));
        break;
    }
    }
}

void OnceTask::Implementation::runHere(const Ticket &ticket, Waiting copy)
{
    const TimePoint now = BootClock::now();
    const WaiterId id{++lastWaiter};
    const OnceRequest request{id, ticket, copy.request.key, contentOf(copy.request), now + copy.request.timeLeft};
    Waiting &placed = waiting.emplace(id, std::move(copy)).first->second;
    placed.copy.ticket = placed.request.ticket;
    OnceActions actions;
    table.onRequest(now, request, actions);
    apply(actions);
}

void OnceTask::Implementation::apply(OnceActions &actions)
{
    for (const OnceAttempt &attempt : actions.run) {
        startAttempt(attempt);
    }
    for (const OnceReply &reply : actions.answer) {
        answer(reply);
    }
    if (actions.wakeAt) {
        loop.at(*actions.wakeAt, [this] {
            OnceActions next;
            table.onTimer(BootClock::now(), next);
            apply(next);
        });
    }
}

void OnceTask::Implementation::startAttempt(const OnceAttempt &attempt)
{
    const OnceForward &request = waiting.at(attempt.opener).request;
    RunWork work{
        request.className, request.request, request.ticket + '/' + request.key, request.traceparent, attempt.deadline};
    hooks.run(std::move(work), [this, id = attempt.attempt](RunEnd end) {
        loop.post([this, id, end = std::move(end)]() mutable {
            OnceActions actions;
            table.onAttemptEnd(BootClock::now(), attemptEndOf(id, std::move(end)), actions);
            apply(actions);
        });
    });
}

void OnceTask::Implementation::answer(const OnceReply &reply)
{
    const auto found = waiting.find(reply.waiter);
    if (found == waiting.end()) {
        return;
    }
    const Waiting copy = std::move(found->second);
    waiting.erase(found);
    if (copy.reply) {
        copy.reply(outcomeOf(forwarder.onOwnerAnswer({copy.request.ticket, copy.copy.isSoleCopy}, reply.answer)));
        return;
    }
    OnceForwardReply message{copy.request.forward,
                             copy.request.senderIncarnation,
                             reply.answer.ran,
                             reply.answer.error,
                             {},
                             reply.answer.retryAfter};
    if (reply.answer.ran == Ran::Yes) {
        message.result = reply.answer.body == nullptr ? "null" : *reply.answer.body;
    }
    hooks.sendReply(*copy.link, std::move(message));
}

void OnceTask::Implementation::endForward(std::uint64_t forward, const OnceAnswer &answer)
{
    const auto found = forwarded.find(forward);
    if (found == forwarded.end()) {
        return;
    }
    const Forwarded copy = std::move(found->second);
    forwarded.erase(found);
    copy.reply(outcomeOf(answer));
}

void OnceTask::Implementation::failForward(std::uint64_t forward, const ForwardFailure &failure)
{
    const auto found = forwarded.find(forward);
    if (found != forwarded.end()) {
        endForward(forward, forwarder.onFailure({found->second.ticket, found->second.isSoleCopy}, failure));
    }
}

OnceTask::OnceTask(const TicketOrigin &origin, const std::vector<std::string> &keys, OnceHooks hooks)
    : implementation_(std::make_unique<Implementation>(origin, keys, std::move(hooks)))
{
}

OnceTask::~OnceTask()
{
    stop();
}

std::string OnceTask::issueTicket()
{
    const std::lock_guard<std::mutex> lock(implementation_->issuerMutex);
    return implementation_->codec.encode(implementation_->issuer.issue(BootClock::now()));
}

void OnceTask::accept(CallerOnce request, std::string traceparent, Duration timeLeft, CallerReply reply)
{
    implementation_->loop.post(
        [implementation = implementation_.get(),
         request = std::move(request),
         traceparent = std::move(traceparent),
         timeLeft,
         reply = std::move(reply)] { implementation->accept(request, traceparent, timeLeft, reply); });
}

void OnceTask::onForward(LinkId link, OnceForward forward)
{
    implementation_->loop.post([implementation = implementation_.get(), link, forward = std::move(forward)] {
        const Result<Ticket> ticket = implementation->codec.decode(forward.ticket);
        if (ticket.has_error()) {
            implementation->hooks.sendReply(
                link,
                {forward.forward, forward.senderIncarnation, Ran::Unknown, ticket.error().errc(), {}, Duration{0}});
            return;
        }
        implementation->runHere(ticket.value(), Waiting{{}, link, forward, {}});
    });
}

void OnceTask::onForwardReply(OnceForwardReply reply)
{
    implementation_->loop.post([implementation = implementation_.get(), reply = std::move(reply)] {
        const auto found = implementation->forwarded.find(reply.forward);
        if (found == implementation->forwarded.end() || reply.senderIncarnation != implementation->origin.incarnation) {
            return;
        }
        const OnceCopy copy{found->second.ticket, found->second.isSoleCopy};
        implementation->endForward(reply.forward, implementation->forwarder.onOwnerAnswer(copy, answerOf(reply)));
    });
}

void OnceTask::onUnsent(const OnceForward &forward)
{
    implementation_->loop.post([implementation = implementation_.get(), id = forward.forward] {
        implementation->failForward(id, {Errc::ConnectFailed, false});
    });
}

void OnceTask::onLost(DaemonId owner)
{
    implementation_->loop.post([implementation = implementation_.get(), owner] {
        std::vector<std::uint64_t> lost;
        for (const auto &[id, copy] : implementation->forwarded) {
            if (copy.owner == owner) {
                lost.push_back(id);
            }
        }
        for (const std::uint64_t id : lost) {
            implementation->failForward(id, {Errc::ConnectionLost, true});
        }
    });
}

void OnceTask::stopAccepting()
{
    implementation_->loop.post([implementation = implementation_.get()] { implementation->table.stopAccepting(); });
}

void OnceTask::stop()
{
    implementation_->loop.stop();
    const OnceAnswer unknown{Ran::Unknown, Errc::Draining, 0, nullptr, Duration{0}};
    for (auto &[id, copy] : implementation_->waiting) {
        if (copy.reply) {
            copy.reply(outcomeOf(unknown));
        }
    }
    for (auto &[id, copy] : implementation_->forwarded) {
        copy.reply(outcomeOf(unknown));
    }
    implementation_->waiting.clear();
    implementation_->forwarded.clear();
}

} // namespace sassafrasvane
