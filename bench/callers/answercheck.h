#pragma once

#include "settings/published.h"
#include "shardmap/shardmap.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

/// \file
/// Checks an answer against what the stand-in searchers must have found.

namespace sassafrasvane
{

/// A query and what was asked of it.
struct AskedQuery {
    std::string query;
    std::size_t limit = 10;
};

/// Checks that \p answer is what the covered parts of its snapshot hold and that its coverage is the share that they
/// have of the key space.
/// \param map of the back end that was asked. \param answer body of the answer to POST /v1/query.
/// \return empty if the answer is right, else what is wrong.
std::string faultOf(const BackEndMap &map, const AskedQuery &asked, const nlohmann::json &answer);

} // namespace sassafrasvane
