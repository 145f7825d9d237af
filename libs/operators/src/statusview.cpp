#include "texttable.h"
#include "views.h"

namespace sassafrasvane
{

namespace
{

using Statuses = std::vector<FromDaemon<DaemonStatus>>;

std::string versionText(const PublishedStatus &value)
{
    if (value.version == ConfigVersion{}) {
        return "none";
    }
    const std::string age = value.ageSeconds < 0 ? "?" : roundedText(value.ageSeconds);
    return std::to_string(value.version.value) + " (" + age + " s)";
}

std::string listText(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ",") + item;
    }
    return text.empty() ? "-" : text;
}

std::string peersText(const std::vector<PeerStatus> &peers)
{
    std::size_t alive = 0;
    for (const PeerStatus &peer : peers) {
        alive += peer.state == "alive" ? 1 : 0;
    }
    return std::to_string(alive) + '/' + std::to_string(peers.size());
}

std::string coldText(const std::vector<SearcherStatus> &searchers)
{
    std::size_t cold = 0;
    for (const SearcherStatus &searcher : searchers) {
        cold += searcher.isCold ? 1 : 0;
    }
    return std::to_string(cold) + '/' + std::to_string(searchers.size());
}

std::string daemonTable(const Statuses &replies)
{
    TextTable table({"DAEMON",
                     "DOMAIN",
                     "PHASE",
                     "UP (s)",
                     "CONFIGURATION",
                     "SHARD MAP",
                     "VMS",
                     "OUT",
                     "PEERS ALIVE",
                     "SEARCHERS COLD",
                     "BARRED"});
    for (const FromDaemon<DaemonStatus> &reply : replies) {
        const DaemonStatus &status = reply.message;
        table.add({reply.daemon.toString(),
                   status.failureDomain,
                   name(status.phase),
                   roundedText(status.uptimeSeconds),
                   versionText(status.configuration),
                   versionText(status.shardMap),
                   versionText(status.vms),
                   listText(status.domainsOut),
                   peersText(status.peers),
                   coldText(status.searchers),
                   std::to_string(status.barredRequests)});
    }
    return table.toString();
}

std::string againstTarget(double measured, double target, const char *unit, bool isMet)
{
    return roundedText(measured) + unit + " / " + roundedText(target) + unit + (isMet ? "" : " !");
}

std::string refusalsText(const std::vector<RefusalCount> &refusals)
{
    std::vector<std::string> items;
    items.reserve(refusals.size());
    for (const RefusalCount &refusal : refusals) {
        items.push_back(std::string(name(refusal.reason)) + '=' + std::to_string(refusal.count));
    }
    return listText(items);
}

void addClass(TextTable &table, const Address &daemon, const ClassStatus &cls)
{
    constexpr double percent = 100;
    const ClassSummary &measured = cls.measured;
    const ClassTarget &target = cls.target;
    const bool hasAnswers = measured.windowAnswers > 0;
    const double targetMs = toMilliseconds(target.latency);
    table.add(
        {measured.name,
         daemon.toString(),
         std::to_string(measured.windowAnswers),
         hasAnswers ? roundedText(measured.p50Ms) : "-",
         hasAnswers ? againstTarget(measured.p99Ms, targetMs, " ms", measured.p99Ms <= targetMs) : "-",
         hasAnswers ? againstTarget(
             measured.coverageMean, target.completeness, "", measured.coverageMean >= target.completeness)
                    : "-",
         hasAnswers ? roundedText(measured.coverageLeast) : "-",
         hasAnswers ? againstTarget(
             measured.extraLoad * percent, target.extraLoad * percent, " %", measured.extraLoad <= target.extraLoad)
                    : "-",
         refusalsText(measured.refusals),
         cls.conflict.empty() ? "-" : cls.conflict});
}

std::string classTable(const Statuses &replies)
{
    TextTable table({"CLASS",
                     "DAEMON",
                     "ANSWERS",
                     "P50 (ms)",
                     "P99 / TARGET",
                     "COVERAGE / TARGET",
                     "LEAST",
                     "EXTRA / TARGET",
                     "REFUSALS",
                     "CONFLICT"});
    for (const FromDaemon<DaemonStatus> &reply : replies) {
        for (const ClassStatus &cls : reply.message.classes) {
            addClass(table, reply.daemon, cls);
        }
    }
    return table.isEmpty() ? std::string() : '\n' + table.toString();
}

// A warm searcher without work is not worth a row; the daemons' table counts it.
bool isNoteworthy(const SearcherStatus &searcher)
{
    return searcher.isCold || searcher.running > 0 || searcher.waiting > 0;
}

std::string searcherTable(const Statuses &replies)
{
    TextTable table(
        {"SEARCHER", "ADDRESS", "BACK END", "DOMAIN", "DAEMON", "STATE", "RUNNING", "WAITING", "ALLOWANCE"});
    for (const FromDaemon<DaemonStatus> &reply : replies) {
        for (const SearcherStatus &searcher : reply.message.searchers) {
            if (isNoteworthy(searcher)) {
                table.add({std::to_string(searcher.id.value),
                           searcher.address.toString(),
                           searcher.backEnd,
                           searcher.failureDomain,
                           reply.daemon.toString(),
                           searcher.isCold ? "cold" : "warm",
                           std::to_string(searcher.running),
                           std::to_string(searcher.waiting),
                           std::to_string(searcher.allowance)});
            }
        }
    }
    return table.isEmpty() ? std::string() : '\n' + table.toString();
}

std::string peerTable(const Statuses &replies)
{
    TextTable table({"PEER", "DOMAIN", "STATE", "SEEN BY"});
    for (const FromDaemon<DaemonStatus> &reply : replies) {
        for (const PeerStatus &peer : reply.message.peers) {
            if (peer.state != "alive") {
                table.add({peer.address.toString(), peer.failureDomain, peer.state, reply.daemon.toString()});
            }
        }
    }
    return table.isEmpty() ? std::string() : '\n' + table.toString();
}

} // namespace

std::string statusText(const Statuses &replies)
{
    return daemonTable(replies) + classTable(replies) + searcherTable(replies) + peerTable(replies);
}

std::string entriesText(const std::vector<FromDaemon<EntriesReply>> &replies)
{
    TextTable table({"DAEMON", "ADVISES", "DOMAIN", "FOR (s)"});
    for (const FromDaemon<EntriesReply> &reply : replies) {
        for (const EntryStatus &entry : reply.message.entries) {
            table.add({reply.daemon.toString(),
                       entry.callers.toString(),
                       entry.failureDomain,
                       roundedText(reply.message.lifetimeSeconds)});
        }
    }
    return table.toString();
}

std::string drainText(const std::vector<FromDaemon<DrainReply>> &replies)
{
    TextTable table({"DAEMON", "PHASE", "OPEN REQUESTS"});
    for (const FromDaemon<DrainReply> &reply : replies) {
        table.add({reply.daemon.toString(), name(reply.message.phase), std::to_string(reply.message.openRequests)});
    }
    return table.toString();
}

} // namespace sassafrasvane
