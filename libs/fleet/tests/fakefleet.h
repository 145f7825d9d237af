#pragma once

#include "fleet/configdistributor.h"
#include "fleet/gossipcodec.h"
#include "fleet/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// \file
/// Simulated fleet: the membership and configuration state machines of many daemons, connected by a fake network in
/// virtual time, and a fake of the platform's service.

namespace sassafrasvane
{

/// Latency, loss and partitions of the fake network.
struct FakeNetwork {
    Duration latency = std::chrono::microseconds(1'500);
    /// One-way latency between regions.
    Duration regionLatency = std::chrono::milliseconds(30);
    double loss = 0;
    /// True if datagrams from the first daemon to the second are dropped; daemons are given by number. Empty for no
    /// cuts.
    std::function<bool(std::size_t, std::size_t)> isCut;
    /// True if the daemon of that number cannot reach the service. Empty for no cuts.
    std::function<bool(std::size_t)> isServiceCut;
};

/// Traffic that a daemon has sent.
struct FakeTraffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /// The second that is being counted, with its bytes and messages so far.
    std::int64_t second = -1;
    std::uint64_t secondBytes = 0;
    std::uint64_t secondMessages = 0;
    /// Maximum bytes and messages in any second.
    std::uint64_t peakBytes = 0;
    std::uint64_t peakMessages = 0;
};

/// One daemon of the fake fleet.
struct FakeDaemon {
    MemberRecord record;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<GossipCodec> codec;
    std::unique_ptr<ConfigDistributor> distributor;
    bool isRunning = false;
    bool isPaused = false;
    /// Raised by each start and kill, so that events of an earlier incarnation are dropped.
    std::uint64_t incarnationNumber = 0;
    TimePoint startedAt;
    TimePoint timerAt = TimePoint::max();
    FakeTraffic traffic;
    /// When each version came into force in this incarnation.
    std::map<std::pair<ConfigKey, ConfigVersion>, TimePoint> inForceSince;
};

/// Counters over all daemons since the last resetCounters().
struct FakeCounters {
    /// Members declared dead while running, not paused and not isolated from the observer.
    std::uint64_t falseDeaths = 0;
    std::uint64_t deaths = 0;
    /// Versions accepted that were not above one that the daemon had already accepted.
    std::uint64_t reverts = 0;
    std::uint64_t serviceCalls = 0;
    std::uint64_t peakServiceCalls = 0;
    std::uint64_t refusedDatagrams = 0;
};

/// A simulated fleet in virtual time.
///
/// \code
/// FakeFleet fleet(8, seed);
/// fleet.startAll();
/// fleet.publish(ConfigKey::Configuration, "one");
/// fleet.run(std::chrono::seconds(5));
/// \endcode
class FakeFleet
{
public:
    /// \param count number of daemons, spread over two regions with \p domains failure domains each.
    FakeFleet(std::size_t count, std::uint64_t seed, std::size_t domains = 4);
    /// Sets the limits of daemons that are started after this call.
    void setLimits(const MembershipLimits &limits) { limits_ = limits; }

    /// \param clockError error of the wall clock, from which the incarnation is taken.
    void start(std::size_t number, Duration clockError = Duration(0));
    void startAll();
    /// Ends a daemon without announcing it.
    void kill(std::size_t number);
    void setPaused(std::size_t number, bool isPaused);
    /// Publishes \p text as the next version of \p key. \return the version.
    ConfigVersion publish(ConfigKey key, std::string text);
    /// Publishes the list of all daemons.
    void publishVms();
    /// Makes the service fail every read.
    void setServiceDown(bool isDown) { isServiceDown_ = isDown; }
    /// Makes the service return stale values, \p versionsBack versions behind the newest.
    void setServiceStale(std::uint64_t versionsBack) { versionsBack_ = versionsBack; }
    void run(Duration duration);

    TimePoint now() const noexcept { return now_; }
    std::size_t size() const noexcept { return daemons_.size(); }
    FakeDaemon &daemon(std::size_t number) { return daemons_[number]; }
    FakeNetwork &network() noexcept { return network_; }
    const FakeCounters &counters() const noexcept { return counters_; }
    Random &random() noexcept { return random_; }
    void resetCounters();

    /// True if every running daemon considers all other running daemons alive and no stopped one reachable.
    bool hasConverged() const;
    /// True if every running daemon has the newest version of \p key in force.
    bool isInForce(ConfigKey key) const;
    /// Calls \p function with the membership of daemon \p number and executes the resulting actions.
    void act(std::size_t number, const std::function<void(Membership &, MembershipActions &)> &function);

    static bool isValid(std::string_view text) { return !text.starts_with("invalid"); }

private:
    enum class Kind { Datagram, Timer, Reply, WatchEnd };
    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        Kind kind = Kind::Timer;
        std::size_t to = 0;
        std::uint64_t incarnationNumber = 0;
        std::size_t from = 0;
        std::string bytes;
        ConfigKey key = ConfigKey::Configuration;
        std::uint64_t watch = 0;

        bool operator>(const Event &other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };
    struct Watch {
        ConfigKey key = ConfigKey::Configuration;
        ConfigVersion after;
        std::size_t daemon = 0;
        std::uint64_t incarnationNumber = 0;
    };

    void push(Event event);
    void handle(Event &event);
    void deliver(Event &event);
    void reply(const Event &event);
    void onTimer(std::size_t number);
    void send(std::size_t from, DaemonId to, const FleetMessage &message);
    void execute(std::size_t number, MembershipActions &actions);
    void execute(std::size_t number, DistributionActions &actions);
    void read(std::size_t number, const ServiceRead &read);
    void schedule(std::size_t number, std::optional<TimePoint> wakeAt);
    void countDeath(std::size_t number, const MemberChange &change);
    ConfigVersion servedVersion(ConfigKey key) const;
    bool canTalk(std::size_t from, std::size_t to) const;
    VmList allVms(ConfigVersion version) const;

    Random random_;
    FakeNetwork network_;
    MembershipLimits limits_;
    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t lastEvent_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<FakeDaemon> daemons_;
    std::map<DaemonId, std::size_t> numbers_;
    std::array<std::vector<std::string>, configKeyCount> texts_;
    std::map<std::uint64_t, Watch> watches_;
    bool isServiceDown_ = false;
    std::uint64_t versionsBack_ = 0;
    std::int64_t callSecond_ = -1;
    std::uint64_t callsThisSecond_ = 0;
    FakeCounters counters_;
};

} // namespace sassafrasvane
