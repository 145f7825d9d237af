#pragma once

#include "base/address.h"
#include "base/error.h"
#include "fleet/messages.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// Encoding and authentication of the datagrams between daemons.

namespace sassafrasvane
{

/// Encodes and decodes the datagrams between daemons, and verifies that their sender belongs to the fleet.
///
/// A datagram is a version byte, a sequence of MessagePack values, and the first 16 bytes of an HMAC-SHA256 over the
/// bytes before it. The HMAC is verified before anything is parsed. Each datagram carries the sender's incarnation and
/// a sequence number; a receiver accepts each number once, within a window of replayWindowSize. A replay that the
/// window misses is harmless: records are ordered by incarnation and sequence, and published values by version.
///
/// \code
/// GossipCodec codec =
/// GossipCodec::Builder().self(daemon).incarnation(incarnation).keys(settings.peerKeys).build().value();
/// codec.encode(to, message, bytes);
/// const Result<FleetMessage> received = codec.decode(from, bytes);
/// \endcode
class GossipCodec
{
public:
    class Builder;

    /// Size of the replay window. A datagram is refused if its number is this far or farther below the highest number
    /// of its sender.
    static constexpr std::size_t replayWindowSize = 256;

    /// Encodes \p message for \p to.
    /// \param bytes is overwritten with the datagram, at most maxDatagramBytes.
    /// \return Errc::TooLarge if the message does not fit. Every message within the limits of messages.h fits.
    Result<void> encode(DaemonId to, const FleetMessage &message, std::string &bytes);

    /// Decodes a datagram. Allocates no more than the datagram's size.
    /// \param from the source address, which must be the peer address of the sender that the datagram names.
    /// \return the message, or an Error of Step::Gossip: Errc::NotAuthentic (another fleet's key, a replay, another
    /// address), Errc::WrongVersion, Errc::InvalidRequest (for another daemon), Errc::StaleIncarnation,
    /// Errc::BadMessage.
    Result<FleetMessage> decode(const Address &from, std::string_view bytes);

    /// Sets the incarnation that the next datagrams carry; see MembershipActions::ownIncarnation.
    void setIncarnation(Incarnation incarnation) noexcept;

    /// Replaces the HMAC keys. The first one signs, all are accepted.
    /// \return Errc::InvalidConfiguration if there is no key or one is empty; the keys then stay as they were.
    Result<void> setKeys(std::span<const std::string> keys);

    /// \return \p bytes with their HMAC under \p key appended, which is the last step of encode(). For tests and
    /// fuzzers of the decoder.
    static std::string sign(std::string_view key, std::string_view bytes);

    /// Number of refused datagrams by reason.
    const std::map<Errc, std::uint64_t> &refusals() const noexcept { return refusals_; }

private:
    /// Sequence numbers of one sender's datagrams that were accepted.
    struct ReplayWindow {
        Incarnation incarnation;
        std::uint64_t highest = 0;
        std::array<std::uint64_t, replayWindowSize / 64> seen{};
    };

    GossipCodec() = default;
    bool isAuthentic(std::string_view bytes) const;
    Result<FleetMessage> decodeBody(const Address &from, std::string_view body);
    bool acceptNumber(ReplayWindow &window, std::uint64_t number) noexcept;
    Result<void> checkReplay(const Address &from, Incarnation incarnation, std::uint64_t number, bool isGossip);

    DaemonId self_;
    Incarnation incarnation_;
    std::vector<std::string> keys_;
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<DaemonId, ReplayWindow> replayWindows_;
    std::map<Errc, std::uint64_t> refusals_;
};

/// Builds a GossipCodec.
class GossipCodec::Builder
{
public:
    /// Sets this daemon's id.
    Builder &self(DaemonId daemon) noexcept;

    /// Sets this daemon's incarnation.
    Builder &incarnation(Incarnation incarnation) noexcept;

    /// Sets the HMAC keys. The first one signs, all are accepted.
    Builder &keys(std::span<const std::string> keys);

    /// \return the codec, or Errc::InvalidConfiguration if there is no key or one is empty.
    Result<GossipCodec> build() const;

private:
    DaemonId self_;
    Incarnation incarnation_;
    std::vector<std::string> keys_;
};

} // namespace sassafrasvane
