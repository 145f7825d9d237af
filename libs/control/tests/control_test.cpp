#include "control/controlclient.h"
#include "control/controlserver.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sassafrasvane
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;
constexpr Duration timeout = std::chrono::seconds(5);
const char *const key = "correct horse battery staple";

DaemonStatus sampleStatus()
{
    DaemonStatus status;
    status.id = Address{loopback, 7101};
    status.incarnation = Incarnation{1'700'000'000'000'000'123};
    status.program = "0.1.0";
    status.failureDomain = "a";
    status.phase = DaemonPhase::Serving;
    status.uptimeSeconds = 12.5;
    status.configuration = {ConfigVersion{7}, 0.25};
    status.domainsOut = {"c"};
    status.barredRequests = 2;
    status.peers = {{Address{loopback, 7102}, "b", "suspect"}};
    status.searchers = {{SearcherId{3}, Address{loopback, 9003}, "riders", "a", true, 1, 2, 1}};
    ClassStatus lookup;
    lookup.measured.name = "lookup";
    lookup.measured.p99Ms = 81.5;
    lookup.measured.refusals = {{Errc::Overloaded, 4}};
    lookup.target = {std::chrono::milliseconds(80), 99, 0.99, 0.05};
    lookup.conflict = "latency gave way";
    status.classes = {lookup};
    return status;
}

WhyReply sampleWhy(const WhySubject &subject)
{
    WhyReply reply;
    const TraceId trace = subject.trace.value_or(TraceId{1, 2});
    const Address server = subject.server.value_or(Address{});
    reply.decisions = {{5, DecisionKind::PartMissed, trace, subject.cls.value_or(""), server, "part 7: \xff timeout"}};
    Span span;
    span.name = "query";
    span.context = {trace, SpanId{9}, true};
    span.attributes = {{"calls", std::int64_t{7}}, {"coverage", 0.5}, {"late", true}, {"class", std::string("x")}};
    span.status = SpanStatus::Error;
    reply.spans = {span};
    return reply;
}

ControlHandlers sampleHandlers()
{
    ControlHandlers handlers;
    handlers.status = sampleStatus;
    handlers.why = sampleWhy;
    handlers.entries = [] { return EntriesReply{{{Address{loopback, 7001}, "a"}}, 30}; };
    handlers.drain = []() -> Result<DrainReply> { return DrainReply{DaemonPhase::Draining, 3}; };
    handlers.metrics = [] { return std::string("up 1\n"); };
    return handlers;
}

std::unique_ptr<ControlServer> startServer(ControlHandlers handlers = sampleHandlers())
{
    return ControlServer::Builder()
        .address(Address{loopback, 0})
        .key(key)
        .handlers(std::move(handlers))
        .build()
        .value();
}

/// A plain connection, for bytes that no HTTP client would send.
class RawConnection
{
public:
    explicit RawConnection(const Address &address) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(address.ip);
        where.sin_port = htons(address.port);
        BOOST_REQUIRE_EQUAL(::connect(socket_, reinterpret_cast<sockaddr *>(&where), sizeof where), 0);
    }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;
    ~RawConnection() { ::close(socket_); }

    void send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(count);
        }
    }

    /// The beginning of the reply; empty if the server closed the connection.
    std::string receive() const
    {
        std::string reply(4'096, '\0');
        const ssize_t count = ::recv(socket_, reply.data(), reply.size(), 0);
        reply.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return reply;
    }

private:
    const int socket_;
};

} // namespace

