#pragma once

#include <string>

/// \file
/// The daemon that serves the product's own interface with a thread for each connection.

namespace sassafrasvane
{

/// Runs the daemon with the process settings at \p settingsPath, or only checks them. \return the exit code.
int runThreadedDaemon(const std::string &settingsPath, bool isCheckOnly);

} // namespace sassafrasvane
