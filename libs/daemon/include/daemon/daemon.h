#pragma once

#include "base/error.h"
#include "settings/processsettings.h"

#include <functional>
#include <memory>
#include <string>

/// \file
/// One daemon: its tasks, wired together.

namespace sassafrasvane
{

/// A running daemon.
///
/// \code
/// const Result<std::unique_ptr<Daemon>> daemon = Daemon::Builder().settings(settings).build();
/// daemon.value()->requestStop();
/// const int exitCode = daemon.value()->waitForExit();
/// \endcode
class Daemon
{
public:
    class Builder;

    /// Ends all tasks at once, if waitForExit() has not returned yet.
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Begins the planned stop; a second call shortens the wait that cuts nothing off. Callable from any thread.
    void requestStop();

    /// Returns when the planned stop has ended, with the exit code of the process.
    int waitForExit();

private:
    struct Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

/// Collects what a Daemon needs.
class Daemon::Builder
{
public:
    /// The checked settings.
    Builder &settings(ProcessSettings settings);

    /// \return the daemon, serving; or the error of the address that cannot be bound.
    Result<std::unique_ptr<Daemon>> build();

private:
    ProcessSettings settings_;
};

} // namespace sassafrasvane
