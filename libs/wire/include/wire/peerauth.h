#pragma once

#include "base/ids.h"

#include <span>
#include <string>
#include <string_view>

/// \file
/// Proof of membership on TCP links: HMAC-SHA256 (RFC 2104) over the other side's nonce.

namespace sassafrasvane
{

/// What a digest speaks for.
struct PeerIdentity {
    DaemonId daemon;
    Incarnation incarnation;
};

/// A fresh random nonce. Source: the operating system's random generator, through OpenSSL.
std::string makeNonce();

/// \return digest of \p identity and \p nonce under \p key. \p role tells the two directions apart.
std::string peerDigest(std::string_view key,
                       std::string_view role,
                       const PeerIdentity &identity,
                       std::string_view nonce);

/// True if \p digest is valid under one of \p keys; compares in constant time.
bool isPeerDigestValid(std::span<const std::string> keys,
                       std::string_view role,
                       const PeerIdentity &identity,
                       std::string_view nonce,
                       std::string_view digest);

} // namespace sassafrasvane
