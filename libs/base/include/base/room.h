#pragma once

#include <cstddef>

/// \file
/// How soon work finds a place.

namespace sassafrasvane
{

/// How soon a back end can take one more call.
enum class Room {
    Now,      ///< A server would take it at once.
    Soon,     ///< All servers have as many calls as they are given, but they keep up: it will not wait for long.
    Turn,     ///< Calls queue at all servers, and it is this process's turn to add one.
    NextTurn, ///< Calls queue at all servers, and this process's turn comes soon.
    None,     ///< Calls queue at all servers, or there are none.
};

/// How many values Room has.
constexpr std::size_t roomCount = 5;

} // namespace sassafrasvane
