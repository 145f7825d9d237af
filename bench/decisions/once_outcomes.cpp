/// \file
/// How often callers of non-idempotent requests are told "unknown", per kind of fault.
///
/// Eight daemons, a backend server and callers in virtual time. Each caller gets a ticket, sends its request to the
/// ticket's owner (or, with --spread, to any daemon) and resends it to others while it knows no outcome.

#include "base/random.h"
#include "onceworld.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <span>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t daemons = 8;
constexpr Duration step = 1ms;
constexpr Duration timerStep = 10ms;
constexpr Duration betweenCallers = 5ms;
/// Callers use a ticket at any time up to this after they got it, as they keep the advice that it came with.
constexpr Duration longestHold = 20s;
constexpr Duration faultAt = 25s;
constexpr Duration arrivalsUntil = 50s;
constexpr Duration end = 80s;
/// A caller that knows no outcome sends again after this time, to another daemon.
constexpr Duration resendAfter = 1500ms;
constexpr std::size_t maxCopies = 4;

/// How long a message is under way. The time of an attempt is the server's.
Duration transit(const OnceMessage &message, std::uint64_t noise)
{
    switch (message.kind) {
    case OnceMessage::Kind::Attempt:
        return Duration{5'000 + static_cast<Duration::rep>(noise % 30'000)};
    case OnceMessage::Kind::Copy:
    case OnceMessage::Kind::Answer:
        return Duration{1'000};
    default:
        return Duration{1'500};
    }
}

/// What goes wrong in a run.
struct Fault {
    const char *name = "";
    /// Done at the given times since the start, in order.
    struct Event {
        Duration at;
        std::function<void(OnceWorld &)> apply;
    };
    std::vector<Event> events;
    /// Share of the attempts that the server refuses without running them.
    double refused = 0;
    /// Share of the attempts whose connection breaks after the request left.
    double cut = 0;
    /// Share of the answers from owner to entry that are lost.
    double lostReplies = 0;
    /// Share of all messages that arrive twice.
    double doubled = 0;
    /// How long the fault lasts, from \ref faultAt on; the whole run if 0.
    Duration lasts{0};
};

/// What callers were told.
struct Outcomes {
    std::size_t requests = 0;
    std::size_t firstUnknown = 0;
    std::size_t ran = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t unknownButRan = 0;
};

class Run
{
public:
    Run(const Fault &fault, std::uint64_t seed, bool isSpread)
        : fault_(fault), random_(seed), isSpread_(isSpread), world_(daemons, limits())
    {
    }

    /// Runs to the end. \return what the callers were told whose requests fell into the time of the fault.
    Outcomes run()
    {
        const TimePoint start = world_.now();
        std::size_t event = 0;
        for (Duration time{0}; time < end; time += step) {
            while (event < fault_.events.size() && fault_.events[event].at <= time) {
                fault_.events[event++].apply(world_);
            }
            if (time < arrivalsUntil && time % betweenCallers == 0ms) {
                arrive();
            }
            sendDue();
            deliverDue();
            if (time % timerStep == 0ms) {
                for (std::size_t life = 0; life < world_.lives().size(); ++life) {
                    world_.tick(life);
                }
            }
            world_.advance(step);
        }
        if (const std::optional<std::string> broken = world_.fault()) {
            std::fprintf(stderr, "%s: %s\n", fault_.name, broken->c_str());
            std::exit(1);
        }
        return outcomes(start);
    }

private:
    struct Sent {
        std::size_t firstAddress = 0;
        TimePoint firstAt;
        std::size_t copies = 0;
        bool isFirstTry = true;
    };

    static OnceWorldLimits limits()
    {
        OnceWorldLimits limits;
        limits.ticketLifetime = 60s;
        return limits;
    }

    void arrive()
    {
        const std::size_t owner = random_.below(daemons);
        const std::optional<std::size_t> caller = world_.addCaller(owner);
        if (caller) {
            const TimePoint firstAt
                = world_.now() + Duration{static_cast<Duration::rep>(random_.below(longestHold.count()))};
            sent_.push_back({isSpread_ ? random_.below(daemons) : owner, firstAt});
            due_.emplace(firstAt, *caller);
        }
    }

    void sendDue()
    {
        while (!due_.empty() && due_.begin()->first <= world_.now()) {
            const std::size_t i = due_.begin()->second;
            due_.erase(due_.begin());
            Sent &sent = sent_[i];
            const OnceCaller &caller = world_.callers()[i];
            if (sent.copies == maxCopies || caller.wasTold(Ran::No) || caller.wasTold(Ran::Yes)) {
                continue;
            }
            const std::size_t address = sent.isFirstTry ? sent.firstAddress : random_.below(daemons);
            sent.isFirstTry = false;
            const bool isSent = world_.sendCopy(i, address, false);
            sent.copies += isSent ? 1 : 0;
            due_.emplace(world_.now() + (isSent ? resendAfter : step), i);
        }
    }

    void deliverDue()
    {
        for (std::size_t i = 0; i < world_.messages().size();) {
            const OnceMessage &message = world_.messages()[i];
            const bool isHeld = message.from && message.to && world_.isCutOff(*message.from, *message.to);
            if (isHeld || world_.now() < message.sentAt + transit(message, message.salt)) {
                ++i;
                continue;
            }
            const std::size_t before = world_.messages().size();
            const bool isGone = pass(i, message.kind);
            i += !isGone && world_.messages().size() >= before ? 1 : 0;
        }
    }

    // Hands message i on, or lets the fault have it. Returns true if it is no longer at its place.
    bool pass(std::size_t i, OnceMessage::Kind kind)
    {
        const bool isAttempt = kind == OnceMessage::Kind::Attempt;
        if (isAttempt && random_.chance(fault_.refused)) {
            world_.refuse(i);
            return true;
        }
        if (kind == OnceMessage::Kind::Reply && random_.chance(fault_.lostReplies)) {
            world_.lose(i);
            return true;
        }
        if (isAttempt && random_.chance(fault_.cut)) {
            world_.breakOff(i, random_.chance(0.5));
            return true;
        }
        const std::optional<std::size_t> to = world_.messages()[i].to;
        const bool isAsleep = to && world_.lives()[*to].isAlive && world_.lives()[*to].isAsleep;
        if (!isAsleep && random_.chance(fault_.doubled)) {
            world_.deliver(i, true);
        }
        world_.deliver(i, false);
        return !isAsleep;
    }

    Outcomes outcomes(TimePoint start) const
    {
        Outcomes outcomes;
        for (std::size_t i = 0; i < sent_.size(); ++i) {
            const Duration at = sent_[i].firstAt - start;
            // Requests that were under way when the fault began are among those that meet it.
            const bool isHit = fault_.lasts == 0ms || (at >= faultAt - 1s && at < faultAt + fault_.lasts);
            if (!isHit) {
                continue;
            }
            const OnceCaller &caller = world_.callers()[i];
            ++outcomes.requests;
            outcomes.firstUnknown += caller.answers.empty() || caller.answers.front().ran == Ran::Unknown ? 1 : 0;
            if (caller.wasTold(Ran::Yes)) {
                ++outcomes.ran;
            } else if (caller.wasTold(Ran::No)) {
                ++outcomes.notRun;
            } else {
                ++outcomes.unknown;
                outcomes.unknownButRan += caller.runs > 0 ? 1 : 0;
            }
        }
        return outcomes;
    }

    const Fault &fault_;
    Random random_;
    bool isSpread_;
    OnceWorld world_;
    std::vector<Sent> sent_;
    std::multimap<TimePoint, std::size_t> due_;
};

Fault ofOneDaemon(const char *name,
                  Duration lasts,
                  const std::function<void(OnceWorld &)> &begin,
                  const std::function<void(OnceWorld &)> &finish)
{
    Fault fault;
    fault.name = name;
    fault.events = {{faultAt, begin}, {faultAt + lasts, finish}};
    fault.lasts = lasts;
    return fault;
}

std::vector<Fault> faults()
{
    const auto kill = [](OnceWorld &world) { world.kill(0); };
    const auto replace = [](OnceWorld &world) { world.replace(0, Incarnation{2}); };
    const auto sleep = [](OnceWorld &world) { world.setAsleep(world.lifeAt(0), true); };
    // Life 0 is the first one at address 0.
    const auto wake = [](OnceWorld &world) { world.setAsleep(0, false); };
    const auto replaceSleeper = [sleep, replace](OnceWorld &world) {
        sleep(world);
        replace(world);
    };
    const auto part = [](OnceWorld &world) { world.setPartition(daemons / 2); };
    const auto heal = [](OnceWorld &world) { world.setPartition(0); };
    std::vector<Fault> faults(6);
    faults[0].name = "none";
    faults[1].name = "server refuses 10% of the attempts";
    faults[1].refused = 0.1;
    faults[2].name = "server connection breaks in 1% of the attempts";
    faults[2].cut = 0.01;
    faults[3].name = "1% of the owners' replies lost";
    faults[3].lostReplies = 0.01;
    faults[4].name = "10% of all messages doubled";
    faults[4].doubled = 0.1;
    faults[5].name = "all of the above at once";
    faults[5].refused = 0.1;
    faults[5].cut = 0.01;
    faults[5].lostReplies = 0.01;
    faults[5].doubled = 0.1;
    faults.push_back(ofOneDaemon("one of 8 daemons killed, back after 5 s", 5s, kill, replace));
    faults.push_back(ofOneDaemon("one of 8 daemons asleep for 3 s", 3s, sleep, wake));
    faults.push_back(ofOneDaemon("one of 8 daemons asleep for 20 s", 20s, sleep, wake));
    faults.push_back(ofOneDaemon("one of 8 replaced while asleep, wakes after 20 s", 20s, replaceSleeper, wake));
    faults.push_back(ofOneDaemon("4 of 8 daemons cut off from the others for 15 s", 15s, part, heal));
    return faults;
}

double percent(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void add(Outcomes &sum, const Outcomes &one)
{
    sum.requests += one.requests;
    sum.firstUnknown += one.firstUnknown;
    sum.ran += one.ran;
    sum.notRun += one.notRun;
    sum.unknown += one.unknown;
    sum.unknownButRan += one.unknownButRan;
}

void printTable(bool isSpread, std::uint64_t seeds)
{
    std::printf("first copy goes to %s; %llu seeds\n",
                isSpread ? "any daemon" : "the ticket's owner",
                static_cast<unsigned long long>(seeds));
    std::printf("%-50s %9s %9s %8s %8s %8s %9s\n",
                "fault (share of the requests that met it, in %)",
                "requests",
                "1st unkn.",
                "ran",
                "not run",
                "unknown",
                "of it ran");
    for (const Fault &fault : faults()) {
        Outcomes sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            add(sum, Run(fault, seed, isSpread).run());
        }
        std::printf("%-50s %9zu %9.3f %8.3f %8.3f %8.3f %9.3f\n",
                    fault.name,
                    sum.requests,
                    percent(sum.firstUnknown, sum.requests),
                    percent(sum.ran, sum.requests),
                    percent(sum.notRun, sum.requests),
                    percent(sum.unknown, sum.requests),
                    percent(sum.unknownButRan, sum.requests));
    }
}

} // namespace

} // namespace sassafrasvane

int main(int argc, char **argv)
{
    const std::span<char *> arguments(argv, static_cast<std::size_t>(argc));
    const std::uint64_t seeds = arguments.size() > 1 ? std::strtoull(arguments[1], nullptr, 10) : 5;
    sassafrasvane::printTable(false, seeds);
    sassafrasvane::printTable(true, seeds);
    return 0;
}
