#pragma once

/// \file
/// How soon work finds a place.

namespace sassafrasvane
{

/// How soon a back end can take one more call.
enum class Room {
    Now,  ///< A server would take it at once.
    Soon, ///< All servers have as many calls as they are given, but they keep up: it will not wait for long.
    None, ///< Calls queue at all servers, or there are none.
};

} // namespace sassafrasvane
