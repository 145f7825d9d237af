#pragma once

#include "base/error.h"

#include <string>

/// \file
/// Reads the text of documents from files.

namespace sassafrasvane
{

/// The text of the file at \p path, cut beyond the size at which every document is refused.
/// \return the text, or Errc::InvalidConfiguration if it cannot be read, for example because it is a directory.
Result<std::string> readTextFile(const std::string &path);

} // namespace sassafrasvane
