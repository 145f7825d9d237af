#pragma once

#include "admission/searchergate.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasvane
{

/// Time within which a daemon that is awake applies a new table.
constexpr Duration maxTableDelay = std::chrono::seconds(3);

/// Simulates several gates that share one server in virtual time, and checks the number of calls that run there.
class GateFleet
{
public:
    /// \param daemons may be more than \p holders; a daemon whose rank is not below \p holders is currently no holder.
    GateFleet(std::uint32_t daemons, std::uint32_t holders, std::uint32_t slots, std::uint32_t coldAllowance)
        : limits_{"riders", slots, 64, Duration{0}, coldAllowance}, holderCount_(holders)
    {
        for (std::uint32_t i = 0; i < daemons; ++i) {
            holders_.push_back({SearcherGate::Builder().limits(limits_).share({i, holders}).build(), i, i < holders});
        }
    }

    void offer(std::size_t holder, Duration timeLeft, bool isExtra)
    {
        if (holders_[holder].isPaused || !holders_[holder].isHolder) {
            return;
        }
        const CallId call{++lastCall_};
        outcomes_[call] = 0;
        offeredCalls_[call] = {holder, call, now_, now_ + timeLeft, 0, false};
        perform(holder, [&](GateActions &actions) {
            holders_[holder].gate.offer(now_, {call, ClassIndex{0}, now_ + timeLeft, isExtra}, actions);
        });
    }

    /// Ends the running call at \p index, modulo their number. \param isDelayed true to deliver the result later.
    void end(std::size_t index, GateResult::End end, bool saysCold, bool isConnectionLost, bool isDelayed)
    {
        if (running_.empty()) {
            return;
        }
        const Call call = running_[index % running_.size()];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index % running_.size()));
        answers_ += end == GateResult::End::Answered ? 1 : 0;
        const bool hasIncarnation = end != GateResult::End::Failed;
        results_.push_back({call,
                            {call.id,
                             end,
                             Duration{0},
                             hasIncarnation ? Incarnation{incarnationNumber_} : Incarnation{},
                             saysCold,
                             -1,
                             isConnectionLost}});
        if (!isDelayed) {
            deliverResult(results_.size() - 1);
        }
    }

    void deliverResult(std::size_t index)
    {
        if (results_.empty()) {
            return;
        }
        index %= results_.size();
        const Result pending = results_[index];
        if (holders_[pending.call.holder].isPaused) {
            return;
        }
        results_.erase(results_.begin() + static_cast<std::ptrdiff_t>(index));
        Holder &holder = holders_[pending.call.holder];
        // A timeout does not show a restart.
        const bool isReply
            = pending.call.incarnationNumber == incarnationNumber_ && pending.result.end != GateResult::End::Failed;
        const bool showsIncarnation = isReply || pending.result.isConnectionLost;
        holder.knownIncarnation = showsIncarnation ? incarnationNumber_ : holder.knownIncarnation;
        GateResult result = pending.result;
        result.latency = now_ - pending.call.startedAt;
        perform(pending.call.holder, [&](GateActions &actions) { holder.gate.onResult(now_, result, actions); });
    }

    /// Runs \p count calls one after the other, so that the server warms up.
    void serve(std::size_t holder, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            offer(holder, std::chrono::milliseconds(100), false);
            advance(std::chrono::milliseconds(1));
            const auto own = std::find_if(
                running_.begin(), running_.end(), [holder](const Call &call) { return call.holder == holder; });
            if (own != running_.end()) {
                end(static_cast<std::size_t>(own - running_.begin()), GateResult::End::Answered, false, false, false);
            }
        }
    }

    /// Restarts the server without notice. Its running calls fail; the holders receive these results at once or, if
    /// \p isDelayed, later.
    void restart(Duration downFor, bool isDelayed)
    {
        const std::size_t lost = running_.size();
        for (std::size_t i = 0; i < lost; ++i) {
            end(0, GateResult::End::Failed, false, true, true);
        }
        isDown_ = true;
        advance(downFor);
        isDown_ = false;
        ++incarnationNumber_;
        answers_ = 0;
        restartedAt_ = now_;
        for (std::size_t i = 0; !isDelayed && i < lost; ++i) {
            deliverResult(results_.size() - 1);
        }
    }

    void advance(Duration time)
    {
        const TimePoint end = now_ + time;
        while (now_ < end) {
            now_ = std::min(end, now_ + std::chrono::milliseconds(20));
            dropExpired();
            applyStaleTables();
            for (std::size_t i = 0; i < holders_.size(); ++i) {
                if (!holders_[i].isPaused) {
                    perform(i, [&](GateActions &actions) { holders_[i].gate.onTimer(now_, actions); });
                }
            }
        }
    }

    void togglePause(std::size_t holder)
    {
        holders_[holder].isPaused = !holders_[holder].isPaused;
        applyStaleTables();
    }

    /// Sends a health check to the server; the answer takes \p time.
    void checkHealth(std::size_t holder, Duration time)
    {
        if (isDown_ || holders_[holder].isPaused) {
            return;
        }
        const Incarnation incarnation{incarnationNumber_};
        const TimePoint askedAt = now_;
        advance(time);
        if (!holders_[holder].isPaused) {
            holders_[holder].knownIncarnation = incarnation.value;
            holders_[holder].gate.onAlive(now_, askedAt, incarnation);
        }
    }

    void publish(std::size_t holder)
    {
        if (const std::optional<WarmthReport> report = holders_[holder].gate.warmth()) {
            messages_.push_back(*report);
        }
    }

    void deliverMessage(std::size_t index, std::size_t holder, bool isDuplicated)
    {
        if (messages_.empty() || holders_[holder].isPaused) {
            return;
        }
        index %= messages_.size();
        const WarmthReport report = messages_[index];
        holders_[holder].gate.onPeerWarmth(now_, report.incarnation, report.allowance, now_ - report.confirmedAt);
        if (!isDuplicated) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    /// Publishes a holder table that rotates the ranks of all daemons; each daemon applies it within maxTableDelay.
    void changeTable(std::size_t rotation)
    {
        for (Holder &holder : holders_) {
            holder.rank = (holder.rank + rotation) % holders_.size();
            holder.staleSince = std::min(holder.staleSince, now_);
            ++holder.missedTables;
        }
    }

    /// Applies the newest table at the daemon \p index now.
    void applyTableAt(std::size_t index)
    {
        Holder &holder = holders_[index];
        if (holder.isPaused) {
            return;
        }
        holder.staleSince = TimePoint::max();
        if (std::exchange(holder.missedTables, 0) > 1) {
            holder.gate.suspend(now_);
        }
        const bool wasHolder = holder.isHolder;
        holder.isHolder = holder.rank < holderCount_;
        const HolderShare share{static_cast<std::uint32_t>(holder.rank), holderCount_};
        perform(index, [&](GateActions &actions) {
            if (!holder.isHolder) {
                holder.gate.refuseAll(Errc::NoServer, actions);
            } else if (!wasHolder) {
                holder.gate = SearcherGate::Builder().limits(limits_).share(share).becameHolderAt(now_).build();
            } else {
                holder.gate.setShare(now_, limits_, share, actions);
            }
        });
    }

    /// Ends all calls, then requires that each offered call had exactly one outcome and that no gate counts running or
    /// waiting calls.
    void drain()
    {
        for (Holder &holder : holders_) {
            holder.isPaused = false;
        }
        advance(std::chrono::seconds(4));
        while (!results_.empty()) {
            deliverResult(0);
        }
        for (const Holder &holder : holders_) {
            require(holder.gate.running() == 0 && holder.gate.waiting() == 0,
                    "a gate still counts running or waiting calls after all calls ended");
        }
        for (const auto &[call, outcomes] : outcomes_) {
            require(outcomes == 1,
                    "call " + std::to_string(call.value) + " had " + std::to_string(outcomes)
                        + " outcomes, expected 1");
        }
    }

    /// The allowance that the answers of the current incarnation have earned.
    std::uint32_t earnedAllowance() const
    {
        std::uint32_t level = limits_.coldAllowance;
        for (std::size_t i = 0; i < answers_ / ColdStart::successesPerStep() && level < limits_.slots; ++i) {
            level *= 2;
        }
        return std::min(level, limits_.slots);
    }

    std::uint32_t concurrency(std::size_t holder) const { return holders_[holder].gate.concurrency(now_); }
    std::size_t daemons() const { return holders_.size(); }
    std::size_t startedCalls() const { return startedCalls_; }

private:
    struct Holder {
        SearcherGate gate;
        std::size_t rank = 0;
        bool isHolder = true;
        bool isPaused = false;
        /// When the first table was published that the daemon has not applied yet.
        TimePoint staleSince = TimePoint::max();
        std::size_t missedTables = 0;
        std::uint64_t knownIncarnation = 1;
    };

    struct Call {
        std::size_t holder = 0;
        CallId id;
        TimePoint startedAt;
        TimePoint deadline;
        std::uint64_t incarnationNumber = 0;
        bool knewIncarnation = false;
    };

    struct Result {
        Call call;
        GateResult result;
    };

    static void require(bool condition, const std::string &what)
    {
        if (!condition) {
            throw std::runtime_error(what);
        }
    }

    template<typename Event>
    void perform(std::size_t holder, Event event)
    {
        GateActions actions;
        event(actions);
        for (const GateRefusal &refusal : actions.refuse) {
            ++outcomes_.at(refusal.call);
        }
        for (const CallId call : actions.start) {
            start(holder, call);
        }
    }

    void start(std::size_t holder, CallId id)
    {
        ++startedCalls_;
        ++outcomes_.at(id);
        Call call = offeredCalls_.at(id);
        require(call.holder == holder && now_ < call.deadline,
                "a call was started after its deadline or by another holder");
        call.startedAt = now_;
        call.incarnationNumber = incarnationNumber_;
        call.knewIncarnation = holders_[holder].knownIncarnation == incarnationNumber_
            || now_ > restartedAt_ + ColdStart::confirmationLifetime();
        if (isDown_) {
            results_.push_back({call, {id, GateResult::End::Failed, Duration{0}, {}, false, -1, true}});
            return;
        }
        running_.push_back(call);
        require(running_.size() <= limits_.slots, "more running calls than slots");
        const std::size_t informed = static_cast<std::size_t>(
            std::count_if(running_.begin(), running_.end(), [](const Call &other) { return other.knewIncarnation; }));
        require(informed <= earnedAllowance(),
                "more running calls of informed holders than the allowance that the server has earned");
    }

    /// Drops calls at the server whose deadline has passed; the holders see a timeout.
    void dropExpired()
    {
        for (std::size_t i = running_.size(); i > 0; --i) {
            if (running_[i - 1].deadline <= now_) {
                end(i - 1, GateResult::End::Failed, false, false, false);
            }
        }
    }

    void applyStaleTables()
    {
        for (std::size_t i = 0; i < holders_.size(); ++i) {
            if (holders_[i].staleSince != TimePoint::max() && now_ - holders_[i].staleSince >= maxTableDelay) {
                applyTableAt(i);
            }
        }
    }

    BackEndLimits limits_;
    std::uint32_t holderCount_ = 1;
    std::vector<Holder> holders_;
    TimePoint now_{std::chrono::seconds(100)};
    TimePoint restartedAt_;
    std::uint64_t incarnationNumber_ = 1;
    std::size_t answers_ = 0;
    bool isDown_ = false;
    std::uint64_t lastCall_ = 0;
    std::size_t startedCalls_ = 0;
    std::vector<Call> running_;
    std::vector<Result> results_;
    std::vector<WarmthReport> messages_;
    std::map<CallId, int> outcomes_;
    std::map<CallId, Call> offeredCalls_;
};

} // namespace sassafrasvane
