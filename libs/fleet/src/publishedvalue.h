#pragma once

#include "fleet/valuedelta.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// The accepted text of one key, with what others need to get to it.

namespace sassafrasvane::detail
{

/// What is sent to someone who wants the accepted text.
struct ValueBody {
    /// The version that the difference applies to; 0 if the bytes are the whole text.
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

    /// Takes a text of a higher version.
    void accept(ConfigVersion version, std::string text);

    /// Remembers that \p version is invalid.
    void refuse(ConfigVersion version);

    bool isRefused(ConfigVersion version) const noexcept;

    /// The highest version that was accepted or refused: what a watch need not return again.
    ConfigVersion highestSeen() const noexcept;

    /// The difference from \p base if it is one of the recent predecessors with that digest, else the whole text.
    ValueBody bodyFor(ConfigVersion base, const TextDigest &digest);

private:
    /// How to get from the text of the next version back to this one.
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
