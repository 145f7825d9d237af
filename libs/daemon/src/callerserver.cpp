#include "daemon/callerserver.h"

#include "unreadconnections.h"

#include <httplib.h>

#include <algorithm>
#include <future>
#include <thread>

namespace sassafrasvane
{

namespace
{

/// Threads, and so connections of callers that are served at the same time.
constexpr std::size_t connectionThreads = 128;
/// Time that a caller may take to send a request, in seconds.
constexpr time_t readTimeout = 5;
/// Idle time after which a connection is closed, in seconds.
constexpr time_t idleTimeout = 5;
constexpr std::size_t maxRequestsPerConnection = 1'000'000;
/// How long stop() waits for connections whose first request has not been read; some callers never send one.
constexpr Duration maxUnreadWait = std::chrono::seconds(1);
/// Time between two looks at these connections.
constexpr std::chrono::milliseconds unreadPoll{2};
/// Time between two looks at whether the server runs.
constexpr std::chrono::milliseconds startPoll{1};
/// Longest idempotency key, in bytes.
constexpr std::size_t maxKey = 128;
constexpr const char *jsonType = "application/json";

void writeFailure(httplib::Response &response,
                  const Error &error,
                  Ran ran,
                  const std::string &trace,
                  Duration retryAfter = Duration{0})
{
    response.status = httpStatus(error.errc());
    if (retryAfter > Duration{0}) {
        response.set_header("Retry-After", std::to_string(std::max<std::int64_t>(retryAfter.count() / 1'000'000, 1)));
    }
    response.set_content(writeError(error, ran, trace, retryAfter), jsonType);
}

void writeOutcome(httplib::Response &response, const CallerOutcome &outcome, const std::string &trace)
{
    if (outcome.error) {
        writeFailure(response, *outcome.error, outcome.ran, trace, outcome.retryAfter);
    } else if (outcome.answer) {
        response.set_content(writeQueryAnswer(*outcome.answer, trace, outcome.conflict), jsonType);
    } else {
        response.set_content(writeRunAnswer({outcome.result.value_or(std::string()), trace}), jsonType);
    }
}

} // namespace

struct CallerServer::Implementation {
    CallerServerHooks hooks;
    detail::UnreadConnections unread;
    httplib::Server server;
    std::thread thread;

    void serveQuery(const httplib::Request &request, httplib::Response &response) const;
    void serveRun(const httplib::Request &request, httplib::Response &response) const;
    void configure();
};

void CallerServer::Implementation::serveQuery(const httplib::Request &request, httplib::Response &response) const
{
    Result<CallerQuery> query = readCallerQuery(request.body);
    if (query.has_error()) {
        writeFailure(response, query.error(), Ran::No, {});
        return;
    }
    const auto promise = std::make_shared<std::promise<CallerOutcome>>();
    std::future<CallerOutcome> outcome = promise->get_future();
    const std::string trace = hooks.query(std::move(query.value()),
                                          request.get_header_value("traceparent"),
                                          [promise](CallerOutcome result) { promise->set_value(std::move(result)); });
    writeOutcome(response, outcome.get(), trace);
}

void CallerServer::Implementation::serveRun(const httplib::Request &request, httplib::Response &response) const
{
    Result<CallerRun> run = readCallerRun(request.body);
    if (run.has_error()) {
        writeFailure(response, run.error(), Ran::No, {});
        return;
    }
    CallerOnce once{std::move(run.value()),
                    request.get_header_value("Idempotency-Key"),
                    request.get_header_value("Request-Ticket"),
                    request.get_header_value("Request-Sole-Copy") == "true"};
    if (once.key.empty() || once.key.size() > maxKey) {
        writeFailure(
            response,
            Error(Errc::InvalidRequest, Step::Accept, {}, "the header Idempotency-Key must have 1 to 128 characters"),
            Ran::No,
            {});
        return;
    }
    const auto promise = std::make_shared<std::promise<CallerOutcome>>();
    std::future<CallerOutcome> outcome = promise->get_future();
    const std::string trace = hooks.run(std::move(once),
                                        request.get_header_value("traceparent"),
                                        [promise](CallerOutcome result) { promise->set_value(std::move(result)); });
    writeOutcome(response, outcome.get(), trace);
}

void CallerServer::Implementation::configure()
{
    server.new_task_queue = [this] { return unread.createQueue(connectionThreads); };
    server.set_socket_options([this](socket_t listener) {
        httplib::default_socket_options(listener);
        unread.setListener(listener);
    });
    server.set_pre_routing_handler([this](const httplib::Request &, httplib::Response &) {
        unread.onRequestRead();
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(maxRequestsPerConnection);
    server.set_keep_alive_timeout(idleTimeout);
    server.set_read_timeout(readTimeout);
    server.set_write_timeout(readTimeout);
    server.set_payload_max_length(maxCallerBody);
    server.Post("/v1/query", [this](const httplib::Request &request, httplib::Response &response) {
        serveQuery(request, response);
    });
    server.Post("/v1/run",
                [this](const httplib::Request &request, httplib::Response &response) { serveRun(request, response); });
    server.Get("/v1/entries", [this](const httplib::Request &request, httplib::Response &response) {
        response.set_content(writeEntriesAnswer(hooks.entries(request.get_param_value("failureDomain"))), jsonType);
    });
    server.Get("/v1/live", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("{\"live\":true}", jsonType);
    });
    server.Get("/v1/ready", [this](const httplib::Request &, httplib::Response &response) {
        const bool isReady = hooks.isReady();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "{\"ready\":true}" : "{\"ready\":false}", jsonType);
    });
    server.set_post_routing_handler([this](const httplib::Request &, httplib::Response &response) {
        if (!hooks.isReady()) {
            // Callers that keep their connection would be cut off when the daemon ends.
            response.set_header("Connection", "close");
        }
    });
    server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (!response.body.empty()) {
            return;
        }
        const bool isTooLarge = response.status == 413;
        const Error error(isTooLarge ? Errc::TooLarge : Errc::InvalidRequest,
                          Step::Accept,
                          {},
                          isTooLarge ? "the body is too large" : "no such address or a malformed request");
        response.set_content(writeError(error, Ran::No, {}, Duration{0}), jsonType);
    });
}

CallerServer::CallerServer(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

CallerServer::~CallerServer()
{
    stop();
}

Result<std::unique_ptr<CallerServer>> CallerServer::start(const Address &address, CallerServerHooks hooks)
{
    auto implementation = std::make_unique<Implementation>();
    implementation->hooks = std::move(hooks);
    implementation->configure();
    if (!implementation->server.bind_to_port(address.host(), address.port)) {
        return Error{Errc::Unavailable, Step::Accept, address.toString(), "the address for callers cannot be bound"};
    }
    Implementation *const raw = implementation.get();
    implementation->thread = std::thread([raw] { raw->server.listen_after_bind(); });
    // A stop that comes before the server runs would be lost, and with it the end of the thread.
    while (!implementation->server.is_running()) {
        std::this_thread::sleep_for(startPoll);
    }
    return std::unique_ptr<CallerServer>(new CallerServer(std::move(implementation)));
}

void CallerServer::stop()
{
    implementation_->unread.refuseNew();
    const TimePoint waitEnd = BootClock::now() + maxUnreadWait;
    while (!implementation_->unread.isEmpty() && BootClock::now() < waitEnd) {
        std::this_thread::sleep_for(unreadPoll);
    }
    implementation_->unread.setListener(INVALID_SOCKET);
    implementation_->server.stop();
    if (implementation_->thread.joinable()) {
        implementation_->thread.join();
    }
}

} // namespace sassafrasvane
