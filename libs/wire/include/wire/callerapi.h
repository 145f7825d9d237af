#pragma once

#include "base/error.h"
#include "base/time.h"
#include "fanout/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// JSON bodies that callers send and receive.

namespace sassafrasvane
{

/// Largest body that a caller may send, in bytes.
inline constexpr std::size_t maxCallerBody = std::size_t{256} * 1024;

/// Most hits that a caller may ask for.
inline constexpr std::uint32_t maxHitLimit = 1000;

/// Body of POST /v1/query.
struct CallerQuery {
    std::string className;
    std::string query;
    std::uint32_t hitLimit = 10;
    /// Shortens the class's deadline, if set.
    std::optional<Duration> timeLeft;
};

/// Body of POST /v1/run.
struct CallerRun {
    std::string className;
    /// The caller's request, JSON text of an object.
    std::string request;
    std::optional<Duration> timeLeft;
};

/// Body of the answer to POST /v1/run.
struct RunAnswer {
    /// Result of the backend server, JSON text.
    std::string result;
    std::string trace;
};

/// Body of the answer to GET /v1/entries.
struct EntriesAnswer {
    /// Addresses to use, best first.
    std::vector<std::string> entries;
    /// How long the answer may be kept.
    Duration lifetime{0};
    /// Ticket for non-idempotent requests; empty if none.
    std::string ticket;
};

/// Reads the body of POST /v1/query. \return the query, or Errc::InvalidRequest that names the fault.
Result<CallerQuery> readCallerQuery(std::string_view body);

/// Reads the body of POST /v1/run; errors as for readCallerQuery().
Result<CallerRun> readCallerRun(std::string_view body);

/// Writes the answer to a query. \p conflict says which target gave way, or is empty.
std::string writeQueryAnswer(const QueryAnswer &answer, std::string_view trace, std::string_view conflict);

/// Writes the answer to a non-idempotent request.
std::string writeRunAnswer(const RunAnswer &answer);

/// Writes the answer to a request for entry addresses.
std::string writeEntriesAnswer(const EntriesAnswer &answer);

/// Writes an error: {code, message, step, peer, ran, trace}, and retryAfterMs if it is not zero.
std::string writeError(const Error &error, Ran ran, std::string_view trace, Duration retryAfter);

/// The HTTP status that goes with \p code.
int httpStatus(Errc code) noexcept;

} // namespace sassafrasvane
