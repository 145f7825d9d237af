#pragma once

#include "entry/protocol.h"
#include "settings/entrysettings.h"

#include <memory>
#include <string>

/// \file
/// A whole entry process.

namespace sassafrasvane
{

/// Serves callers from searchers that a store publishes, until it is told to stop.
///
/// One thread runs everything. SIGTERM and SIGINT begin the planned stop: the process is no longer ready nor named to
/// callers, goes on serving while callers move away, and ends when nothing is open. SIGHUP reads the settings anew.
///
/// \code
/// Result<std::unique_ptr<EntryProcess>> process = EntryProcess::create(settings, path, protocol);
/// return process.value()->run();
/// \endcode
class EntryProcess
{
public:
    /// \param settingsPath the file that is read anew. \return the process with all its listeners open.
    static Result<std::unique_ptr<EntryProcess>> create(const EntrySettings &settings,
                                                        std::string settingsPath,
                                                        EntryProtocol protocol);

    ~EntryProcess();

    /// Serves until the planned stop is over. \return the exit code.
    int run();

private:
    class Implementation;
    explicit EntryProcess(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
