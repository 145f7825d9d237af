#pragma once

#include "once/messages.h"
#include "once/ticket.h"

#include <functional>
#include <optional>
#include <string_view>

/// \file
/// The entry's part in a non-idempotent request: who may run it, and what an unanswered forward means.

namespace sassafrasvane
{

/// A copy of a request as an entry takes it from a caller.
struct OnceCopy {
    /// The ticket as the caller sent it.
    std::string_view ticket;
    /// The caller's promise that it sent no other copy, and sends none before this one is answered or its connection is
    /// closed. It lets more refusals say "not run"; that a request runs at most once never rests on it.
    bool isSoleCopy = false;
};

/// What an entry does with a copy.
struct OnceDecision {
    enum class Kind {
        RunHere, ///< Give it to this daemon's OnceTable.
        Forward, ///< Send it to \ref owner.
        Answer,  ///< Send \ref answer to the caller.
    };
    Kind kind = Kind::Answer;
    /// Set unless answered.
    Ticket ticket;
    DaemonId owner;
    OnceAnswer answer;
};

/// Why a forwarded copy came back without an answer of its owner.
struct ForwardFailure {
    Errc error = Errc::Timeout;
    /// False only if provably no byte of the copy left this daemon, and none will.
    bool mayBeSent = true;
};

/// Decides at the entry which daemon may run a request, and what the caller is told if that daemon gives no answer.
///
/// An entry never runs a request of another owner and never forwards a copy twice.
///
/// \code
/// const OnceDecision decision = forwarder.decide(copy);
/// // the owner's answer, or that of the own table:
/// const OnceAnswer answer = forwarder.onOwnerAnswer(copy, ownerAnswer);
/// // no answer:
/// const OnceAnswer answer = forwarder.onFailure(copy, failure);
/// \endcode
class OnceForwarder
{
public:
    /// The incarnation in which a daemon was last seen, or nothing.
    using KnownIncarnation = std::function<std::optional<Incarnation>(DaemonId daemon)>;

    /// \param self the life of this daemon. \param codec with the keys in force. \param knownIncarnation may be empty.
    OnceForwarder(const TicketOrigin &self, TicketCodec codec, KnownIncarnation knownIncarnation);

    /// Decides what to do with \p copy.
    OnceDecision decide(const OnceCopy &copy) const;

    /// What to tell the caller after the owner, this daemon or another, gave \p answer.
    OnceAnswer onOwnerAnswer(const OnceCopy &copy, OnceAnswer answer) const;

    /// What to tell the caller if the owner gave no answer.
    OnceAnswer onFailure(const OnceCopy &copy, const ForwardFailure &failure) const;

private:
    TicketOrigin self_;
    TicketCodec codec_;
    KnownIncarnation knownIncarnation_;
};

} // namespace sassafrasvane
