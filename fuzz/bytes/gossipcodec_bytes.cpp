#include "bytes.h"

#include "fleet/gossipcodec.h"

#include <vector>

/// \file
/// Any bytes as a datagram, as they are and with a valid digest.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::vector<std::string> keys{"key"};
    const Address self{0x0a000001, 7000};
    const Address from{0x0a000002, 7000};
    GossipCodec codec
        = GossipCodec::Builder().self(daemonId(self)).incarnation(Incarnation{5}).keys(keys).build().value();
    const std::string_view bytes = textOf(data, size);
    check(codec.decode(from, bytes).has_error());
    const std::string datagram = GossipCodec::sign(keys.front(), bytes);
    if (codec.decode(from, datagram).has_value()) {
        // The same datagram is a replay.
        check(codec.decode(from, datagram).has_error());
    }
    return 0;
}
