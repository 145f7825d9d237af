#include "gather/gather.h"

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

/// Share of minParts whose searchers must have room now before any call is sent. The others may get room while these
/// run.
constexpr double minStartShare = 0.75;

} // namespace

const char *name(CallPurpose purpose) noexcept
{
    constexpr std::array<const char *, 3> names{"first", "retry", "hedge"};
    return names.at(static_cast<std::size_t>(purpose));
}

const char *name(GatherEnd end) noexcept
{
    constexpr std::array<const char *, 4> names{"answered", "unserved", "failed", "timed_out"};
    return names.at(static_cast<std::size_t>(end));
}

Gather::Gather(const GatherParameters &parameters, GatherHooks hooks)
    : parameters_(parameters), hooks_(std::move(hooks)), parts_(parameters.partCount)
{
}

bool Gather::start(TimePoint now)
{
    std::array<std::size_t, roomCount> counts{};
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        parts_[part].room = hooks_.room(part);
        ++counts.at(static_cast<std::size_t>(parts_[part].room));
    }
    const auto count = [&counts](Room room) { return counts.at(static_cast<std::size_t>(room)); };
    const std::size_t startableParts = count(Room::Now) + count(Room::Turn);
    const std::size_t availableParts = parts_.size() - count(Room::None);
    const bool hasEnoughStartable
        = static_cast<double>(startableParts) >= minStartShare * static_cast<double>(parameters_.minParts);
    if (!hasEnoughStartable || availableParts < parameters_.minParts) {
        return false;
    }
    isStarting_ = true;
    leaveOutQueuedParts(availableParts - count(Room::NextTurn));
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (parts_[part].state == State::Idle) {
            place(now, part, CallPurpose::First);
        }
    }
    isStarting_ = false;
    endIfDecided(now);
    return true;
}

// A queue at a backend means that it is short of searchers. Parts that the answer does not need are left out there, so
// that the searchers are free for queries that need them. \p includedParts is the number of parts sent in any case.
void Gather::leaveOutQueuedParts(std::size_t includedParts)
{
    std::size_t needed = parameters_.minParts - std::min(includedParts, parameters_.minParts);
    for (Part &part : parts_) {
        if (part.room < Room::NextTurn) {
            continue;
        }
        if (part.room == Room::NextTurn && needed > 0) {
            --needed;
        } else {
            part.state = State::LeftOut;
            ++leftOut_;
        }
    }
}

// Sends one left-out part as a substitute for another part, if there is one whose room is \p minRoom or better.
void Gather::sendLeftOutPart(TimePoint now, Room minRoom)
{
    for (std::size_t part = 0; part < parts_.size() && leftOut_ > 0; ++part) {
        if (parts_[part].state == State::LeftOut && hooks_.room(part) <= minRoom) {
            parts_[part].state = State::Idle;
            --leftOut_;
            place(now, part, CallPurpose::First);
            return;
        }
    }
}

std::size_t Gather::possibleParts() const noexcept
{
    return parts_.size() - lost_ - leftOut_;
}

void Gather::refuse()
{
    if (!isFinished_ && sent_ == 0) {
        finish(GatherEnd::Unserved);
    }
}

void Gather::place(TimePoint now, std::size_t part, CallPurpose purpose)
{
    Part &state = parts_[part];
    switch (hooks_.place(part, purpose)) {
    case Placement::Sent:
        onPlaced(now, part);
        break;
    case Placement::Waiting:
        if (state.openCalls == 0) {
            state.state = State::Waiting;
        }
        break;
    case Placement::Declined:
        if (state.openCalls == 0) {
            markLost(part);
        }
        break;
    }
}

void Gather::onPlaced(TimePoint now, std::size_t part)
{
    Part &state = parts_[part];
    if (isFinished_) {
        return;
    }
    ++sent_;
    ++state.openCalls;
    ++state.attempts;
    if (state.state != State::Answered) {
        state.state = State::Running;
    }
    state.sentAt = now;
}

void Gather::giveUpWaiting(TimePoint now)
{
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (parts_[part].state == State::Waiting) {
            markLost(part);
        }
    }
    endIfDecided(now);
}

