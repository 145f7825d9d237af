#pragma once

#include "fakedaemon.h"
#include "fakesearcher.h"
#include "searchoracle.h"
#include "worldcommands.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// Several daemons and searchers in virtual time, over a network that loses, doubles, delays and crosses messages.

namespace sassafrasvane
{

/// The search path of the system with every fault that can befall it.
class SearchWorld
{
public:
    /// \param watched the property whose failure failure() reports.
    explicit SearchWorld(Property watched);
    SearchWorld(const SearchWorld &) = delete;
    SearchWorld &operator=(const SearchWorld &) = delete;

    /// All that can happen.
    static const std::vector<WorldAction<SearchWorld>> &actions();

    /// Heals all faults, lets all messages arrive and all deadlines pass.
    void finish();

    /// The first failure of the watched property, or nothing.
    std::optional<std::string> failure() const { return verdicts_.failure(watched_); }

private:
    void ask(std::size_t daemon, std::size_t terms);
    void askCrashing(std::size_t daemon, std::size_t terms);
    void deliver(std::size_t message, std::size_t);
    void deliverTwice(std::size_t message, std::size_t);
    void lose(std::size_t message, std::size_t);
    void cross(std::size_t message, std::size_t query);
    void endCall(std::size_t server, std::size_t kind);
    void answerWhole(std::size_t server, std::size_t);
    void passTime(std::size_t milliseconds, std::size_t);
    void publishIndex(std::size_t shape, std::size_t);
    void loadIndex(std::size_t server, std::size_t);
    void unloadIndex(std::size_t server, std::size_t which);
    void readValues(std::size_t daemon, std::size_t);
    void togglePause(std::size_t daemon, std::size_t);
    void restartDaemon(std::size_t daemon, std::size_t);
    void restartServer(std::size_t server, std::size_t);
    void toggleServer(std::size_t server, std::size_t);
    void toggleDomain(std::size_t domain, std::size_t);
    void passSeconds(std::size_t seconds, std::size_t);
    void takeDomainOut(std::size_t domain, std::size_t);
    void bringDomainsBack(std::size_t, std::size_t);
    void toggleLeaving(std::size_t server, std::size_t);
    void cutOff(std::size_t daemon, std::size_t);
    void togglePlatform(std::size_t, std::size_t);
    void shareWarmth(std::size_t daemon, std::size_t);
    void serveCalmly(std::size_t daemon, std::size_t count);
    void sleepThroughChange(std::size_t daemon, std::size_t place);
    void restartBehindReport(std::size_t daemon, std::size_t terms);
    void suspectDaemons(std::size_t daemon, std::size_t which);

    /// What a daemon can learn, and what it learned of each searcher's life; for the oracle.
    struct Knowledge {
        bool isCutOff = false;
        /// Since when the platform could be read without a break.
        TimePoint reachableSince;
        TimePoint lastReadAt;
        /// The answer of the platform that waits in the buffer of a paused daemon.
        std::optional<RouterView> bufferedView;
        TimePoint bufferedAt;
        std::map<SearcherId, Incarnation> livesSeen;
    };

    void publish();
    RouterView computeView() const;
    void dropExpired();
    void moveTime(Duration time);
    void readPlatform(std::size_t daemon);
    bool canRead(std::size_t daemon) const { return !isPlatformDown_ && !knowledge_[daemon].isCutOff; }
    void noteSent(CallToServer &call);
    void deliverAll();
    void send(SearchMessage message);
    bool isBlocked(const SearchMessage &message) const;
    std::optional<SearchMessage> takeMessage(std::size_t choice);
    void handle(const SearchMessage &message);
    void runAt(FakeSearcher &server, const CallToServer &call);
    void noteEnd(const EndOfCall &end);
    void noteDelivery(const ReplyToEntry &reply);
    FakeDaemon &daemonAt(std::size_t position) { return *daemons_[position % daemons_.size()]; }
    FakeSearcher &serverAt(std::size_t position) { return servers_[position % servers_.size()]; }

    Property watched_;
    Verdicts verdicts_;
    SearchOracle oracle_{verdicts_};
    TimePoint now_{std::chrono::seconds(100)};
    std::vector<FakeSearcher> servers_;
    std::vector<DaemonId> daemonIds_;
    std::vector<std::unique_ptr<FakeDaemon>> daemons_;
    /// All maps that were ever published; daemons and servers refer to them.
    std::vector<std::shared_ptr<const ShardMap>> maps_;
    std::vector<IndexMap> indexes_;
    RouterView view_;
    std::vector<Knowledge> knowledge_;
    bool isPlatformDown_ = false;
    /// Since when each failure domain has been out and each searcher leaving.
    std::map<std::string, TimePoint> domainsOut_;
    std::map<SearcherId, TimePoint> leaving_;
    std::vector<SearchMessage> network_;
    /// Queries that crash each searcher that runs them.
    std::set<CallerQueryId> crashing_;
    std::uint64_t lastCaller_ = 0;
    std::uint64_t lastIndex_ = 0;
    std::uint64_t configVersion_ = 0;
};

} // namespace sassafrasvane
