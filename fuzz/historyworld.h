#pragma once

#include "entry/feedserver.h"
#include "fakestore.h"
#include "worldcommands.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// Entry processes that follow a store which goes back to older copies of itself.

namespace sassafrasvane
{

/// StoreFollower and PublishedState of several processes: readers of the store, and processes that follow them. The
/// oracle knows what was written by whom, and what each process knew.
class HistoryWorld
{
public:
    HistoryWorld();
    ~HistoryWorld();
    HistoryWorld(const HistoryWorld &) = delete;
    HistoryWorld &operator=(const HistoryWorld &) = delete;

    /// All that can happen.
    static const std::vector<WorldAction<HistoryWorld>> &actions();

    /// Heals all faults and checks what the processes know; lets all write again what was lost, and checks again.
    void finish();

    /// The first failure, or nothing.
    const std::optional<std::string> &failure() const { return verdicts_.failure(Property::StoreHistoryIsFollowed); }

private:
    static constexpr std::size_t processCount = 5;
    static constexpr std::size_t readerCount = 3;
    static constexpr std::size_t searcherCount = 4;
    static constexpr std::size_t domainCount = 2;

    /// Distinguishes registrations: start time and sequence.
    using Registration = std::pair<std::uint64_t, std::uint64_t>;

    /// A searcher as it is, whatever the store holds of it.
    struct Searcher {
        Registration registration{1, 0};
        bool isLeaving = false;
        bool isGone = false;
    };

    /// What the operator wants of a failure domain, whatever the store holds of it.
    struct Domain {
        bool isOut = false;
        /// The store's position when it was taken out or brought back.
        StorePosition since;
    };

    /// A call to the store that is on its way.
    struct OpenCall {
        StoreCall call;
        TimePoint startedAt;
        std::optional<FakeStore::Answer> answer;
    };

    /// What a process knows of a peer that it follows.
    struct Peer {
        StorePosition position;
        std::optional<TimePoint> confirmedAt;
    };

    /// A failure domain that a process knew to be out.
    struct KnownOut {
        StorePosition position;
        /// Since when its item is gone.
        std::optional<TimePoint> absentSince;
    };

    /// A registration that a process knew to be leaving or removed.
    struct KnownLeft {
        Registration registration;
        TimePoint knownAt;
    };

    /// One life of a process.
    struct Process {
        std::size_t number = 0;
        std::uint64_t life = 0;
        std::unique_ptr<SearcherPool> pool;
        std::unique_ptr<PublishedState> state;
        std::optional<StoreFollower> follower;
        std::optional<OpenCall> open;
        std::optional<TimePoint> wakeAt;
        std::map<std::size_t, Peer> peers;
        TimePoint lastContactAt;
        bool isFollowingStore = false;
        bool hasStoreFailed = false;
        bool areItemsUnconfirmed = false;
        bool hasHeardEpoch = false;
        std::uint64_t heardEpoch = 0;
        bool isStoreCut = false;
        bool isCutOff = false;
        /// True if the store's lost history is served to it.
        bool hearsLostHistory = false;
        std::uint64_t version = 0;
        std::array<std::optional<KnownOut>, domainCount> knownOut;
        std::array<std::optional<KnownLeft>, searcherCount> knownLeft;
    };

    /// A poll of a peer, and its response once there is one.
    struct Poll {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t fromLife = 0;
        FeedRequest request;
        std::optional<FeedResponse> response;
        /// When the store confirmed what the response says.
        TimePoint confirmedAt;
    };

    // What happens.
    void configure(std::size_t isRewritten, std::size_t);
    void registerSearcher(std::size_t searcher, std::size_t);
    void leave(std::size_t searcher, std::size_t);
    void endSearcher(std::size_t searcher, std::size_t);
    void lapse(std::size_t searcher, std::size_t);
    void replaceSearcher(std::size_t searcher, std::size_t);
    void toggleDomain(std::size_t domain, std::size_t);
    void copyStore(std::size_t, std::size_t);
    void goBack(std::size_t copy, std::size_t lostHistoryBits);
    void forgetHistory(std::size_t, std::size_t);
    void answerCall(std::size_t process, std::size_t isGarbled);
    void deliverAnswer(std::size_t process, std::size_t);
    void loseCall(std::size_t process, std::size_t);
    void poll(std::size_t process, std::size_t peer);
    void respond(std::size_t poll, std::size_t);
    void deliverResponse(std::size_t poll, std::size_t);
    void passTime(std::size_t milliseconds, std::size_t);
    void passCalmTime(std::size_t steps, std::size_t);
    void restart(std::size_t process, std::size_t);
    void toggleStoreCut(std::size_t process, std::size_t);
    void toggleCutOff(std::size_t process, std::size_t);

    void start(Process &process);
    void runTimers();
    void chooseSource(Process &process);
    void perform(Process &process, StoreActions actions);
    void onContact(Process &process);
    void applyAnswer(Process &process, const FakeStore::Answer &answer);
    void applyResponse(Process &process, const Poll &poll);
    bool hasSource(const Process &process) const;
    bool followsPeers(const Process &process) const;
    std::optional<Duration> confirmedAge(const Process &process) const;
    FeedRequest requestTo(const Process &process, std::size_t peer) const;
    void runCalm(Duration duration);
    void calmStep();
    void writeAgain();

    void write(std::size_t searcher);
    bool isUsable(Process &process, std::size_t searcher) const;
    Registration registrationAt(const Process &process, std::size_t searcher) const;
    void check();
    void checkVersion(Process &process);
    void checkDomains(Process &process);
    void checkSearchers(Process &process);
    void checkKnowsStore(Process &process);
    void checkServes(Process &process);
    void require(const Process &process, bool holds, const std::string &what);

    Verdicts verdicts_;
    TimePoint now_{std::chrono::seconds(1'000)};
    int sink_;
    EventLog log_;
    EntryProtocol protocol_;
    FakeStore store_;
    /// The store as it was before it went back; a part of it may still serve that.
    std::optional<FakeStore> lostStore_;
    std::vector<FakeStore> copies_;
    std::array<Searcher, searcherCount> searchers_;
    std::array<Domain, domainCount> domains_;
    std::uint64_t version_ = 1;
    std::uint64_t content_ = 0;
    std::array<Process, processCount> processes_;
    std::vector<Poll> polls_;
    /// True while all that is on its way arrives.
    bool isCalm_ = false;
    /// The last registration that each process has used, by process and searcher.
    std::map<std::pair<std::size_t, std::size_t>, Registration> lastSeen_;
};

} // namespace sassafrasvane