BOOST_AUTO_TEST_CASE(statusCrossesTheWire)
{
    const std::unique_ptr<ControlServer> server = startServer();
    const DaemonStatus status = ControlClient(server->address(), timeout).status().value();
    const DaemonStatus sent = sampleStatus();
    BOOST_TEST((status.id == sent.id));
    BOOST_TEST((status.incarnation == sent.incarnation));
    BOOST_TEST((status.phase == DaemonPhase::Serving));
    BOOST_TEST((status.configuration.version == ConfigVersion{7}));
    BOOST_TEST(status.shardMap.ageSeconds < 0);
    BOOST_TEST(status.domainsOut == sent.domainsOut);
    BOOST_TEST(status.peers.at(0).state == "suspect");
    BOOST_TEST(status.searchers.at(0).isCold);
    BOOST_TEST((status.searchers.at(0).address == sent.searchers.at(0).address));
    BOOST_TEST(status.classes.at(0).measured.p99Ms == 81.5);
    BOOST_TEST((status.classes.at(0).measured.refusals.at(0).reason == Errc::Overloaded));
    BOOST_TEST((status.classes.at(0).target.latency == std::chrono::milliseconds(80)));
    BOOST_TEST(status.classes.at(0).conflict == "latency gave way");
}

BOOST_AUTO_TEST_CASE(whyCrossesTheWire)
{
    const std::unique_ptr<ControlServer> server = startServer();
    const ControlClient client(server->address(), timeout);
    const WhyReply byTrace = client.why(WhySubject::parse("0000000000000001000000000000000a")).value();
    BOOST_TEST((byTrace.decisions.at(0).trace == TraceId{1, 10}));
    BOOST_TEST((byTrace.decisions.at(0).kind == DecisionKind::PartMissed));
    BOOST_TEST((byTrace.spans.at(0).context == TraceContext{TraceId{1, 10}, SpanId{9}, true}));
    BOOST_TEST(std::get<std::int64_t>(*findAttribute(byTrace.spans.at(0), "calls")) == 7);
    BOOST_TEST(std::get<bool>(*findAttribute(byTrace.spans.at(0), "late")));
    const WhyReply byServer = client.why(WhySubject::parse("127.0.0.1:9003")).value();
    BOOST_TEST((byServer.decisions.at(0).server == Address{loopback, 9003}));
    BOOST_TEST(client.why(WhySubject::parse("lookup")).value().decisions.at(0).cls == "lookup");
    BOOST_TEST((client.entries().value().entries.at(0).callers == Address{loopback, 7001}));
    BOOST_TEST(client.metrics().value() == "up 1\n");
}

BOOST_AUTO_TEST_CASE(drainNeedsTheKey)
{
    int drains = 0;
    ControlHandlers handlers = sampleHandlers();
    handlers.drain = [&drains]() -> Result<DrainReply> {
        ++drains;
        if (drains > 1) {
            return Error{Errc::Draining, Step::Stop, {}, "already"};
        }
        return DrainReply{DaemonPhase::Draining, 3};
    };
    const std::unique_ptr<ControlServer> server = startServer(handlers);
    const ControlClient client(server->address(), timeout);
    const std::string right = key;
    for (const std::string &wrong : {std::string(), right + "x", right.substr(1), std::string("\xff")}) {
        const Result<DrainReply> refused = client.drain(wrong);
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST((refused.error().errc() == Errc::NotAuthentic));
        BOOST_TEST(refused.error().peer == server->address().toString());
    }
    BOOST_TEST(drains == 0);
    BOOST_TEST(client.drain(key).value().openRequests == 3U);
    BOOST_TEST((client.drain(key).error().errc() == Errc::Draining));
}

BOOST_AUTO_TEST_CASE(missingDaemonIsAConnectError)
{
    std::unique_ptr<ControlServer> server = startServer();
    const Address address = server->address();
    BOOST_TEST((ControlServer::Builder().address(address).key(key).handlers(sampleHandlers()).build().error().errc()
                == Errc::Unavailable));
    server.reset();
    const Result<DaemonStatus> status = ControlClient(address, timeout).status();
    BOOST_REQUIRE(status.has_error());
    BOOST_TEST((status.error().errc() == Errc::ConnectFailed));
    BOOST_TEST(status.error().peer == address.toString());
}

