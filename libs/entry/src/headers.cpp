#include "headers.h"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <string>
#include <vector>

namespace sassafrasvane::detail
{

void removeConnectionHeaders(http::Headers &headers)
{
    using boost::beast::http::field;
    constexpr std::array<field, 9> connectionHeaders{field::connection,
                                                     field::keep_alive,
                                                     field::proxy_authenticate,
                                                     field::proxy_authorization,
                                                     field::proxy_connection,
                                                     field::te,
                                                     field::trailer,
                                                     field::transfer_encoding,
                                                     field::upgrade};
    std::vector<std::string> named;
    for (const auto &token : boost::beast::http::token_list(headers[field::connection])) {
        named.push_back(token.to_string());
    }
    for (const std::string &name : named) {
        headers.erase(name);
    }
    for (const field name : connectionHeaders) {
        headers.erase(name);
    }
}

} // namespace sassafrasvane::detail
