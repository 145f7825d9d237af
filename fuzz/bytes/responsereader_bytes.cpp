#include "bytes.h"

#include "http/responsereader.h"

#include <string>

/// \file
/// Any bytes as the answer of a server, at once and byte by byte: both must be read alike, within the memory granted.

namespace
{

using namespace sassafrasvane;
using State = http::ResponseReader::State;

constexpr std::size_t memoryBytes = 16'777'216;

struct Reading {
    State state = State::Failed;
    std::string body;
};

Reading read(std::string_view bytes, std::size_t pieceSize)
{
    http::ResponseMemory memory(memoryBytes);
    http::ResponseReader reader(memory);
    reader.begin({}, nullptr);
    std::string unread;
    for (std::size_t begin = 0; begin < bytes.size() && reader.state() == State::Reading; begin += pieceSize) {
        unread += bytes.substr(begin, pieceSize);
        unread.erase(0, reader.put(unread));
        check(memory.used() <= memoryBytes);
    }
    if (reader.state() == State::Reading) {
        reader.putEof();
    }
    return {reader.state(), reader.state() == State::Complete ? reader.release().body() : std::string()};
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = textOf(data, size);
    const Reading whole = read(bytes, std::max<std::size_t>(1, size));
    const Reading pieces = read(bytes, 1);
    check(whole.state == pieces.state && whole.body == pieces.body);
    return 0;
}
