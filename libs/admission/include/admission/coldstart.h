#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

/// \file
/// Limits the calls to a server, over all of its holders, while it is cold, unconfirmed or warming up.

namespace sassafrasvane
{

/// Why the allowance of a server is below its slots.
enum class ColdCause {
    None,
    New,            ///< It is newly known and has not warmed up yet.
    Restarted,      ///< It answered with another incarnation.
    SaysCold,       ///< It refused because it is cold.
    ConnectionLost, ///< A connection broke or was refused.
    Failures,       ///< Several calls in a row failed.
    Slower,         ///< It became several times slower at once.
    Silent,         ///< No answer within ColdStart::confirmationLifetime(), or this process was paused.
};

/// Stable lower-case name of \p cause, for metrics and log lines.
const char *name(ColdCause cause) noexcept;

/// A holder's report on a server to the other holders of that server.
struct WarmthReport {
    Incarnation incarnation;
    /// Calls that the server may run at the same time, over all holders.
    std::uint32_t allowance = 0;
    /// Start of the latest call that the server answered in this incarnation. The message carries the time elapsed
    /// since then, because the clocks of sender and receiver differ.
    TimePoint confirmedAt;
};

/// The allowance of one server: how many calls it may run at the same time over all holders, as one holder knows it.
///
/// A holder of rank r runs at most HolderShare::of(allowance()) calls. The allowance starts at the published cold
/// allowance, doubles after every successesPerStep() answers and ends at the slots. Answers count only once the
/// published warm-up time has passed since the first of them, because a server that answers fast may still be cold.
///
/// Why the calls of all holders together never exceed what the server can take:
/// - The shares of one allowance add up to it exactly, and a share never falls when the allowance rises. So if no
///   holder assumes more than L, the sum is at most L, however much the levels of the holders differ.
/// - Within one incarnation, a step needs answers of that incarnation. Each answer is counted once, by the holder that
///   received it, after its last step. A holder that adopts a peer's level discards the answers it has counted so far.
///   Hence every holder's level is at most what the server's answers in that incarnation have earned. If messages are
///   lost, a holder stays lower; late and duplicated messages carry levels that had been earned; a message of an
///   earlier incarnation is dropped.
/// - A level above the cold allowance is used only for confirmationLifetime() from the start of a call that the server
///   answered in that incarnation, on a clock that also runs during system sleep. A holder that was paused or receives
///   no messages therefore returns to the cold allowance by itself.
/// - The remaining case is a restart that takes less than confirmationLifetime(). Until the first answer, refusal or
///   lost connection of the new incarnation, and at most until confirmationLifetime() after the restart, a holder may
///   run up to its share of the level it knew. The sum is then still within the slots. A restart that takes longer has
///   no such case.
///
/// A holder whose share of the cold allowance is 0 never starts calls by itself; it waits for onPeerWarmth().
///
/// \code
/// ColdStart cold(2, 1);
/// cold.onAnswered(now, startedAt, incarnation, false);
/// const std::uint32_t total = cold.allowance(now);
/// \endcode
class ColdStart
{
public:
    /// \param slots the searcher's slots. \param coldAllowance its cold allowance; raised to 1 if 0.
    /// \param warmUp min time for which a server stays cold after its first answer.
    ColdStart(std::uint32_t slots, std::uint32_t coldAllowance, Duration warmUp = Duration{0}) noexcept;

    /// Number of answers that raise the allowance by one step.
    static constexpr std::uint32_t successesPerStep() noexcept { return 16; }

    /// Time for which an answer confirms the earned level, from the start of its call.
    static constexpr Duration confirmationLifetime() noexcept { return std::chrono::seconds(3); }

    /// Applies new published limits.
    void setLimits(std::uint32_t slots, std::uint32_t coldAllowance, Duration warmUp = Duration{0}) noexcept;

    /// Max number of calls that the server may run at \p now, over all holders.
    std::uint32_t allowance(TimePoint now) const noexcept;

    /// Time after which allowance() falls if no further answer arrives; nothing if it will not fall.
    std::optional<TimePoint> confirmedUntil() const noexcept;

    /// Handles an answer. \param startedAt when its call was started. \param incarnation 0 if the reply has none.
    /// \param isSlow true if latencies show that the server queues: the answer lowers the level of a server that is
    /// warming up instead of counting towards the next step.
    void onAnswered(TimePoint now, TimePoint startedAt, Incarnation incarnation, bool isSlow) noexcept;

    /// Handles the server's answer to a health check. It confirms that the incarnation still runs, but does not count
    /// towards the next step. \param askedAt when the check was sent.
    void onAlive(TimePoint now, TimePoint askedAt, Incarnation incarnation) noexcept;

    /// Handles a refusal. \param saysCold true if the server reports that it is cold.
    void onRefused(TimePoint now, Incarnation incarnation, bool saysCold) noexcept;

    /// Handles a failed call.
    void onFailed(TimePoint now) noexcept;

    /// Handles a broken or refused connection: the level is unconfirmed until the server answers a later call.
    void onConnectionLost(TimePoint now) noexcept;

    /// Handles a server that suddenly became several times slower: it is assumed to have lost its caches.
    void onSlower(TimePoint now) noexcept;

    /// Handles a peer's report. It is dropped if it is of an earlier incarnation, older than the event that invalidated
    /// this holder's confirmation, or older than confirmationLifetime().
    /// \param age upper bound of the time since WarmthReport::confirmedAt, including the transit of the message.
    void onPeerWarmth(TimePoint now, Incarnation incarnation, std::uint32_t allowance, Duration age) noexcept;

    /// The report to send to the other holders; nothing if this holder has no valid answer of its own in this
    /// incarnation.
    std::optional<WarmthReport> warmth() const noexcept;

    /// The latest known incarnation; 0 if none.
    Incarnation incarnation() const noexcept { return incarnation_; }

    /// Why allowance() is below the slots; ColdCause::None if it is not.
    ColdCause cause(TimePoint now) const noexcept;

private:
    bool isConfirmed(TimePoint now) const noexcept;
    bool confirm(TimePoint now, TimePoint startedAt, Incarnation incarnation) noexcept;
    void enterIncarnation(TimePoint now, Incarnation incarnation, std::uint32_t level) noexcept;
    void reduceLevel(TimePoint now, std::uint32_t level, ColdCause cause) noexcept;
    void invalidateConfirmation(TimePoint now, ColdCause cause) noexcept;
    void stepDown() noexcept;
    void countSuccess(TimePoint now, TimePoint startedAt) noexcept;

    std::uint32_t slots_ = 1;
    std::uint32_t coldAllowance_ = 1;
    Duration warmUp_{0};
    Incarnation incarnation_;
    /// Allowance earned in this incarnation.
    std::uint32_t level_ = 1;
    std::uint32_t successes_ = 0;
    std::uint32_t failuresInRow_ = 0;
    /// Start of the first call that was answered in this incarnation.
    std::optional<TimePoint> firstAnsweredAt_;
    /// When this holder first learned of this incarnation.
    TimePoint enteredAt_;
    /// Answers to calls started at or before this time confirm nothing.
    std::optional<TimePoint> invalidatedAt_;
    /// Start of the latest call, our own or a peer's, that was answered in this incarnation.
    std::optional<TimePoint> confirmedAt_;
    /// The same for our own calls only.
    std::optional<TimePoint> ownConfirmedAt_;
    ColdCause cause_ = ColdCause::New;
};

} // namespace sassafrasvane
