#pragma once

#include "callerload.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

/// \file
/// What a load run came to, as a table and as JSON.

namespace sassafrasvane
{

/// Checks what was said of non-idempotent requests against what the stand-ins ran.
/// \param runs how often each request ran. Each fault is added to the result of its class.
void checkRuns(std::map<std::string, ClassResult> &results, const std::map<std::string, std::uint64_t> &runs);

/// How often each non-idempotent request ran, from the records of a back end stand-in.
std::map<std::string, std::uint64_t> runsOf(const nlohmann::json &records);

/// A table with a line for each class, its target beside each figure.
std::string reportTable(const Configuration &configuration, const std::map<std::string, ClassResult> &results);

/// The same as JSON.
nlohmann::json reportJson(const Configuration &configuration, const std::map<std::string, ClassResult> &results);

/// True if no answer was wrong and every class had an answer.
bool isRight(const std::map<std::string, ClassResult> &results);

} // namespace sassafrasvane
