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
/// daemon.value()->stop();
/// \endcode
class Daemon
{
public:
    class Builder;

    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Answers what has been taken in, then ends all tasks.
    void stop();

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

    /// Where errors are reported, as one line of text; called on any thread.
    Builder &errorSink(std::function<void(const Error &error)> sink);

    /// \return the daemon, serving; or the error of the address that cannot be bound.
    Result<std::unique_ptr<Daemon>> build();

private:
    ProcessSettings settings_;
    std::function<void(const Error &error)> errorSink_ = [](const Error &) {};
};

} // namespace sassafrasvane
