#include "once/onceforwarder.h"

namespace sassafrasvane
{

namespace
{

// An answer to a copy that provably started nothing: final if there is no other copy.
OnceAnswer nothingStarted(const OnceCopy &copy, Errc reason)
{
    return {copy.isSoleCopy ? Ran::No : Ran::Unknown, reason, 0, nullptr, Duration{0}};
}

OnceDecision answered(OnceAnswer answer)
{
    return {OnceDecision::Kind::Answer, {}, {}, std::move(answer)};
}

} // namespace

OnceForwarder::OnceForwarder(const TicketOrigin &self, TicketCodec codec, KnownIncarnation knownIncarnation)
    : self_(self), codec_(std::move(codec)), knownIncarnation_(std::move(knownIncarnation))
{
}

OnceDecision OnceForwarder::decide(const OnceCopy &copy) const
{
    const Result<Ticket> ticket = codec_.decode(copy.ticket);
    if (!ticket) {
        const Errc reason = ticket.error().errc();
        if (reason == Errc::InvalidRequest) {
            // No daemon runs anything under a text that has not even the form of a ticket.
            return answered({Ran::No, reason, 0, nullptr, Duration{0}});
        }
        // The key may have been changed since the ticket was issued, and another copy may have run before that.
        return answered(nothingStarted(copy, reason));
    }
    const TicketOrigin &origin = ticket.value().origin;
    if (origin == self_) {
        return {OnceDecision::Kind::RunHere, ticket.value(), self_.daemon, {}};
    }
    const std::optional<Incarnation> known = knownIncarnation_ ? knownIncarnation_(origin.daemon) : std::nullopt;
    const bool isGone = origin.daemon == self_.daemon || (known && *known > origin.incarnation);
    if (isGone) {
        return answered(nothingStarted(copy, Errc::StaleIncarnation));
    }
    return {OnceDecision::Kind::Forward, ticket.value(), origin.daemon, {}};
}

OnceAnswer OnceForwarder::onOwnerAnswer(const OnceCopy &copy, OnceAnswer answer) const
{
    // Not so for Errc::TicketExpired: a doubled forward may outlive the record of the first one.
    if (answer.ran == Ran::Unknown && answer.error == Errc::StaleIncarnation) {
        return nothingStarted(copy, answer.error);
    }
    return answer;
}

OnceAnswer OnceForwarder::onFailure(const OnceCopy &copy, const ForwardFailure &failure) const
{
    if (failure.mayBeSent) {
        return {Ran::Unknown, failure.error, 0, nullptr, Duration{0}};
    }
    return nothingStarted(copy, failure.error);
}

} // namespace sassafrasvane
