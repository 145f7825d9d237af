#pragma once

#include "entry/protocol.h"
#include "settings/entrysettings.h"

#include <memory>
#include <string>

/// \file
/// The entry process: listeners, store feed, membership and request handling.

namespace sassafrasvane
{

/// Forwards callers' requests to the searchers that the store publishes.
///
/// Everything runs on one thread. SIGTERM and SIGINT start a planned stop: the process reports itself as not
/// ready, is no longer advertised to callers, and keeps serving while callers move away. After half of the grace period
/// it stops accepting connections and exits when none is open, at the latest when the grace period ends. SIGHUP reloads
/// the settings file.
///
/// \code
/// Result<std::unique_ptr<EntryProcess>> process = EntryProcess::create(settings, path, protocol);
/// return process.value()->run();
/// \endcode
class EntryProcess
{
public:
    /// \param settingsPath the settings file, for reloads.
    /// \return the process with all its listeners open, or the error of the first listener that cannot be opened.
    static Result<std::unique_ptr<EntryProcess>> create(const EntrySettings &settings,
                                                        std::string settingsPath,
                                                        EntryProtocol protocol);

    ~EntryProcess();

    /// Serves until the planned stop is complete. \return the exit code of the process.
    int run();

private:
    class Implementation;
    explicit EntryProcess(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
