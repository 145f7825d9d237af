#pragma once

#include "base/address.h"
#include "base/error.h"

#include <string>
#include <string_view>
#include <vector>

/// \file
/// The settings of one daemon process, read from a JSON file when it starts.

namespace sassafrasvane
{

/// Where a daemon listens, where it stands and whom it asks.
struct ProcessSettings {
    /// Address for callers (HTTP).
    Address callers;
    /// Address for other daemons (TCP and UDP).
    Address peers;
    /// Address for operators (JSON-RPC over HTTP).
    Address operators;
    /// Address of the platform's configuration service.
    Address platform;
    std::string failureDomain;
    std::string region;
    /// Keys that prove membership among daemons; the first one signs, all are accepted. At least one.
    std::vector<std::string> peerKeys;
    /// Key that operators must present for orders such as drain.
    std::string operatorKey;
    /// Traces are appended here as OTLP/JSON lines; empty for none.
    std::string traceFile;
    /// Share of the traces that is recorded besides those of slow, partial and refused answers, in [0, 1].
    double traceSampling = 0.01;
    /// Log lines are appended here; empty for standard error.
    std::string logFile;
    /// "trace", "debug", "info", "warn" or "error".
    std::string logLevel = "info";
};

/// Reads process settings from JSON.
/// \return the settings, or Errc::InvalidConfiguration that names every fault.
Result<ProcessSettings> readProcessSettings(std::string_view json);

/// Reads process settings from the file at \p path.
Result<ProcessSettings> readProcessSettingsFile(const std::string &path);

} // namespace sassafrasvane
