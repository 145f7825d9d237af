#include "searchworld.h"
#include "searchworldsizes.h"

#include <algorithm>

// The world itself: its actions, its time and its end.

namespace sassafrasvane
{

using namespace std::chrono_literals;

SearchWorld::SearchWorld(Property watched) : watched_(watched)
{
    for (std::uint32_t i = 0; i < serverCount; ++i) {
        servers_.emplace_back(SearcherId{i}, domains[i % std::size(domains)]);
    }
    for (std::size_t i = 0; i < daemonCount; ++i) {
        daemonIds_.push_back(daemonId({loopback, static_cast<std::uint16_t>(7000 + i)}));
        FakeDaemon::Hooks hooks;
        hooks.send = [this](SearchMessage message) { send(std::move(message)); };
        hooks.answer = [this](CallerQueryId caller, const QueryAnswer &answer) { oracle_.answered(caller, answer); };
        daemons_.push_back(std::make_unique<FakeDaemon>(i, daemonIds_.back(), hooks));
    }
    knowledge_.resize(daemonCount);
    for (std::size_t shape = 0; shape < publishedIndexes; ++shape) {
        publishIndex(1 + shape, 0);
        for (FakeSearcher &server : servers_) {
            server.load(maps_.back()->find(backEndName)->versions.front());
        }
    }
    for (const std::unique_ptr<FakeDaemon> &daemon : daemons_) {
        daemon->setView(now_, computeView(), daemonIds_);
        daemon->onAnswer(now_, now_, true);
    }
}

const std::vector<WorldAction<SearchWorld>> &SearchWorld::actions()
{
    static const std::vector<WorldAction<SearchWorld>> list{
        {"ask", 10, &SearchWorld::ask},
        {"askCrashing", 1, &SearchWorld::askCrashing},
        {"deliver", 40, &SearchWorld::deliver},
        {"deliverTwice", 3, &SearchWorld::deliverTwice},
        {"lose", 2, &SearchWorld::lose},
        {"cross", 2, &SearchWorld::cross},
        {"answerWhole", 16, &SearchWorld::answerWhole},
        {"endCall", 10, &SearchWorld::endCall},
        {"passTime", 6, &SearchWorld::passTime},
        {"publishIndex", 1, &SearchWorld::publishIndex},
        {"loadIndex", 4, &SearchWorld::loadIndex},
        {"unloadIndex", 2, &SearchWorld::unloadIndex},
        {"readValues", 2, &SearchWorld::readValues},
        {"togglePause", 1, &SearchWorld::togglePause},
        {"restartDaemon", 1, &SearchWorld::restartDaemon},
        {"restartServer", 1, &SearchWorld::restartServer},
        {"toggleServer", 1, &SearchWorld::toggleServer},
        {"toggleDomain", 1, &SearchWorld::toggleDomain},
        {"passSeconds", 2, &SearchWorld::passSeconds},
        {"takeDomainOut", 1, &SearchWorld::takeDomainOut},
        {"bringDomainsBack", 1, &SearchWorld::bringDomainsBack},
        {"toggleLeaving", 1, &SearchWorld::toggleLeaving},
        {"cutOff", 1, &SearchWorld::cutOff},
        {"togglePlatform", 1, &SearchWorld::togglePlatform},
        {"shareWarmth", 3, &SearchWorld::shareWarmth},
        {"serveCalmly", 3, &SearchWorld::serveCalmly},
        {"sleepThroughChange", 1, &SearchWorld::sleepThroughChange},
        {"restartBehindReport", 1, &SearchWorld::restartBehindReport},
        {"suspectDaemons", 1, &SearchWorld::suspectDaemons},
    };
    return list;
}

void SearchWorld::passTime(std::size_t milliseconds, std::size_t)
{
    moveTime(std::chrono::milliseconds(1 + milliseconds % 25));
}

void SearchWorld::passSeconds(std::size_t seconds, std::size_t)
{
    constexpr Duration step = 250ms;
    for (std::size_t i = 0; i < 1 + seconds % 28; ++i) {
        moveTime(step);
    }
}

void SearchWorld::moveTime(Duration time)
{
    now_ += time;
    for (FakeSearcher &server : servers_) {
        for (EndOfCall &end : server.dropExpired(now_)) {
            send(std::move(end));
        }
    }
    dropExpired();
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (daemons_[i]->isPaused()) {
            continue;
        }
        daemons_[i]->onTime(now_);
        if (daemons_[i]->takeRefresh() || now_ - knowledge_[i].lastReadAt >= readPeriod) {
            readPlatform(i);
        }
    }
}

// Queries without a fault in between, so that searchers warm up.
void SearchWorld::serveCalmly(std::size_t daemon, std::size_t count)
{
    constexpr std::size_t mostQueries = 24;
    for (std::size_t i = 0; i < 1 + count % mostQueries; ++i) {
        ask(daemon + i, count + i);
        deliverAll();
        for (std::size_t server = 0; server < servers_.size(); ++server) {
            while (servers_[server].running() > 0) {
                answerWhole(server, 0);
            }
        }
        deliverAll();
        shareWarmth(daemon + i, 0);
        passTime(0, 0);
    }
}

void SearchWorld::finish()
{
    isPlatformDown_ = false;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        knowledge_[i].isCutOff = false;
        knowledge_[i].reachableSince = now_;
        daemons_[i]->setPaused(false);
    }
    for (FakeSearcher &server : servers_) {
        server.setDown(false);
    }
    constexpr int rounds = 30;
    for (int round = 0; round < rounds; ++round) {
        while (!network_.empty()) {
            deliver(0, 0);
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            answerWhole(i, 0);
        }
        passTime(static_cast<std::size_t>(round), 0);
    }
    oracle_.finished();
}

} // namespace sassafrasvane
