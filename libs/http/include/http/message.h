#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string_view>

/// \file
/// HTTP messages as the event loop's server and client pass them.

namespace sassafrasvane::http
{

namespace beast_http = boost::beast::http;

/// Header fields of a message.
using Headers = beast_http::fields;

/// A whole request with its body in memory.
using Request = beast_http::request<beast_http::string_body>;

/// A whole response with its body in memory.
using Response = beast_http::response<beast_http::string_body>;

/// \p text as the view type of the HTTP library.
inline boost::beast::string_view toView(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/// \p text as a standard view.
inline std::string_view fromView(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/// The value of header \p name, empty if there is none.
inline std::string_view headerOf(const Headers &headers, std::string_view name)
{
    const Headers::const_iterator found = headers.find(toView(name));
    return found == headers.end() ? std::string_view() : fromView(found->value());
}

} // namespace sassafrasvane::http
