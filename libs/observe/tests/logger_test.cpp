#include "observe/logger.h"
#include "observe/logthrottle.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace sassafrasvane
{

namespace
{

/// A file name that is removed at the end.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &name)
        : path_((std::filesystem::temp_directory_path() / (name + std::to_string(::getpid()))).string())
    {
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;
    ~TemporaryFile() { std::filesystem::remove(path_); }

    const std::string &path() const { return path_; }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> lines;
        std::ifstream file(path_);
        for (std::string line; std::getline(file, line);) {
            lines.push_back(nlohmann::json::parse(line));
        }
        return lines;
    }

private:
    std::string path_;
};

} // namespace

BOOST_AUTO_TEST_CASE(recordIsOneJsonLine)
{
    const TemporaryFile file("observe-line");
    const std::unique_ptr<Logger> logger = Logger::Builder().file(file.path()).build().value();
    LogRecord record
        = LogRecord::of(LogLevel::Warn, Error{Errc::ConnectFailed, Step::Connect, "10.0.0.7:1", "re\nset\xff"});
    record.trace = "0af7";
    record.cls = "lookup";
    record.fields = {{"attempt", "2"}};
    logger->log(record);
    record.level = LogLevel::Debug;
    logger->log(record);
    const std::vector<nlohmann::json> lines = file.lines();
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    BOOST_TEST(lines[0].at("level") == "warn");
    BOOST_TEST(lines[0].at("step") == "connect");
    BOOST_TEST(lines[0].at("code") == "connect_failed");
    BOOST_TEST(lines[0].at("peer") == "10.0.0.7:1");
    BOOST_TEST(lines[0].at("trace") == "0af7");
    BOOST_TEST(lines[0].at("class") == "lookup");
    BOOST_TEST(lines[0].at("fields").at("attempt") == "2");
    BOOST_TEST(lines[0].at("message").get<std::string>().starts_with("re\nset"));
    BOOST_TEST(lines[0].at("time").get<std::string>().back() == 'Z');
}

BOOST_AUTO_TEST_CASE(faultStormIsSummarised)
{
    constexpr std::size_t threadCount = 4;
    constexpr std::size_t linesPerThread = 5'000;
    const TemporaryFile file("observe-storm");
    std::unique_ptr<Logger> logger = Logger::Builder().file(file.path()).build().value();
    const LogRecord record = LogRecord::of(LogLevel::Error, Error{Errc::Timeout, Step::Receive});
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < threadCount; ++i) {
        threads.emplace_back([&logger, &record] {
            for (std::size_t n = 0; n < linesPerThread; ++n) {
                logger->log(record);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::uint64_t suppressed = logger->suppressedLines();
    BOOST_TEST(suppressed > 0U);
    logger.reset();
    std::uint64_t written = 0;
    std::uint64_t summarised = 0;
    for (const nlohmann::json &line : file.lines()) {
        if (line.contains("fields")) {
            summarised += std::stoull(line.at("fields").at("receive/timeout").get<std::string>());
        } else {
            ++written;
        }
    }
    BOOST_TEST(summarised == suppressed);
    BOOST_TEST(written + suppressed == threadCount * linesPerThread);
}

BOOST_AUTO_TEST_CASE(unwritableFileIsAnError)
{
    BOOST_TEST(Logger::Builder().file("/nowhere/at/all").build().has_error());
}

RC_BOOST_PROP(throttleKeepsItsRateAndLosesNoCount, (const std::vector<std::uint16_t> &gapsMs))
{
    LogThrottle throttle;
    const TimePoint start{Duration(1'000'000)};
    TimePoint now = start;
    std::uint64_t admitted = 0;
    std::uint64_t summarised = 0;
    for (const std::uint16_t gap : gapsMs) {
        now += std::chrono::milliseconds(gap % 200);
        admitted += throttle.admit(now, Step::Send, Errc::Timeout) ? 1 : 0;
        for (const SuppressedLines &lines : throttle.takeSummary(now, false)) {
            summarised += lines.count;
        }
    }
    for (const SuppressedLines &lines : throttle.takeSummary(now, true)) {
        RC_ASSERT(lines.step == Step::Send);
        RC_ASSERT(lines.code == Errc::Timeout);
        summarised += lines.count;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(static_cast<double>(admitted) <= LogThrottle::burst + seconds * LogThrottle::linesPerSecond + 1e-6);
    RC_ASSERT(admitted + summarised == gapsMs.size());
}

BOOST_AUTO_TEST_CASE(kindsOfLinesDoNotStarveEachOther)
{
    LogThrottle throttle;
    const TimePoint now{Duration(1)};
    while (throttle.admit(now, Step::Send, Errc::Timeout)) {
    }
    BOOST_TEST(throttle.admit(now, Step::Send, Errc::ConnectionLost));
    BOOST_TEST(throttle.admit(now, Step::Send, std::nullopt));
    BOOST_TEST(throttle.admit(now, Step::Connect, Errc::Timeout));
    BOOST_TEST(throttle.takeSummary(now, false).empty());
    BOOST_TEST(throttle.takeSummary(now + LogThrottle::summaryPeriod, false).size() == 1U);
}

} // namespace sassafrasvane
