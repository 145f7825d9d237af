#include "admission/fingerprintcache.h"

#include "base/random.h"

#include <algorithm>
#include <bit>

namespace sassafrasvane
{

FingerprintCache::FingerprintCache(std::size_t capacity)
    : groups_(std::bit_ceil(std::max<std::size_t>(capacity / groupSize, 1)))
{
}

void FingerprintCache::add(Fingerprint fingerprint, TimePoint expiresAt) noexcept
{
    Group &group = groupOf(fingerprint);
    const auto known = std::find_if(
        group.begin(), group.end(), [fingerprint](const Entry &entry) { return entry.fingerprint == fingerprint; });
    const auto oldest = std::min_element(group.begin(), group.end(), [](const Entry &left, const Entry &right) {
        return left.expiresAt < right.expiresAt;
    });
    *(known != group.end() ? known : oldest) = {fingerprint, expiresAt};
}

void FingerprintCache::erase(Fingerprint fingerprint) noexcept
{
    for (Entry &entry : groupOf(fingerprint)) {
        if (entry.fingerprint == fingerprint) {
            entry = Entry();
        }
    }
}

bool FingerprintCache::contains(TimePoint now, Fingerprint fingerprint) const noexcept
{
    const Group &group = groupOf(fingerprint);
    return std::any_of(group.begin(), group.end(), [now, fingerprint](const Entry &entry) {
        return entry.fingerprint == fingerprint && now < entry.expiresAt;
    });
}

FingerprintCache::Group &FingerprintCache::groupOf(Fingerprint fingerprint) noexcept
{
    return groups_[mix(fingerprint.value) & (groups_.size() - 1)];
}

const FingerprintCache::Group &FingerprintCache::groupOf(Fingerprint fingerprint) const noexcept
{
    return groups_[mix(fingerprint.value) & (groups_.size() - 1)];
}

} // namespace sassafrasvane
