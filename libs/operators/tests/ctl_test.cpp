#include "control/controlserver.h"
#include "operators/ctl.h"
#include "operators/documents.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <sstream>

namespace sassafrasvane
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;
const std::string key = "operators-test-key";

/// What a run of the program left behind.
struct Outcome {
    int exit = 0;
    std::string out;
    std::string err;
    /// Pauses that watch asked for.
    std::size_t pauses = 0;
};

Outcome run(std::vector<std::string> arguments, const std::string &environmentKey = {})
{
    arguments.insert(arguments.begin(), "sassafrasvanectl");
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    Outcome outcome;
    const Result<CtlOptions> options = readCtlOptions(static_cast<int>(arguments.size()), argv.data());
    if (options.has_error()) {
        outcome.exit = static_cast<int>(CtlExit::Usage);
        outcome.err = options.error().detail;
        return outcome;
    }
    std::ostringstream out;
    std::ostringstream err;
    const CtlSurroundings surroundings{
        out, err, [&outcome](Duration) { ++outcome.pauses; }, [&](const char *) { return environmentKey; }, "1.2.3"};
    outcome.exit = static_cast<int>(runCtl(options.value(), surroundings));
    outcome.out = out.str();
    outcome.err = err.str();
    return outcome;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string example(const std::string &name)
{
    return (std::filesystem::path(SASSAFRASVANE_SOURCE_DIR) / "examples" / name).string();
}

Span spanOf(std::uint64_t id, std::uint64_t parent, const std::string &name)
{
    Span span;
    span.name = name;
    span.context = {TraceId{1, 2}, SpanId{id}, true};
    span.parent = SpanId{parent};
    span.startMicros = 1'000 * id;
    span.endMicros = span.startMicros + 2'500;
    return span;
}

ControlHandlers handlersOf(const std::string &domain)
{
    ControlHandlers handlers;
    handlers.status = [domain] {
        DaemonStatus status;
        status.id = Address{loopback, 7101};
        status.failureDomain = domain;
        status.phase = DaemonPhase::Serving;
        status.configuration = {ConfigVersion{7}, 0.5};
        status.peers = {{Address{loopback, 7102}, "b", "suspect"}};
        status.searchers = {{SearcherId{3}, Address{loopback, 9003}, "riders\x1b[2J", "a", true, 1, 2, 1}};
        ClassStatus lookup;
        lookup.measured.name = "lookup";
        lookup.measured.windowAnswers = 10;
        lookup.measured.p99Ms = 81.5;
        lookup.measured.coverageMean = 1;
        lookup.target = {std::chrono::milliseconds(80), 99, 0.99, 0.05};
        status.classes = {lookup};
        return status;
    };
    handlers.why = [](const WhySubject &) {
        WhyReply reply;
        reply.spans = {spanOf(2, 1, "call"), spanOf(1, 77, "query"), spanOf(4, 5, "loop a"), spanOf(5, 4, "loop b")};
        reply.decisions = {{1'500, DecisionKind::PartMissed, TraceId{1, 2}, "lookup", Address{}, "part 7: timeout"}};
        return reply;
    };
    handlers.entries = [] { return EntriesReply{{{Address{loopback, 7001}, "a"}}, 30}; };
    handlers.drain = []() -> Result<DrainReply> { return DrainReply{DaemonPhase::Draining, 3}; };
    handlers.metrics = [] { return std::string(); };
    return handlers;
}

/// A daemon's control server with the option that names it.
struct FakeDaemon {
    explicit FakeDaemon(const std::string &domain)
        : server(ControlServer::Builder()
                     .address(Address{loopback, 0})
                     .key(key)
                     .handlers(handlersOf(domain))
                     .build()
                     .value())
    {
    }

    std::string option() const { return "--daemon=" + server->address().toString(); }

    std::unique_ptr<ControlServer> server;
};

} // namespace

BOOST_AUTO_TEST_CASE(usageErrorsAreTold)
{
    const std::vector<std::vector<std::string>> wrong{{},
                                                      {"stats"},
                                                      {"check"},
                                                      {"status"},
                                                      {"status", "extra", "--daemon", "127.0.0.1:1"},
                                                      {"status", "--daemon", "localhost:1"},
                                                      {"status", "--nonsense"},
                                                      {"status", "--daemon"},
                                                      {"check", "x", "--kind", "nothing"},
                                                      {"watch", "--interval", "0", "--daemon", "127.0.0.1:1"},
                                                      {"watch", "--rounds", "many", "--daemon", "127.0.0.1:1"},
                                                      {"drain", "--daemon", "127.0.0.1:1"}};
    for (const std::vector<std::string> &arguments : wrong) {
        const Outcome outcome = run(arguments);
        BOOST_TEST(outcome.exit == 2, arguments.size() << outcome.err);
        BOOST_TEST(!outcome.err.empty());
        BOOST_TEST(outcome.out.empty());
    }
    BOOST_TEST(run({"--version"}).out == "sassafrasvanectl 1.2.3\n");
    BOOST_TEST(run({"--help"}).out == ctlUsage());
}

BOOST_AUTO_TEST_CASE(checkNamesFaults)
{
    BOOST_TEST(run({"check", example("pelotonia-configuration.json")}).exit == 0);
    BOOST_TEST(contains(run({"check", example("pelotonia-configuration.json")}).out, "valid configuration"));
    BOOST_TEST(contains(run({"check", example("authority-vms.json")}).out, "valid vms"));
    const Outcome wrongKind = run({"check", example("authority-vms.json"), "--kind", "process"});
    BOOST_TEST(wrongKind.exit == 1);
    BOOST_TEST(contains(wrongKind.err, "/vms: is unknown"));
    const nlohmann::json json
        = nlohmann::json::parse(run({"check", example("authority-vms.json"), "-k", "process", "-j"}).out);
    BOOST_TEST(json.at("valid") == false);
    BOOST_TEST(json.at("faults").size() > 5U);
    BOOST_TEST(run({"check", "/nowhere"}).exit == 1);
    BOOST_TEST(run({"check", "/"}).exit == 1);
}

BOOST_AUTO_TEST_CASE(diffSpeaksInWords)
{
    const Outcome same = run({"diff", example("authority-vms.json"), example("authority-vms.json")});
    BOOST_TEST(same.out == "nothing changes\n");
    BOOST_TEST(same.exit == 0);
    BOOST_TEST(run({"diff", example("authority-vms.json"), example("authority-configuration.json")}).exit == 1);
    BOOST_TEST(run({"diff", example("authority-process.json"), example("authority-process.json")}).exit == 1);

    const std::string back = R"("backEnds": [{"name": "b", "slots": 2, "connections": 25, "connectionCostMs": 6,
        "coldAllowance": 1}])";
    const std::string old = R"({"classes": [{"name": "c", "backEnd": "b", "latencyMs": 80, "percentile": 99,
        "completeness": 1, "extraLoadPercent": 5}], "domainsOut": ["y"], )"
        + back + "}";
    const std::string changed = R"({"classes": [{"name": "c", "backEnd": "b", "latencyMs": 90.5, "percentile": 99,
        "completeness": 1, "extraLoadPercent": 2, "idempotent": false}, {"name": "d", "backEnd": "b", "latencyMs": 10,
        "percentile": 50, "completeness": 0.5, "extraLoadPercent": 0}], "domainsOut": ["z"], )"
        + back + "}";
    const std::vector<std::string> expected{
        "failure domain z is taken out: it takes no new work",
        "failure domain y is brought back: it takes work again",
        "class c: latency 80 ms at 99 % -> 90.5 ms at 99 %, extra load 5 % -> 2 %, idempotent yes -> no",
        "class d is added on b: 10 ms at 50 %, completeness 0.5, extra load 0 %"};
    const std::vector<std::string> words = differences(DocumentKind::Configuration, old, changed).value();
    BOOST_TEST(words == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(diffOfShardMapsNamesSearchersAndVersions)
{
    const auto map = [](const std::string &searchers, const std::string &versions) {
        return R"({"backEnds": [{"name": "b", "searchers": [)" + searchers + R"(], "versions": [)" + versions + "]}]}";
    };
    const auto searcher = [](const std::string &id, const std::string &state) {
        return R"({"id": )" + id + R"(, "address": "127.0.0.1:)" + id + R"(", "failureDomain": "a", "state": ")" + state
            + "\"}";
    };
    const auto version = [](const std::string &index, const std::string &replica) {
        return R"({"index": )" + index + R"(, "parts": [{"id": 0, "begin": 0, "end": 9, "searchers": [)" + replica
            + "]}]}";
    };
    const std::string old
        = map(searcher("1", "live") + ',' + searcher("2", "live"), version("1", "1") + ',' + version("2", "1"));
    const std::string changed
        = map(searcher("1", "leaving") + ',' + searcher("3", "live"), version("2", "3") + ',' + version("3", "1"));
    const std::vector<std::string> expected{"b: searcher 1 (127.0.0.1:1): state live -> leaving",
                                            "b: searcher 3 (127.0.0.1:3) is added in failure domain a",
                                            "b: searcher 2 (127.0.0.1:2) is removed",
                                            "b: index version 3 can be served, in 1 parts",
                                            "b: index version 2 has other parts or replicas",
                                            "b: index version 1 is no longer served"};
    const std::vector<std::string> words = differences(DocumentKind::ShardMap, old, changed).value();
    BOOST_TEST(words == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(statusShowsDaemonsAndNamesTheMissingOne)
{
    const FakeDaemon first("domain-one");
    const FakeDaemon second("domain-two");
    std::string missing;
    {
        const FakeDaemon gone("domain-three");
        missing = gone.option();
    }
    const Outcome whole = run({"status", first.option(), second.option()});
    BOOST_TEST(whole.exit == 0);
    BOOST_TEST(contains(whole.out, "domain-one"));
    BOOST_TEST(contains(whole.out, "domain-two"));
    BOOST_TEST(contains(whole.out, "81.5 ms / 80 ms !"));
    BOOST_TEST(contains(whole.out, "suspect"));
    BOOST_TEST(!contains(whole.out, "\x1b"));
    const Outcome partial = run({"status", first.option(), missing, second.option()});
    BOOST_TEST(partial.exit == 3);
    BOOST_TEST(contains(partial.out, "domain-two"));
    BOOST_TEST(contains(partial.err, missing.substr(missing.find('=') + 1)));
    const Outcome json = run({"status", first.option(), missing, "--json"});
    std::istringstream lines(json.out);
    std::string line;
    BOOST_REQUIRE(std::getline(lines, line));
    BOOST_TEST(nlohmann::json::parse(line).at("reply").at("phase") == "serving");
    BOOST_REQUIRE(std::getline(lines, line));
    BOOST_TEST(nlohmann::json::parse(line).at("error") == "connect_failed");
}

BOOST_AUTO_TEST_CASE(whyShowsATreeAndDecisions)
{
    const FakeDaemon daemon("a");
    const Outcome outcome = run({"why", "00000000000000010000000000000002", daemon.option()});
    BOOST_TEST(outcome.exit == 0);
    BOOST_TEST(contains(outcome.out, "\nquery "));
    BOOST_TEST(contains(outcome.out, "\n  call "));
    BOOST_TEST(contains(outcome.out, "part_missed"));
    BOOST_TEST(contains(outcome.out, "part 7: timeout"));
}

BOOST_AUTO_TEST_CASE(drainNeedsTheRightKey)
{
    const FakeDaemon daemon("a");
    const Outcome wrong = run({"drain", daemon.option()}, "some other key");
    BOOST_TEST(wrong.exit == 1);
    BOOST_TEST(contains(wrong.err, "not_authentic"));
    const Outcome right = run({"drain", daemon.option()}, key);
    BOOST_TEST(right.exit == 0);
    BOOST_TEST(contains(right.out, "draining"));
}

BOOST_AUTO_TEST_CASE(watchRepeatsStatus)
{
    const FakeDaemon daemon("domain-one");
    const Outcome outcome = run({"watch", "--rounds", "3", daemon.option()});
    BOOST_TEST(outcome.exit == 0);
    BOOST_TEST(outcome.pauses == 2U);
    std::size_t rounds = 0;
    for (std::size_t at = 0; (at = outcome.out.find("DAEMON  ", at)) != std::string::npos; ++at) {
        rounds += at == 0 || outcome.out[at - 1] == '\n' ? 1 : 0;
    }
    BOOST_TEST(rounds == 3U);
}

BOOST_AUTO_TEST_CASE(settingsFileNamesADaemon)
{
    // Nobody listens at the example's address, but the command line is complete with it.
    const Outcome outcome
        = run({"entries", "--settings", example("pelotonia-process.json"), "--daemon", "127.0.0.1:1"});
    BOOST_TEST(outcome.exit == 3);
    BOOST_TEST(run({"entries", "--settings", example("pelotonia-vms.json")}).exit == 1);
}

} // namespace sassafrasvane
