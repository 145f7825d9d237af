#include "base/number.h"
#include "operators/ctl.h"
#include "operators/documents.h"

#include <getopt.h>

#include <algorithm>
#include <array>

namespace sassafrasvane
{

namespace
{

/// A command with the number of its arguments.
struct Command {
    std::string_view name;
    std::size_t arguments = 0;
    bool needsDaemons = true;
};

constexpr std::array<Command, 7> commands{
    {{"check", 1, false}, {"diff", 2, false}, {"status", 0}, {"why", 1}, {"entries", 0}, {"drain", 0}, {"watch", 0}}};

const option longOptions[] = {{"daemon", required_argument, nullptr, 'd'},
                              {"settings", required_argument, nullptr, 's'},
                              {"log", required_argument, nullptr, 'l'},
                              {"kind", required_argument, nullptr, 'k'},
                              {"timeout", required_argument, nullptr, 't'},
                              {"interval", required_argument, nullptr, 'i'},
                              {"rounds", required_argument, nullptr, 'n'},
                              {"json", no_argument, nullptr, 'j'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'V'},
                              {nullptr, 0, nullptr, 0}};

Error wrongUsage(std::string what)
{
    return Error{Errc::InvalidRequest, Step::Accept, {}, std::move(what)};
}

Result<Duration> milliseconds(const char *text)
{
    constexpr std::uint64_t most = 3'600'000;
    const std::optional<std::uint64_t> number = wholeNumber(text);
    if (!number || *number == 0 || *number > most) {
        return wrongUsage(std::string("\"") + text + "\" is not a whole number of milliseconds from 1 to 3600000");
    }
    return Duration(std::chrono::milliseconds(*number));
}

Result<void> readDaemon(CtlOptions &options, const char *text)
{
    const Result<Address> address = Address::parse(text);
    if (address.has_error()) {
        return wrongUsage("--daemon: " + address.error().detail);
    }
    options.daemons.push_back(address.value());
    return boost::outcome_v2::success();
}

Result<void> readKind(CtlOptions &options, const char *text)
{
    options.kind = documentKind(text);
    if (!options.kind) {
        return wrongUsage(std::string("--kind: \"") + text + "\" is none of process, configuration, shardmap, vms");
    }
    return boost::outcome_v2::success();
}

Result<void> readDuration(Duration &duration, const char *text)
{
    const Result<Duration> read = milliseconds(text);
    if (read.has_error()) {
        return read.error();
    }
    duration = read.value();
    return boost::outcome_v2::success();
}

Result<void> readRounds(CtlOptions &options, const char *text)
{
    const std::optional<std::uint64_t> rounds = wholeNumber(text);
    if (!rounds) {
        return wrongUsage(std::string("--rounds: \"") + text + "\" is not a whole number");
    }
    options.rounds = *rounds;
    return boost::outcome_v2::success();
}

Result<void> readOption(CtlOptions &options, int choice)
{
    switch (choice) {
    case 'd':
        return readDaemon(options, optarg);
    case 's':
        options.settingsPath = optarg;
        break;
    case 'l':
        options.logPaths.emplace_back(optarg);
        break;
    case 'k':
        return readKind(options, optarg);
    case 't':
        return readDuration(options.timeout, optarg);
    case 'i':
        return readDuration(options.interval, optarg);
    case 'n':
        return readRounds(options, optarg);
    case 'j':
        options.isJson = true;
        break;
    case 'h':
        options.isHelp = true;
        break;
    case 'V':
        options.isVersion = true;
        break;
    default:
        return wrongUsage("unknown option or missing value");
    }
    return boost::outcome_v2::success();
}

Result<void> checkCommand(const CtlOptions &options)
{
    const auto command = std::find_if(commands.begin(), commands.end(), [&options](const Command &candidate) {
        return candidate.name == options.command;
    });
    if (command == commands.end()) {
        return wrongUsage(options.command.empty() ? "a command is missing"
                                                  : "\"" + options.command + "\" is not a command");
    }
    if (options.arguments.size() != command->arguments) {
        return wrongUsage(options.command + " takes " + std::to_string(command->arguments) + " arguments");
    }
    const bool readsLogs = options.command == "why" && !options.logPaths.empty();
    if (command->needsDaemons && !readsLogs && options.daemons.empty() && options.settingsPath.empty()) {
        return wrongUsage(options.command + " needs --daemon or --settings");
    }
    return boost::outcome_v2::success();
}

} // namespace

std::string ctlUsage()
{
    return R"(Usage: sassafrasvanectl [OPTIONS] COMMAND

Commands:
  check FILE         check a file before it is published or used
  diff OLD NEW       what would change from OLD to NEW, in words
  status             daemons, searchers and classes against their targets
  why SUBJECT        decisions that concern a trace id, a server's ip:port or a class;
                     with --log, what logs of entry processes say of a request id
  entries            the addresses that callers are advised to use
  drain              begin the planned stop of the daemons
  watch              status again and again

Options:
  -d, --daemon IP:PORT   a daemon's address for operators; may be repeated
  -s, --settings FILE    take a daemon's address and the operators' key from its process settings
  -l, --log FILE         a log of an entry process; may be repeated
  -k, --kind KIND        kind of the documents: process, configuration, shardmap or vms
  -t, --timeout MS       longest time to connect, and again to wait for the reply (2000)
  -i, --interval MS      pause between two rounds of watch (2000)
  -n, --rounds N         end watch after N rounds
  -j, --json             one JSON object a line
  -h, --help             print this help
  -V, --version          print the version

drain needs the operators' key, from --settings or from the variable SASSAFRASVANE_OPERATOR_KEY.

Exit status: 0 ok, 1 failed, 2 wrong usage, 3 some daemons did not answer.
)";
}

Result<CtlOptions> readCtlOptions(int argc, char **argv)
{
    CtlOptions options;
    optind = 0; // Makes getopt_long begin anew.
    opterr = 0;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "d:s:l:k:t:i:n:jhV", longOptions, nullptr)) != -1) {
        const Result<void> read = readOption(options, choice);
        if (read.has_error()) {
            return read.error();
        }
    }
    if (optind < argc) {
        options.command = argv[optind];
        options.arguments.assign(argv + optind + 1, argv + argc);
    }
    if (options.isHelp || options.isVersion) {
        return options;
    }
    const Result<void> checked = checkCommand(options);
    if (checked.has_error()) {
        return checked.error();
    }
    return options;
}

} // namespace sassafrasvane
