#pragma once

#include "once/messages.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

/// \file
/// The owner of non-idempotent requests: the only place where they are started.

namespace sassafrasvane
{

/// Bounds of an OnceTable.
struct OnceLimits {
    /// Requests that are remembered, running and finished.
    std::size_t records = 16'384;
    /// Refused requests that are remembered one by one.
    std::size_t refusals = 16'384;
    /// Bytes of answers that are kept, all together.
    std::size_t answerBytes = std::size_t{32} << 20U;
    /// Largest answer that is kept for copies that come later.
    std::size_t largestAnswer = 16'384;
    /// Longest caller's key.
    std::size_t keyBytes = 128;
    /// Copies of one request that wait at a time.
    std::size_t waiters = 16;
    /// Attempts at servers, as long as each was provably not sent.
    std::uint32_t attempts = 4;
    /// Attempts end this long before their copy's deadline, so that their end is known when the copy is answered.
    Duration answerMargin = std::chrono::milliseconds(20);
    /// How long a request is remembered after its ticket has expired.
    Duration keepAfterExpiry = std::chrono::minutes(5);
};

/// What the table wants done after an event. The caller clears it before the next one.
struct OnceActions {
    /// Attempts to send now.
    std::vector<OnceAttempt> run;
    /// Copies to answer now; each is answered exactly once.
    std::vector<OnceReply> answer;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;

    /// Empties all lists.
    void clear() noexcept;
};

/// Counts since the start.
struct OnceCounters {
    std::uint64_t started = 0;
    std::uint64_t resent = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Ends of attempts that are not under way: late, doubled or foreign.
    std::uint64_t droppedEnds = 0;
};

/// Runs each request of this incarnation's tickets at most once.
///
/// A request is started only if its ticket was issued by this incarnation, has not expired on this machine's
/// BootClock, and no record of it stands in the table. Records are kept longer than their tickets live, so the absence
/// of a record proves that the request was not started, until OnceLimits::keepAfterExpiry has passed; from then on
/// the answer is "unknown". An attempt that may have reached a server is never repeated.
///
/// "Not run" is final: the refusal is remembered, so that another copy, however late, gets the same answer. When there
/// is no room to remember it, all tickets up to that one start nothing any more (a fence, which takes no room).
///
/// \code
/// OnceTable table = OnceTable::Builder().origin(issuer.origin()).limits(limits).build();
/// OnceActions actions;
/// table.onRequest(now, request, actions);
/// // send actions.run, report each end by onAttemptEnd(), and send actions.answer to the waiting copies
/// \endcode
class OnceTable
{
public:
    class Builder;

    /// Takes a copy of a request. It is answered exactly once, now or later.
    void onRequest(TimePoint now, const OnceRequest &request, OnceActions &actions);

    /// Takes the end of an attempt. Ends of attempts that are not under way are dropped, but for an answer that comes
    /// after the attempt was given up as unknown.
    void onAttemptEnd(TimePoint now, AttemptEnd end, OnceActions &actions);

    /// Answers copies whose deadline has passed and forgets old records.
    void onTimer(TimePoint now, OnceActions &actions);

    /// Starts no further request; copies of requests with a record are still answered. For a planned stop.
    void stopAccepting() noexcept;

    /// Requests whose outcome is still open.
    std::size_t running() const noexcept { return running_; }

    /// Requests and refusals that are remembered.
    std::size_t remembered() const noexcept { return records_.size(); }

    /// Counts since the start.
    const OnceCounters &counters() const noexcept { return counters_; }

private:
    enum class State {
        Running,
        Unknown, ///< The last attempt may have been sent; its answer may still come.
        Ran,
        NotRun,
    };

    struct Identity {
        std::uint64_t ticket = 0;
        std::string key;
        bool operator==(const Identity &) const noexcept = default;
    };

    struct IdentityHash {
        std::size_t operator()(const Identity &identity) const noexcept;
    };

    /// A copy that waits.
    struct Waiter {
        WaiterId id;
        TimePoint deadline;
    };

    struct Record {
        Identity identity;
        Fingerprint content;
        State state = State::Running;
        /// The answer, unless running.
        OnceAnswer answer;
        WaiterId opener;
        /// No attempt starts or is sent after it.
        TimePoint attemptDeadline;
        CallId attempt;
        std::uint32_t attempts = 0;
        TimePoint forgetAt;
        std::vector<Waiter> waiters;
    };

    /// A number for each record, in the order of their making.
    using RecordId = StrongId<struct RecordTag, std::uint64_t>;

    struct Wait {
        TimePoint deadline;
        RecordId record;
        WaiterId waiter;
        auto operator<=>(const Wait &) const noexcept = default;
    };

    struct Forget {
        TimePoint at;
        RecordId record;
        auto operator<=>(const Forget &) const noexcept = default;
    };

    OnceTable() = default;
    TimePoint advanceTo(TimePoint now) noexcept;
    void takeNew(TimePoint now, const OnceRequest &request, OnceActions &actions);
    void takeCopy(TimePoint now, const OnceRequest &request, RecordId id, OnceActions &actions);
    bool hasRoom() const noexcept;
    RecordId addRecord(const OnceRequest &request, State state, TimePoint forgetAt);
    void refuse(const OnceRequest &request, Errc reason, OnceActions &actions);
    void reply(WaiterId waiter, const OnceAnswer &answer, OnceActions &actions);
    void startAttempt(RecordId id, Record &record, OnceActions &actions);
    void finish(RecordId id, Record &record, State state, OnceAnswer answer, OnceActions &actions);
    void answerWaiters(RecordId id, Record &record, const OnceAnswer &answer, OnceActions &actions);
    void expireWaits(TimePoint now, OnceActions &actions);
    void forgetOld(TimePoint now, OnceActions &actions);
    void forget(RecordId id, OnceActions &actions);
    void setWakeAt(OnceActions &actions) const;

    TicketOrigin origin_;
    OnceLimits limits_;
    std::unordered_map<RecordId, Record> records_;
    std::unordered_map<Identity, RecordId, IdentityHash> byIdentity_;
    std::unordered_map<CallId, RecordId> byAttempt_;
    std::set<Wait> waits_;
    std::set<Forget> forgets_;
    OnceCounters counters_;
    /// The latest time that was seen. Time never goes back here, or an expired ticket would start something.
    TimePoint latest_;
    std::uint64_t lastRecord_ = 0;
    std::uint64_t lastAttempt_ = 0;
    /// Tickets up to this number start nothing any more.
    std::uint64_t fence_ = 0;
    bool isStopping_ = false;
    std::size_t running_ = 0;
    std::size_t refusals_ = 0;
    std::size_t answerBytes_ = 0;
};

/// Collects what an OnceTable needs.
class OnceTable::Builder
{
public:
    /// The life of this daemon; must be that of its TicketIssuer.
    Builder &origin(const TicketOrigin &origin) noexcept;

    /// Sets the bounds.
    Builder &limits(const OnceLimits &limits) noexcept;

    /// \return the table, or Errc::Internal if a bound is 0 or an answer cannot fit.
    Result<OnceTable> build() const;

private:
    TicketOrigin origin_;
    OnceLimits limits_;
};

} // namespace sassafrasvane
