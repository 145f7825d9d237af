#include "fleet/valuedelta.h"

#include "datagramreader.h"

#include <algorithm>
#include <unordered_map>

#include <xxhash.h>

namespace sassafrasvane
{

namespace
{

/// Length in bytes of the base's blocks that are searched for in the target.
constexpr std::size_t blockBytes = 32;

/// Multiplier of the rolling hash (Knuth's MMIX generator).
constexpr std::uint64_t multiplier = 6'364'136'223'846'793'005U;

enum class DeltaInstruction : std::uint8_t {
    Copy,   ///< Followed by position and length in the base.
    Insert, ///< Followed by the bytes to insert.
};

/// Rolling hash of a window of blockBytes (Karp and Rabin, 1987).
class RollingHash
{
public:
    explicit RollingHash(std::string_view window) noexcept
    {
        for (const char byte : window) {
            value_ = value_ * multiplier + static_cast<unsigned char>(byte);
        }
        for (std::size_t place = 1; place < blockBytes; ++place) {
            leadingFactor_ *= multiplier;
        }
    }

    void roll(char leaving, char entering) noexcept
    {
        value_ -= leadingFactor_ * static_cast<unsigned char>(leaving);
        value_ = value_ * multiplier + static_cast<unsigned char>(entering);
    }

    std::uint64_t value() const noexcept { return value_; }

private:
    std::uint64_t value_ = 0;
    std::uint64_t leadingFactor_ = 1;
};

/// Writes instructions, and combines the bytes between two copies into one insert.
class DeltaWriter
{
public:
    explicit DeltaWriter(std::string_view target) : target_(target), writer_(out_) { }

    /// Writes a copy of \p length bytes at \p basePosition to \p targetPosition, after an insert of the target's bytes
    /// before it that are not written yet.
    void copy(std::size_t basePosition, std::size_t targetPosition, std::size_t length)
    {
        insertUpTo(targetPosition);
        if (length > 0) {
            writer_.number(static_cast<std::uint64_t>(DeltaInstruction::Copy));
            writer_.number(basePosition);
            writer_.number(length);
        }
        written_ = targetPosition + length;
    }

    void insertUpTo(std::size_t position)
    {
        if (position > written_) {
            writer_.number(static_cast<std::uint64_t>(DeltaInstruction::Insert));
            writer_.bytes(target_.substr(written_, position - written_));
            written_ = position;
        }
    }

    std::size_t written() const noexcept { return written_; }

    std::string take() { return std::move(out_); }

private:
    std::string_view target_;
    std::string out_;
    detail::DatagramWriter writer_;
    std::size_t written_ = 0;
};

/// \return the length of the common prefix of two texts.
std::size_t commonPrefix(std::string_view first, std::string_view second) noexcept
{
    const std::size_t length = std::min(first.size(), second.size());
    const auto difference
        = std::mismatch(first.begin(), first.begin() + static_cast<std::ptrdiff_t>(length), second.begin());
    return static_cast<std::size_t>(difference.first - first.begin());
}

std::size_t commonSuffix(std::string_view first, std::string_view second) noexcept
{
    const std::size_t length = std::min(first.size(), second.size());
    const auto difference
        = std::mismatch(first.rbegin(), first.rbegin() + static_cast<std::ptrdiff_t>(length), second.rbegin());
    return static_cast<std::size_t>(difference.first - first.rbegin());
}

using BlockIndex = std::unordered_map<std::uint64_t, std::size_t>;

BlockIndex indexBlocks(std::string_view text)
{
    BlockIndex index;
    index.reserve(text.size() / blockBytes);
    for (std::size_t position = 0; position + blockBytes <= text.size(); position += blockBytes) {
        index.emplace(RollingHash(text.substr(position, blockBytes)).value(), position);
    }
    return index;
}

/// Writes the instructions for the target between \p begin and \p end. Searches for blocks of the base between \p begin
/// and \p baseEnd.
void writeMiddle(std::string_view base,
                 std::string_view target,
                 std::size_t begin,
                 std::size_t baseEnd,
                 std::size_t end,
                 DeltaWriter &writer)
{
    const std::string_view middle = base.substr(begin, baseEnd - begin);
    const BlockIndex index = indexBlocks(middle);
    if (index.empty() || end - begin < blockBytes) {
        return;
    }
    std::size_t position = begin;
    RollingHash hash(target.substr(position, blockBytes));
    while (position + blockBytes <= end) {
        const auto found = index.find(hash.value());
        std::size_t length = 0;
        if (found != index.end()) {
            length = commonPrefix(middle.substr(found->second), target.substr(position, end - position));
        }
        if (length >= blockBytes) {
            const std::size_t back = commonSuffix(middle.substr(0, found->second),
                                                  target.substr(writer.written(), position - writer.written()));
            writer.copy(begin + found->second - back, position - back, length + back);
            position += length;
            hash = RollingHash(target.substr(position, std::min(blockBytes, target.size() - position)));
            continue;
        }
        if (position + blockBytes < target.size()) {
            hash.roll(target[position], target[position + blockBytes]);
        }
        ++position;
    }
}

} // namespace

TextDigest textDigest(std::string_view text) noexcept
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

std::string makeDelta(std::string_view base, std::string_view target)
{
    DeltaWriter writer(target);
    const std::size_t prefix = commonPrefix(base, target);
    const std::size_t suffix = commonSuffix(base.substr(prefix), target.substr(prefix));
    writer.copy(0, 0, prefix);
    writeMiddle(base, target, prefix, base.size() - suffix, target.size() - suffix, writer);
    writer.copy(base.size() - suffix, target.size() - suffix, suffix);
    return writer.take();
}

std::optional<std::string> applyDelta(std::string_view base, std::string_view delta)
{
    std::string text;
    detail::DatagramReader reader(delta);
    while (reader.isGood() && !reader.isComplete()) {
        const DeltaInstruction instruction
            = static_cast<DeltaInstruction>(reader.number(static_cast<std::uint64_t>(DeltaInstruction::Insert)));
        std::string_view bytes;
        if (instruction == DeltaInstruction::Copy) {
            const std::uint64_t position = reader.number(base.size());
            const std::uint64_t length = reader.number(base.size() - position);
            bytes = base.substr(position, length);
        } else {
            bytes = reader.bytes(maxValueBytes);
        }
        if (!reader.isGood() || text.size() + bytes.size() > maxValueBytes) {
            return std::nullopt;
        }
        text += bytes;
    }
    return reader.isGood() ? std::optional<std::string>(std::move(text)) : std::nullopt;
}

} // namespace sassafrasvane
