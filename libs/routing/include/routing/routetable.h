#pragma once

#include "routing/configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// Finds the route of a request.

namespace sassafrasvane
{

/// One configuration, indexed for lookups. Immutable, so that a request keeps the version with which it began.
///
/// \code
/// const std::shared_ptr<const RouteTable> table = RouteTable::create(std::move(configuration));
/// const RequestRoute *route = table->match("search.example", "/boards/today?page=2");
/// \endcode
class RouteTable
{
public:
    static std::shared_ptr<const RouteTable> create(RoutingConfiguration configuration);

    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// The route of \p host with the longest prefix that begins the path of \p target.
    /// \param host may carry a port and upper-case letters. \param target path with an optional query.
    /// \return nullptr if no route matches.
    const RequestRoute *match(std::string_view host, std::string_view target) const;

    /// The terms of \p backend; nullptr if the configuration does not name it.
    const BackendLimits *backend(std::string_view backend) const;

    const RoutingConfiguration &configuration() const noexcept { return configuration_; }
    std::uint64_t version() const noexcept { return configuration_.version; }

private:
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
    };
    template<typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    explicit RouteTable(RoutingConfiguration configuration);

    RoutingConfiguration configuration_;
    /// By host and prefix, which a slash separates since each prefix begins with one.
    TextMap<const RequestRoute *> routes_;
    TextMap<const BackendLimits *> backends_;
};

} // namespace sassafrasvane
