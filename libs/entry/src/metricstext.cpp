#include "metricstext.h"

#include "observe/metricwriter.h"

#include <string_view>

namespace sassafrasvane::detail
{

namespace
{

void add(std::string &text, const std::string &name, std::string_view type, std::uint64_t value)
{
    MetricWriter(text, "sassafrasvane_" + name, {}, type).line({}, value);
}

void addEnds(std::string &text, const EntryCounters &counters)
{
    MetricWriter writer(text, "sassafrasvane_requests_total", {}, "counter");
    for (std::size_t end = 0; end < counters.endCounts.size(); ++end) {
        writer.line(labelText({{"end", name(static_cast<GatherEnd>(end))}}), counters.endCounts.at(end));
    }
}

// Calls to searchers that state a rate limit.
void addLimitedCalls(std::string &text, const EntryCounters &counters)
{
    MetricWriter writer(text, "sassafrasvane_calls_to_limited_searchers_total", {}, "counter");
    for (std::size_t purpose = 0; purpose < counters.limitedCalls.size(); ++purpose) {
        writer.line(labelText({{"purpose", name(static_cast<CallPurpose>(purpose))}}),
                    counters.limitedCalls.at(purpose));
    }
}

// Requests that were refused because of their tenant.
void addTenantRefusals(std::string &text, const EntryCounters &counters)
{
    MetricWriter writer(text, "sassafrasvane_requests_refused_total", {}, "counter");
    for (std::size_t fault = 0; fault < counters.keyFaults.size(); ++fault) {
        writer.line(labelText({{"reason", name(static_cast<KeyFault>(fault))}}), counters.keyFaults.at(fault));
    }
    writer.line(labelText({{"reason", "over_quota"}}), counters.overQuota);
}

// Tenants without series of their own in tenantRequests have none here, which bounds the number of series.
void addQuotaLevels(std::string &text, const EntryServer &entry)
{
    const std::vector<TenantUsage> usage = entry.tenantUsage(BootClock::now());
    if (usage.empty()) {
        return;
    }
    MetricWriter writer(text, "sassafrasvane_tenant_quota_level", {}, "gauge");
    for (const TenantUsage &tenant : usage) {
        if (entry.counters().tenantRequests.hasName(tenant.tenant)) {
            writer.line(labelText({{"tenant", tenant.tenant}}), tenant.level);
        }
    }
}

// Clients of all listeners.
void addClients(std::string &text, const EntryHttpServers &servers)
{
    const http::ServerCounters counters = servers.counters();
    const http::RequestMemory &memory = servers.requestMemory();
    add(text, "client_connections_open", "gauge", counters.openConnections);
    add(text, "client_connections_refused_total", "counter", counters.refusedConnections);
    add(text, "client_connections_expired_total", "counter", counters.expiredRequests);
    add(text, "request_heads_refused_total", "counter", counters.refusedHeads);
    add(text, "request_bytes_held", "gauge", memory.used());
    add(text, "request_bytes_limit", "gauge", memory.limits().bytes);
    add(text, "requests_without_memory_total", "counter", memory.counters().refusals);
    MetricWriter closed(text, "sassafrasvane_clients_closed_total", {}, "counter");
    closed.line(labelText({{"reason", "memory"}}), memory.counters().shedForMemory);
    closed.line(labelText({{"reason", "connections"}}), memory.counters().shedForConnections);
}

// Calls by the reason of the choice of their searcher.
void addChoices(std::string &text, const EntryCounters &counters)
{
    MetricWriter writer(text, "sassafrasvane_calls_to_searchers_total", {}, "counter");
    for (std::size_t reason = 0; reason < choiceReasonCount; ++reason) {
        const char *reasonName = name(static_cast<ChoiceReason>(reason));
        writer.line(labelText({{"domain", "local"}, {"choice", reasonName}}), counters.localCalls.at(reason));
        writer.line(labelText({{"domain", "other"}, {"choice", reasonName}}), counters.remoteCalls.at(reason));
    }
}

} // namespace

std::string metricsText(const MetricsSources &sources)
{
    const EntryCounters &counters = sources.entry.counters();
    const http::ServerCounters server = sources.servers.callers().counters();
    std::string text;
    addEnds(text, counters);
    addLimitedCalls(text, counters);
    addTenantRefusals(text, counters);
    counters.tenantRequests.appendText(text);
    addQuotaLevels(text, sources.entry);
    addChoices(text, counters);
    counters.latencies.appendText(text);
    sources.dispatcher.latencies().appendText(text);
    add(text, "requests_abandoned_total", "counter", counters.abandoned);
    add(text, "requests_unrouted_total", "counter", counters.unrouted);
    add(text, "requests_unconfigured_total", "counter", counters.unconfigured);
    add(text, "requests_malformed_total", "counter", counters.malformed + server.malformedRequests);
    add(text, "requests_overloaded_total", "counter", counters.overloaded);
    add(text, "requests_barred_total", "counter", counters.barred);
    add(text, "requests_refused_stopping_total", "counter", counters.stopping);
    add(text, "requests_suspected", "gauge", sources.crashes.suspectCount());
    add(text, "requests_open", "gauge", sources.entry.openRequests());
    add(text, "calls_open", "gauge", sources.dispatcher.openCalls());
    add(text, "requests_waiting", "gauge", sources.entry.waitingRequests());
    add(text, "calls_waiting", "gauge", sources.entry.waitingCalls());
    add(text, "caller_connections_open", "gauge", server.openConnections);
    add(text, "caller_connections_total", "counter", server.accepted);
    addClients(text, sources.servers);
    add(text, "searcher_connections_open", "gauge", sources.dispatcher.connections().openConnections());
    add(text, "searcher_connections_total", "counter", sources.dispatcher.connections().totalOpenedConnections());
    add(text, "searcher_connections_held", "gauge", sources.responses.readers());
    add(text, "searchers", "gauge", sources.state.searcherCount());
    add(text, "searchers_limited", "gauge", sources.pool.limitedSearchers().size());
    add(text, "searchers_leaving", "gauge", sources.pool.leavingCount());
    add(text, "searchers_paused", "gauge", sources.pool.pausedCount(BootClock::now()));
    add(text, "configuration_version", "gauge", sources.state.routes() ? sources.state.routes()->version() : 0);
    add(text, "store_epoch", "gauge", sources.state.position().epoch);
    add(text, "store_revision", "gauge", sources.state.position().revision);
    add(text, "store_calls_total", "counter", sources.store.calls());
    add(text, "store_connected", "gauge", sources.store.isConnected() ? 1 : 0);
    add(text, "members_reachable", "gauge", sources.peers.reachableCount());
    add(text, "log_lines_dropped_total", "counter", sources.log.droppedLines());
    add(text, "response_bytes_held", "gauge", sources.responses.used());
    add(text, "responses_without_memory_total", "counter", sources.responses.refusals());
    add(text, "unexpected_errors_total", "counter", sources.log.unexpectedErrors());
    return text;
}

} // namespace sassafrasvane::detail
