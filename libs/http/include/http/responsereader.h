#pragma once

#include "base/error.h"
#include "http/message.h"
#include "http/responsememory.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

/// \file
/// Parses the response to a call from the bytes received on a connection.

namespace sassafrasvane::http
{

/// Returns true if a response belongs to the call. The response to an earlier call may arrive late. Informational
/// responses (1xx) are shown, too; what is returned for them has no effect.
using ResponseFilter = std::function<bool(const Response &response)>;

/// The constraints that a call puts on its response.
struct ResponseConstraints {
    /// True if the request was HEAD: the response may have a Content-Length, but has no body.
    bool hasNoBody = false;
    /// Maximum size of the body, in bytes.
    std::uint64_t maxBodyBytes = 8'388'608;
};

/// Parses bytes, in pieces of any size, until one response is complete.
///
/// Informational responses and responses that the filter rejects are dropped, up to a fixed number. The call fails if a
/// response is malformed, has a status outside 100 to 599 or switches protocols, exceeds the constraints or the
/// available memory, or if too many responses were dropped before it. No exception leaves put(), and a Content-Length
/// is checked before memory is allocated for it. The header and trailer fields and the bytes that wait to be parsed
/// count as memory of the response, too: many servers may send heads slowly and at the same time.
///
/// \code
/// ResponseReader reader(memory);
/// reader.begin(constraints, filter);
/// const std::size_t used = reader.put(bytes);
/// if (reader.state() == ResponseReader::State::Complete) { ... reader.release() ... }
/// \endcode
class ResponseReader
{
public:
    enum class State {
        Reading,  ///< More bytes are needed.
        Complete, ///< The response is complete.
        Failed,   ///< The bytes received are not an acceptable response.
    };

    /// \param memory limits the size of the bodies; must outlive the reader and its leases.
    explicit ResponseReader(ResponseMemory &memory);
    ~ResponseReader() { memory_.removeReader(); }
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    /// Prepares the reader for the response to the next call.
    /// \param filter selects the response that belongs to the call; if null, any response is accepted.
    void begin(const ResponseConstraints &constraints, ResponseFilter filter);

    /// Parses \p bytes. \return the number of bytes consumed. The caller passes the rest again, followed by newly
    /// received bytes; bytes after a complete response are never consumed.
    std::size_t put(std::string_view bytes);

    /// Reports that the server has closed the connection without a reset, which ends a response that has no length.
    void putEof();

    /// Ends the call: drops the filter and what was read of a response, and gives its memory back. The state is then
    /// State::Failed until begin() is called again.
    void end() noexcept;

    State state() const noexcept { return state_; }

    /// Why the call failed: Errc::TooLarge if the response exceeds the constraints or the available memory, else
    /// Errc::BadMessage. Only valid in State::Failed.
    Errc failure() const noexcept { return failure_; }

    /// True if the response allows another call on the connection. Only valid in State::Complete.
    bool isKeptAlive() const { return parser_->keep_alive(); }

    /// Moves the response out. May be called once, in State::Complete.
    Response release() { return parser_->release(); }

    /// Moves the memory reservation of the response out. May be called once, in State::Complete.
    MemoryLease releaseLease() { return std::move(lease_); }

private:
    using Parser = beast_http::response_parser<beast_http::string_body>;

    void beginResponse();
    std::size_t putSome(std::string_view bytes);
    bool checkConstraints();
    bool reserve() noexcept;
    void endResponse();

    ResponseMemory &memory_;
    ResponseConstraints constraints_;
    ResponseFilter filter_;
    std::optional<Parser> parser_;
    MemoryLease lease_;
    /// Memory of the response's fields and of its body, and bytes that were received and cannot be parsed yet.
    std::size_t fieldBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    std::size_t unparsedBytes_ = 0;
    unsigned droppedResponses_ = 0;
    State state_ = State::Failed;
    Errc failure_ = Errc::BadMessage;
};

} // namespace sassafrasvane::http
