#include "http/clientconnection.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <chrono>
#include <functional>
#include <vector>

using namespace sassafrasvane;
using boost::asio::ip::tcp;

namespace
{

/// Maximum number of event loop iterations, of up to 1 ms each, that a test waits for a condition.
constexpr int maxTurns = 20'000;

/// A server and raw client sockets on one event loop.
struct ServerFixture {
    boost::asio::io_context context;
    std::vector<std::shared_ptr<http::Exchange>> exchanges;
    std::unique_ptr<http::Server> server;
    Address address;

    std::shared_ptr<http::RequestMemory> memory
        = std::make_shared<http::RequestMemory>(http::RequestMemoryLimits{1'000'000, 100});
    /// The target of requests that are refused from their head.
    std::string refusedTarget = "/refused";

    explicit ServerFixture(http::ServerLimits limits = {})
    {
        // A temporary listener lets the system choose a free port.
        tcp::acceptor probe(context, {boost::asio::ip::address_v4::loopback(), 0});
        address = {boost::asio::ip::address_v4::loopback().to_uint(), probe.local_endpoint().port()};
        probe.close();
        server
            = http::Server::Builder(context)
                  .address(address)
                  .limits(limits)
                  .memory(memory)
                  .headFilter([this](const http::Request &head) -> std::optional<http::Response> {
                      return http::fromView(head.target()) == refusedTarget
                          ? std::optional<http::Response>(http::emptyResponse(404))
                          : std::nullopt;
                  })
                  .handler([this](const std::shared_ptr<http::Exchange> &exchange) { exchanges.push_back(exchange); })
                  .build()
                  .value();
    }

    /// Runs the event loop until \p isDone. \return false if it is still not done after maxTurns iterations.
    bool runUntil(const std::function<bool()> &isDone)
    {
        for (int iteration = 0; iteration < maxTurns && !isDone(); ++iteration) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(1));
        }
        return isDone();
    }

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4(address.ip), address.port});
        return socket;
    }

    /// The bytes that the server sends until \p isComplete or the end of the connection.
    std::string receive(tcp::socket &socket, const std::function<bool(const std::string &text)> &isComplete)
    {
        std::string text;
        socket.non_blocking(true);
        runUntil([&] {
            std::array<char, 4096> chunk{};
            boost::system::error_code error;
            const std::size_t size = socket.read_some(boost::asio::buffer(chunk), error);
            text.append(chunk.data(), size);
            return (error && error != boost::asio::error::would_block) || isComplete(text);
        });
        return text;
    }

    std::string receiveAll(tcp::socket &socket)
    {
        return receive(socket, [](const std::string &) { return false; });
    }

    void send(tcp::socket &socket, std::string_view text) { boost::asio::write(socket, boost::asio::buffer(text)); }
};

bool endsWith(const std::string &text, std::string_view end)
{
    return text.ends_with(end);
}

} // namespace

BOOST_AUTO_TEST_CASE(requestsOfOneConnectionAreAnsweredInTurn)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket,
                 "GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    fixture.exchanges[0]->respond(http::textResponse(200, "text/plain", "first"));
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 2; }));
    BOOST_TEST(fixture.exchanges[1]->request().body() == "abc");
    fixture.exchanges[1]->respond(http::textResponse(200, "text/plain", "second"));
    const std::string text
        = fixture.receive(socket, [](const std::string &received) { return endsWith(received, "second"); });
    BOOST_TEST(text.find("first") != std::string::npos);
    BOOST_TEST(endsWith(text, "second"));
}

