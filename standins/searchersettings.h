#pragma once

#include "base/address.h"
#include "base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// What a stand-in searcher is told to be, read from JSON.

namespace sassafrasvane
{

/// A part of an index version that a stand-in searcher holds.
struct StandinPart {
    std::uint32_t id = 0;
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
};

/// An index version that a stand-in searcher holds.
struct StandinIndex {
    std::uint64_t version = 0;
    std::vector<StandinPart> parts;

    /// The part \p id, or nullptr.
    const StandinPart *find(std::uint32_t id) const noexcept;
};

/// What a cold searcher does with more requests at a time than it can bear.
enum class ColdOverload {
    Crash,
    Slow,   ///< Runs ten times as long.
    Refuse, ///< Answers "cold"; the excess is recorded all the same.
};

/// One stand-in searcher.
struct SearcherSettings {
    std::uint32_t id = 0;
    Address address;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    /// Time for which a new connection takes a slot.
    Duration connectionCost{0};
    std::uint32_t coldAllowance = 1;
    /// Time from the first request of a life until the searcher is warm.
    Duration warmTime{0};
    Duration serviceTime{0};
    /// Requests that wait for a slot before further ones are refused.
    std::uint32_t queue = 16;
    ColdOverload coldOverload = ColdOverload::Crash;
    /// Time for which a crashed searcher accepts no connection.
    Duration restartTime{0};
    /// Age that the load report may have.
    Duration loadLag{0};
    std::vector<StandinIndex> indexes;
};

/// All searchers of one process.
struct StandinFile {
    Address control;
    std::vector<SearcherSettings> searchers;
};

/// Reads a list of index versions. Throws nlohmann::json::exception if it is malformed.
std::vector<StandinIndex> readIndexes(const nlohmann::json &json);

/// Reads the file of a back end. Throws std::exception if it is malformed.
StandinFile readStandinFile(const nlohmann::json &json);

} // namespace sassafrasvane
