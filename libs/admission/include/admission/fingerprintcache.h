#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <vector>

/// \file
/// A bounded set of fingerprints with an expiry.

namespace sassafrasvane
{

/// Set-associative cache of fingerprints that allocates only in its constructor. In a full group, a new fingerprint
/// replaces the one that expires first.
///
/// \code
/// FingerprintCache good(4096);
/// good.add(fingerprint, now + lifetime);
/// if (good.contains(now, fingerprint)) { ... }
/// \endcode
class FingerprintCache
{
public:
    /// \param capacity maximum number of fingerprints; the number of groups of 4 is rounded up to a power of two.
    explicit FingerprintCache(std::size_t capacity);

    /// Adds \p fingerprint, which expires at \p expiresAt.
    void add(Fingerprint fingerprint, TimePoint expiresAt) noexcept;

    /// Removes \p fingerprint.
    void erase(Fingerprint fingerprint) noexcept;

    /// True if \p fingerprint was added, has not expired and has not been replaced.
    bool contains(TimePoint now, Fingerprint fingerprint) const noexcept;

private:
    struct Entry {
        Fingerprint fingerprint;
        TimePoint expiresAt;
    };

    static constexpr std::size_t groupSize = 4;
    using Group = std::array<Entry, groupSize>;

    Group &groupOf(Fingerprint fingerprint) noexcept;
    const Group &groupOf(Fingerprint fingerprint) const noexcept;

    std::vector<Group> groups_;
};

} // namespace sassafrasvane
