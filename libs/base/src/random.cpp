#include "base/random.h"

#include <xxhash.h>

#include <bit>

namespace sassafrasvane
{

namespace
{

constexpr std::uint64_t goldenGamma = 0x9e3779b97f4a7c15ULL;
constexpr int mantissaBits = 53;

__extension__ using Wide = unsigned __int128;

} // namespace

Random::Random(std::uint64_t seed) noexcept
    : state_{mix(seed + goldenGamma),
             mix(seed + 2 * goldenGamma),
             mix(seed + 3 * goldenGamma),
             mix(seed + 4 * goldenGamma)}
{
}

std::uint64_t Random::next() noexcept
{
    const std::uint64_t result = std::rotl(state_[1] * 5, 7) * 9;
    const std::uint64_t shifted = state_[1] << 17;
    state_[2] ^= state_[0];
    state_[3] ^= state_[1];
    state_[1] ^= state_[2];
    state_[0] ^= state_[3];
    state_[2] ^= shifted;
    state_[3] = std::rotl(state_[3], 45);
    return result;
}

std::uint64_t Random::below(std::uint64_t bound) noexcept
{
    // Lemire, "Fast random integer generation in an interval", 2019; the bias is below 2^-32 for the bounds used here.
    return static_cast<std::uint64_t>((static_cast<Wide>(next()) * bound) >> 64);
}

double Random::unit() noexcept
{
    return static_cast<double>(next() >> (64 - mantissaBits)) / static_cast<double>(std::uint64_t{1} << mantissaBits);
}

bool Random::chance(double probability) noexcept
{
    return unit() < probability;
}

std::uint64_t mix(std::uint64_t value) noexcept
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t mix(std::uint64_t first, std::uint64_t second) noexcept
{
    return mix(mix(first + goldenGamma) ^ (second + goldenGamma));
}

std::uint64_t hashBytes(std::string_view bytes) noexcept
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace sassafrasvane
