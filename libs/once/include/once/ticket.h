#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Tickets: the right to have non-idempotent requests run by one daemon incarnation, for a time.

namespace sassafrasvane
{

/// One life of a daemon process.
///
/// The nonce comes from the system's entropy, so that two lives differ even if a wrong wall clock gave both the same
/// incarnation.
struct TicketOrigin {
    DaemonId daemon;
    Incarnation incarnation;
    std::uint64_t nonce = 0;

    auto operator<=>(const TicketOrigin &) const noexcept = default;
};

/// Names the only daemon incarnation that may run the requests made under it.
struct Ticket {
    TicketOrigin origin;
    /// Unique within the origin and rising.
    std::uint64_t number = 0;
    /// No request is started under the ticket from this time on. On the BootClock of the origin; means nothing to
    /// others.
    TimePoint expiresAt;

    auto operator<=>(const Ticket &) const noexcept = default;
};

/// Writes tickets as text with a keyed digest (HMAC-SHA256, RFC 2104) and reads them back.
///
/// Several keys may be in force at once, so that they can be changed without a stop.
///
/// \code
/// const TicketCodec codec(settings.peerKeys);
/// const std::string text = codec.encode(ticket);
/// const Result<Ticket> ticket = codec.decode(text);
/// \endcode
class TicketCodec
{
public:
    /// \param keys the first one signs, all are accepted. Must not be empty.
    explicit TicketCodec(std::span<const std::string> keys);

    /// \return \p ticket as text of letters and digits, fit for a header.
    std::string encode(const Ticket &ticket) const;

    /// \return the ticket, Errc::InvalidRequest if \p text has not the form of a ticket, or Errc::NotAuthentic if its
    /// digest fits none of the keys. The latter may also be a genuine ticket of a key that is not in force here.
    Result<Ticket> decode(std::string_view text) const;

private:
    std::vector<std::string> keys_;
};

/// Issues the tickets of one daemon incarnation.
///
/// \code
/// TicketIssuer issuer(origin, 60s);
/// const Ticket ticket = issuer.issue(now);
/// \endcode
class TicketIssuer
{
public:
    /// \param lifetime how long each ticket is good for.
    TicketIssuer(const TicketOrigin &origin, Duration lifetime) noexcept : origin_(origin), lifetime_(lifetime) { }

    /// A new ticket.
    Ticket issue(TimePoint now) noexcept;

    /// The life that the tickets are bound to.
    const TicketOrigin &origin() const noexcept { return origin_; }

    /// How long each ticket is good for.
    Duration lifetime() const noexcept { return lifetime_; }

private:
    TicketOrigin origin_;
    Duration lifetime_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace sassafrasvane
