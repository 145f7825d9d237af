#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>

/// \file
/// HTTP message types shared by the server and the client.

namespace sassafrasvane::http
{

namespace beast_http = boost::beast::http;

/// The header fields of a message.
using Headers = beast_http::fields;

/// A complete request with its body in memory.
using Request = beast_http::request<beast_http::string_body>;

/// A complete response with its body in memory.
using Response = beast_http::response<beast_http::string_body>;

/// Converts \p text to the string view type of Boost.Beast.
inline boost::beast::string_view toView(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/// Converts \p text to a standard string view.
inline std::string_view fromView(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/// Maximum number of bytes of a value for which isFieldValue() is true. A quarter of the usual limit of a whole head.
constexpr std::size_t maxFieldValueBytes = 4'096;

/// True if \p text can be the value of a header: it is not empty and not too long, and has no control characters and
/// no blanks around it.
inline bool isFieldValue(std::string_view text) noexcept
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char del = 0x7f;
    return !text.empty() && text.size() <= maxFieldValueBytes && text.front() != ' ' && text.back() != ' '
        && std::none_of(
            text.begin(), text.end(), [](unsigned char byte) { return byte < firstPrintable || byte == del; });
}

/// The value of header \p name; empty if the header is absent. The view is valid as long as \p headers is unchanged.
inline std::string_view headerOf(const Headers &headers, std::string_view name)
{
    const Headers::const_iterator found = headers.find(toView(name));
    return found == headers.end() ? std::string_view() : fromView(found->value());
}

} // namespace sassafrasvane::http
