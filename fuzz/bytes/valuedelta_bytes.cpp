#include "bytes.h"

#include "fleet/valuedelta.h"

#include <string>

/// \file
/// Any bytes as a difference, and the way there and back between two halves of the input.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::string_view bytes = textOf(data, size);
    const std::string base(200, 'x');
    const std::optional<std::string> text = applyDelta(base, bytes);
    check(!text || text->size() <= maxValueBytes);
    const std::string_view before = bytes.substr(0, size / 2);
    const std::string_view after = bytes.substr(size / 2);
    check(applyDelta(before, makeDelta(before, after)) == std::string(after));
    return 0;
}
