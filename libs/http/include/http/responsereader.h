#pragma once

#include "http/message.h"
#include "http/responsememory.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

/// \file
/// Reads the response to one call out of the bytes of a connection.

namespace sassafrasvane::http
{

/// Decides whether a response belongs to the call; one of an earlier call may come late.
using ResponseFilter = std::function<bool(const Response &response)>;

/// What a call allows its response.
struct ResponseConstraints {
    /// True if the request was HEAD: the response names the length of a body that it does not have.
    bool hasNoBody = false;
    /// Most bytes of body.
    std::uint64_t maxBodyBytes = 8'388'608;
};

/// Takes bytes in pieces of any size until one whole response is there.
///
/// Informational responses, and those that the filter does not accept, are dropped, a few of them. A response that is
/// malformed, larger than its terms or than the memory grants, or that follows too many others, fails the call.
/// No exception leaves the reader, and no memory is reserved for a length before it was checked.
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
        Complete, ///< A response is there.
        Failed,   ///< What came is no response to the call.
    };

    /// \param memory bounds the bodies; must outlive the reader and its leases.
    explicit ResponseReader(ResponseMemory &memory);

    /// Starts the response of the next call.
    void begin(const ResponseConstraints &constraints, ResponseFilter filter);

    /// Takes \p bytes. \return how many were used; those after a whole response are not.
    std::size_t put(std::string_view bytes);

    /// Notes that the server has closed the connection in good order, which ends a response without a length.
    void putEof();

    State state() const noexcept { return state_; }

    /// True if the response allows another call on the connection. For a whole response only.
    bool isKeptAlive() const { return parser_->keep_alive(); }

    /// The whole response. To be called once.
    Response release() { return parser_->release(); }

    /// The memory that the response takes. To be called once.
    MemoryLease releaseLease() { return std::move(lease_); }

private:
    using Parser = beast_http::response_parser<beast_http::string_body>;

    void beginResponse();
    std::size_t putSome(std::string_view bytes);
    bool checkConstraints() noexcept;
    void endResponse();

    ResponseMemory &memory_;
    ResponseConstraints constraints_;
    ResponseFilter filter_;
    std::optional<Parser> parser_;
    MemoryLease lease_;
    unsigned droppedResponses_ = 0;
    State state_ = State::Failed;
};

} // namespace sassafrasvane::http
