#include "base/number.h"

#include <charconv>

namespace sassafrasvane
{

std::optional<std::uint64_t> wholeNumber(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace sassafrasvane