// Guards against a stop that resets connections which the system has queued, with their requests unread.
BOOST_AUTO_TEST_CASE(connectionsThatWaitToBeAcceptedAreServedWhenTheListenerCloses)
{
    ServerFixture fixture;
    std::vector<tcp::socket> sockets;
    for (int number = 0; number < 5; ++number) {
        sockets.push_back(fixture.connect());
        fixture.send(sockets.back(), "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    fixture.server->stopAccepting();
    BOOST_TEST(fixture.runUntil([&] { return fixture.exchanges.size() == sockets.size(); }));
}

// Guards against a body whose end is not known, which would be read as further requests.
BOOST_AUTO_TEST_CASE(requestsWithTransferCodingsOtherThanChunkedAreRefused)
{
    for (const char *coding : {"gzip", "identity", "gzip, chunked", "chunked, gzip", "xchunked", ""}) {
        ServerFixture fixture;
        tcp::socket socket = fixture.connect();
        fixture.send(socket,
                     std::string("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: ") + coding
                         + "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
        const std::string text = fixture.receiveAll(socket);
        BOOST_TEST((text.starts_with("HTTP/1.1 501") || text.starts_with("HTTP/1.1 400")), coding);
        BOOST_TEST(fixture.exchanges.empty(), coding);
    }
}

BOOST_AUTO_TEST_CASE(limitsThatAreRaisedReachKeptConnections)
{
    http::ServerLimits limits;
    limits.bodyBytes = 10;
    ServerFixture fixture(limits);
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    fixture.exchanges[0]->respond(http::textResponse(200, "text/plain", "first"));
    fixture.receive(socket, [](const std::string &received) { return endsWith(received, "first"); });
    // By then the server waits for the next request.
    for (int turn = 0; turn < 20; ++turn) {
        fixture.context.restart();
        fixture.context.run_one_for(std::chrono::milliseconds(1));
    }
    limits.bodyBytes = 1'000;
    fixture.server->setLimits(limits);
    fixture.send(socket, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n" + std::string(500, 'b'));
    BOOST_TEST(fixture.runUntil([&] { return fixture.exchanges.size() == 2; }));
}

// Guards against an event loop that does nothing but try to accept while no file descriptor is left.
BOOST_AUTO_TEST_CASE(serverWithoutFileDescriptorsWaitsBeforeItAcceptsAgain)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    std::vector<int> taken;
    for (int descriptor = ::dup(0); descriptor >= 0; descriptor = ::dup(0)) {
        taken.push_back(descriptor);
    }
    std::size_t handlers = 0;
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    while (std::chrono::steady_clock::now() < end) {
        fixture.context.restart();
        handlers += fixture.context.run_one_for(std::chrono::milliseconds(1));
    }
    for (const int descriptor : taken) {
        ::close(descriptor);
    }
    constexpr std::size_t maxHandlers = 20;
    BOOST_TEST(handlers <= maxHandlers);
    BOOST_TEST(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(requestThatComesWhileAResponseIsWrittenIsReadWhole)
{
    // Guards against a read that writes into the buffer while earlier bytes are consumed from it.
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    for (int round = 0; round < 50; ++round) {
        const std::string body(200 + static_cast<std::size_t>(round) * 37, static_cast<char>('a' + round % 26));
        const std::string request = "POST /" + std::to_string(round)
            + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::size_t half = request.size() / 2;
        fixture.send(socket, request.substr(0, half));
        fixture.context.poll();
        if (!fixture.exchanges.empty()) {
            fixture.exchanges.back()->respond(http::emptyResponse(200));
        }
        fixture.send(socket, request.substr(half));
        BOOST_REQUIRE(
            fixture.runUntil([&] { return fixture.exchanges.size() == static_cast<std::size_t>(round) + 1; }));
        BOOST_TEST(fixture.exchanges.back()->request().body() == body);
    }
}

BOOST_AUTO_TEST_CASE(ambiguousLengthsAreRefused)
{
    const std::vector<std::string> requests{
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "nonsense\r\n\r\n"};
    for (const std::string &request : requests) {
        ServerFixture fixture;
        tcp::socket socket = fixture.connect();
        fixture.send(socket, request);
        const std::string text = fixture.receiveAll(socket);
        BOOST_TEST(text.starts_with("HTTP/1.1 400"), request);
        BOOST_TEST(fixture.exchanges.empty(), request);
    }
}

BOOST_AUTO_TEST_CASE(limitsOfHeadersAndBodyHold)
{
    http::ServerLimits limits;
    limits.headerBytes = 200;
    limits.bodyBytes = 10;
    ServerFixture fixture(limits);
    tcp::socket large = fixture.connect();
    fixture.send(large, "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(500, 'y') + "\r\n\r\n");
    BOOST_TEST(fixture.receiveAll(large).starts_with("HTTP/1.1 431"));
    tcp::socket body = fixture.connect();
    fixture.send(body, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(fixture.receiveAll(body).starts_with("HTTP/1.1 413"));
    BOOST_TEST(fixture.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(chunkedBodyIsReadWhole)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket,
                 "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    BOOST_TEST(fixture.exchanges[0]->request().body() == "abcde");
}

// Guards against a trailer section that is larger than any head may be, and turns into fields at many times its size.
BOOST_AUTO_TEST_CASE(trailersAndChunkExtensionsAreBoundedLikeTheHead)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string fields;
    while (fields.size() < 400'000) {
        fields += "a:\r\n";
    }
    for (const std::string &rest :
         {"0\r\n" + fields, "0\r\n" + fields + "\r\n", "1;" + std::string(fields.size(), 'x')}) {
        ServerFixture fixture;
        tcp::socket socket = fixture.connect();
        boost::system::error_code ignored;
        socket.non_blocking(true);
        std::string unsent = head + rest;
        fixture.runUntil([&] {
            unsent.erase(0, socket.write_some(boost::asio::buffer(unsent), ignored));
            return unsent.empty();
        });
        BOOST_TEST(fixture.receiveAll(socket).starts_with("HTTP/1.1 431"));
        BOOST_TEST(fixture.exchanges.empty());
    }
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, head + "1\r\nx\r\n0\r\n" + fields.substr(0, 4'000) + "\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    BOOST_TEST(fixture.exchanges.front()->request().body() == "x");
    BOOST_TEST(fixture.memory->used() > 1'000U * 80U);
}

BOOST_AUTO_TEST_CASE(clientThatLeavesIsNoticed)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    bool isNotified = false;
    fixture.exchanges[0]->setOnAbandoned([&isNotified] { isNotified = true; });
    socket.close();
    BOOST_TEST(fixture.runUntil([&] { return isNotified; }));
    fixture.exchanges[0]->respond(http::emptyResponse(200));
    BOOST_TEST(fixture.runUntil([&] { return fixture.server->counters().openConnections == 0; }));
}

BOOST_AUTO_TEST_CASE(stoppingServerClosesAfterItsResponses)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    fixture.server->closeAfterResponses();
    fixture.server->stopAccepting();
    fixture.server->closeIdle();
    fixture.exchanges[0]->respond(http::textResponse(200, "text/plain", "whole"));
    const std::string text = fixture.receiveAll(socket);
    BOOST_TEST(text.find("Connection: close") != std::string::npos);
    BOOST_TEST(endsWith(text, "whole"));
}

BOOST_AUTO_TEST_CASE(connectionsOverTheirTimeAreClosed)
{
    ServerFixture fixture;
    tcp::socket idle = fixture.connect();
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.server->counters().openConnections == 1; }));
    fixture.server->closeExpired(BootClock::now() + std::chrono::seconds(10));
    BOOST_TEST(fixture.server->counters().openConnections == 1U);
    fixture.server->closeExpired(BootClock::now() + std::chrono::seconds(16));
    BOOST_TEST(fixture.server->counters().openConnections == 0U);
}

// Guards against bodies that are kept although nobody needs them.
BOOST_AUTO_TEST_CASE(requestIsRefusedFromItsHeadBeforeItsBody)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\nbegin");
    const std::string text = fixture.receiveAll(socket);
    BOOST_TEST(text.starts_with("HTTP/1.1 404"));
    BOOST_TEST(text.find("Connection: close") != std::string::npos);
    BOOST_TEST(fixture.exchanges.empty());
    BOOST_TEST(fixture.memory->used() == 0U);
}

// Guards against a reset that takes the response from a client that is still sending.
BOOST_AUTO_TEST_CASE(clientThatIsStillSendingGetsTheRefusal)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n");
    for (int piece = 0; piece < 20; ++piece) {
        fixture.send(socket, std::string(10'000, 'b'));
        fixture.context.poll();
    }
    BOOST_TEST(fixture.receiveAll(socket).starts_with("HTTP/1.1 404"));
    fixture.server->closeExpired(BootClock::now() + std::chrono::seconds(2));
    BOOST_TEST(fixture.server->counters().openConnections == 0U);
}

// Guards against a crowd of requests that each stay inside the limits.
BOOST_AUTO_TEST_CASE(requestsThatDoNotFitAreRefusedAndSmallOnesServed)
{
    ServerFixture fixture;
    const std::string large = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 250000\r\n\r\n";
    std::vector<tcp::socket> sockets;
    for (int number = 0; number < 4; ++number) {
        sockets.push_back(fixture.connect());
        fixture.send(sockets.back(), large + "begin");
    }
    std::size_t refused = 0;
    for (tcp::socket &socket : sockets) {
        socket.non_blocking(true);
    }
    BOOST_TEST(fixture.runUntil([&] {
        for (tcp::socket &socket : sockets) {
            std::array<char, 512> bytes{};
            boost::system::error_code ignored;
            const std::size_t size = socket.read_some(boost::asio::buffer(bytes), ignored);
            refused += std::string_view(bytes.data(), size).starts_with("HTTP/1.1 503") ? 1 : 0;
        }
        return refused == 2;
    }));
    BOOST_TEST(fixture.exchanges.empty());
    tcp::socket small = fixture.connect();
    fixture.send(small, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    sockets.clear();
    small.close();
    BOOST_TEST(fixture.runUntil([&] { return fixture.server->counters().openConnections == 0; }));
    BOOST_TEST(fixture.memory->used() > 0U);
    fixture.exchanges.clear();
    BOOST_TEST(fixture.memory->used() == 0U);
}

BOOST_AUTO_TEST_CASE(furtherRequestsAreReadOnlyInPart)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    socket.non_blocking(true);
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    std::string crowd;
    while (crowd.size() < 200'000) {
        crowd += request;
    }
    std::size_t sent = 0;
    for (int turn = 0; turn < 2'000; ++turn) {
        boost::system::error_code ignored;
        sent += socket.write_some(boost::asio::buffer(crowd) + sent, ignored);
        fixture.context.restart();
        fixture.context.poll();
    }
    BOOST_TEST(fixture.exchanges.size() == 1U);
    // 16 KB and a read in a buffer that grows by doubling, and the buffer of the system.
    BOOST_TEST(fixture.memory->used() <= 80'000U);
    for (std::size_t answered = 0; answered < 100; ++answered) {
        BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == answered + 1; }));
        fixture.exchanges.back()->respond(http::emptyResponse(200));
    }
}

// Guards against a crowd without requests that keeps others out until the idle timeout.
BOOST_AUTO_TEST_CASE(connectionThatWaitsLongestMakesRoom)
{
    http::ServerLimits limits;
    limits.connections = 2;
    ServerFixture fixture(limits);
    std::vector<tcp::socket> idle;
    idle.push_back(fixture.connect());
    idle.push_back(fixture.connect());
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.server->counters().openConnections == 2; }));
    const TimePoint end = BootClock::now() + http::RequestMemory::minConnectionWait();
    BOOST_REQUIRE(fixture.runUntil([&] { return BootClock::now() > end; }));
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    BOOST_TEST(fixture.server->counters().openConnections == 2U);
    BOOST_TEST(fixture.server->counters().refusedConnections == 0U);
}

