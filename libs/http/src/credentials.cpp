#include "http/credentials.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sassafrasvane::http
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

} // namespace

Credentials credentialsOf(const Headers &headers, std::string_view scheme)
{
    const std::pair<Headers::const_iterator, Headers::const_iterator> fields
        = headers.equal_range(beast_http::field::authorization);
    Credentials credentials;
    credentials.isPresent = fields.first != fields.second;
    if (!credentials.isPresent || std::next(fields.first) != fields.second) {
        return credentials;
    }
    const std::string_view value = trimmed(fromView(fields.first->value()));
    const std::size_t end = value.find(' ');
    if (end != std::string_view::npos && boost::beast::iequals(toView(value.substr(0, end)), toView(scheme))) {
        credentials.token = trimmed(value.substr(end));
    }
    return credentials;
}

} // namespace sassafrasvane::http
