#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "settings/schema.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// The command line of sassafrasvanectl.

namespace sassafrasvane
{

/// How sassafrasvanectl ends.
enum class CtlExit {
    Ok = 0,
    Failed = 1,  ///< A document is invalid, a file cannot be read or a daemon refused.
    Usage = 2,   ///< The command line is wrong.
    Missing = 3, ///< Some daemons did not answer.
};

/// A command line that was read.
struct CtlOptions {
    /// "check", "diff", "status", "why", "entries", "drain" or "watch"; empty if only help or version is wanted.
    std::string command;
    /// What stands after the command.
    std::vector<std::string> arguments;
    /// Addresses for operators of the daemons to ask.
    std::vector<Address> daemons;
    /// Process settings that name a daemon and the operators' key.
    std::string settingsPath;
    /// Logs of entry processes, which "why" reads in place of asking daemons.
    std::vector<std::string> logPaths;
    std::optional<DocumentKind> kind;
    /// For connecting to a daemon, and again for its reply.
    Duration timeout = std::chrono::seconds(2);
    /// Pause between two rounds of watch.
    Duration interval = std::chrono::seconds(2);
    /// Rounds of watch; 0 for no end.
    std::uint64_t rounds = 0;
    bool isJson = false;
    bool isHelp = false;
    bool isVersion = false;
};

/// What sassafrasvanectl needs of its surroundings.
struct CtlSurroundings {
    std::ostream &out;
    std::ostream &err;
    /// Waits between two rounds of watch.
    std::function<void(Duration)> pause;
    /// The value of an environment variable; empty if it is not set.
    std::function<std::string(const char *name)> environment;
    /// Version of the program.
    std::string version;
};

/// The text of --help.
std::string ctlUsage();

/// Reads a command line by getopt_long; not to be called by two threads at a time.
/// \param arguments argc and argv of main. \return the options, or Errc::InvalidRequest with what is wrong.
Result<CtlOptions> readCtlOptions(int argc, char **argv);

/// Runs \p options.
CtlExit runCtl(const CtlOptions &options, const CtlSurroundings &surroundings);

} // namespace sassafrasvane
