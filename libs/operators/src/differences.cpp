#include "operators/documents.h"

#include "texttable.h"

#include <algorithm>
#include <map>

namespace sassafrasvane
{

namespace
{

using Sentences = std::vector<std::string>;

/// Collects the changed members of one thing.
class Changes
{
public:
    explicit Changes(std::string subject) : subject_(std::move(subject)) { }

    void add(const char *what, const std::string &from, const std::string &to)
    {
        if (from != to) {
            text_ += (text_.empty() ? "" : ", ") + std::string(what) + ' ' + from + " -> " + to;
        }
    }

    void finish(Sentences &sentences) const
    {
        if (!text_.empty()) {
            sentences.push_back(subject_ + ": " + text_);
        }
    }

private:
    std::string subject_;
    std::string text_;
};

/// Goes through two lists of things with keys: calls \p removed, \p added or \p both for each.
template<typename T, typename Key, typename Removed, typename Added, typename Both>
void match(std::span<const T> from, std::span<const T> to, Key key, Removed removed, Added added, Both both)
{
    std::map<decltype(key(from.front())), const T *> left;
    for (const T &item : from) {
        left.emplace(key(item), &item);
    }
    for (const T &item : to) {
        const auto found = left.find(key(item));
        if (found == left.end()) {
            added(item);
        } else {
            both(*found->second, item);
            left.erase(found);
        }
    }
    for (const auto &[itemKey, item] : left) {
        removed(*item);
    }
}

std::string targetText(const ClassTarget &target)
{
    return roundedText(toMilliseconds(target.latency)) + " ms at " + roundedText(target.percentile)
        + " %, completeness " + roundedText(target.completeness) + ", extra load " + roundedText(target.extraLoad * 100)
        + " %";
}

void compareClass(const RequestClass &from, const RequestClass &to, Sentences &sentences)
{
    Changes changes("class " + to.name);
    const auto milliseconds = [](const RequestClass &cls) {
        return roundedText(toMilliseconds(cls.target.latency)) + " ms at " + roundedText(cls.target.percentile) + " %";
    };
    const auto yields
        = [](const RequestClass &cls) { return cls.givesWay == GivesWay::Latency ? "latency" : "coverage"; };
    changes.add("back end", from.backEnd, to.backEnd);
    changes.add("latency", milliseconds(from), milliseconds(to));
    changes.add("completeness", roundedText(from.target.completeness), roundedText(to.target.completeness));
    changes.add(
        "extra load", roundedText(from.target.extraLoad * 100) + " %", roundedText(to.target.extraLoad * 100) + " %");
    changes.add("gives way:", yields(from), yields(to));
    changes.add("idempotent", from.isIdempotent ? "yes" : "no", to.isIdempotent ? "yes" : "no");
    changes.finish(sentences);
}

void compareLimits(const BackEndLimits &from, const BackEndLimits &to, Sentences &sentences)
{
    Changes changes("back end " + to.name);
    const auto cost
        = [](const BackEndLimits &limits) { return roundedText(toMilliseconds(limits.connectionCost)) + " ms"; };
    changes.add("slots", std::to_string(from.slots), std::to_string(to.slots));
    changes.add("connections", std::to_string(from.connections), std::to_string(to.connections));
    changes.add("connection cost", cost(from), cost(to));
    changes.add("cold allowance", std::to_string(from.coldAllowance), std::to_string(to.coldAllowance));
    changes.add(
        "warm-up", roundedText(toMilliseconds(from.warmUp)) + " ms", roundedText(toMilliseconds(to.warmUp)) + " ms");
    changes.finish(sentences);
}

const char *stateText(ServerState state)
{
    return state == ServerState::Live ? "live" : "leaving";
}

void compareSearchers(const BackEndMap &from, const BackEndMap &to, Sentences &sentences)
{
    const auto subject = [&to](const Searcher &searcher) {
        return to.name + ": searcher " + std::to_string(searcher.id.value) + " (" + searcher.address.toString() + ')';
    };
    match<Searcher>(
        from.searchers,
        to.searchers,
        [](const Searcher &searcher) { return searcher.id; },
        [&](const Searcher &searcher) { sentences.push_back(subject(searcher) + " is removed"); },
        [&](const Searcher &searcher) {
            sentences.push_back(subject(searcher) + " is added in failure domain " + searcher.failureDomain);
        },
        [&](const Searcher &before, const Searcher &after) {
            Changes changes(subject(after));
            changes.add("address", before.address.toString(), after.address.toString());
            changes.add("failure domain", before.failureDomain, after.failureDomain);
            changes.add("state", stateText(before.state), stateText(after.state));
            changes.finish(sentences);
        });
}

/// The ranges and replicas of \p index, for comparison.
std::string layoutOf(const IndexMap &index)
{
    std::string layout;
    for (const Part &part : index.parts) {
        layout += std::to_string(part.id.value) + ':' + std::to_string(part.begin) + '-' + std::to_string(part.end);
        for (const SearcherId replica : part.replicas) {
            layout += ',' + std::to_string(replica.value);
        }
        layout += ';';
    }
    return layout;
}

void compareVersions(const BackEndMap &from, const BackEndMap &to, Sentences &sentences)
{
    const auto subject
        = [&to](const IndexMap &index) { return to.name + ": index version " + std::to_string(index.version.value); };
    match<IndexMap>(
        from.versions,
        to.versions,
        [](const IndexMap &index) { return index.version; },
        [&](const IndexMap &index) { sentences.push_back(subject(index) + " is no longer served"); },
        [&](const IndexMap &index) {
            sentences.push_back(subject(index) + " can be served, in " + std::to_string(index.parts.size()) + " parts");
        },
        [&](const IndexMap &before, const IndexMap &after) {
            if (layoutOf(before) != layoutOf(after)) {
                sentences.push_back(subject(after) + " has other parts or replicas");
            }
        });
}

} // namespace

Sentences differences(const Configuration &from, const Configuration &to)
{
    Sentences sentences;
    for (const std::string &domain : to.domainsOut) {
        if (!from.isOut(domain)) {
            sentences.push_back("failure domain " + domain + " is taken out: it takes no new work");
        }
    }
    for (const std::string &domain : from.domainsOut) {
        if (!to.isOut(domain)) {
            sentences.push_back("failure domain " + domain + " is brought back: it takes work again");
        }
    }
    match<RequestClass>(
        from.classes,
        to.classes,
        [](const RequestClass &cls) { return cls.name; },
        [&](const RequestClass &cls) {
            sentences.push_back("class " + cls.name + " is removed: its requests are refused");
        },
        [&](const RequestClass &cls) {
            sentences.push_back("class " + cls.name + " is added on " + cls.backEnd + ": " + targetText(cls.target));
        },
        [&](const RequestClass &before, const RequestClass &after) { compareClass(before, after, sentences); });
    match<BackEndLimits>(
        from.backEnds,
        to.backEnds,
        [](const BackEndLimits &limits) { return limits.name; },
        [&](const BackEndLimits &limits) { sentences.push_back("back end " + limits.name + " is removed"); },
        [&](const BackEndLimits &limits) { sentences.push_back("back end " + limits.name + " is added"); },
        [&](const BackEndLimits &before, const BackEndLimits &after) { compareLimits(before, after, sentences); });
    return sentences;
}

Sentences differences(const ShardMap &from, const ShardMap &to)
{
    Sentences sentences;
    match<BackEndMap>(
        from.backEnds(),
        to.backEnds(),
        [](const BackEndMap &backEnd) { return backEnd.name; },
        [&](const BackEndMap &backEnd) { sentences.push_back("back end " + backEnd.name + " is removed"); },
        [&](const BackEndMap &backEnd) {
            sentences.push_back("back end " + backEnd.name + " is added with "
                                + std::to_string(backEnd.searchers.size()) + " searchers");
        },
        [&](const BackEndMap &before, const BackEndMap &after) {
            compareSearchers(before, after, sentences);
            compareVersions(before, after, sentences);
        });
    return sentences;
}

Sentences differences(const VmList &from, const VmList &to)
{
    Sentences sentences;
    const auto subject = [](const Vm &vm) { return "VM " + vm.peer.toString(); };
    match<Vm>(
        from.vms,
        to.vms,
        [](const Vm &vm) { return vm.peer; },
        [&](const Vm &vm) { sentences.push_back(subject(vm) + " is removed"); },
        [&](const Vm &vm) { sentences.push_back(subject(vm) + " is added in failure domain " + vm.failureDomain); },
        [&](const Vm &before, const Vm &after) {
            Changes changes(subject(after));
            changes.add("callers' address", before.callers.toString(), after.callers.toString());
            changes.add("failure domain", before.failureDomain, after.failureDomain);
            changes.add("region", before.region, after.region);
            changes.add("state", stateText(before.state), stateText(after.state));
            changes.finish(sentences);
        });
    return sentences;
}

} // namespace sassafrasvane
