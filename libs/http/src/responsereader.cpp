#include "http/responsereader.h"

#include "headermemory.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <exception>

namespace sassafrasvane::http
{

namespace
{

/// Maximum size of the status line and the headers, in bytes.
constexpr std::uint32_t maxHeaderBytes = 32'768;
/// Maximum number of bytes that are buffered until they can be parsed: a chunk header or a trailer could be endless.
constexpr std::size_t maxUnparsedBytes = 65'536;
/// Maximum number of responses that one call drops, informational ones included.
constexpr unsigned maxDroppedResponses = 8;
/// Statuses outside this range do not exist (RFC 9110, section 15).
constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;
/// Responses with a lower status are informational.
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned switchingProtocols = 101;

// No call asks for another protocol, so that a server that switches to one sends no HTTP from then on.
bool isExpectedStatus(unsigned status) noexcept
{
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

} // namespace

ResponseReader::ResponseReader(ResponseMemory &memory) : memory_(memory)
{
    memory_.addReader();
}

void ResponseReader::begin(const ResponseConstraints &constraints, ResponseFilter filter)
{
    constraints_ = constraints;
    filter_ = std::move(filter);
    droppedResponses_ = 0;
    failure_ = Errc::BadMessage;
    beginResponse();
}

void ResponseReader::end() noexcept
{
    state_ = State::Failed;
    filter_ = nullptr;
    parser_.reset();
    lease_ = MemoryLease();
}

void ResponseReader::beginResponse()
{
    state_ = State::Reading;
    lease_ = MemoryLease(memory_);
    fieldBytes_ = 0;
    bodyBytes_ = 0;
    unparsedBytes_ = 0;
    parser_.emplace();
    // Parses the headers alone first: the parser allocates memory for any Content-Length, so it is checked before the
    // body.
    parser_->eager(false);
    parser_->header_limit(maxHeaderBytes);
    parser_->body_limit(constraints_.maxBodyBytes);
    parser_->skip(constraints_.hasNoBody);
}

std::size_t ResponseReader::put(std::string_view bytes)
{
    std::size_t used = 0;
    unparsedBytes_ = 0;
    try {
        while (state_ == State::Reading && used < bytes.size()) {
            const std::size_t taken = putSome(bytes.substr(used));
            used += taken;
            if (taken == 0) {
                break;
            }
        }
        unparsedBytes_ = bytes.size() - used;
        if (state_ == State::Reading && unparsedBytes_ > maxUnparsedBytes) {
            state_ = State::Failed;
        } else if (state_ == State::Reading && !reserve()) {
            failure_ = Errc::TooLarge;
            state_ = State::Failed;
        }
    } catch (const std::exception &) {
        // An allocation failed or the parser threw: either way there is no response.
        state_ = State::Failed;
    }
    return used;
}

std::size_t ResponseReader::putSome(std::string_view bytes)
{
    boost::system::error_code error;
    const std::size_t used = parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    const bool hasBadStatus = parser_->is_header_done() && !isExpectedStatus(parser_->get().result_int());
    const bool isMalformed = hasBadStatus || (error && error != beast_http::error::need_more);
    if (error == beast_http::error::body_limit || (!isMalformed && !checkConstraints())) {
        failure_ = Errc::TooLarge;
        state_ = State::Failed;
        return used;
    }
    if (isMalformed) {
        state_ = State::Failed;
        return used;
    }
    if (parser_->is_done()) {
        endResponse();
    }
    return used;
}

bool ResponseReader::checkConstraints()
{
    if (!parser_->is_header_done()) {
        return true;
    }
    parser_->eager(true);
    // The fields change at the end of the head and of the trailers only.
    if (fieldBytes_ == 0 || parser_->is_done()) {
        fieldBytes_ = detail::memoryOf(parser_->get());
    }
    const bool hasLength = !constraints_.hasNoBody && parser_->content_length().has_value();
    const std::uint64_t length = hasLength ? *parser_->content_length() : 0;
    const std::uint64_t size = std::max<std::uint64_t>(length, parser_->get().body().size());
    bodyBytes_ = static_cast<std::size_t>(size);
    return size <= constraints_.maxBodyBytes && reserve();
}

bool ResponseReader::reserve() noexcept
{
    return lease_.resize(fieldBytes_ + bodyBytes_ + unparsedBytes_);
}

void ResponseReader::endResponse()
{
    const bool isInformational = parser_->get().result_int() < firstFinalStatus;
    const bool isAccepted = !filter_ || filter_(parser_->get());
    const bool isDropped = isInformational || !isAccepted;
    if (!isDropped) {
        state_ = State::Complete;
        return;
    }
    const bool canReadNext = isInformational || parser_->keep_alive();
    if (!canReadNext || ++droppedResponses_ > maxDroppedResponses) {
        state_ = State::Failed;
        return;
    }
    beginResponse();
}

void ResponseReader::putEof()
{
    const bool isDelimitedByEof = state_ == State::Reading && parser_->is_header_done() && parser_->need_eof();
    state_ = State::Failed;
    if (!isDelimitedByEof) {
        return;
    }
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
        endResponse();
    }
}

} // namespace sassafrasvane::http
