#include "observe/eventlog.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string>
#include <vector>

using namespace sassafrasvane;

namespace
{

/// A pipe whose reading end is drained on demand.
class Pipe
{
public:
    Pipe()
    {
        BOOST_REQUIRE(pipe(ends_.data()) == 0);
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }
    int writeEnd() const { return ends_[1]; }

    std::vector<nlohmann::json> lines()
    {
        std::array<char, 4096> chunk{};
        ssize_t size = 0;
        while ((size = read(ends_[0], chunk.data(), chunk.size())) > 0) {
            text_.append(chunk.data(), static_cast<std::size_t>(size));
        }
        std::vector<nlohmann::json> lines;
        std::size_t end = 0;
        while ((end = text_.find('\n')) != std::string::npos) {
            lines.push_back(nlohmann::json::parse(text_.substr(0, end)));
            text_.erase(0, end + 1);
        }
        return lines;
    }

private:
    std::array<int, 2> ends_{};
    std::string text_;
};

} // namespace

BOOST_AUTO_TEST_CASE(lineHasItsFields)
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "vm-1");
    log.line(EventRank::Important, "call_failed")
        .text("request", "a\"b\x01\xff")
        .number("share", 0.5)
        .count("parts", 3)
        .flag("hedge", true)
        .milliseconds("elapsed_ms", std::chrono::microseconds(1'500))
        .error(Error{Errc::ConnectFailed, Step::Connect, "10.0.0.1:80", "refused"});
    log.flush();
    const std::vector<nlohmann::json> lines = pipe.lines();
    BOOST_REQUIRE(lines.size() == 1U);
    const nlohmann::json &line = lines.front();
    BOOST_TEST(line["vm"] == "vm-1");
    BOOST_TEST(line["event"] == "call_failed");
    BOOST_TEST(line["request"] == "a\"b??");
    BOOST_TEST(line["share"] == 0.5);
    BOOST_TEST(line["elapsed_ms"] == 1.5);
    BOOST_TEST(line["code"] == "connect_failed");
    BOOST_TEST(line["peer"] == "10.0.0.1:80");
}

BOOST_AUTO_TEST_CASE(unexpectedErrorsAreToldAndCounted)
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "vm-1");
    log.unexpectedError(std::runtime_error("out of range"));
    log.flush();
    const std::vector<nlohmann::json> lines = pipe.lines();
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines[0]["event"] == "unexpected_error");
    BOOST_TEST(lines[0]["detail"] == "out of range");
    BOOST_TEST(log.unexpectedErrors() == 1U);
}

BOOST_AUTO_TEST_CASE(routineLinesAreDroppedFirstAndCounted)
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "vm-1");
    const int routine = 3 * static_cast<int>(EventLog::routineBurst());
    for (int i = 0; i < routine; ++i) {
        log.line(EventRank::Routine, "request_answered");
    }
    BOOST_TEST(log.droppedLines() > EventLog::routineBurst());
    log.line(EventRank::Important, "call_failed");
    std::vector<nlohmann::json> lines;
    for (int i = 0; i < 20; ++i) {
        log.flush();
        const std::vector<nlohmann::json> more = pipe.lines();
        lines.insert(lines.end(), more.begin(), more.end());
    }
    BOOST_REQUIRE(lines.size() >= 2U);
    BOOST_TEST(lines.back()["event"] == "call_failed");
    BOOST_TEST(lines[lines.size() - 2]["event"] == "log_lines_dropped");
    BOOST_TEST(lines[lines.size() - 2]["lines"] == log.droppedLines());
}

BOOST_AUTO_TEST_CASE(fullPipeNeverBlocksAndTheBufferIsBounded)
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "vm-1");
    const std::string text(500, 'x');
    for (int i = 0; i < 5'000; ++i) {
        log.line(EventRank::Important, "call_failed").text("detail", text);
    }
    BOOST_TEST(log.droppedLines() > 1'000U);
    std::size_t lines = 0;
    for (int i = 0; i < 200; ++i) {
        log.flush();
        lines += pipe.lines().size();
    }
    BOOST_TEST(lines == 5'000 - log.droppedLines());
}
