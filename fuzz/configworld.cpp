#include "configworld.h"

#include <algorithm>
#include <utility>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t daemonCount = 4;
constexpr std::array<ConfigKey, configKeyCount> keys{ConfigKey::Configuration, ConfigKey::ShardMap, ConfigKey::Vms};
/// One failure domain, so that two of the daemons are no readers and depend on their peers.
constexpr const char *failureDomain = "a";
/// Time between two status messages of a daemon.
constexpr Duration gossipPeriod = 200ms;
constexpr Duration calmStep = 20ms;
/// Longest time for a change to be in force everywhere in a healthy fleet.
constexpr Duration distributionBound = 5s;
/// Longest backoffs and the newcomers' bound, after which a healed fleet is healthy.
constexpr Duration healingTime = 20s;
constexpr Duration steps[] = {5ms, 50ms, 250ms, 1s, 2s, 4s, 16s};
constexpr std::size_t textLines = 200;

DaemonId idOf(std::size_t daemon)
{
    return daemonId({0x0a000001 + static_cast<std::uint32_t>(daemon), 7000});
}

std::size_t positionOf(DaemonId daemon)
{
    return peerAddress(daemon).ip - 0x0a000001;
}

MemberRecord recordOf(std::size_t daemon)
{
    MemberRecord record;
    record.daemon = idOf(daemon);
    record.failureDomain = failureDomain;
    return record;
}

/// A text of several chunks that differs from that of another version in two lines.
std::string textOf(ConfigKey key, std::size_t version, bool isValid)
{
    std::string text = std::string(isValid ? "valid " : "invalid ") + name(key) + " " + std::to_string(version) + "\n";
    for (std::size_t line = 0; line < textLines; ++line) {
        text += "line " + std::to_string(line) + (line == version % textLines ? " changed\n" : "\n");
    }
    return text;
}

Result<void> validate(ConfigKey, ConfigVersion, std::string_view text)
{
    if (!text.starts_with("valid ")) {
        return Error{Errc::InvalidConfiguration, Step::Configuration, {}, "invalid"};
    }
    return boost::outcome_v2::success();
}

} // namespace

ConfigWorld::ConfigWorld() : daemons_(daemonCount)
{
    for (const ConfigKey key : keys) {
        publish(static_cast<std::size_t>(key), 1);
    }
    for (std::size_t i = 0; i < daemonCount; ++i) {
        start(i);
    }
    runCalm(healingTime);
}

const std::vector<WorldAction<ConfigWorld>> &ConfigWorld::actions()
{
    static const std::vector<WorldAction<ConfigWorld>> list{
        {"publish", 6, &ConfigWorld::publish},
        {"deliver", 30, &ConfigWorld::deliver},
        {"deliverTwice", 4, &ConfigWorld::deliverTwice},
        {"lose", 4, &ConfigWorld::lose},
        {"answerRead", 10, &ConfigWorld::answerRead},
        {"passTime", 10, &ConfigWorld::passTime},
        {"passCalmTime", 2, &ConfigWorld::passCalmTime},
        {"setService", 3, &ConfigWorld::setService},
        {"restart", 2, &ConfigWorld::restart},
        {"restartInCalm", 1, &ConfigWorld::restartInCalm},
        {"togglePause", 2, &ConfigWorld::togglePause},
        {"partition", 2, &ConfigWorld::partition},
    };
    return list;
}

// One of four values is invalid.
void ConfigWorld::publish(std::size_t key, std::size_t kind)
{
    const ConfigKey which = keys[key % keys.size()];
    std::vector<std::string> &list = texts_[static_cast<std::size_t>(which)];
    list.push_back(textOf(which, list.size() + 1, kind % 4 != 0));
}

void ConfigWorld::deliver(std::size_t message, std::size_t)
{
    if (network_.empty()) {
        return;
    }
    const std::size_t position = message % network_.size();
    if (daemons_[network_[position].to].isPaused) {
        return;
    }
    const Message taken = std::move(network_[position]);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
    handle(taken);
}

void ConfigWorld::deliverTwice(std::size_t message, std::size_t)
{
    if (!network_.empty()) {
        network_.push_back(network_[message % network_.size()]);
        deliver(message, 0);
    }
}

void ConfigWorld::lose(std::size_t message, std::size_t)
{
    if (!network_.empty()) {
        network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(message % network_.size()));
    }
}

