#include "bytes.h"

#include "wire/peercodec.h"

/// \file
/// Any bytes as the body of a frame and as a stream of frames.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::string_view bytes = textOf(data, size);
    const Result<PeerMessage> message = decodeBody(bytes);
    if (message.has_value()) {
        // What was understood says the same once encoded again.
        const std::string frame = encodeFrame(message.value());
        const Result<PeerMessage> again = decodeBody(std::string_view(frame).substr(frameHeaderSize));
        check(again.has_value() && encodeFrame(again.value()) == frame);
    }
    FrameReader reader;
    reader.append(bytes.substr(0, size / 2));
    reader.append(bytes.substr(size / 2));
    while (const std::optional<Result<PeerMessage>> next = reader.next()) {
        if (next->has_error()) {
            break;
        }
    }
    return 0;
}
