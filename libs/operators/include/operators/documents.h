#pragma once

#include "base/error.h"
#include "settings/published.h"
#include "settings/schema.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Checks documents and tells their differences before they are published.

namespace sassafrasvane
{

/// The kind called \p name, or nothing.
std::optional<DocumentKind> documentKind(std::string_view name) noexcept;

/// The kind that accepts \p json as it is, or the one that finds the fewest faults in it.
DocumentKind guessKind(std::string_view json);

/// Every fault of \p json as a document of \p kind, one a line; empty if it is valid.
std::string checkDocument(DocumentKind kind, std::string_view json);

/// What changes from \p from to \p to, one sentence each; empty if nothing does.
std::vector<std::string> differences(const Configuration &from, const Configuration &to);

/// \copydoc differences(const Configuration &, const Configuration &)
std::vector<std::string> differences(const ShardMap &from, const ShardMap &to);

/// \copydoc differences(const Configuration &, const Configuration &)
std::vector<std::string> differences(const VmList &from, const VmList &to);

/// What changes between two published values.
/// \return the sentences, or Errc::InvalidConfiguration if one is invalid or \p kind is not published.
Result<std::vector<std::string>> differences(DocumentKind kind, std::string_view from, std::string_view to);

} // namespace sassafrasvane
