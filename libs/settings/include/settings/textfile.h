#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

/// \file
/// Reads the text of documents from files.

namespace sassafrasvane
{

/// The text of the file at \p path, cut beyond the size at which every document is refused.
/// \return the text, or Errc::InvalidConfiguration if it cannot be read, for example because it is a directory.
Result<std::string> readTextFile(const std::string &path);

/// What \p read makes of the text of the file at \p path, or the error of reading it.
template<typename Document>
Result<Document> readDocumentFile(const std::string &path, Result<Document> (*read)(std::string_view text))
{
    const Result<std::string> text = readTextFile(path);
    if (text.has_error()) {
        return text.error();
    }
    return read(text.value());
}

} // namespace sassafrasvane