void ConfigWorld::answerRead(std::size_t read, std::size_t)
{
    if (reads_.empty()) {
        return;
    }
    const std::size_t position = read % reads_.size();
    if (daemons_[reads_[position].daemon].isPaused) {
        return;
    }
    const Read taken = reads_[position];
    reads_.erase(reads_.begin() + static_cast<std::ptrdiff_t>(position));
    reply(taken);
}

void ConfigWorld::passTime(std::size_t choice, std::size_t)
{
    now_ += steps[choice % std::size(steps)];
    runTimers();
    gossip();
}

void ConfigWorld::passCalmTime(std::size_t choice, std::size_t)
{
    runCalm(steps[choice % std::size(steps)]);
}

void ConfigWorld::setService(std::size_t versionsBack, std::size_t down)
{
    versionsBack_ = versionsBack % 3;
    isServiceDown_ = down % 3 == 0;
}

void ConfigWorld::restart(std::size_t daemon, std::size_t)
{
    start(daemon % daemonCount);
}

// The versions that each daemon but \p target has in force or has passed. What only some have may still be on its way,
// and a newcomer that asks the others cannot know of it.
std::array<ConfigVersion, configKeyCount> ConfigWorld::versionsOfAllBut(std::size_t target) const
{
    std::array<ConfigVersion, configKeyCount> least;
    least.fill(ConfigVersion{UINT64_MAX});
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        for (std::size_t key = 0; i != target && key < configKeyCount; ++key) {
            least[key] = std::min(least[key], daemons_[i].inForce[key]);
        }
    }
    return least;
}

// In a fleet that is otherwise healthy, a newcomer never takes an older version than the fleet had, however stale the
// service is.
void ConfigWorld::restartInCalm(std::size_t daemon, std::size_t versionsBack)
{
    heal();
    runCalm(healingTime);
    const std::size_t target = daemon % daemonCount;
    const std::array<ConfigVersion, configKeyCount> before = daemons_[target].inForce;
    setService(versionsBack, versionsBack);
    start(target);
    daemons_[target].floor = versionsOfAllBut(target);
    runCalm(healingTime);
    daemons_[target].floor = {};
    for (const ConfigKey key : keys) {
        const std::size_t index = static_cast<std::size_t>(key);
        require(daemons_[target].inForce[index] >= before[index],
                std::string("a restarted daemon has an older ") + name(key));
    }
}

void ConfigWorld::togglePause(std::size_t daemon, std::size_t)
{
    Spreader &target = daemons_[daemon % daemonCount];
    target.isPaused = !target.isPaused;
}

void ConfigWorld::partition(std::size_t sides, std::size_t)
{
    sides_ = sides % (std::size_t{1} << daemonCount);
}

void ConfigWorld::heal()
{
    sides_ = 0;
    versionsBack_ = 0;
    isServiceDown_ = false;
    for (Spreader &daemon : daemons_) {
        daemon.isPaused = false;
    }
}

void ConfigWorld::start(std::size_t daemon)
{
    Spreader &target = daemons_[daemon];
    ++target.life;
    target.isPaused = false;
    target.inForce = {};
    target.distributor = ConfigDistributor::Builder()
                             .self(recordOf(daemon))
                             .validator(validate)
                             .seed(target.life * daemonCount + daemon)
                             .build(now_);
    std::vector<Member> members(daemonCount);
    for (std::size_t i = 0; i < daemonCount; ++i) {
        members[i].record = recordOf(i);
    }
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(daemon));
    target.distributor->setMembers(now_, members);
    DistributionActions actions;
    target.distributor->onTimer(now_, actions);
    apply(daemon, actions);
}

void ConfigWorld::runTimers()
{
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (!daemons_[i].isPaused) {
            DistributionActions actions;
            daemons_[i].distributor->onTimer(now_, actions);
            apply(i, actions);
        }
    }
}

void ConfigWorld::gossip()
{
    for (std::size_t i = 0; i < daemonCount; ++i) {
        Spreader &daemon = daemons_[i];
        if (!daemon.isPaused) {
            const std::size_t to = (i + 1 + daemon.gossipTurn++ % (daemonCount - 1)) % daemonCount;
            network_.push_back({i, to, true, daemon.distributor->status(now_), {}});
        }
    }
}

