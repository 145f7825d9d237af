#pragma once

#include "observe/trace.h"

#include <span>
#include <string>
#include <string_view>

/// \file
/// The OTLP/JSON form of spans.

namespace sassafrasvane::detail
{

/// One ExportTraceServiceRequest with \p spans, as JSON without line ends.
/// \param instance the service.instance.id of the resource.
std::string otlpJson(std::span<const Span> spans, std::string_view instance);

} // namespace sassafrasvane::detail
