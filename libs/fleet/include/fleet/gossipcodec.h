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
/// Bytes of the datagrams between daemons.

namespace sassafrasvane
{

/// Encodes and decodes the datagrams between daemons, and proves that their sender belongs to the fleet.
///
/// A datagram is a version byte, a sequence of MessagePack values, and the first 16 bytes of an HMAC-SHA256 over all
/// before it. The digest is checked before anything is parsed. Each datagram carries the sender's incarnation and a
/// number that rises; a receiver takes each number once, within a window of windowBits. What a replay beyond that could
/// do is harmless: records are ordered by incarnation and sequence, and published values by version.
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

    /// Datagrams that may overtake each other without the later ones being refused.
    static constexpr std::size_t replayWindowSize = 256;

    /// Encodes \p message for \p to.
    /// \param bytes is overwritten; at most maxDatagramBytes.
    /// \return Errc::TooLarge if the message does not fit, which no message of this library does.
    Result<void> encode(DaemonId to, const FleetMessage &message, std::string &bytes);

    /// Decodes a datagram. Allocates no more than the datagram's size.
    /// \param from the address that it came from, which must be the sender's peer address.
    /// \return the message, or an Error of Step::Gossip: Errc::NotAuthentic (another fleet's key, a replay, another
    /// address), Errc::WrongVersion, Errc::InvalidRequest (for another daemon), Errc::StaleIncarnation,
    /// Errc::BadMessage.
    Result<FleetMessage> decode(const Address &from, std::string_view bytes);

    /// Sets the incarnation of the next datagrams; see MembershipActions::ownIncarnation.
    void setIncarnation(Incarnation incarnation) noexcept;

    /// Replaces the keys: the first one signs, all are accepted.
    /// \return Errc::InvalidConfiguration if there is none or one is empty; the former ones stay.
    Result<void> setKeys(std::span<const std::string> keys);

    /// Appends the digest of \p bytes under \p key: what encode() does last. For tests and fuzzers of the decoder.
    static std::string sign(std::string_view key, std::string_view bytes);

    /// Refused datagrams by reason.
    const std::map<Errc, std::uint64_t> &refusals() const noexcept { return refusals_; }

private:
    /// The numbers of one sender's datagrams that were taken.
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

/// Collects what a GossipCodec needs.
class GossipCodec::Builder
{
public:
    /// This daemon.
    Builder &self(DaemonId daemon) noexcept;

    /// This daemon's incarnation.
    Builder &incarnation(Incarnation incarnation) noexcept;

    /// The keys: the first one signs, all are accepted.
    Builder &keys(std::span<const std::string> keys);

    /// \return the codec, or Errc::InvalidConfiguration if there is no key or one is empty.
    Result<GossipCodec> build() const;

private:
    DaemonId self_;
    Incarnation incarnation_;
    std::vector<std::string> keys_;
};

} // namespace sassafrasvane
