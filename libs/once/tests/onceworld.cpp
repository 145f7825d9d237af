#include "onceworld.h"

#include "base/random.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const std::vector<std::string> keys{"key"};

std::string bodyFor(std::size_t caller)
{
    return "answer to " + std::to_string(caller);
}

} // namespace

bool OnceCaller::wasTold(Ran ran) const
{
    return std::any_of(answers.begin(), answers.end(), [ran](const OnceAnswer &answer) { return answer.ran == ran; });
}

OnceWorld::OnceWorld(std::size_t daemons, const OnceWorldLimits &limits) : limits_(limits), current_(daemons)
{
    for (std::size_t address = 0; address < daemons; ++address) {
        replace(address, Incarnation{1});
    }
}

std::optional<std::size_t> OnceWorld::addCaller(std::size_t address)
{
    OnceLife &life = lives_[current_[address]];
    if (!life.isAlive || life.isAsleep) {
        return std::nullopt;
    }
    OnceCaller caller;
    caller.ticket = TicketCodec(keys).encode(life.issuer->issue(clock(current_[address])));
    callers_.push_back(std::move(caller));
    return callers_.size() - 1;
}

bool OnceWorld::sendCopy(std::size_t caller, std::size_t address, bool isRaced)
{
    OnceCaller &state = callers_[caller];
    const std::size_t life = current_[address];
    if (state.wasTold(Ran::No) || state.wasTold(Ran::Yes) || !lives_[life].isAlive) {
        return false;
    }
    if (state.soleCopy) {
        state.isOpen[*state.soleCopy] = false;
    }
    const std::size_t copy = state.isOpen.size();
    const bool isSole = copy == 0 && !isRaced;
    if (isSole) {
        state.soleCopy = copy;
    }
    state.isOpen.push_back(true);
    OnceMessage message{OnceMessage::Kind::Copy, {}, life, now_, {}, {}, {}, !isSole};
    message.deliver = [=, this] { takeCopy(life, caller, copy, isSole); };
    send(std::move(message));
    return true;
}

void OnceWorld::deliver(std::size_t index, bool isDoubled)
{
    const OnceMessage message = messages_[index];
    if (message.to && lives_[*message.to].isAlive && lives_[*message.to].isAsleep) {
        return;
    }
    if (!isDoubled || !message.mayDouble) {
        lose(index);
    }
    if (!message.to || lives_[*message.to].isAlive) {
        message.deliver();
    }
}

void OnceWorld::lose(std::size_t index)
{
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
}

void OnceWorld::refuse(std::size_t index)
{
    const OnceMessage message = messages_[index];
    if (message.kind == OnceMessage::Kind::Attempt) {
        lose(index);
        message.end(AttemptEnd::End::NotSent);
    }
}

void OnceWorld::cut(std::size_t index)
{
    const OnceMessage message = messages_[index];
    if (message.kind == OnceMessage::Kind::Attempt) {
        message.end(AttemptEnd::End::MaybeSent);
    }
}

void OnceWorld::breakOff(std::size_t index, bool hasRun)
{
    const OnceMessage message = messages_[index];
    lose(index);
    if (hasRun) {
        message.run();
    }
    message.end(AttemptEnd::End::MaybeSent);
}

void OnceWorld::tick(std::size_t life)
{
    OnceLife &state = lives_[life];
    if (!state.isAlive || state.isAsleep) {
        return;
    }
    const std::map<CallId, TimePoint> attempts = state.attempts;
    for (const auto &[attempt, deadline] : attempts) {
        if (deadline <= clock(life)) {
            state.attempts.erase(attempt);
            AttemptEnd end;
            end.attempt = attempt;
            end.error = Errc::Timeout;
            state.table->onAttemptEnd(clock(life), end, actions_);
            apply(life);
        }
    }
    const std::map<std::uint64_t, OnceLife::Forward> forwards = state.forwards;
    for (const auto &[number, forward] : forwards) {
        if (forward.deadline <= clock(life)) {
            state.forwards.erase(number);
            forward.answer(state.forwarder->onFailure(forward.copy, {Errc::Timeout, true}));
        }
    }
    state.table->onTimer(clock(life), actions_);
    apply(life);
}

void OnceWorld::kill(std::size_t address)
{
    lives_[current_[address]].isAlive = false;
}

void OnceWorld::replace(std::size_t address, Incarnation incarnation)
{
    OnceLife life;
    life.origin = {DaemonId{address}, incarnation, lives_.size()};
    life.clockOffset = 77s * static_cast<Duration::rep>(lives_.size() % 5);
    life.issuer.emplace(life.origin, limits_.ticketLifetime);
    life.table = OnceTable::Builder().origin(life.origin).limits(limits_.table).build().value();
    life.forwarder.emplace(life.origin, TicketCodec(keys), OnceForwarder::KnownIncarnation());
    current_[address] = lives_.size();
    lives_.push_back(std::move(life));
}

bool OnceWorld::isCutOff(std::size_t one, std::size_t other) const
{
    return (lives_[one].origin.daemon.value < boundary_) != (lives_[other].origin.daemon.value < boundary_);
}

void OnceWorld::setAsleep(std::size_t life, bool isAsleep)
{
    lives_[life].isAsleep = isAsleep;
}