// Messages arrive in their order, and reads are answered when they are due.
void ConfigWorld::runCalm(Duration duration)
{
    const TimePoint end = now_ + duration;
    TimePoint gossipAt = now_;
    while (now_ < end) {
        now_ += calmStep;
        runTimers();
        if (now_ >= gossipAt) {
            gossip();
            gossipAt = now_ + gossipPeriod;
        }
        for (const Message &message : std::exchange(network_, {})) {
            if (daemons_[message.to].isPaused) {
                network_.push_back(message);
            } else {
                handle(message);
            }
        }
        for (const Read &read : std::exchange(reads_, {})) {
            const bool isDue = now_ >= read.issuedAt + read.read.wait || served(read.read.key) > read.read.after;
            if (isDue && !daemons_[read.daemon].isPaused) {
                reply(read);
            } else {
                reads_.push_back(read);
            }
        }
    }
}

void ConfigWorld::reply(const Read &read)
{
    Spreader &daemon = daemons_[read.daemon];
    if (daemon.life != read.life) {
        return;
    }
    DistributionActions actions;
    if (isServiceDown_) {
        daemon.distributor->onServiceFailed(now_, read.read.key, actions);
    } else {
        const ConfigVersion version = served(read.read.key);
        const bool isNewer = version > read.read.after || read.read.wait == Duration{0};
        daemon.distributor->onServiceReply(
            now_, read.read.key, version, isNewer ? texts(read.read.key)[version.value - 1] : std::string(), actions);
    }
    apply(read.daemon, actions);
}

void ConfigWorld::handle(const Message &message)
{
    if (isCut(message.from, message.to)) {
        return;
    }
    DistributionActions actions;
    ConfigDistributor &distributor = *daemons_[message.to].distributor;
    if (message.isStatus) {
        distributor.onPeerStatus(now_, idOf(message.from), message.status, actions);
    } else if (distributor.handle(now_, message.message, actions).has_error()) {
        return;
    }
    apply(message.to, actions);
}

void ConfigWorld::apply(std::size_t daemon, DistributionActions &actions)
{
    for (const AcceptedValue &value : actions.accepted) {
        noteAccepted(daemon, value);
    }
    for (const ServiceRead &read : actions.reads) {
        reads_.push_back({daemon, daemons_[daemon].life, read, now_});
    }
    for (ConfigSend &send : actions.sends) {
        network_.push_back({daemon, positionOf(send.to), false, {}, std::move(send.message)});
    }
}

void ConfigWorld::noteAccepted(std::size_t daemon, const AcceptedValue &value)
{
    const std::size_t index = static_cast<std::size_t>(value.key);
    ConfigVersion &inForce = daemons_[daemon].inForce[index];
    require(value.version >= daemons_[daemon].floor[index], "a newcomer took an older version than the fleet has");
    require(value.version > inForce, std::string(name(value.key)) + " went back within a life");
    inForce = value.version;
    const bool isPublished = value.version.value >= 1 && value.version.value <= texts_[index].size()
        && *value.text == texts_[index][value.version.value - 1];
    require(isPublished, std::string(name(value.key)) + " has a text that was not published under its version");
    require(value.text->starts_with("valid "), "an invalid value came into force");
}

ConfigVersion ConfigWorld::served(ConfigKey key) const
{
    const std::uint64_t newest = texts(key).size();
    return ConfigVersion{newest > versionsBack_ ? newest - versionsBack_ : 1};
}

void ConfigWorld::finish()
{
    heal();
    runCalm(healingTime);
    for (const ConfigKey key : keys) {
        publish(static_cast<std::size_t>(key), 1);
    }
    runCalm(distributionBound);
    for (std::size_t i = 0; i < daemonCount; ++i) {
        for (const ConfigKey key : keys) {
            const ConfigVersion version = daemons_[i].distributor->version(key);
            require(version.value == texts(key).size(),
                    "daemon " + std::to_string(i) + " has version " + std::to_string(version.value) + " of " + name(key)
                        + ", not " + std::to_string(texts(key).size()));
        }
    }
}

void ConfigWorld::require(bool holds, const std::string &what)
{
    verdicts_.require(Property::AcceptedConfigurationNeverReverts, holds, what);
}

} // namespace sassafrasvane
