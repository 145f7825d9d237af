#pragma once

#include "fleet/configdistributor.h"
#include "worldcommands.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Published values among several daemons and the platform's service, over datagrams in any order.

namespace sassafrasvane
{

/// ConfigDistributor on every daemon; the oracle knows what was published and what came into force where.
class ConfigWorld
{
public:
    ConfigWorld();
    ConfigWorld(const ConfigWorld &) = delete;
    ConfigWorld &operator=(const ConfigWorld &) = delete;

    /// All that can happen.
    static const std::vector<WorldAction<ConfigWorld>> &actions();

    /// Heals all faults, publishes once more and gives that the time that it may take.
    void finish();

    /// The first failure, or nothing.
    std::optional<std::string> failure() const
    {
        return verdicts_.failure(Property::AcceptedConfigurationNeverReverts);
    }

private:
    /// One life of a daemon.
    struct Spreader {
        std::optional<ConfigDistributor> distributor;
        std::uint64_t life = 0;
        bool isPaused = false;
        std::size_t gossipTurn = 0;
        std::array<ConfigVersion, configKeyCount> inForce;
        /// Versions that a newcomer of a healthy fleet may not fall below.
        std::array<ConfigVersion, configKeyCount> floor;
    };

    struct Message {
        std::size_t from = 0;
        std::size_t to = 0;
        bool isStatus = false;
        ConfigStatus status;
        ConfigMessage message;
    };

    struct Read {
        std::size_t daemon = 0;
        std::uint64_t life = 0;
        ServiceRead read;
        TimePoint issuedAt;
    };

    void publish(std::size_t key, std::size_t kind);
    void deliver(std::size_t message, std::size_t);
    void deliverTwice(std::size_t message, std::size_t);
    void lose(std::size_t message, std::size_t);
    void answerRead(std::size_t read, std::size_t);
    void passTime(std::size_t choice, std::size_t);
    void passCalmTime(std::size_t choice, std::size_t);
    void setService(std::size_t versionsBack, std::size_t down);
    void restart(std::size_t daemon, std::size_t);
    void restartInCalm(std::size_t daemon, std::size_t versionsBack);
    void togglePause(std::size_t daemon, std::size_t);
    void partition(std::size_t sides, std::size_t);
    void heal();

    void start(std::size_t daemon);
    void runTimers();
    void gossip();
    void runCalm(Duration duration);
    void reply(const Read &read);
    void handle(const Message &message);
    void apply(std::size_t daemon, DistributionActions &actions);
    std::array<ConfigVersion, configKeyCount> versionsOfAllBut(std::size_t target) const;
    void noteAccepted(std::size_t daemon, const AcceptedValue &value);
    ConfigVersion served(ConfigKey key) const;
    const std::vector<std::string> &texts(ConfigKey key) const { return texts_[static_cast<std::size_t>(key)]; }
    bool isCut(std::size_t from, std::size_t to) const { return ((sides_ >> from) ^ (sides_ >> to)) % 2 == 1; }
    void require(bool holds, const std::string &what);

    Verdicts verdicts_;
    TimePoint now_{std::chrono::seconds(1000)};
    std::vector<Spreader> daemons_;
    std::array<std::vector<std::string>, configKeyCount> texts_;
    std::vector<Message> network_;
    std::vector<Read> reads_;
    std::uint64_t versionsBack_ = 0;
    bool isServiceDown_ = false;
    /// Daemons whose bits differ cannot reach each other.
    std::size_t sides_ = 0;
};

} // namespace sassafrasvane
