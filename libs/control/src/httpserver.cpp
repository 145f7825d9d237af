#include "httpserver.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>
#include <exception>

namespace sassafrasvane::detail
{

namespace
{

/// A request whose body is still coming in.
struct Incoming {
    HttpRequest request;
    bool isTooLarge = false;
};

sockaddr_in socketAddress(const Address &address) noexcept
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

MHD_Result sendReply(MHD_Connection *connection, const HttpReply &reply)
{
    // MHD copies the body, although its parameter is not const.
    void *body = const_cast<char *>(reply.body.data());
    MHD_Response *response = MHD_create_response_from_buffer(reply.body.size(), body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.contentType.c_str());
    const MHD_Result result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

HttpReply guarded(const HttpServer::Handle &handle, const HttpRequest &request)
{
    try {
        return handle(request);
    } catch (const std::exception &exception) {
        // An exception must not pass through the C frames of the library.
        return {MHD_HTTP_INTERNAL_SERVER_ERROR, "text/plain", exception.what()};
    }
}

} // namespace

struct HttpServer::Impl {
    Address address;
    HttpLimits limits;
    Handle handle;
    MHD_Daemon *daemon = nullptr;

    static MHD_Result onData(void *self,
                             MHD_Connection *connection,
                             const char *url,
                             const char *method,
                             const char *version,
                             const char *data,
                             std::size_t *size,
                             void **state);
    static void onEnd(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);
};

// Called once for the headers, then for each piece of the body, then with size 0.
MHD_Result HttpServer::Impl::onData(void *self,
                                    MHD_Connection *connection,
                                    const char *url,
                                    const char *method,
                                    const char * /*version*/,
                                    const char *data,
                                    std::size_t *size,
                                    void **state)
{
    const Impl &impl = *static_cast<const Impl *>(self);
    if (*state == nullptr) {
        *state = new Incoming{{method, url, {}}, false};
        return MHD_YES;
    }
    Incoming &incoming = *static_cast<Incoming *>(*state);
    if (*size > 0) {
        incoming.isTooLarge = incoming.isTooLarge || incoming.request.body.size() + *size > impl.limits.bodyBytes;
        if (!incoming.isTooLarge) {
            incoming.request.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (incoming.isTooLarge) {
        return sendReply(connection, {MHD_HTTP_CONTENT_TOO_LARGE, "text/plain", "body over its limit\n"});
    }
    return sendReply(connection, guarded(impl.handle, incoming.request));
}

void HttpServer::Impl::onEnd(void * /*self*/,
                             MHD_Connection * /*connection*/,
                             void **state,
                             MHD_RequestTerminationCode /*code*/)
{
    delete static_cast<Incoming *>(*state);
    *state = nullptr;
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    MHD_stop_daemon(impl_->daemon);
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const Address &address, const HttpLimits &limits, Handle handle)
{
    std::unique_ptr<Impl> impl = std::make_unique<Impl>();
    impl->address = address;
    impl->limits = limits;
    impl->handle = std::move(handle);
    const sockaddr_in where = socketAddress(address);
    impl->daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL,
                                    address.port,
                                    nullptr,
                                    nullptr,
                                    &Impl::onData,
                                    impl.get(),
                                    MHD_OPTION_SOCK_ADDR,
                                    &where,
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    limits.connections,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    limits.idleSeconds,
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                    limits.headerBytes,
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    &Impl::onEnd,
                                    nullptr,
                                    MHD_OPTION_END);
    if (impl->daemon == nullptr) {
        return Error{Errc::Unavailable, Step::Settings, address.toString(), std::strerror(errno)};
    }
    const MHD_DaemonInfo *info = MHD_get_daemon_info(impl->daemon, MHD_DAEMON_INFO_BIND_PORT);
    if (info != nullptr) {
        impl->address.port = info->port;
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

const Address &HttpServer::address() const noexcept
{
    return impl_->address;
}

} // namespace sassafrasvane::detail
