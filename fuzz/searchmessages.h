#pragma once

#include "admission/coldstart.h"
#include "fanout/messages.h"
#include "searchoracle.h"

#include <variant>

/// \file
/// What is under way between the daemons and servers of a SearchWorld.

namespace sassafrasvane
{

/// Where the reply to a leaf call goes.
struct EntryOrigin {
    std::size_t daemon = 0;
    Incarnation incarnation;
    QueryId query;
    /// For the oracle only; no decision may see it.
    CallerQueryId caller = 0;
};

/// From an entry daemon to the holder of a searcher.
struct CallToHolder {
    EntryOrigin origin;
    std::size_t holder = 0;
    SearchCall call;
    Duration timeLeft{0};
};

/// From an entry daemon to a holder: the call is no longer wanted.
struct CancelToHolder {
    EntryOrigin origin;
    std::size_t holder = 0;
    CallId call;
};

/// From a holder to a searcher.
struct CallToServer {
    std::size_t holder = 0;
    Incarnation holderIncarnation;
    /// Number of the call at the holder.
    CallId leafCall;
    EntryOrigin origin;
    SearchCall call;
    TimePoint deadline;
    /// For the oracle only: the life of the searcher that the holder knew of when it sent the call, or had the time to
    /// find out.
    Incarnation knownLife;
};

/// From a searcher, or from the connection to it, to the holder.
struct EndOfCall {
    CallToServer call;
    SearchReply reply;
    Incarnation serverIncarnation;
    bool saysCold = false;
    bool isConnectionLost = false;
};

/// From a holder to the entry daemon.
struct ReplyToEntry {
    EntryOrigin origin;
    SearchReply reply;
};

/// From one holder of a searcher to another.
struct WarmthToHolder {
    std::size_t holder = 0;
    SearcherId searcher;
    WarmthReport report;
    TimePoint sentAt;
};

/// Any message on its way.
using SearchMessage = std::variant<CallToHolder, CancelToHolder, CallToServer, EndOfCall, ReplyToEntry, WarmthToHolder>;

/// What a server makes of a call.
enum class AnswerKind {
    Whole,
    WholeAgain,   ///< Whole, for a greater share of whole answers.
    Truncated,    ///< Lacks its last part.
    DoubledPart,  ///< Holds its first part twice.
    ForeignPart,  ///< Holds a part that was not asked for.
    OtherVersion, ///< Searched another version, and says so.
    Refused,
    Failed, ///< The connection breaks after the work was done.
};

/// The number of answer kinds.
inline constexpr int answerKinds = 8;

} // namespace sassafrasvane
