#pragma once

#include "fleet/messages.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Differences between two versions of a published text.

namespace sassafrasvane
{

/// Maximum size of a published text, in bytes (1 MiB).
constexpr std::size_t maxValueBytes = std::size_t{1} << 20;

/// \return the digest that verifies a text received from a peer.
TextDigest textDigest(std::string_view text) noexcept;

/// Computes the difference that turns \p base into \p target.
///
/// It consists of ranges copied from the base, found by the hashes of its blocks (Tridgell and Mackerras, "The rsync
/// algorithm", 1996), and of inserted bytes. Equal inputs give equal bytes on every daemon.
///
/// \code
/// const std::string delta = makeDelta(before, after);
/// applyDelta(before, delta) == after;
/// \endcode
std::string makeDelta(std::string_view base, std::string_view target);

/// Applies \p delta to \p base.
/// \return the text, or nothing if the difference is malformed, refers to bytes outside the base or gives a text larger
/// than maxValueBytes.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta);

} // namespace sassafrasvane
