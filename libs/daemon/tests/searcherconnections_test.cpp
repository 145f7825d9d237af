#include "../src/searcherconnections.h"

#include "daemon/platformreader.h"
#include "pouringserver.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t mebibyte = 1'048'576;
/// What a client may take of an answer without end, with the buffers of the sockets.
constexpr std::size_t maxTaken = 24 * mebibyte;
constexpr Duration jobTime = 300ms;
/// Time in which a job must have ended.
constexpr Duration maxJobTime = 2s;

/// Answers without end, each of them sent fast and slowly.
std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string bytes(16'384, 'y');
    std::string fields;
    for (int count = 0; count < 2'000; ++count) {
        fields += "a: b\r\n";
    }
    std::vector<EndlessAnswer> answers;
    for (const std::chrono::milliseconds pause : {0ms, 40ms}) {
        answers.push_back({head + "X: ", bytes, pause});
        answers.push_back({head, fields, pause});
        answers.push_back({head + "Content-Length: 99999999999\r\n\r\n", bytes, pause});
        answers.push_back({head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + bytes + "\r\n", pause});
        answers.push_back({head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", fields, pause});
        answers.push_back({head + "\r\n", bytes, pause});
        answers.push_back({"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", pause});
    }
    return answers;
}

/// Collects what connections report, and waits for it.
template<typename Value>
class Mailbox
{
public:
    void put(Value value)
    {
        const std::scoped_lock lock(mutex_);
        values_.push_back(std::move(value));
        changed_.notify_all();
    }

    /// \return false if fewer than \p count values have come in time.
    bool waitFor(std::size_t count, Duration time)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(
            lock, std::chrono::microseconds(time), [this, count] { return values_.size() >= count; });
    }

    std::vector<Value> values()
    {
        const std::scoped_lock lock(mutex_);
        return values_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Value> values_;
};

bool waitUntilClosed(const PouringServer &server)
{
    const TimePoint end = BootClock::now() + 2s;
    while (server.open() > 0 && BootClock::now() < end) {
        std::this_thread::sleep_for(10ms);
    }
    return server.open() == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(searcher_connections)

// Guards against a searcher whose bytes without end take the daemon's memory, or hold its threads for good.
BOOST_AUTO_TEST_CASE(answersWithoutEndTakeLittleMemoryAndEndInTime)
{
    constexpr std::size_t connectionCount = 2;
    for (const EndlessAnswer &answer : endlessAnswers()) {
        PouringServer server(answer);
        Mailbox<detail::SearcherJobEnd> ends;
        Mailbox<detail::SearcherHealth> checks;
        http::ResponseMemory memory(16 * mebibyte);
        {
            detail::SearcherConnections connections(
                server.address(),
                memory,
                [&ends](detail::SearcherJobEnd end) { ends.put(std::move(end)); },
                [&checks](detail::SearcherHealth health) { checks.put(health); });
            for (std::size_t count = 0; count < connectionCount; ++count) {
                connections.add();
            }
            for (std::size_t count = 0; count < 2 * connectionCount; ++count) {
                connections.run({CallId{count + 1}, WorkKind::Search, "{}", "trace", BootClock::now() + jobTime});
            }
            connections.checkHealth();
            const std::string name = answer.first.substr(0, 60) + (answer.pause > 0ms ? " slowly" : "");
            BOOST_TEST(ends.waitFor(2 * connectionCount, maxJobTime), name);
            BOOST_TEST(checks.waitFor(1, maxJobTime), name);
        }
        for (const detail::SearcherJobEnd &end : ends.values()) {
            BOOST_TEST((end.answer.outcome != CallOutcome::Answered));
        }
        for (const detail::SearcherHealth &health : checks.values()) {
            BOOST_TEST((health.incarnation == Incarnation{}));
        }
        BOOST_TEST(waitUntilClosed(server));
        BOOST_TEST(server.sent() < 3 * connectionCount * maxTaken);
        BOOST_TEST(memory.used() == 0U);
    }
}

// Guards against a configuration service that never ends its answer: the reader must go on, and stop when told to.
BOOST_AUTO_TEST_CASE(configurationServiceThatSendsWithoutEndIsGivenUp)
{
    for (const EndlessAnswer &answer : endlessAnswers()) {
        PouringServer server(answer);
        Mailbox<Errc> failures;
        PlatformHooks hooks;
        hooks.onValue = [](const PlatformValue &) {};
        hooks.onFailed = [&failures](ConfigKey, const Error &error) { failures.put(error.errc()); };
        PlatformReader reader(server.address(), hooks);
        reader.read({ConfigKey::Configuration, ConfigVersion{}, 100ms});
        BOOST_TEST(failures.waitFor(1, 2s), answer.first.substr(0, 60));
        reader.read({ConfigKey::Configuration, ConfigVersion{}, 5s});
        std::this_thread::sleep_for(50ms);
        const TimePoint stoppedAt = BootClock::now();
        reader.stop();
        BOOST_TEST((BootClock::now() - stoppedAt < 1s));
        BOOST_TEST(server.sent() < 2 * maxTaken);
    }
}

BOOST_AUTO_TEST_SUITE_END()
