#pragma once

#include "fleet/valuedelta.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// The accepted text of one key, and differences to it for peers with an older version.

namespace sassafrasvane::detail
{

/// Bytes sent to a peer that requests the accepted text.
struct ValueBody {
    /// The version that the difference applies to; 0 if `bytes` is the whole text.
    ConfigVersion base;
    std::shared_ptr<const std::string> bytes;
};

/// The accepted text of one key, its recent predecessors as differences, and the versions that were refused.
class PublishedValue
{
public:
    ConfigVersion version() const noexcept { return version_; }
    const std::shared_ptr<const std::string> &text() const noexcept { return text_; }
    const TextDigest &digest() const noexcept { return digest_; }

    /// Replaces the text by that of a higher version.
    void accept(ConfigVersion version, std::string text);

    /// Remembers that \p version is invalid.
    void refuse(ConfigVersion version);

    bool isRefused(ConfigVersion version) const noexcept;

    /// The highest version that was accepted or refused. A watch waits for a version above it.
    ConfigVersion highestSeen() const noexcept;

    /// \return the difference from \p base if that is a recent predecessor with \p digest, else the whole text.
    ValueBody bodyFor(ConfigVersion base, const TextDigest &digest);

private:
    /// An earlier version, with the difference that turns the next version's text back into this one's.
    struct Predecessor {
        ConfigVersion version;
        TextDigest digest;
        std::string reverseDelta;
    };

    ConfigVersion version_;
    std::shared_ptr<const std::string> text_;
    TextDigest digest_;
    std::deque<Predecessor> predecessors_;
    std::size_t predecessorBytes_ = 0;
    std::vector<ConfigVersion> refused_;
    std::map<ConfigVersion, ValueBody> cachedBodies_;
};

} // namespace sassafrasvane::detail