bool Gather::hasOpenCalls() const noexcept
{
    return std::any_of(parts_.begin(), parts_.end(), [](const Part &part) { return part.openCalls > 0; });
}

void Gather::markLost(std::size_t part)
{
    parts_[part].state = State::Lost;
    ++lost_;
}

void Gather::onAnswered(TimePoint now, std::size_t part)
{
    Part &state = parts_[part];
    mayHaveRun_ = true;
    if (isFinished_) {
        return;
    }
    state.openCalls -= std::min<std::uint32_t>(state.openCalls, 1);
    if (state.state == State::Answered) {
        return;
    }
    state.state = State::Answered;
    ++answered_;
    endIfDecided(now);
}

void Gather::onFailed(TimePoint now, std::size_t part, Ran ran)
{
    Part &state = parts_[part];
    mayHaveRun_ = mayHaveRun_ || ran != Ran::No;
    if (isFinished_) {
        return;
    }
    state.openCalls -= std::min<std::uint32_t>(state.openCalls, 1);
    if (ran == Ran::No) {
        state.attempts -= std::min<std::uint32_t>(state.attempts, 1);
    }
    if (state.state != State::Running || state.openCalls > 0) {
        return;
    }
    const bool mayRepeat = ran == Ran::No || (parameters_.isIdempotent && state.attempts < parameters_.maxAttempts);
    if (mayRepeat && now < parameters_.deadline) {
        place(now, part, CallPurpose::Retry);
    } else {
        markLost(part);
    }
    endIfDecided(now);
}

void Gather::endIfDecided(TimePoint now)
{
    if (isFinished_ || isStarting_) {
        return;
    }
    while (possibleParts() < parameters_.minParts && leftOut_ > 0) {
        sendLeftOutPart(now, Room::None);
    }
    if (possibleParts() < parameters_.minParts) {
        finish(mayHaveRun_ || hasOpenCalls() ? GatherEnd::Failed : GatherEnd::Unserved);
        return;
    }
    const bool isComplete = answered_ == possibleParts();
    const bool isEnough = answered_ >= parameters_.minParts && now >= parameters_.targetAt;
    if (isComplete || isEnough) {
        finish(GatherEnd::Answered);
    }
}

void Gather::expire()
{
    if (isFinished_) {
        return;
    }
    if (answered_ >= parameters_.minParts) {
        finish(GatherEnd::Answered);
    } else {
        finish(sent_ == 0 ? GatherEnd::Unserved : GatherEnd::TimedOut);
    }
}

void Gather::onTimer(TimePoint now)
{
    if (isFinished_) {
        return;
    }
    if (now >= parameters_.deadline) {
        expire();
        return;
    }
    if (sent_ == 0 && now >= parameters_.refuseAt) {
        finish(GatherEnd::Unserved);
        return;
    }
    hedgeLateParts(now);
    endIfDecided(now);
}

bool Gather::mayHedge(const Part &part) const noexcept
{
    return parameters_.isIdempotent && part.state == State::Running && !part.isHedged
        && part.attempts < parameters_.maxAttempts;
}

void Gather::hedgeLateParts(TimePoint now)
{
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        Part &state = parts_[part];
        if (mayHedge(state) && now >= state.sentAt + parameters_.hedgeDelay) {
            state.isHedged = true;
            place(now, part, CallPurpose::Hedge);
            sendLeftOutPart(now, Room::Turn);
        }
    }
}

std::optional<TimePoint> Gather::wakeAt() const
{
    if (isFinished_) {
        return std::nullopt;
    }
    TimePoint next = parameters_.deadline;
    for (const Part &part : parts_) {
        if (mayHedge(part)) {
            next = std::min(next, part.sentAt + parameters_.hedgeDelay);
        }
    }
    if (sent_ == 0) {
        next = std::min(next, parameters_.refuseAt);
    }
    if (answered_ >= parameters_.minParts) {
        next = std::min(next, parameters_.targetAt);
    }
    return next;
}

void Gather::finish(GatherEnd end)
{
    isFinished_ = true;
    hooks_.finish(end);
}

} // namespace sassafrasvane
