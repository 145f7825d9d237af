#pragma once

#include <boost/outcome/outcome.hpp>

#include <string>
#include <system_error>

/// \file
/// The errors of the system: a std::error_code with the step and the peer at which it arose.

namespace sassafrasvane
{

/// What went wrong.
enum class Errc {
    InvalidRequest = 1,   ///< The request is malformed or names something unknown.
    TooLarge,             ///< A body, header or frame is over its limit.
    DeadlinePassed,       ///< The deadline had passed before the step began or while it ran.
    Overloaded,           ///< Refused early because the deadline could not be met.
    Draining,             ///< The daemon is stopping and takes no new work.
    Barred,               ///< The request has crashed servers and is barred for a time.
    NoSnapshot,           ///< No index version can be served.
    NoServer,             ///< No server may be used for the work.
    ConnectFailed,        ///< A connection could not be opened; nothing was sent.
    ConnectionLost,       ///< A connection broke after bytes may have left.
    BadMessage,           ///< Bytes of a peer or a server could not be decoded.
    WrongVersion,         ///< A reply or a request names another version than the one asked for.
    Refused,              ///< A server refused the work without running it.
    Timeout,              ///< No answer in time; the work may have run.
    Cancelled,            ///< The sender cancelled the work.
    NotAuthentic,         ///< A message does not carry a valid digest.
    StaleIncarnation,     ///< A message is from or for an earlier life of a process.
    StaleConfiguration,   ///< A value is older than the one in force.
    InvalidConfiguration, ///< A published value or a settings file is invalid.
    TicketExpired,        ///< The ticket of a non-idempotent request has expired.
    OutcomeUnknown,       ///< The work may have run; it cannot be told.
    Unavailable,          ///< A service cannot be reached.
    Internal,             ///< A precondition of our own code does not hold.
};

/// The step of the work at which an error arose.
enum class Step {
    Settings,      ///< Reading the process settings.
    Configuration, ///< Reading, checking or spreading a published value.
    Accept,        ///< Taking a request from a caller.
    Route,         ///< Choosing snapshot, searchers and leaf daemons.
    Queue,         ///< Waiting for admission.
    Connect,       ///< Opening a connection.
    Send,          ///< Sending to a peer or a server.
    Run,           ///< The server's work.
    Receive,       ///< Receiving and decoding a reply.
    Merge,         ///< Merging parts.
    Gossip,        ///< Membership exchange.
    Ticket,        ///< Checking the right to run a non-idempotent request.
    Stop,          ///< Planned stop.
};

/// Whether the work that a refusal or an error speaks of has run.
enum class Ran {
    No,      ///< Provably did not run and will not run.
    Yes,     ///< Ran.
    Unknown, ///< May have run, or may still run.
};

/// The category of Errc, for std::error_code.
const std::error_category &errorCategory() noexcept;

/// Makes Errc usable as a std::error_code.
std::error_code make_error_code(Errc code) noexcept;

/// Stable lower-case name of \p code, such as "deadline_passed", for JSON and log lines.
const char *name(Errc code) noexcept;

/// Stable lower-case name of \p step.
const char *name(Step step) noexcept;

/// "no", "yes" or "unknown".
const char *name(Ran ran) noexcept;

/// An error with its place.
///
/// \code
/// return Error{Errc::ConnectFailed, Step::Connect, "10.0.0.7:7001", "connection refused"};
/// \endcode
struct Error {
    /// What went wrong.
    std::error_code code;
    /// Where it arose.
    Step step = Step::Accept;
    /// The peer or server concerned, as ip:port; empty if none.
    std::string peer;
    /// Detail for people; never a caller's payload or a key.
    std::string detail;

    Error() = default;
    Error(Errc errc, Step step, std::string peer = {}, std::string detail = {});

    /// The code as Errc; Errc::Internal if it is of another category.
    Errc errc() const noexcept;

    /// One line: "connect 10.0.0.7:7001: connect_failed (connection refused)".
    std::string message() const;
};

/// A value or an Error. Reading the one that is absent throws.
template<typename T>
using Result = boost::outcome_v2::checked<T, Error>;

} // namespace sassafrasvane

template<>
struct std::is_error_code_enum<sassafrasvane::Errc> : std::true_type {
};
