#include "fleet/entryadvice.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000'000}};

Member memberOf(std::uint32_t number, std::size_t domains = 4)
{
    Member member;
    member.record.daemon = daemonId({0x0a000000 + number, 7000});
    member.record.incarnation = Incarnation{1};
    member.record.callerAddress = {0x0a000000 + number, 8000};
    member.record.failureDomain = "domain-" + std::to_string(number % domains);
    return member;
}

std::vector<Member> membersOf(std::uint32_t count)
{
    std::vector<Member> members;
    for (std::uint32_t number = 0; number < count; ++number) {
        members.push_back(memberOf(number));
    }
    return members;
}

EntryAdvice adviceOf(const std::vector<Member> &members, std::size_t self, std::span<const std::string> out = {})
{
    EntryAdvice advice = EntryAdvice::Builder().self(members[self].record).seed(self + 1).build(origin);
    std::vector<Member> others = members;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
    advice.setMembers(members[self].record, others, out);
    return advice;
}

bool names(const Advice &advice, const Member &member)
{
    return std::find(advice.addresses.begin(), advice.addresses.end(), member.record.callerAddress)
        != advice.addresses.end();
}

std::string domainOf(const std::vector<Member> &members, const Address &address)
{
    for (const Member &member : members) {
        if (member.record.callerAddress == address) {
            return member.record.failureDomain;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_CASE(addressesAreOfDifferentDomainsWithTheCallersOwnFirst)
{
    const std::vector<Member> members = membersOf(8);
    EntryAdvice advice = adviceOf(members, 0);
    for (int call = 0; call < 100; ++call) {
        const Advice answer = advice.advise(origin, "domain-2");
        BOOST_REQUIRE(answer.addresses.size() == 3U);
        std::set<std::string> domains;
        for (const Address &address : answer.addresses) {
            domains.insert(domainOf(members, address));
        }
        BOOST_TEST(domains.size() == 3U);
        BOOST_TEST((answer.lifetime <= advice.limits().maxLifetime()));
        BOOST_TEST((answer.lifetime >= 48s));
    }
    EntryAdvice fresh = adviceOf(members, 0);
    BOOST_TEST(domainOf(members, fresh.advise(origin, "domain-2").addresses[0]) == "domain-2");
    BOOST_TEST(fresh.advise(origin, "nowhere").addresses.size() == 3U);
}

BOOST_AUTO_TEST_CASE(callersOfOneDomainDoNotOverloadIt)
{
    const std::vector<Member> members = membersOf(8);
    EntryAdvice advice = adviceOf(members, 0);
    std::map<Address, int> load;
    for (int call = 0; call < 8'000; ++call) {
        ++load[advice.advise(origin, "domain-2").addresses[0]];
    }
    for (const auto &[address, calls] : load) {
        BOOST_TEST(calls <= 1'000 * 1.25 + 3);
    }
}

RC_BOOST_PROP(unusableDaemonsAreLeftOutButTheAnswerIsNeverEmpty, ())
{
    std::vector<Member> members = membersOf(*rc::gen::inRange<std::uint32_t>(1, 9));
    bool isAnyUsable = false;
    std::vector<std::string> out;
    if (*rc::gen::arbitrary<bool>()) {
        out.push_back("domain-1");
    }
    for (std::size_t number = 0; number < members.size(); ++number) {
        Member &member = members[number];
        // Number 0 is this daemon, which is always alive.
        member.record.state = number == 0
            ? MemberState::Alive
            : *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Dead);
        member.record.phase = *rc::gen::element(MemberPhase::Serving, MemberPhase::Leaving);
        isAnyUsable = isAnyUsable || (member.takesWork() && (out.empty() || member.record.failureDomain != out[0]));
    }
    EntryAdvice advice = adviceOf(members, 0, out);
    for (int call = 0; call < 20; ++call) {
        const Advice answer = advice.advise(origin, "domain-1");
        RC_ASSERT(!answer.addresses.empty());
        for (const Member &member : members) {
            const bool isUsable = member.takesWork() && (out.empty() || member.record.failureDomain != out[0]);
            RC_ASSERT((!names(answer, member) || isUsable || !isAnyUsable));
            RC_ASSERT((!names(answer, member) || member.record.state != MemberState::Dead));
        }
    }
}

BOOST_AUTO_TEST_CASE(loadStaysEvenWhileCallersKeepTheirAnswers)
{
    // 10,000 callers in four failure domains ask the daemon that they currently use, over three lifetimes.
    for (const std::uint32_t count : {8U, 420U}) {
        const std::vector<Member> members = membersOf(count);
        std::vector<EntryAdvice> advisers;
        std::map<Address, std::size_t> numbers;
        for (std::size_t number = 0; number < count; ++number) {
            advisers.push_back(adviceOf(members, number));
            numbers[members[number].record.callerAddress] = number;
        }
        struct Caller {
            TimePoint renewAt;
            std::size_t entry = 0;
        };
        Random random(5);
        std::vector<Caller> callers(10'000);
        for (Caller &caller : callers) {
            caller = {origin + Duration(random.below(60'000'000)), random.below(count)};
        }
        for (TimePoint now = origin; now < origin + 180s; now += 100ms) {
            for (std::size_t index = 0; index < callers.size(); ++index) {
                Caller &caller = callers[index];
                if (caller.renewAt <= now) {
                    const Advice answer = advisers[caller.entry].advise(now, "domain-" + std::to_string(index % 4));
                    caller.entry = numbers.at(answer.addresses[0]);
                    caller.renewAt = now + answer.lifetime;
                }
            }
        }
        std::vector<double> load(count, 0);
        for (const Caller &caller : callers) {
            ++load[caller.entry];
        }
        const double mean = 10'000.0 / count;
        const double worst = *std::max_element(load.begin(), load.end());
        BOOST_TEST_MESSAGE(count << " daemons: worst/mean " << worst / mean);
        // Must be better than independent random choices, whose expected maximum is about this (Raab and Steger, "Balls
        // into Bins", 1998).
        BOOST_TEST(worst / mean < 1 + std::sqrt(2 * std::log(count) / mean));
    }
}

} // namespace sassafrasvane
