#pragma once

#include "once/onceforwarder.h"
#include "once/oncetable.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Daemons, callers and a backend server that exchange messages in any order, for tests and for figures on outcomes.

namespace sassafrasvane
{

/// A message under way.
struct OnceMessage {
    enum class Kind {
        Copy,    ///< Caller to entry.
        Forward, ///< Entry to owner.
        Reply,   ///< Owner to entry.
        Attempt, ///< Owner to server.
        End,     ///< Server to owner.
        Answer,  ///< Entry to caller.
    };
    Kind kind = Kind::Copy;
    /// The life that sent it, if any.
    std::optional<std::size_t> from;
    /// The life that it goes to, if any. A message goes over a connection, so never to another life at the same
    /// address.
    std::optional<std::size_t> to;
    TimePoint sentAt;
    std::function<void()> deliver;
    /// For attempts: runs it without anybody being told.
    std::function<void()> run;
    /// For attempts: the end of it without a run.
    std::function<void(AttemptEnd::End)> end;
    /// False for attempts, since a server that is sent to once runs what it gets, and for a sole copy, whose caller
    /// promised that there is no other.
    bool mayDouble = true;
    /// A number that differs from message to message.
    std::uint64_t salt = 0;
};

/// One life of a daemon.
struct OnceLife {
    TicketOrigin origin;
    /// Difference of its BootClock from the world's time.
    Duration clockOffset{0};
    bool isAlive = true;
    bool isAsleep = false;
    std::optional<TicketIssuer> issuer;
    std::optional<OnceTable> table;
    std::optional<OnceForwarder> forwarder;
    /// What an owner or an entry does with the answer to each waiting copy.
    std::map<WaiterId, std::function<void(OnceAnswer)>> waiters;
    std::map<WaiterId, std::size_t> callerOf;
    /// Attempts under way, by their deadline on the own clock.
    std::map<CallId, TimePoint> attempts;
    /// Forwards under way: deadline on the own clock and what to do if no answer comes.
    struct Forward {
        TimePoint deadline;
        OnceCopy copy;
        std::function<void(OnceAnswer)> answer;
    };
    std::map<std::uint64_t, Forward> forwards;
};

/// A caller with one request.
struct OnceCaller {
    std::string ticket;
    /// For each copy, whether its connection is open.
    std::vector<bool> isOpen;
    std::optional<std::size_t> soleCopy;
    std::vector<OnceAnswer> answers;
    /// Counted at the backend server.
    int runs = 0;

    /// True once any answer says \p ran.
    bool wasTold(Ran ran) const;
};

/// Bounds that are short, so that few steps reach beyond them.
struct OnceWorldLimits {
    Duration ticketLifetime = std::chrono::seconds(10);
    Duration deadline = std::chrono::seconds(1);
    OnceLimits table;
};

/// The daemons, the messages under way and the callers. Nothing happens unless it is asked for.
class OnceWorld
{
public:
    OnceWorld(std::size_t daemons, const OnceWorldLimits &limits);

    /// A new caller with a ticket of the life at \p address. \return its number, or nothing if nobody answers there.
    std::optional<std::size_t> addCaller(std::size_t address);

    /// Sends a copy of the request of \p caller to \p address, unless it knows its outcome.
    /// \return false if nobody answers there, so that nothing was sent.
    bool sendCopy(std::size_t caller, std::size_t address, bool isRaced);

    /// Delivers message \p index, which stays under way if \p isDoubled. Nothing happens while its receiver sleeps.
    void deliver(std::size_t index, bool isDoubled);

    /// The message is lost for good.
    void lose(std::size_t index);

    /// The server refuses the attempt without running it.
    void refuse(std::size_t index);

    /// The owner sees the connection of an attempt break; the attempt stays under way.
    void cut(std::size_t index);

    /// The connection of the attempt breaks for both sides, before the server ran it or after.
    void breakOff(std::size_t index, bool hasRun);

    void advance(Duration time) { now_ += time; }

    /// Lets the life at \p address, or an earlier one that still exists, handle its timers.
    void tick(std::size_t life);

    /// Ends the life at \p address for good.
    void kill(std::size_t address);

    /// Starts a new life at \p address. An earlier one that sleeps goes on beside it when it wakes.
    void replace(std::size_t address, Incarnation incarnation);

    void setAsleep(std::size_t life, bool isAsleep);

    /// While set, no connection can be opened between the addresses below \p boundary and the others; messages on open
    /// connections are as they are. 0 heals the partition.
    void setPartition(std::size_t boundary) noexcept { boundary_ = boundary; }

    /// True if lives \p one and \p other stand on two sides of the partition.
    bool isCutOff(std::size_t one, std::size_t other) const;

    /// The life reached at \p address.
    std::size_t lifeAt(std::size_t address) const { return current_[address]; }

    std::size_t addresses() const noexcept { return current_.size(); }

    const std::vector<OnceMessage> &messages() const noexcept { return messages_; }

    const std::deque<OnceCaller> &callers() const noexcept { return callers_; }

    const std::vector<OnceLife> &lives() const noexcept { return lives_; }

    TimePoint now() const noexcept { return now_; }

    /// The first promise that does not hold, or nothing.
    std::optional<std::string> fault() const;

private:
    void send(OnceMessage message);
    TimePoint clock(std::size_t life) const { return now_ + lives_[life].clockOffset; }
    void takeCopy(std::size_t life, std::size_t caller, std::size_t copy, bool isSole);
    void forward(std::size_t life,
                 const OnceDecision &decision,
                 const OnceCopy &copy,
                 std::size_t caller,
                 std::function<void(OnceAnswer)> answer);
    void own(std::size_t life, const Ticket &ticket, std::size_t caller, std::function<void(OnceAnswer)> answer);
    void apply(std::size_t life);
    void sendAttempt(std::size_t life, const OnceAttempt &attempt);
    void sendEnd(std::size_t life, CallId attempt, AttemptEnd::End end, std::size_t caller);

    OnceWorldLimits limits_;
    TimePoint now_{std::chrono::seconds(1000)};
    std::size_t boundary_ = 0;
    std::vector<OnceLife> lives_;
    std::vector<std::size_t> current_;
    std::vector<OnceMessage> messages_;
    std::deque<OnceCaller> callers_;
    std::uint64_t lastWaiter_ = 0;
    std::uint64_t lastForward_ = 0;
    std::uint64_t lastMessage_ = 0;
    OnceActions actions_;
};

} // namespace sassafrasvane
