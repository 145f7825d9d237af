#include "once/oncetable.h"

#include "base/random.h"

#include <algorithm>
#include <limits>

namespace sassafrasvane
{

namespace
{

OnceAnswer notRun(Errc reason, Duration retryAfter = Duration{0})
{
    return {Ran::No, reason, 0, nullptr, retryAfter};
}

OnceAnswer unknown(Errc reason)
{
    return {Ran::Unknown, reason, 0, nullptr, Duration{0}};
}

} // namespace

void OnceActions::clear() noexcept
{
    run.clear();
    answer.clear();
    wakeAt.reset();
}

std::size_t OnceTable::IdentityHash::operator()(const Identity &identity) const noexcept
{
    return mix(identity.ticket, hashBytes(identity.key));
}

void OnceTable::onRequest(TimePoint now, const OnceRequest &request, OnceActions &actions)
{
    now = advanceTo(now);
    expireWaits(now, actions);
    forgetOld(now, actions);
    if (request.ticket.origin != origin_) {
        reply(request.waiter, unknown(Errc::StaleIncarnation), actions);
    } else if (request.key.empty() || request.key.size() > limits_.keyBytes) {
        reply(request.waiter, notRun(Errc::InvalidRequest), actions);
    } else {
        const auto known = byIdentity_.find({request.ticket.number, request.key});
        if (known != byIdentity_.end()) {
            takeCopy(now, request, known->second, actions);
        } else {
            takeNew(now, request, actions);
        }
    }
    setWakeAt(actions);
}

void OnceTable::onAttemptEnd(TimePoint now, AttemptEnd end, OnceActions &actions)
{
    now = advanceTo(now);
    const auto known = byAttempt_.find(end.attempt);
    if (known == byAttempt_.end()) {
        ++counters_.droppedEnds;
        return;
    }
    const RecordId id = known->second;
    Record &record = records_.at(id);
    if (end.end == AttemptEnd::End::Answered) {
        OnceAnswer answer{Ran::Yes, Errc::Internal, end.status, nullptr, Duration{0}};
        answer.body = std::make_shared<const std::string>(std::move(end.body));
        finish(id, record, State::Ran, std::move(answer), actions);
    } else if (record.state == State::Unknown) {
        ++counters_.droppedEnds;
    } else if (end.end == AttemptEnd::End::MaybeSent) {
        finish(id, record, State::Unknown, unknown(end.error), actions);
    } else if (record.attempts < limits_.attempts && now < record.attemptDeadline) {
        startAttempt(id, record, actions);
    } else {
        finish(id, record, State::NotRun, notRun(end.error, end.retryAfter), actions);
    }
    setWakeAt(actions);
}

void OnceTable::onTimer(TimePoint now, OnceActions &actions)
{
    now = advanceTo(now);
    expireWaits(now, actions);
    forgetOld(now, actions);
    setWakeAt(actions);
}

void OnceTable::stopAccepting() noexcept
{
    isStopping_ = true;
    fence_ = std::numeric_limits<std::uint64_t>::max();
}

TimePoint OnceTable::advanceTo(TimePoint now) noexcept
{
    latest_ = std::max(latest_, now);
    return latest_;
}

void OnceTable::takeNew(TimePoint now, const OnceRequest &request, OnceActions &actions)
{
    const Ticket &ticket = request.ticket;
    if (now >= ticket.expiresAt + limits_.keepAfterExpiry) {
        // A record may have stood here.
        reply(request.waiter, unknown(Errc::TicketExpired), actions);
    } else if (ticket.number <= fence_) {
        reply(request.waiter, notRun(isStopping_ ? Errc::Draining : Errc::Overloaded), actions);
    } else if (now >= ticket.expiresAt) {
        reply(request.waiter, notRun(Errc::TicketExpired), actions);
    } else if (now >= request.deadline - limits_.answerMargin) {
        refuse(request, Errc::DeadlinePassed, actions);
    } else if (!hasRoom()) {
        refuse(request, Errc::Overloaded, actions);
    } else {
        const RecordId id = addRecord(request, State::Running, ticket.expiresAt + limits_.keepAfterExpiry);
        Record &record = records_.at(id);
        record.waiters.push_back({request.waiter, request.deadline});
        waits_.insert({request.deadline, id, request.waiter});
        ++running_;
        ++counters_.started;
        startAttempt(id, record, actions);
    }
}

void OnceTable::takeCopy(TimePoint now, const OnceRequest &request, RecordId id, OnceActions &actions)
{
    ++counters_.resent;
    Record &record = records_.at(id);
    if (record.content != request.content) {
        // This content never was and never will be run under the identity.
        reply(request.waiter, notRun(Errc::InvalidRequest), actions);
    } else if (record.state != State::Running) {
        reply(request.waiter, record.answer, actions);
    } else if (now >= request.deadline) {
        reply(request.waiter, unknown(Errc::DeadlinePassed), actions);
    } else if (record.waiters.size() >= limits_.waiters) {
        reply(request.waiter, unknown(Errc::Overloaded), actions);
    } else {
        record.waiters.push_back({request.waiter, request.deadline});
        waits_.insert({request.deadline, id, request.waiter});
    }
}

// The largest answer is reserved for each running request, so that what has run can be answered again.
bool OnceTable::hasRoom() const noexcept
{
    return records_.size() - refusals_ < limits_.records
        && answerBytes_ + (running_ + 1) * limits_.largestAnswer <= limits_.answerBytes;
}

OnceTable::RecordId OnceTable::addRecord(const OnceRequest &request, State state, TimePoint forgetAt)
{
    const RecordId id{++lastRecord_};
    Record record;
    record.identity = {request.ticket.number, request.key};
    record.content = request.content;
    record.state = state;
    record.opener = request.waiter;
    record.attemptDeadline = request.deadline - limits_.answerMargin;
    record.forgetAt = forgetAt;
    byIdentity_.emplace(record.identity, id);
    forgets_.insert({forgetAt, id});
    records_.emplace(id, std::move(record));
    return id;
}

// Refuses for good. The refusal is remembered as long as the ticket could start something.
void OnceTable::refuse(const OnceRequest &request, Errc reason, OnceActions &actions)
{
    const OnceAnswer answer = notRun(reason);
    if (refusals_ < limits_.refusals) {
        const RecordId id = addRecord(request, State::NotRun, request.ticket.expiresAt);
        records_.at(id).answer = answer;
        ++refusals_;
    } else {
        fence_ = std::max(fence_, request.ticket.number);
    }
    reply(request.waiter, answer, actions);
}

void OnceTable::reply(WaiterId waiter, const OnceAnswer &answer, OnceActions &actions)
{
    counters_.refused += answer.ran == Ran::No ? 1 : 0;
    counters_.unknown += answer.ran == Ran::Unknown ? 1 : 0;
    actions.answer.push_back({waiter, answer});
}

void OnceTable::startAttempt(RecordId id, Record &record, OnceActions &actions)
{
    byAttempt_.erase(record.attempt);
    record.attempt = CallId{++lastAttempt_};
    ++record.attempts;
    byAttempt_.emplace(record.attempt, id);
    actions.run.push_back({record.attempt, record.opener, record.attemptDeadline, record.attempts});
}

void OnceTable::finish(RecordId id, Record &record, State state, OnceAnswer answer, OnceActions &actions)
{
    running_ -= record.state == State::Running ? 1 : 0;
    record.state = state;
    record.answer = std::move(answer);
    answerWaiters(id, record, record.answer, actions);
    if (state != State::Unknown) {
        byAttempt_.erase(record.attempt);
    }
    if (record.answer.body == nullptr) {
        return;
    }
    const std::size_t size = record.answer.body->size();
    const std::size_t reserved = answerBytes_ + running_ * limits_.largestAnswer;
    if (size > limits_.largestAnswer || reserved + size > limits_.answerBytes) {
        record.answer.body.reset();
    } else {
        answerBytes_ += size;
    }
}

void OnceTable::answerWaiters(RecordId id, Record &record, const OnceAnswer &answer, OnceActions &actions)
{
    for (const Waiter &waiter : record.waiters) {
        waits_.erase({waiter.deadline, id, waiter.id});
        reply(waiter.id, answer, actions);
    }
    record.waiters.clear();
}

void OnceTable::expireWaits(TimePoint now, OnceActions &actions)
{
    while (!waits_.empty() && waits_.begin()->deadline <= now) {
        const Wait wait = *waits_.begin();
        waits_.erase(waits_.begin());
        std::erase_if(records_.at(wait.record).waiters,
                      [&wait](const Waiter &waiter) { return waiter.id == wait.waiter; });
        reply(wait.waiter, unknown(Errc::DeadlinePassed), actions);
    }
}

void OnceTable::forgetOld(TimePoint now, OnceActions &actions)
{
    while (!forgets_.empty() && forgets_.begin()->at <= now) {
        const RecordId id = forgets_.begin()->record;
        forgets_.erase(forgets_.begin());
        forget(id, actions);
    }
}

void OnceTable::forget(RecordId id, OnceActions &actions)
{
    Record &record = records_.at(id);
    answerWaiters(id, record, unknown(Errc::OutcomeUnknown), actions);
    const bool isRefusal = record.state == State::NotRun && record.attempts == 0;
    refusals_ -= isRefusal ? 1 : 0;
    running_ -= record.state == State::Running ? 1 : 0;
    answerBytes_ -= record.answer.body == nullptr ? 0 : record.answer.body->size();
    byAttempt_.erase(record.attempt);
    byIdentity_.erase(record.identity);
    records_.erase(id);
}

void OnceTable::setWakeAt(OnceActions &actions) const
{
    actions.wakeAt.reset();
    if (!waits_.empty()) {
        actions.wakeAt = waits_.begin()->deadline;
    }
    if (!forgets_.empty()) {
        actions.wakeAt = std::min(actions.wakeAt.value_or(forgets_.begin()->at), forgets_.begin()->at);
    }
}

OnceTable::Builder &OnceTable::Builder::origin(const TicketOrigin &origin) noexcept
{
    origin_ = origin;
    return *this;
}

OnceTable::Builder &OnceTable::Builder::limits(const OnceLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

Result<OnceTable> OnceTable::Builder::build() const
{
    if (limits_.records == 0 || limits_.keyBytes == 0 || limits_.waiters == 0 || limits_.attempts == 0
        || limits_.keepAfterExpiry <= Duration{0} || limits_.answerBytes < limits_.largestAnswer) {
        return Error{Errc::Internal, Step::Ticket, {}, "a bound of the table is 0 or too small"};
    }
    OnceTable table;
    table.origin_ = origin_;
    table.limits_ = limits_;
    return table;
}

} // namespace sassafrasvane
