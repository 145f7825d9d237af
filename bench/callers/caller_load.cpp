/// \file
/// Loads running daemons as callers do, checks every answer, and prints the measures of each class.

#include "callerload.h"
#include "loadreport.h"

#include <getopt.h>
#include <httplib.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace
{

using namespace sassafrasvane;

constexpr int exitWrongAnswer = 1;
constexpr int exitUsage = 2;

const char *const usage
    = R"(Usage: caller_load --configuration FILE --shardmap FILE --entry IP:PORT ... --load CLASS=CALLERS:RATE ...
                   --seconds N [--records IP:PORT] [--name TEXT] [--json]

  --configuration FILE   the published configuration
  --shardmap FILE        the published shard map
  --entry IP:PORT        an address that callers know at first; may be repeated
  --load CLASS=C:R       C callers that send R requests a second in all; may be repeated
  --seconds N            length of the run
  --records IP:PORT      control address of the back end stand-in, to check what ran
  --name TEXT            makes the identities of non-idempotent requests unique
  --json                 print JSON in place of a table
)";

[[noreturn]] void fail(const std::string &message)
{
    std::cerr << "caller_load: " << message << '\n' << usage;
    std::exit(exitUsage);
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        fail(path + " cannot be read");
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

Address readAddress(const std::string &text)
{
    const Result<Address> address = Address::parse(text);
    if (address.has_error()) {
        fail(address.error().detail);
    }
    return address.value();
}

ClassLoad readLoad(const std::string &text)
{
    ClassLoad load;
    std::istringstream stream(text);
    char colon = 0;
    if (!std::getline(stream, load.className, '=') || !(stream >> load.callers >> colon >> load.rate) || colon != ':'
        || load.callers == 0 || load.rate <= 0) {
        fail("--load " + text + " is not CLASS=CALLERS:RATE");
    }
    return load;
}

struct Options {
    LoadPlan plan;
    std::string records;
    bool isJson = false;
};

Options readOptions(int argc, char **argv)
{
    const option longOptions[] = {{"configuration", required_argument, nullptr, 'c'},
                                  {"shardmap", required_argument, nullptr, 'm'},
                                  {"entry", required_argument, nullptr, 'e'},
                                  {"load", required_argument, nullptr, 'l'},
                                  {"seconds", required_argument, nullptr, 's'},
                                  {"records", required_argument, nullptr, 'r'},
                                  {"name", required_argument, nullptr, 'n'},
                                  {"json", no_argument, nullptr, 'j'},
                                  {nullptr, 0, nullptr, 0}};
    Options options;
    options.plan.runName = std::to_string(wallClockMicros());
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        switch (choice) {
        case 'c': {
            const Result<Configuration> configuration = readConfiguration(readFile(optarg), ConfigVersion{1});
            if (configuration.has_error()) {
                fail(configuration.error().message());
            }
            options.plan.configuration = std::make_shared<const Configuration>(configuration.value());
            break;
        }
        case 'm': {
            const Result<ShardMap> map = readShardMap(readFile(optarg), ConfigVersion{1});
            if (map.has_error()) {
                fail(map.error().message());
            }
            options.plan.map = std::make_shared<const ShardMap>(map.value());
            break;
        }
        case 'e':
            options.plan.entries.push_back(readAddress(optarg));
            break;
        case 'l':
            options.plan.loads.push_back(readLoad(optarg));
            break;
        case 's':
            options.plan.time = fromMilliseconds(1000 * std::strtod(optarg, nullptr));
            break;
        case 'r':
            options.records = optarg;
            break;
        case 'n':
            options.plan.runName = optarg;
            break;
        case 'j':
            options.isJson = true;
            break;
        default:
            fail("wrong options");
        }
    }
    if (options.plan.configuration == nullptr || options.plan.map == nullptr || options.plan.entries.empty()
        || options.plan.loads.empty() || options.plan.time <= Duration{0}) {
        fail("an option is missing");
    }
    return options;
}

std::map<std::string, std::uint64_t> readRuns(const std::string &address)
{
    httplib::Client client("http://" + address);
    const httplib::Result response = client.Get("/control/records");
    if (!response) {
        fail("the records of the stand-in at " + address + " cannot be read");
    }
    return runsOf(nlohmann::json::parse(response->body));
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    std::map<std::string, ClassResult> results = runLoad(options.plan);
    if (!options.records.empty()) {
        checkRuns(results, readRuns(options.records));
    }
    if (options.isJson) {
        std::cout << reportJson(*options.plan.configuration, results).dump(2) << '\n';
    } else {
        std::cout << reportTable(*options.plan.configuration, results);
    }
    return isRight(results) ? EXIT_SUCCESS : exitWrongAnswer;
}
