#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "catalog/searcherentry.h"
#include "catalog/storefollower.h"
#include "http/message.h"
#include "placement/selfreport.h"
#include "placement/trackedsearcher.h"
#include "routing/apikey.h"
#include "routing/configuration.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Translation between the entry process and the formats of callers, searchers and the store. Names and formats belong
/// to the deployment; an adapter supplies them as functions that only translate and make no decisions.

namespace sassafrasvane
{

/// Metadata of a caller's request beside method, target and body.
struct RequestMetadata {
    /// Identifies one attempt of the caller; empty if missing.
    std::string requestId;
    /// How long the caller waits for the response; nothing if not specified.
    std::optional<Duration> timeout;
    /// Digest of the caller's API key; nothing if the request has none or it cannot be read.
    std::optional<ApiKeyDigest> apiKey;
    /// True if the request has something in place of an API key that is not one key.
    bool isApiKeyUnreadable = false;
};

/// Metadata of a searcher's response beside status and body.
struct SearcherReply {
    /// Id of the request that the response answers; empty if missing.
    std::string requestId;
    /// Proves that the searcher ran the request; empty if missing.
    std::string stamp;
    /// True if the searcher has not run the request and never will.
    bool isNotRun = false;
    /// True if another searcher than the addressed one has responded; it has not run the request.
    bool isWrongSearcher = false;
    /// True if the body has a content encoding, so that it isn't the searcher's original body.
    bool isEncoded = false;
    std::optional<LoadReport> load;
    SelfReport selfReport;
    /// How long the searcher keeps the connection open while idle.
    std::optional<Duration> idleTimeout;
};

/// A request for the list of entry VMs.
struct DirectoryRequest {
    std::string failureDomain;
    std::string region;
};

/// A failure domain that takes no calls.
struct DomainOut {
    std::string failureDomain;
};

/// A searcher's registration that cannot be parsed.
struct UnreadableSearcher {
    std::string instance;
    std::string reason;
};

/// An item that the entry process does not use.
struct IgnoredItem {
};

/// A configuration that cannot be parsed.
struct UnreadableConfiguration {
    std::string reason;
};

/// The parsed content of an item of the store.
using PublishedItem = std::
    variant<IgnoredItem, RoutingConfiguration, SearcherEntry, DomainOut, UnreadableSearcher, UnreadableConfiguration>;

/// The translations that an adapter supplies.
struct EntryProtocol {
    /// Prefixes of the keys to follow in the store.
    std::vector<std::string> storePrefixes;

    std::function<RequestMetadata(const http::Request &request)> readRequestMetadata;
    /// The challenge in a response to a request without a valid API key (RFC 9110, 11.6.1).
    std::string apiKeyChallenge;
    /// Changes the caller's request in place: removes the API key, and whatever the caller sent as the tenant's name.
    /// Sets the name \p tenant unless it is empty.
    std::function<void(http::Request &call, std::string_view tenant)> identifyCaller;
    /// Turns a copy of the caller's request into a call to the searcher \p instance.
    std::function<void(http::Request &call, Duration timeLeft, std::string_view instance)> addressCall;
    std::function<SearcherReply(const http::Response &response)> readSearcherReply;
    /// Adds the stamps of the merged parts and the number of missing shards to \p response.
    std::function<void(http::Response &response, std::span<const std::string_view> stamps, std::size_t missing)>
        writeCoverage;

    /// \return nothing if the request does not ask for the list of entry VMs.
    std::function<std::optional<DirectoryRequest>(const http::Request &request)> readDirectoryRequest;
    std::function<http::Response(std::span<const Address> addresses, Duration lifetime)> writeDirectoryResponse;

    std::function<http::Request(const StoreCall &call)> writeStoreCall;
    std::function<Result<StorePage>(const http::Response &response)> readStorePage;
    std::function<Result<StoreChanges>(const http::Response &response)> readStoreChanges;
    /// \return the failure that a response of the store reports; nothing if the call succeeded.
    std::function<std::optional<StoreFailure>(const http::Response &response)> readStoreFailure;
    std::function<PublishedItem(const StoreItem &item)> readItem;
};

} // namespace sassafrasvane