BOOST_AUTO_TEST_CASE(clientThatTakesNothingOfItsResponseIsClosed)
{
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    fixture.send(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    fixture.exchanges[0]->respond(http::textResponse(200, "text/plain", std::string(8'000'000, 'r')));
    fixture.context.poll();
    fixture.server->closeExpired(BootClock::now() + std::chrono::seconds(14));
    BOOST_TEST(fixture.server->counters().openConnections == 1U);
    BOOST_TEST(fixture.memory->used() > 8'000'000U);
    fixture.server->closeExpired(BootClock::now() + std::chrono::seconds(16));
    BOOST_TEST(fixture.server->counters().openConnections == 0U);
    fixture.exchanges.clear();
    BOOST_TEST(fixture.memory->used() == 0U);
}

namespace
{

/// Maximum size of a response body, in bytes.
constexpr std::uint64_t bodyLimit = 8'388'608;

/// A client connection to a raw socket that answers with given bytes.
struct ClientFixture {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    http::ResponseMemory memory{67'108'864};
    std::shared_ptr<http::ClientConnection> connection;
    tcp::socket peer{context};
    std::vector<http::CallResult> results;

    ClientFixture()
    {
        const Address address{boost::asio::ip::address_v4::loopback().to_uint(), acceptor.local_endpoint().port()};
        connection = http::ClientConnection::create(context, address, memory);
        bool isOpen = false;
        connection->open([&isOpen](const std::error_code &error) { isOpen = !error; });
        peer = acceptor.accept();
        BOOST_REQUIRE(runUntil([&] { return isOpen; }));
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        for (int iteration = 0; iteration < maxTurns && !isDone(); ++iteration) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(1));
        }
        return isDone();
    }

    void call(http::ResponseFilter filter = nullptr)
    {
        http::Request request;
        request.version(11);
        request.method(boost::beast::http::verb::get);
        request.target("/x");
        request.set(boost::beast::http::field::host, "x");
        connection->call(request, bodyLimit, std::move(filter), [this](http::CallResult result) {
            results.push_back(std::move(result));
        });
        // Waits until the whole request has arrived, so that the response does not come too early.
        std::string received;
        peer.non_blocking(true);
        BOOST_REQUIRE(runUntil([&] {
            std::array<char, 4096> chunk{};
            boost::system::error_code error;
            received.append(chunk.data(), peer.read_some(boost::asio::buffer(chunk), error));
            return received.ends_with("\r\n\r\n");
        }));
    }

    void answer(std::string_view text) { boost::asio::write(peer, boost::asio::buffer(text)); }

    http::CallResult &result()
    {
        BOOST_REQUIRE(runUntil([&] { return !results.empty(); }));
        return results.back();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(wholeResponseLeavesTheConnectionUsable)
{
    ClientFixture fixture;
    fixture.call();
    fixture.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST(fixture.result().response->body() == "ok");
    BOOST_TEST(fixture.result().isReusable);
    fixture.call();
    fixture.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore");
    BOOST_TEST(fixture.runUntil([&] { return fixture.results.size() == 2; }));
    BOOST_TEST(fixture.results.back().response->body() == "more");
}

BOOST_AUTO_TEST_CASE(bytesAfterAResponseEndTheConnection)
{
    ClientFixture fixture;
    fixture.call();
    fixture.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    BOOST_TEST(fixture.result().response->body() == "ok");
    BOOST_TEST(!fixture.result().isReusable);
    BOOST_TEST(!fixture.connection->isOpen());
}

BOOST_AUTO_TEST_CASE(truncatedResponseFailsTheCall)
{
    ClientFixture fixture;
    fixture.call();
    fixture.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    fixture.peer.close();
    BOOST_TEST(!fixture.result().response.has_value());
    BOOST_TEST(fixture.result().mayHaveArrived);
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthEndsWithItsConnection)
{
    ClientFixture fixture;
    fixture.call();
    fixture.answer("HTTP/1.1 200 OK\r\n\r\nwithout length");
    fixture.peer.close();
    BOOST_TEST(fixture.result().response->body() == "without length");
    BOOST_TEST(!fixture.result().isReusable);

    ClientFixture reset;
    reset.call();
    reset.answer("HTTP/1.1 200 OK\r\n\r\ncut");
    // Closing with a linger time of 0 resets the connection.
    reset.peer.set_option(boost::asio::socket_base::linger(true, 0));
    reset.peer.close();
    BOOST_TEST(!reset.result().response.has_value());
}

BOOST_AUTO_TEST_CASE(responseOfAnEarlierCallIsDropped)
{
    ClientFixture fixture;
    fixture.call([](const http::Response &response) { return http::headerOf(response, "Id") == "2"; });
    fixture.answer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nold");
    fixture.answer("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nnew");
    BOOST_TEST(fixture.result().response->body() == "new");
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoResponseFailTheCall)
{
    ClientFixture fixture;
    fixture.call();
    fixture.answer("this is not HTTP\r\n\r\n");
    BOOST_TEST(!fixture.result().response.has_value());
    BOOST_TEST((fixture.result().failure == Errc::BadMessage));
}

BOOST_AUTO_TEST_CASE(closedIdleConnectionIsNotUsable)
{
    ClientFixture closed;
    BOOST_TEST(closed.connection->isUsable());
    closed.peer.close();
    BOOST_TEST(!closed.connection->isUsable());
    ClientFixture reset;
    reset.peer.set_option(boost::asio::socket_base::linger(true, 0));
    reset.peer.close();
    BOOST_TEST(!reset.connection->isUsable());
    // Unread bytes, such as a duplicate response.
    ClientFixture strayBytes;
    strayBytes.answer("HTTP/1.1 200 OK\r\n");
    BOOST_TEST(!strayBytes.connection->isUsable());
}

BOOST_AUTO_TEST_CASE(closeOfAnIdleConnectionIsReported)
{
    ClientFixture fixture;
    bool isLost = false;
    fixture.call();
    fixture.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.result();
    fixture.connection->setOnLost([&isLost] { isLost = true; });
    fixture.peer.close();
    BOOST_TEST(fixture.runUntil([&] { return isLost; }));
    BOOST_TEST(!fixture.connection->isOpen());
}

BOOST_AUTO_TEST_CASE(responseThatNamesTooLargeALengthFailsTheCall)
{
    const std::vector<std::string> lengths{
        "8388609", "99999999999", "9223372036854775807", "9223372036854775808", "18446744073709551615"};
    for (const std::string &length : lengths) {
        ClientFixture fixture;
        fixture.call();
        fixture.answer("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nbody");
        BOOST_TEST(!fixture.result().response.has_value(), length);
        BOOST_TEST((fixture.result().failure == Errc::TooLarge), length);
        BOOST_TEST(!fixture.connection->isOpen(), length);
    }
}

// Guards against calls and connections that keep each other alive: what a call holds is freed when the call has ended.
BOOST_AUTO_TEST_CASE(endedCallHoldsNothing)
{
    struct Ending {
        const char *name;
        const char *response;
        bool isClosedByPeer;
        bool isClosedHere;
    };
    const std::vector<Ending> endings{
        {"whole, kept", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, false},
        {"whole, closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, false},
        {"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfour", true, false},
        {"no response", "", true, false},
        {"malformed", "this is no response\r\n\r\n", false, false},
        {"given up", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfour", false, true}};
    for (const Ending &ending : endings) {
        ClientFixture fixture;
        const std::weak_ptr<http::ClientConnection> connection = fixture.connection;
        std::shared_ptr<std::shared_ptr<http::ClientConnection>> held
            = std::make_shared<std::shared_ptr<http::ClientConnection>>(fixture.connection);
        const std::weak_ptr<std::shared_ptr<http::ClientConnection>> call = held;
        // As in a real call, the filter holds what holds the connection.
        fixture.call([held](const http::Response &) { return *held != nullptr; });
        held.reset();
        fixture.answer(ending.response);
        if (ending.isClosedByPeer) {
            fixture.peer.close();
        }
        if (ending.isClosedHere) {
            fixture.runUntil([&fixture] { return fixture.memory.used() > 0; });
            fixture.connection->close();
        } else {
            fixture.result();
        }
        fixture.results.clear();
        BOOST_TEST(call.expired(), ending.name);
        BOOST_TEST(fixture.memory.used() == 0U, ending.name);
        fixture.connection->close();
        fixture.connection.reset();
        BOOST_TEST(fixture.runUntil([&connection] { return connection.expired(); }), ending.name);
    }
}
