#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "once/ticket.h"

#include <cstdint>
#include <memory>
#include <string>

/// \file
/// Typed messages of non-idempotent requests.

namespace sassafrasvane
{

/// One copy of a request that waits for an answer; unique within one incarnation of the daemon that counts it.
using WaiterId = StrongId<struct WaiterTag, std::uint64_t>;

/// A copy of a non-idempotent request as its owner takes it in.
///
/// Its identity is the ticket with the caller's key; copies with the same identity are the same request.
struct OnceRequest {
    WaiterId waiter;
    Ticket ticket;
    /// The caller's Idempotency-Key; at most OnceLimits::keyBytes long.
    std::string key;
    /// Of method, path and body. Copies of one identity must agree on it.
    Fingerprint content;
    /// The copy is answered by this time.
    TimePoint deadline;
};

/// What a caller is told about a non-idempotent request.
struct OnceAnswer {
    /// Ran::No is final: the request has not run and will not run under this identity.
    Ran ran = Ran::Unknown;
    /// The reason, unless it ran. With Ran::Unknown, Errc::StaleIncarnation means that this copy started nothing and
    /// that only another copy can have run.
    Errc error = Errc::OutcomeUnknown;
    /// The server's HTTP status; 0 unless it ran.
    int status = 0;
    /// The server's answer; null unless it ran, and if it ran but its answer was too large to keep.
    std::shared_ptr<const std::string> body;
    /// When a refused caller may try again under a new identity.
    Duration retryAfter{0};
};

/// An answer to one copy.
struct OnceReply {
    WaiterId waiter;
    OnceAnswer answer;
};

/// A request to be sent to a server now.
struct OnceAttempt {
    /// Never used twice within an incarnation, rising.
    CallId attempt;
    /// The copy that opened the request, whose payload is to be sent. It is not answered before its last attempt
    /// started, so the payload is needed only until then.
    WaiterId opener;
    /// Worthless after this time; may be sent only before it.
    TimePoint deadline;
    /// 1 for the first.
    std::uint32_t count = 1;
};

/// How an attempt ended.
struct AttemptEnd {
    enum class End {
        Answered,  ///< The server ran the request and answered.
        NotSent,   ///< Provably no byte of it left for a server, or the server says that it did not run it.
        MaybeSent, ///< Anything else.
    };
    CallId attempt;
    End end = End::MaybeSent;
    /// The reason, unless answered.
    Errc error = Errc::OutcomeUnknown;
    /// The server's HTTP status, if answered.
    int status = 0;
    /// The server's answer.
    std::string body;
    /// Set if the server or its gate said when to try again.
    Duration retryAfter{0};
};

} // namespace sassafrasvane
