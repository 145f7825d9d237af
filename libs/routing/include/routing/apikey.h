#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

/// \file
/// API keys of callers. Keys are secret, so only their digests are kept.

namespace sassafrasvane
{

/// The SHA-256 digest of an API key.
struct ApiKeyDigest {
    std::array<std::uint8_t, 32> bytes{};

    friend bool operator==(const ApiKeyDigest &, const ApiKeyDigest &) noexcept = default;
};

/// Returns the digest of \p key.
///
/// \code
/// const Tenant *tenant = routes->tenantOf(digestOf(key));
/// \endcode
ApiKeyDigest digestOf(std::string_view key);

/// Hashes a digest by its first bytes, which are evenly distributed.
struct ApiKeyDigestHash {
    std::size_t operator()(const ApiKeyDigest &digest) const noexcept
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
        return hash;
    }
};

} // namespace sassafrasvane
