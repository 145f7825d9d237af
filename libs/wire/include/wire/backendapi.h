#pragma once

#include "base/error.h"
#include "fanout/messages.h"

#include <span>
#include <string>
#include <string_view>

/// \file
/// JSON bodies that searchers receive and send. The only place that knows their dialect.

namespace sassafrasvane
{

/// A searcher's answer, decoded.
struct BackEndAnswer {
    CallOutcome outcome = CallOutcome::Failed;
    Errc error = Errc::Internal;
    /// Version that was searched; 0 if the answer names none.
    IndexVersion version;
    Incarnation incarnation;
    /// The searcher refused because it is cold.
    bool saysCold = false;
    std::vector<PartResult> parts;
    /// Result of a non-idempotent request, JSON text.
    std::string result;
    /// Requests that the searcher reports as running and waiting; negative if it reports none.
    int reportedLoad = -1;
};

/// What a search request says.
struct BackEndSearch {
    IndexVersion version;
    std::span<const PartId> parts;
    std::string_view query;
    std::uint32_t hitLimit = 10;
};

/// Writes the body of a search request.
std::string writeSearchBody(const BackEndSearch &search);

/// Writes the body of a non-idempotent request. \p request is JSON text.
std::string writeRunBody(std::string_view identity, std::string_view request);

/// Writes the body of a cancellation.
std::string writeCancelBody(std::string_view call);

/// Decodes a searcher's answer. Undecodable bytes give CallOutcome::Failed with Errc::BadMessage. Never throws.
BackEndAnswer readBackEndAnswer(int httpStatus, std::string_view body);

} // namespace sassafrasvane
