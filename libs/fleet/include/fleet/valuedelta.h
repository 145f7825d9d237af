#pragma once

#include "fleet/messages.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Differences between two versions of a published text.

namespace sassafrasvane
{

/// Largest published text, in bytes.
constexpr std::size_t maxValueBytes = std::size_t{1} << 20;

/// Digest by which a text that was put together from differences is checked.
TextDigest textDigest(std::string_view text) noexcept;

/// What turns \p base into \p target: copies from the base, found by the hashes of its blocks (Tridgell and Mackerras,
/// "The rsync algorithm", 1996), and inserted bytes. Equal inputs give equal bytes on every daemon.
///
/// \code
/// const std::string delta = makeDelta(before, after);
/// applyDelta(before, delta) == after;
/// \endcode
std::string makeDelta(std::string_view base, std::string_view target);

/// Applies \p delta to \p base.
/// \return the text, or nothing if the difference is malformed, reaches outside the base or exceeds maxValueBytes.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta);

} // namespace sassafrasvane
