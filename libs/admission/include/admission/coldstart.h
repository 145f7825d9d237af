#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

/// \file
/// How much work a server may be given over all of its holders while it is cold, in doubt or warming up.

namespace sassafrasvane
{

/// Why a server is not used in full.
enum class ColdCause {
    None,
    New,            ///< Nothing has been heard from it yet.
    Restarted,      ///< It answered with another incarnation.
    SaysCold,       ///< It refused because it is cold.
    ConnectionLost, ///< A connection broke or was refused.
    Failures,       ///< Several calls in a row failed.
    Slower,         ///< It became several times slower at once.
    Silent,         ///< Nothing was heard for long, or this process slept.
};

/// Stable lower-case name of \p cause, for metrics and log lines.
const char *name(ColdCause cause) noexcept;

/// What a holder tells the other holders of a server.
struct WarmthReport {
    Incarnation incarnation;
    /// Calls that the server may run at the same time, over all holders.
    std::uint32_t allowance = 0;
    /// Start of the latest call that the server answered in this incarnation. The sender puts the time since then
    /// into the message, as clocks differ.
    TimePoint confirmedAt;
};

/// The allowance of one server, as one of its holders may assume it.
///
/// A holder of rank r runs at most HolderShare::of(allowance()) calls. The allowance starts at the published cold
/// allowance, doubles after every successesPerStep() answers and ends at the slots. Answers count once the published
/// warm-up time has passed since the first of them: a server that answers fast may still be cold.
///
/// Why the holders' sum never exceeds what the server can bear:
/// - The shares of one allowance add up to it exactly, and a share never falls when the allowance rises. So if no
///   holder assumes more than L, the sum is at most L, however much the holders differ.
/// - Within one incarnation a step rests on answers of that incarnation that are counted once, by the holder that got
///   them, after its last step. Taking over a peer's level discards the answers counted so far. Hence every holder's
///   level is at most what the server's answers in that incarnation have earned. Lost messages leave a holder lower;
///   late and doubled ones tell of levels that had been earned; one of an earlier incarnation is dropped.
/// - A level above the cold allowance is used only for confirmationLifetime() from the start of a call that the server
/// answered
///   in that incarnation, on a clock that counts sleep. A paused holder and one without messages are therefore back at
///   the cold allowance by themselves.
/// - The remaining case is a restart that takes less than confirmationLifetime(): until its first answer, refusal or
/// lost
///   connection of the new life, and never later than confirmationLifetime() after the restart, a holder may run up to
///   its share of the level it knew. The sum is then still within the slots. A restart that takes longer has no such
///   case.
///
/// A holder whose share of the cold allowance is 0 never starts by itself; it waits for onPeerWarmth().
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
    /// \param warmUp shortest time for which a server that has begun to answer remains cold.
    ColdStart(std::uint32_t slots, std::uint32_t coldAllowance, Duration warmUp = Duration{0}) noexcept;

    /// Answers that raise the allowance by one step.
    static constexpr std::uint32_t successesPerStep() noexcept { return 16; }

    /// Time without an answer after which the server is in doubt.
    static constexpr Duration confirmationLifetime() noexcept { return std::chrono::seconds(3); }

    /// Takes new published limits.
    void setLimits(std::uint32_t slots, std::uint32_t coldAllowance, Duration warmUp = Duration{0}) noexcept;

    /// Calls that the server may run at \p now, over all holders.
    std::uint32_t allowance(TimePoint now) const noexcept;

    /// When allowance() falls by itself, or nothing if it will not.
    std::optional<TimePoint> confirmedUntil() const noexcept;

    /// Takes an answer. \param startedAt when its call was started. \param incarnation 0 if the server says none.
    /// \param isSlow the server shows strain: the answer does not count towards the next step.
    void onAnswered(TimePoint now, TimePoint startedAt, Incarnation incarnation, bool isSlow) noexcept;

    /// Takes the answer of the server process itself to a health check, which shows that its incarnation still lives
    /// but earns nothing. \param askedAt when it was asked.
    void onAlive(TimePoint now, TimePoint askedAt, Incarnation incarnation) noexcept;

    /// Takes a refusal. \param saysCold the server says that it is cold.
    void onRefused(TimePoint now, Incarnation incarnation, bool saysCold) noexcept;

    /// Takes a failed call.
    void onFailed(TimePoint now) noexcept;

    /// A connection broke or was refused: the server is in doubt until it answers a later call.
    void onConnectionLost(TimePoint now) noexcept;

    /// The server became several times slower at once and is taken to have lost its caches.
    void onSlower(TimePoint now) noexcept;

    /// Takes a peer's report. Dropped if it is of an earlier incarnation, older than what made this holder doubt, or
    /// older than confirmationLifetime().
    /// \param age upper bound of the time since WarmthReport::confirmedAt, the way of the message included.
    void onPeerWarmth(TimePoint now, Incarnation incarnation, std::uint32_t allowance, Duration age) noexcept;

    /// What to tell the other holders; nothing if there is no answer of our own in this incarnation.
    std::optional<WarmthReport> warmth() const noexcept;

    /// The incarnation last heard of; 0 if none.
    Incarnation incarnation() const noexcept { return incarnation_; }

    /// Why allowance() is below the slots; None if it is not.
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
    /// When this incarnation was first seen here.
    TimePoint enteredAt_;
    /// Answers to calls started up to this time prove nothing.
    std::optional<TimePoint> invalidatedAt_;
    /// Start of the latest call, our own or a peer's, that was answered in this incarnation.
    std::optional<TimePoint> confirmedAt_;
    /// The same for our own calls only.
    std::optional<TimePoint> ownConfirmedAt_;
    ColdCause cause_ = ColdCause::New;
};

} // namespace sassafrasvane