std::optional<std::string> OnceWorld::fault() const
{
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        const OnceCaller &caller = callers_[i];
        const std::string name = "request " + std::to_string(i);
        if (caller.runs > 1) {
            return name + " ran " + std::to_string(caller.runs) + " times";
        }
        if (caller.wasTold(Ran::No) && caller.runs > 0) {
            return name + " ran though it was refused as not run";
        }
        for (const OnceAnswer &answer : caller.answers) {
            if (answer.ran == Ran::Yes && (caller.runs != 1 || (answer.body && *answer.body != bodyFor(i)))) {
                return name + " got an answer that is not its own";
            }
        }
    }
    return std::nullopt;
}

void OnceWorld::send(OnceMessage message)
{
    message.salt = mix(++lastMessage_);
    messages_.push_back(std::move(message));
}

void OnceWorld::takeCopy(std::size_t life, std::size_t caller, std::size_t copy, bool isSole)
{
    const std::function<void(OnceAnswer)> answer = [=, this](const OnceAnswer &outcome) {
        send({OnceMessage::Kind::Answer,
              life,
              {},
              now_,
              [=, this] {
                  if (callers_[caller].isOpen[copy]) {
                      callers_[caller].answers.push_back(outcome);
                  }
              },
              {},
              {}});
    };
    const OnceCopy entered{callers_[caller].ticket, isSole};
    const OnceDecision decision = lives_[life].forwarder->decide(entered);
    switch (decision.kind) {
    case OnceDecision::Kind::Answer:
        answer(decision.answer);
        break;
    case OnceDecision::Kind::RunHere:
        own(life, decision.ticket, caller, [=, this](OnceAnswer outcome) {
            answer(lives_[life].forwarder->onOwnerAnswer(entered, std::move(outcome)));
        });
        break;
    case OnceDecision::Kind::Forward:
        forward(life, decision, entered, caller, answer);
        break;
    }
}

void OnceWorld::forward(std::size_t life,
                        const OnceDecision &decision,
                        const OnceCopy &copy,
                        std::size_t caller,
                        std::function<void(OnceAnswer)> answer)
{
    const std::size_t owner = current_[decision.owner.value];
    if (!lives_[owner].isAlive || isCutOff(life, owner)) {
        answer(lives_[life].forwarder->onFailure(copy, {Errc::ConnectFailed, false}));
        return;
    }
    const std::uint64_t number = ++lastForward_;
    lives_[life].forwards[number] = {clock(life) + limits_.deadline, copy, std::move(answer)};
    const std::function<void(OnceAnswer)> reply = [=, this](const OnceAnswer &outcome) {
        send({OnceMessage::Kind::Reply,
              owner,
              life,
              now_,
              [=, this] {
                  OnceLife &entry = lives_[life];
                  const auto open = entry.forwards.find(number);
                  if (open != entry.forwards.end()) {
                      const OnceLife::Forward known = open->second;
                      entry.forwards.erase(open);
                      known.answer(entry.forwarder->onOwnerAnswer(known.copy, outcome));
                  }
              },
              {},
              {}});
    };
    send({OnceMessage::Kind::Forward,
          life,
          owner,
          now_,
          [=, this] { own(owner, decision.ticket, caller, reply); },
          {},
          {}});
}

void OnceWorld::own(std::size_t life, const Ticket &ticket, std::size_t caller, std::function<void(OnceAnswer)> answer)
{
    const WaiterId waiter{++lastWaiter_};
    OnceLife &owner = lives_[life];
    owner.waiters[waiter] = std::move(answer);
    owner.callerOf[waiter] = caller;
    const OnceRequest request{waiter, ticket, "key", Fingerprint{caller}, clock(life) + limits_.deadline};
    owner.table->onRequest(clock(life), request, actions_);
    apply(life);
}

void OnceWorld::apply(std::size_t life)
{
    const OnceActions actions = actions_;
    actions_.clear();
    for (const OnceAttempt &attempt : actions.run) {
        sendAttempt(life, attempt);
    }
    for (const OnceReply &reply : actions.answer) {
        const auto waiter = lives_[life].waiters.extract(reply.waiter);
        waiter.mapped()(reply.answer);
    }
}

void OnceWorld::sendAttempt(std::size_t life, const OnceAttempt &attempt)
{
    const std::size_t caller = lives_[life].callerOf.at(attempt.opener);
    const CallId id = attempt.attempt;
    lives_[life].attempts[id] = attempt.deadline;
    OnceMessage message{OnceMessage::Kind::Attempt, life, {}, now_, {}, {}, {}, false};
    message.run = [=, this] { ++callers_[caller].runs; };
    message.deliver = [=, this] {
        ++callers_[caller].runs;
        sendEnd(life, id, AttemptEnd::End::Answered, caller);
    };
    message.end = [=, this](AttemptEnd::End end) { sendEnd(life, id, end, caller); };
    send(std::move(message));
}

void OnceWorld::sendEnd(std::size_t life, CallId attempt, AttemptEnd::End end, std::size_t caller)
{
    send({OnceMessage::Kind::End,
          {},
          life,
          now_,
          [=, this] {
              lives_[life].attempts.erase(attempt);
              const AttemptEnd result{attempt, end, Errc::ConnectionLost, 200, bodyFor(caller), Duration{0}};
              lives_[life].table->onAttemptEnd(clock(life), result, actions_);
              apply(life);
          },
          {},
          {}});
}

} // namespace sassafrasvane
