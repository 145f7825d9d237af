#include "once/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <optional>

namespace sassafrasvane
{

namespace
{

/// Separates these digests from others made with the same keys.
constexpr std::string_view purpose = "sassafrasvane ticket 1";
/// First letters of a ticket, which name its form.
constexpr std::string_view prefix = "t1";
constexpr std::size_t fieldCount = 5;
constexpr std::size_t payloadBytes = fieldCount * sizeof(std::uint64_t);
/// A truncated digest, as RFC 2104 section 5 allows.
constexpr std::size_t digestBytes = 16;
constexpr std::size_t ticketBytes = payloadBytes + digestBytes;
constexpr std::string_view hexDigits = "0123456789abcdef";

using Payload = std::array<std::uint8_t, payloadBytes>;
using Digest = std::array<std::uint8_t, digestBytes>;

Payload payloadOf(const Ticket &ticket) noexcept
{
    const std::array<std::uint64_t, fieldCount> fields{
        ticket.origin.daemon.value,
        ticket.origin.incarnation.value,
        ticket.origin.nonce,
        ticket.number,
        static_cast<std::uint64_t>(ticket.expiresAt.time_since_epoch().count()),
    };
    Payload payload{};
    for (std::size_t i = 0; i < payloadBytes; ++i) {
        const std::size_t shift = 8 * (7 - i % 8);
        payload[i] = static_cast<std::uint8_t>(fields[i / 8] >> shift);
    }
    return payload;
}

Ticket ticketOf(const Payload &payload) noexcept
{
    std::array<std::uint64_t, fieldCount> fields{};
    for (std::size_t i = 0; i < payloadBytes; ++i) {
        fields[i / 8] = fields[i / 8] << 8U | payload[i];
    }
    Ticket ticket;
    ticket.origin = {DaemonId{fields[0]}, Incarnation{fields[1]}, fields[2]};
    ticket.number = fields[3];
    ticket.expiresAt = TimePoint(Duration(static_cast<Duration::rep>(fields[4])));
    return ticket;
}

Digest digestOf(std::string_view key, const Payload &payload)
{
    std::array<std::uint8_t, purpose.size() + payloadBytes> message{};
    std::copy(purpose.begin(), purpose.end(), message.begin());
    std::copy(payload.begin(), payload.end(), message.begin() + purpose.size());
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> whole{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), message.data(), message.size(), whole.data(), &length);
    Digest digest{};
    std::copy_n(whole.begin(), digestBytes, digest.begin());
    return digest;
}

void appendHex(std::string &text, std::span<const std::uint8_t> bytes)
{
    for (const std::uint8_t byte : bytes) {
        text += hexDigits[byte >> 4U];
        text += hexDigits[byte & 0xfU];
    }
}

std::optional<std::array<std::uint8_t, ticketBytes>> bytesOfHex(std::string_view text) noexcept
{
    std::array<std::uint8_t, ticketBytes> bytes{};
    if (text.size() != 2 * ticketBytes) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const std::size_t digit = hexDigits.find(text[i]);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        bytes[i / 2] = static_cast<std::uint8_t>(bytes[i / 2] << 4U | digit);
    }
    return bytes;
}

} // namespace

TicketCodec::TicketCodec(std::span<const std::string> keys) : keys_(keys.begin(), keys.end())
{
}

std::string TicketCodec::encode(const Ticket &ticket) const
{
    const Payload payload = payloadOf(ticket);
    std::string text(prefix);
    appendHex(text, payload);
    appendHex(text, digestOf(keys_.front(), payload));
    return text;
}

Result<Ticket> TicketCodec::decode(std::string_view text) const
{
    const bool hasPrefix = text.starts_with(prefix);
    const std::optional<std::array<std::uint8_t, ticketBytes>> bytes
        = hasPrefix ? bytesOfHex(text.substr(prefix.size())) : std::nullopt;
    if (!bytes) {
        return Error{Errc::InvalidRequest, Step::Ticket, {}, "this is not the form of a ticket"};
    }
    Payload payload{};
    std::copy_n(bytes->begin(), payloadBytes, payload.begin());
    for (const std::string &key : keys_) {
        const Digest digest = digestOf(key, payload);
        if (CRYPTO_memcmp(digest.data(), bytes->data() + payloadBytes, digestBytes) == 0) {
            return ticketOf(payload);
        }
    }
    return Error{Errc::NotAuthentic, Step::Ticket, {}, "the ticket's digest fits no key in force"};
}

Ticket TicketIssuer::issue(TimePoint now) noexcept
{
    return Ticket{origin_, ++lastNumber_, now + lifetime_};
}

} // namespace sassafrasvane
