#pragma once

#include "control/messages.h"

#include <string>

/// \file
/// The operators' messages as JSON text, for programs.

namespace sassafrasvane
{

/// \p status as one JSON object.
std::string toJson(const DaemonStatus &status);

/// \p reply as one JSON object.
std::string toJson(const WhyReply &reply);

/// \p reply as one JSON object.
std::string toJson(const EntriesReply &reply);

/// \p reply as one JSON object.
std::string toJson(const DrainReply &reply);

} // namespace sassafrasvane
