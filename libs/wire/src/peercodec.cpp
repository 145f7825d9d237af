#include "wire/peercodec.h"

namespace sassafrasvane
{

void FrameReader::append(std::string_view bytes)
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    buffer_.append(bytes);
}

std::optional<Result<PeerMessage>> FrameReader::next(std::size_t maxSize)
{
    const std::string_view rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < frameHeaderSize) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < frameHeaderSize; ++i) {
        size = (size << 8) | static_cast<unsigned char>(rest[i]);
    }
    if (size > maxSize) {
        return Result<PeerMessage>(
            Error{Errc::BadMessage, Step::Receive, {}, "a frame of " + std::to_string(size) + " bytes is too large"});
    }
    if (rest.size() < frameHeaderSize + size) {
        return std::nullopt;
    }
    consumed_ += frameHeaderSize + size;
    return decodeBody(rest.substr(frameHeaderSize, size));
}

} // namespace sassafrasvane
