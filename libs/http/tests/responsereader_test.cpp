#include "http/responsereader.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <string>

using namespace sassafrasvane;
using State = http::ResponseReader::State;

namespace
{

constexpr std::size_t mebibyte = 1'048'576;

struct ReaderFixture {
    http::ResponseMemory memory{32 * mebibyte};
    http::ResponseReader reader{memory};

    ReaderFixture() { reader.begin({}, nullptr); }

    /// Passes \p text in pieces of \p size bytes, as a connection would: bytes that were not consumed are passed again.
    /// \return the number of bytes taken from \p text, rounded up to whole pieces.
    std::size_t feed(const std::string &text, std::size_t size)
    {
        std::string unread;
        std::size_t begin = 0;
        while (begin < text.size() && reader.state() == State::Reading) {
            unread += text.substr(begin, size);
            begin += size;
            unread.erase(0, reader.put(unread));
        }
        return begin;
    }
};

/// A chunk of the chunked transfer coding; \p size must be 65536, the size in its header.
std::string chunk(std::size_t size)
{
    return "10000\r\n" + std::string(size, 'x') + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(responseIsReadInPiecesOfAnySize)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n";
    for (const std::size_t size : {std::size_t{1}, std::size_t{2}, std::size_t{7}, text.size()}) {
        ReaderFixture fixture;
        fixture.feed(text, size);
        BOOST_REQUIRE((fixture.reader.state() == State::Complete));
        BOOST_TEST(fixture.reader.release().body() == "abcde");
    }
}

BOOST_AUTO_TEST_CASE(noMemoryIsReservedForALengthOverTheLimit)
{
    for (const char *length : {"8388609", "99999999999", "9223372036854775808", "18446744073709551615"}) {
        ReaderFixture fixture;
        fixture.feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nbody", 1'000);
        BOOST_TEST((fixture.reader.state() == State::Failed), length);
    }
}

BOOST_AUTO_TEST_CASE(bytesWithoutEndAreCutOff)
{
    constexpr std::size_t offered = 20 * mebibyte;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    std::string chunks;
    std::string informational;
    while (chunks.size() < offered) {
        chunks += chunk(65'536);
    }
    for (int count = 0; count < 1'000; ++count) {
        informational += "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    const std::string endless(offered, 'y');
    const std::vector<std::string> streams{
        head + "X: " + endless,
        head + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
        head + "Transfer-Encoding: chunked\r\n\r\n5;" + endless,
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\nT: " + endless,
        head + "\r\n" + endless,
        "HTTP/1.1 " + endless,
        informational,
    };
    for (const std::string &stream : streams) {
        ReaderFixture fixture;
        const std::size_t read = fixture.feed(stream, 16'384);
        BOOST_TEST((fixture.reader.state() == State::Failed), stream.substr(0, 60));
        BOOST_TEST(read <= 9 * mebibyte, stream.substr(0, 60));
    }
}

BOOST_AUTO_TEST_CASE(memoryOfManyResponsesIsBounded)
{
    constexpr std::size_t limit = 32 * mebibyte;
    http::ResponseMemory memory(limit);
    std::vector<std::unique_ptr<http::ResponseReader>> readers;
    for (int count = 0; count < 40; ++count) {
        readers.push_back(std::make_unique<http::ResponseReader>(memory));
        readers.back()->begin({}, nullptr);
        readers.back()->put("HTTP/1.1 200 OK\r\n\r\n");
    }
    const std::string piece(16'384, 'x');
    std::size_t peak = 0;
    for (int round = 0; round < 1'000; ++round) {
        for (const std::unique_ptr<http::ResponseReader> &reader : readers) {
            reader->put(piece);
        }
        peak = std::max(peak, memory.used());
    }
    BOOST_TEST(peak <= limit);
    // A response of ordinary size is still accepted while the others use as much memory as they can.
    http::ResponseReader ordinary(memory);
    ordinary.begin({}, nullptr);
    ordinary.put("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
    BOOST_TEST((ordinary.state() == State::Complete));
    readers.clear();
}

// Guards against heads and trailers of many servers that take the memory which only bodies were counted against.
BOOST_AUTO_TEST_CASE(fieldsAndBytesThatWaitToBeParsedCountAsMemory)
{
    std::string fields;
    constexpr std::size_t fieldCount = 6'000;
    for (std::size_t count = 0; count < fieldCount; ++count) {
        fields += "a:\r\n";
    }
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    const std::vector<std::string> streams{
        chunked + fields + "\r\n1\r\n",
        chunked + "\r\n0\r\n" + fields,
        chunked + "\r\n0\r\n" + fields + "\r\n",
        chunked + "X: " + std::string(20'000, 'y'),
    };
    for (const std::string &stream : streams) {
        http::ResponseMemory memory(mebibyte);
        std::list<http::ResponseReader> readers;
        std::size_t granted = 0;
        for (int count = 0; count < 100; ++count) {
            readers.emplace_back(memory).begin({}, nullptr);
            readers.back().put(stream);
            granted += readers.back().state() != State::Failed ? 1 : 0;
        }
        BOOST_TEST(granted * 20'000 <= mebibyte);
        BOOST_TEST(memory.refusals() > 0U);
        readers.clear();
        BOOST_TEST(memory.used() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(memoryIsGivenBackWithTheResponse)
{
    ReaderFixture fixture;
    fixture.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", 100);
    BOOST_REQUIRE((fixture.reader.state() == State::Complete));
    // The body, and the name and value of the field at least.
    const std::size_t used = fixture.memory.used();
    BOOST_TEST(used >= 4U + std::string("Content-Length4").size());
    BOOST_TEST(used < 1'000U);
    {
        const http::MemoryLease lease = fixture.reader.releaseLease();
        fixture.reader.begin({}, nullptr);
        BOOST_TEST(fixture.memory.used() == used);
    }
    BOOST_TEST(fixture.memory.used() == 0U);
}

BOOST_AUTO_TEST_CASE(truncatedResponseFails)
{
    for (const char *text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfour",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Le"}) {
        ReaderFixture fixture;
        fixture.feed(text, 1'000);
        fixture.reader.putEof();
        BOOST_TEST((fixture.reader.state() == State::Failed), text);
    }
}

// Guards against responses that end in the middle of their headers and are taken for empty or short ones.
BOOST_AUTO_TEST_CASE(responseThatEndsAtAnyByteBeforeItsEndFails)
{
    const std::string informational = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX: y\r\n";
    for (const std::string &text : {head + "Content-Length: 12\r\n\r\ntwelve bytes",
                                    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nT: z\r\n\r\n",
                                    informational + head + "Content-Length: 0\r\n\r\n"}) {
        for (std::size_t size = 0; size < text.size(); ++size) {
            for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, text.size()}) {
                ReaderFixture fixture;
                fixture.feed(text.substr(0, size), piece);
                fixture.reader.putEof();
                BOOST_TEST((fixture.reader.state() == State::Failed), text.substr(0, size));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(filterSeesInformationalResponses)
{
    http::ResponseMemory memory(1'000'000);
    http::ResponseReader reader(memory);
    std::vector<unsigned> seen;
    reader.begin({}, [&seen](const http::Response &response) {
        seen.push_back(response.result_int());
        return true;
    });
    reader.put("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST((reader.state() == State::Complete));
    BOOST_TEST((seen == std::vector<unsigned>{103, 200}));
}

// A response without a length ends with its connection, but not in its headers.
BOOST_AUTO_TEST_CASE(responseWithoutLengthNeedsAllItsHeaders)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t size = 0; size <= head.size(); ++size) {
        ReaderFixture fixture;
        fixture.feed(head.substr(0, size), 5);
        fixture.reader.putEof();
        const bool isWhole = size == head.size();
        BOOST_TEST((fixture.reader.state() == (isWhole ? State::Complete : State::Failed)), head.substr(0, size));
    }
}

// Guards against numbers that are no status: one below 200 was skipped like an informational response, so that the
// call waited for another response until its deadline, and one above 599 was passed on as the answer.
BOOST_AUTO_TEST_CASE(responseWithAnInvalidStatusFailsAtItsHead)
{
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        for (const std::size_t size : {std::size_t{1}, std::size_t{1'000}}) {
            bool isShown = false;
            http::ResponseMemory memory(1'000'000);
            http::ResponseReader reader(memory);
            reader.begin({}, [&isShown](const http::Response &) { return isShown = true; });
            const std::string head = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 4\r\n\r\n";
            std::string unread;
            for (std::size_t begin = 0; begin < head.size() && reader.state() == State::Reading; begin += size) {
                unread += head.substr(begin, size);
                unread.erase(0, reader.put(unread));
            }
            BOOST_TEST((reader.state() == State::Failed), status);
            BOOST_TEST(!isShown, status);
        }
    }
}

// Guards against status lines that are nearly valid.
BOOST_AUTO_TEST_CASE(responseWithAMalformedStatusLineFails)
{
    for (const char *line : {"HTTP/1.1 20 X",
                             "HTTP/1.1 2000 X",
                             "HTTP/1.1 -20 X",
                             "HTTP/1.1 2x0 X",
                             "HTTP/2.0 200 X",
                             "HTTP/1.1  200 X",
                             "200 OK"}) {
        ReaderFixture fixture;
        fixture.feed(std::string(line) + "\r\nContent-Length: 0\r\n\r\n", 1'000);
        BOOST_TEST((fixture.reader.state() == State::Failed), line);
    }
}
