#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "catalog/searcherentry.h"
#include "catalog/storefollower.h"
#include "http/message.h"
#include "placement/trackedsearcher.h"
#include "routing/configuration.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// How an entry process speaks with callers, searchers and the store. The names and formats are the deployment's; an
/// adapter supplies them as functions that translate and decide nothing.

namespace sassafrasvane
{

/// What a request says of itself beside method, target and body.
struct CallerTerms {
    /// Identifies one attempt of the caller; empty if the request has none.
    std::string requestId;
    /// How long the caller waits; nothing if it does not say.
    std::optional<Duration> patience;
};

/// What a searcher's response says beside status and body.
struct SearcherReply {
    /// The request that the response answers; empty if it does not say.
    std::string requestId;
    /// Shows that the searcher ran the request; empty if there is none.
    std::string proof;
    /// The searcher says that it has not run the request and never will.
    bool isNotRun = false;
    /// Another searcher than the addressed one has answered, and has not run the request.
    bool isWrongSearcher = false;
    /// The body is encoded, so that it is not the searcher's.
    bool isEncoded = false;
    std::optional<LoadReport> load;
    /// How long the searcher keeps the idle connection.
    std::optional<Duration> idleTimeout;
};

/// A request for the list of entry VMs.
struct DirectoryQuestion {
    std::string failureDomain;
    std::string region;
};

/// A failure domain that takes no calls.
struct DomainOut {
    std::string failureDomain;
};

/// A registration of a searcher that cannot be read.
struct UnreadableSearcher {
    std::string instance;
    std::string reason;
};

/// An item that means nothing here.
struct IgnoredItem {
};

/// A configuration that cannot be read.
struct UnreadableConfiguration {
    std::string reason;
};

/// What an item of the store says.
using PublishedItem = std::
    variant<IgnoredItem, RoutingConfiguration, SearcherEntry, DomainOut, UnreadableSearcher, UnreadableConfiguration>;

/// The translations that an adapter supplies.
struct EntryProtocol {
    /// Prefixes of the keys that are followed in the store.
    std::vector<std::string> storePrefixes;

    std::function<CallerTerms(const http::Request &request)> readCallerTerms;
    /// Turns a copy of the caller's request into a call of the searcher \p instance.
    std::function<void(http::Request &call, Duration timeLeft, std::string_view instance)> addressCall;
    std::function<SearcherReply(const http::Response &response)> readSearcherReply;
    /// Names the parts of a merged answer by their proofs, and the number of shards that are not in it.
    std::function<void(http::Response &response, std::span<const std::string_view> proofs, std::size_t missing)>
        writeCoverage;

    /// \return nothing if the request does not ask for the list of entry VMs.
    std::function<std::optional<DirectoryQuestion>(const http::Request &request)> readDirectoryQuestion;
    std::function<http::Response(std::span<const Address> addresses, Duration lifetime)> writeDirectoryAnswer;

    std::function<http::Request(const StoreCall &call)> writeStoreCall;
    std::function<Result<StorePage>(const http::Response &response)> readStorePage;
    std::function<Result<StoreChanges>(const http::Response &response)> readStoreChanges;
    /// The failure that a response of the store tells of; nothing if it carries what was asked for.
    std::function<std::optional<StoreFailure>(const http::Response &response)> readStoreFailure;
    std::function<PublishedItem(const StoreItem &item)> readItem;
};

} // namespace sassafrasvane
