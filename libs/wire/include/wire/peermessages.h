#pragma once

#include "admission/crashbar.h"
#include "base/ids.h"
#include "base/time.h"
#include "fanout/messages.h"

#include <string>
#include <variant>
#include <vector>

/// \file
/// Typed messages between daemons on their TCP links.

namespace sassafrasvane
{

/// What a leaf request asks a searcher to do.
enum class WorkKind {
    Search, ///< Idempotent; several parts of one index version.
    Run,    ///< Non-idempotent; runs at most once.
};

/// A request of an entry daemon to a leaf daemon, for searchers that the leaf holds.
struct LeafRequest {
    WorkKind kind = WorkKind::Search;
    QueryId query;
    /// Life of the entry daemon that the replies belong to.
    Incarnation entryIncarnation;
    /// Position of the class in the configuration, for fairness between classes.
    ClassIndex cls;
    /// Time left until the answer is worthless; relative, because daemons share no clock.
    Duration timeLeft{0};
    /// Most hits wanted of each part.
    std::uint32_t hitLimit = 10;
    /// Fingerprint of the payload, for requests that crash their server.
    Fingerprint fingerprint;
    /// W3C traceparent of the entry's span.
    std::string traceparent;
    /// Query text or the JSON of a non-idempotent request.
    std::string payload;
    /// Identity of a non-idempotent request; empty for a search.
    std::string identity;
    std::vector<SearchCall> calls;
};

/// The end of one call of a leaf request.
struct LeafReply {
    QueryId query;
    Incarnation entryIncarnation;
    SearchReply reply;
    /// Result of a non-idempotent request, JSON.
    std::string result;
    /// Time that the call waited at the leaf before it was sent.
    Duration queued{0};
    /// Time that the searcher took.
    Duration served{0};
};

/// Calls whose result is no longer wanted.
struct LeafCancel {
    Incarnation entryIncarnation;
    std::vector<CallId> calls;
};

/// First message of the accepting side: proves nothing yet, asks for proof.
struct PeerChallenge {
    std::string nonce;
};

/// Answer of the connecting side: who it is, with a digest over the accepting side's nonce.
struct PeerHello {
    DaemonId daemon;
    Incarnation incarnation;
    /// Nonce of the connecting side, for the welcome.
    std::string nonce;
    std::string digest;
};

/// Answer of the accepting side, with a digest over the connecting side's nonce.
struct PeerWelcome {
    DaemonId daemon;
    Incarnation incarnation;
    std::string digest;
};

/// A copy of a non-idempotent request on its way to the daemon whose ticket it carries.
struct OnceForward {
    /// Number of the forward, unique within a life of the sender.
    std::uint64_t forward = 0;
    /// Life of the sender.
    Incarnation senderIncarnation;
    /// The ticket as the caller sent it.
    std::string ticket;
    /// The caller's Idempotency-Key.
    std::string key;
    std::string className;
    /// The caller's request, JSON.
    std::string request;
    /// Time left until the caller must be answered.
    Duration timeLeft{0};
    /// W3C traceparent of the sender's span.
    std::string traceparent;
};

/// The owner's answer to a forwarded copy.
struct OnceForwardReply {
    std::uint64_t forward = 0;
    Incarnation senderIncarnation;
    Ran ran = Ran::Unknown;
    /// The reason, unless it ran.
    Errc error = Errc::OutcomeUnknown;
    /// Result of the request, JSON; empty unless it ran.
    std::string result;
    /// When a refused caller may try again.
    Duration retryAfter{0};
};

/// Asks another holder of some searchers how much work they can bear.
struct WarmthQuery {
    /// Echoed by the reply, so that the asker knows when it asked.
    std::uint64_t number = 0;
    std::vector<SearcherId> searchers;
};

/// How much work one searcher can bear over all its holders, as one holder has found.
struct WarmthEntry {
    SearcherId searcher;
    Incarnation incarnation;
    std::uint32_t allowance = 0;
    /// Time since the start of the latest call that the searcher answered in this incarnation.
    Duration age{0};
};

/// Answers a WarmthQuery; searchers of which nothing is known are left out.
struct WarmthReply {
    std::uint64_t number = 0;
    std::vector<WarmthEntry> entries;
};

/// Evidence against requests that crash their servers.
struct CrashNotice {
    std::vector<CrashEntry> entries;
};

/// Any message on a TCP link between daemons.
using PeerMessage = std::variant<LeafRequest,
                                 LeafReply,
                                 LeafCancel,
                                 PeerChallenge,
                                 PeerHello,
                                 PeerWelcome,
                                 OnceForward,
                                 OnceForwardReply,
                                 WarmthQuery,
                                 WarmthReply,
                                 CrashNotice>;

} // namespace sassafrasvane