BOOST_AUTO_TEST_CASE(strangeRepliesAreErrorsNotCrashes)
{
    for (const char *body : {"", "[]", "3", "{", "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}", "\xff\xff"}) {
        httplib::Server server;
        server.Post("/", [body](const httplib::Request &, httplib::Response &response) {
            response.set_content(body, "application/json");
        });
        const int port = server.bind_to_any_port("127.0.0.1");
        std::thread thread([&server] { server.listen_after_bind(); });
        const ControlClient client(Address{loopback, static_cast<std::uint16_t>(port)}, timeout);
        const Result<DaemonStatus> status = client.status();
        BOOST_TEST(status.has_error(), body);
        BOOST_TEST((status.error().errc() == Errc::BadMessage), body);
        server.stop();
        thread.join();
    }
}

BOOST_AUTO_TEST_CASE(handlerFaultsDoNotStopTheServer)
{
    ControlHandlers handlers = sampleHandlers();
    handlers.metrics = []() -> std::string { throw std::runtime_error("broken"); };
    handlers.status = []() -> DaemonStatus { throw std::runtime_error("broken"); };
    const std::unique_ptr<ControlServer> server = startServer(handlers);
    const ControlClient client(server->address(), timeout);
    BOOST_TEST(client.metrics().has_error());
    BOOST_TEST(client.status().has_error());
    BOOST_TEST(client.entries().has_value());
}

BOOST_AUTO_TEST_CASE(oversizedRequestsAreRefused)
{
    const std::unique_ptr<ControlServer> server = startServer();
    httplib::Client http("127.0.0.1", server->address().port);
    BOOST_TEST(http.Post("/", std::string(ControlServer::maxRequestBytes + 1, ' '), "application/json")->status == 413);
    const RawConnection raw(server->address());
    raw.send("GET /metrics HTTP/1.1\r\nHost: x\r\nX: " + std::string(ControlServer::maxHeaderBytes, 'x') + "\r\n\r\n");
    BOOST_TEST(raw.receive().find(" 200 ") == std::string::npos);
    BOOST_TEST(http.Get("/secret")->status == 404);
    BOOST_TEST(http.Get("/")->status == 405);
    BOOST_TEST(ControlClient(server->address(), timeout).status().has_value());
}

BOOST_AUTO_TEST_CASE(idleConnectionsAreBounded)
{
    const std::unique_ptr<ControlServer> server = startServer();
    std::vector<std::unique_ptr<httplib::Client>> held;
    std::size_t answered = 0;
    for (unsigned i = 0; i < ControlServer::maxConnections + 8; ++i) {
        held.push_back(std::make_unique<httplib::Client>("127.0.0.1", server->address().port));
        held.back()->set_keep_alive(true);
        held.back()->set_read_timeout(std::chrono::milliseconds(200));
        answered += held.back()->Get("/metrics") ? 1U : 0U;
    }
    BOOST_TEST(answered <= ControlServer::maxConnections);
    held.clear();
    BOOST_TEST(ControlClient(server->address(), timeout).status().has_value());
}

RC_BOOST_PROP(randomBytesNeverStopTheServer, (const std::string &bytes))
{
    static const std::unique_ptr<ControlServer> server = startServer();
    RawConnection(server->address()).send(bytes);
    const RawConnection framed(server->address());
    framed.send("POST / HTTP/1.0\r\nContent-Length: " + std::to_string(bytes.size()) + "\r\n\r\n" + bytes);
    RC_ASSERT(!framed.receive().empty());
    RC_ASSERT(ControlClient(server->address(), timeout).entries().has_value());
}

BOOST_AUTO_TEST_CASE(deeplyNestedJsonIsRefused)
{
    const std::unique_ptr<ControlServer> server = startServer();
    httplib::Client http("127.0.0.1", server->address().port);
    http.Post("/", std::string(ControlServer::maxRequestBytes, '['), "application/json");
    BOOST_TEST(ControlClient(server->address(), timeout).status().has_value());
}

} // namespace sassafrasvane
