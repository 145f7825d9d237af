#pragma once

#include "base/error.h"
#include "wire/peermessages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Frames on a TCP link between daemons: a length of four bytes, big endian, and a MessagePack array.

namespace sassafrasvane
{

/// Largest body of a frame, in bytes.
inline constexpr std::size_t maxFrameSize = std::size_t{8} * 1024 * 1024;

/// Maximum size of a frame from a peer that has not proved who it is, in bytes.
inline constexpr std::size_t maxHandshakeFrameSize = std::size_t{4} * 1024;

/// Bytes of the length in front of each frame.
inline constexpr std::size_t frameHeaderSize = 4;

/// \return \p message as one frame with its length.
std::string encodeFrame(const PeerMessage &message);

/// Decodes the body of a frame.
/// \return the message, or Errc::BadMessage with what is wrong. Never throws.
Result<PeerMessage> decodeBody(std::string_view body);

/// Cuts a byte stream into frames.
///
/// \code
/// reader.append(bytes);
/// while (std::optional<Result<PeerMessage>> message = reader.next()) { ... }
/// \endcode
class FrameReader
{
public:
    /// Takes bytes as they arrive.
    void append(std::string_view bytes);

    /// The next whole message, an error after which the link must be closed, or nothing until more bytes arrive.
    /// \param maxSize maximum size of the message's frame, in bytes.
    std::optional<Result<PeerMessage>> next(std::size_t maxSize = maxFrameSize);

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace sassafrasvane
