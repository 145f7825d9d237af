#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// \file
/// Seeded pseudo-random numbers and hashes that give the same sequence on every machine.

namespace sassafrasvane
{

/// Pseudo-random generator (xoshiro256**, Blackman and Vigna, "Scrambled linear pseudorandom number generators", 2018).
///
/// \code
/// Random random(seed);
/// const std::size_t index = random.below(peers.size());
/// \endcode
class Random
{
public:
    /// \param seed any number; equal seeds give equal sequences.
    explicit Random(std::uint64_t seed) noexcept;

    /// The next 64 random bits.
    std::uint64_t next() noexcept;

    /// A number in [0, bound). \param bound must not be 0.
    std::uint64_t below(std::uint64_t bound) noexcept;

    /// A number in [0, 1).
    double unit() noexcept;

    /// True with \p probability, in [0, 1].
    bool chance(double probability) noexcept;

private:
    std::uint64_t state_[4];
};

/// Mixes \p value into a well spread 64-bit hash (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t value) noexcept;

/// Hash of two numbers, for rendezvous hashing.
std::uint64_t mix(std::uint64_t first, std::uint64_t second) noexcept;

/// Hash of bytes (XXH3).
std::uint64_t hashBytes(std::string_view bytes) noexcept;

} // namespace sassafrasvane
