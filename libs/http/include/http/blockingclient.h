#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "http/responsereader.h"

#include <atomic>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Calls a server from a thread that waits for the response.

namespace sassafrasvane::http
{

/// The limits of a BlockingClient.
struct BlockingClientLimits {
    /// Time in which a connection must open.
    Duration connectTimeout{0};
    /// Maximum size of a response's body, in bytes.
    std::uint64_t maxBodyBytes = 0;
};

/// One kept connection to a server, opened when it is needed, for a thread that makes one call at a time.
///
/// A call ends at its deadline, however slowly the server sends, and a response is bounded in head, body and trailers
/// as in ResponseReader.
///
/// \code
/// BlockingClient client(address, memory, {300ms, 1'048'576});
/// const Result<Response> response = client.call(request, BootClock::now() + 100ms);
/// \endcode
class BlockingClient
{
public:
    /// \param memory bounds the responses of all clients together; must outlive the client.
    BlockingClient(const Address &server, ResponseMemory &memory, const BlockingClientLimits &limits);
    ~BlockingClient();
    BlockingClient(const BlockingClient &) = delete;
    BlockingClient &operator=(const BlockingClient &) = delete;

    /// Sends a request and waits for its response.
    /// \return the response, or Errc::ConnectFailed (nothing was sent), Errc::ConnectionLost, Errc::Timeout,
    /// Errc::BadMessage or Errc::TooLarge; the connection is closed then.
    Result<Response> call(const Request &request, TimePoint deadline);

    /// Ends the call in flight, and all later ones, with Errc::ConnectionLost. Callable from any thread.
    void stop() noexcept { isStopped_ = true; }

private:
    bool isUsable() const noexcept;
    // The steps of a call. Each returns why it failed, or nothing.
    std::optional<Errc> open(TimePoint deadline);
    std::optional<Errc> send(std::string_view bytes, TimePoint deadline);
    std::optional<Errc> receive(TimePoint deadline);
    std::optional<Errc> receiveSome();
    std::optional<Errc> wait(short events, TimePoint deadline) const;
    std::optional<Errc> exchange(const Request &request, TimePoint deadline);
    void close() noexcept;

    Address server_;
    ResponseReader reader_;
    BlockingClientLimits limits_;
    /// The socket; -1 without a connection.
    int socket_ = -1;
    /// Bytes received that are not parsed yet.
    std::string unparsed_;
    std::atomic<bool> isStopped_{false};
};

} // namespace sassafrasvane::http
