#include "searchworld.h"
#include "searchworldsizes.h"

#include <algorithm>

// Queries, and the messages that they cause.

namespace sassafrasvane
{

namespace
{

/// The end of \p lost as its holder sees it: the connection broke, or was closed because the time was over.
EndOfCall brokenEnd(const CallToServer &lost, Errc error)
{
    const SearchCall &call = lost.call;
    EndOfCall end;
    end.call = lost;
    end.reply = {call.call, call.searcher, call.version, CallOutcome::Failed, error, true, {}};
    end.isConnectionLost = error == Errc::ConnectionLost;
    return end;
}

} // namespace

// A holder closes the connection of a call whose deadline has passed, so that it cannot arrive any more.
void SearchWorld::dropExpired()
{
    for (SearchMessage &message : network_) {
        const CallToServer *call = std::get_if<CallToServer>(&message);
        if (call != nullptr && call->deadline <= now_) {
            message = brokenEnd(*call, Errc::Timeout);
        }
    }
}

void SearchWorld::ask(std::size_t daemon, std::size_t terms)
{
    FakeDaemon &entry = daemonAt(daemon);
    if (entry.isPaused()) {
        return;
    }
    CallerAsk ask;
    ask.caller = ++lastCaller_;
    ask.terms.deadline = now_ + std::chrono::milliseconds(20 + terms % 100);
    ask.terms.hedgeAt = now_ + std::chrono::milliseconds(5 + terms % 20);
    ask.terms.earlyStopAt = now_ + std::chrono::milliseconds(terms % 30);
    ask.terms.quorum = 1 - static_cast<double>(terms % 3) * 0.25;
    ask.terms.hitLimit = 1 + terms % 40;
    oracle_.asked(ask.caller, ask.terms.hitLimit);
    if (!entry.ask(now_, ask)) {
        oracle_.abandoned(ask.caller);
    }
}

// A request that crashes each server that runs it, sent again by its caller to another entry.
void SearchWorld::askCrashing(std::size_t daemon, std::size_t terms)
{
    for (std::size_t i = 0; i < 2; ++i) {
        crashing_.insert(lastCaller_ + 1);
        ask(daemon + i, terms);
    }
}

void SearchWorld::deliver(std::size_t message, std::size_t)
{
    if (const std::optional<SearchMessage> taken = takeMessage(message)) {
        handle(*taken);
    }
}

// Requests travel on connections that never double them; their answers and cancellations may be doubled.
void SearchWorld::deliverTwice(std::size_t message, std::size_t)
{
    const std::optional<SearchMessage> taken = takeMessage(message);
    if (!taken) {
        return;
    }
    const bool isRequest = std::holds_alternative<CallToHolder>(*taken) || std::holds_alternative<CallToServer>(*taken);
    if (!isRequest) {
        network_.push_back(*taken);
    }
    handle(*taken);
}

// A message that is lost between a holder and a server takes their connection with it, which the holder sees.
void SearchWorld::lose(std::size_t message, std::size_t)
{
    const std::optional<SearchMessage> taken = takeMessage(message);
    if (!taken) {
        return;
    }
    if (const CallToServer *call = std::get_if<CallToServer>(&*taken)) {
        send(brokenEnd(*call, Errc::ConnectionLost));
    } else if (const EndOfCall *answer = std::get_if<EndOfCall>(&*taken)) {
        send(brokenEnd(answer->call, Errc::ConnectionLost));
    }
}

// A reply reaches another query of the same daemon.
void SearchWorld::cross(std::size_t message, std::size_t query)
{
    const std::optional<SearchMessage> taken = takeMessage(message);
    if (!taken) {
        return;
    }
    const ReplyToEntry *reply = std::get_if<ReplyToEntry>(&*taken);
    if (reply == nullptr) {
        handle(*taken);
        return;
    }
    ReplyToEntry crossed = *reply;
    crossed.origin.query.value = 1 + query % (reply->origin.query.value + 2);
    if (crossed.origin.query == reply->origin.query) {
        handle(*taken);
        return;
    }
    daemonAt(crossed.origin.daemon).onReply(now_, crossed);
}

void SearchWorld::endCall(std::size_t server, std::size_t kind)
{
    FakeSearcher &target = serverAt(server);
    if (target.running() > 0) {
        send(target.end(server / serverCount % target.running(), static_cast<AnswerKind>(kind % answerKinds)));
    }
}

void SearchWorld::answerWhole(std::size_t server, std::size_t)
{
    endCall(server, static_cast<std::size_t>(AnswerKind::Whole));
}

void SearchWorld::deliverAll()
{
    for (std::size_t left = network_.size(); left > 0; --left) {
        deliver(0, 0);
    }
}

void SearchWorld::send(SearchMessage message)
{
    if (CallToServer *call = std::get_if<CallToServer>(&message)) {
        noteSent(*call);
    }
    network_.push_back(std::move(message));
}

// Judges a call at the moment at which its holder sends it.
void SearchWorld::noteSent(CallToServer &call)
{
    const FakeSearcher &server = servers_[call.call.searcher.value];
    const Knowledge &knowledge = knowledge_[call.holder];
    const auto mustKnow = [&](TimePoint since) {
        return canRead(call.holder) && now_ - std::max(since, knowledge.reachableSince) > fewSeconds;
    };
    const auto domain = domainsOut_.find(server.failureDomain());
    verdicts_.require(Property::DomainTakenOutGetsNoNewWork,
                      domain == domainsOut_.end() || !mustKnow(domain->second),
                      "new work for a failure domain that was taken out");
    const auto leaving = leaving_.find(server.id());
    verdicts_.require(Property::LeavingServerGetsNoNewWork,
                      leaving == leaving_.end() || !mustKnow(leaving->second),
                      "new work for a searcher that is leaving");
    const auto seen = knowledge.livesSeen.find(server.id());
    const bool hadTime = now_ > server.restartedAt() + ColdStart::confirmationLifetime();
    if (hadTime) {
        call.knownLife = server.incarnation();
    } else if (seen != knowledge.livesSeen.end()) {
        call.knownLife = seen->second;
    }
}

bool SearchWorld::isBlocked(const SearchMessage &message) const
{
    if (const CallToHolder *call = std::get_if<CallToHolder>(&message)) {
        return daemons_[call->holder]->isPaused();
    }
    if (const CancelToHolder *cancel = std::get_if<CancelToHolder>(&message)) {
        return daemons_[cancel->holder]->isPaused();
    }
    if (const EndOfCall *end = std::get_if<EndOfCall>(&message)) {
        return daemons_[end->call.holder]->isPaused();
    }
    if (const ReplyToEntry *reply = std::get_if<ReplyToEntry>(&message)) {
        return daemons_[reply->origin.daemon]->isPaused();
    }
    if (const WarmthToHolder *warmth = std::get_if<WarmthToHolder>(&message)) {
        return daemons_[warmth->holder]->isPaused();
    }
    return false;
}

// Messages arrive in any order; those to a paused daemon wait.
std::optional<SearchMessage> SearchWorld::takeMessage(std::size_t choice)
{
    if (network_.empty()) {
        return std::nullopt;
    }
    const std::size_t position = choice % network_.size();
    if (isBlocked(network_[position])) {
        return std::nullopt;
    }
    SearchMessage message = std::move(network_[position]);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
    return message;
}

void SearchWorld::handle(const SearchMessage &message)
{
    if (const CallToHolder *call = std::get_if<CallToHolder>(&message)) {
        daemons_[call->holder]->onCall(now_, *call);
    } else if (const CancelToHolder *cancel = std::get_if<CancelToHolder>(&message)) {
        daemons_[cancel->holder]->onCancel(now_, *cancel);
    } else if (const CallToServer *toServer = std::get_if<CallToServer>(&message)) {
        runAt(servers_[toServer->call.searcher.value], *toServer);
    } else if (const EndOfCall *end = std::get_if<EndOfCall>(&message)) {
        noteEnd(*end);
        daemons_[end->call.holder]->onEnd(now_, *end);
    } else if (const WarmthToHolder *warmth = std::get_if<WarmthToHolder>(&message)) {
        // An older report is dropped by its carrier, which bounds the age that the gate is told.
        if (now_ - warmth->sentAt <= SearcherGate::maxReportAge()) {
            daemons_[warmth->holder]->onWarmth(now_, *warmth);
        }
    } else if (const ReplyToEntry *reply = std::get_if<ReplyToEntry>(&message)) {
        noteDelivery(*reply);
        daemons_[reply->origin.daemon]->onReply(now_, *reply);
    }
}

void SearchWorld::runAt(FakeSearcher &server, const CallToServer &call)
{
    if (std::optional<EndOfCall> end = server.take(call)) {
        send(std::move(*end));
        return;
    }
    oracle_.ran(call.origin.caller);
    verdicts_.require(Property::ColdServerNeverOverloaded,
                      server.running() <= searcherSlots,
                      "more calls at a searcher than it has slots");
    verdicts_.require(Property::ColdServerNeverOverloaded,
                      server.informedRunning() <= server.bearable(),
                      std::to_string(server.informedRunning()) + " calls at a searcher that bears "
                          + std::to_string(server.bearable()));
    if (crashing_.contains(call.origin.caller)) {
        restartServer(server.id().value, 0);
    }
}

// The holder learns of the present life by an answer of it, or by the end of a connection since it began.
void SearchWorld::noteEnd(const EndOfCall &end)
{
    if (daemons_[end.call.holder]->incarnation() != end.call.holderIncarnation) {
        return;
    }
    const FakeSearcher &server = servers_[end.reply.searcher.value];
    const bool isOfThisLife = end.serverIncarnation == server.incarnation() || end.isConnectionLost;
    if (isOfThisLife) {
        knowledge_[end.call.holder].livesSeen[server.id()] = server.incarnation();
    }
}

void SearchWorld::noteDelivery(const ReplyToEntry &reply)
{
    if (reply.reply.outcome != CallOutcome::Answered
        || reply.origin.incarnation != daemons_[reply.origin.daemon]->incarnation()) {
        return;
    }
    for (const PartResult &result : reply.reply.parts) {
        oracle_.delivered(reply.origin.caller, reply.reply.version, result.part);
    }
}

} // namespace sassafrasvane
