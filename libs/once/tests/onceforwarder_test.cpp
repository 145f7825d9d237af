#include "once/onceforwarder.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000}};
const std::vector<std::string> keys{"key"};
const std::vector<std::string> otherKeys{"other"};
const TicketOrigin self{DaemonId{1}, Incarnation{5}, 99};

std::string ticketOf(const TicketOrigin &life, const std::vector<std::string> &signers = keys)
{
    return TicketCodec(signers).encode(TicketIssuer(life, 60s).issue(origin));
}

OnceForwarder forwarder(std::optional<Incarnation> known = std::nullopt)
{
    return {self, TicketCodec(keys), [known](DaemonId) { return known; }};
}

} // namespace

BOOST_AUTO_TEST_CASE(onlyTheLifeNamedByTheTicketRuns)
{
    BOOST_TEST((forwarder().decide({ticketOf(self), false}).kind == OnceDecision::Kind::RunHere));
    const TicketOrigin other{DaemonId{2}, Incarnation{3}, 7};
    const OnceDecision decision = forwarder().decide({ticketOf(other), false});
    BOOST_TEST((decision.kind == OnceDecision::Kind::Forward));
    BOOST_TEST((decision.owner == DaemonId{2}));
}

BOOST_AUTO_TEST_CASE(aGoneLifeIsUnknownUnlessThisIsTheSoleCopy)
{
    const std::string earlier = ticketOf({self.daemon, Incarnation{4}, 1});
    const std::string gone = ticketOf({DaemonId{2}, Incarnation{3}, 7});
    for (const std::string &ticket : {earlier, gone}) {
        const OnceForwarder entry = forwarder(Incarnation{4});
        BOOST_TEST((entry.decide({ticket, false}).answer.ran == Ran::Unknown));
        BOOST_TEST((entry.decide({ticket, true}).answer.ran == Ran::No));
    }
    BOOST_TEST((forwarder(Incarnation{2}).decide({gone, true}).kind == OnceDecision::Kind::Forward));
}

BOOST_AUTO_TEST_CASE(aForeignKeyIsUnknownAndGarbageIsNotRun)
{
    BOOST_TEST((forwarder().decide({ticketOf(self, otherKeys), false}).answer.ran == Ran::Unknown));
    BOOST_TEST((forwarder().decide({"garbage", false}).answer.ran == Ran::No));
}

BOOST_AUTO_TEST_CASE(whatMayBeSentIsUnknownEvenForASoleCopy)
{
    const OnceForwarder entry = forwarder();
    const std::string ticket = ticketOf({DaemonId{2}, Incarnation{3}, 7});
    BOOST_TEST((entry.onFailure({ticket, true}, {Errc::ConnectionLost, true}).ran == Ran::Unknown));
    BOOST_TEST((entry.onFailure({ticket, true}, {Errc::ConnectFailed, false}).ran == Ran::No));
    BOOST_TEST((entry.onFailure({ticket, false}, {Errc::ConnectFailed, false}).ran == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(onlyAnOwnerThatStartedNothingMakesASoleCopyNotRun)
{
    const OnceForwarder entry = forwarder();
    const OnceCopy sole{"", true};
    BOOST_TEST((entry.onOwnerAnswer(sole, {Ran::Unknown, Errc::StaleIncarnation, 0, nullptr, 0s}).ran == Ran::No));
    BOOST_TEST((entry.onOwnerAnswer(sole, {Ran::Unknown, Errc::TicketExpired, 0, nullptr, 0s}).ran == Ran::Unknown));
    BOOST_TEST((entry.onOwnerAnswer(sole, {Ran::Unknown, Errc::OutcomeUnknown, 0, nullptr, 0s}).ran == Ran::Unknown));
    BOOST_TEST((entry.onOwnerAnswer(sole, {Ran::Yes, Errc::Internal, 200, nullptr, 0s}).ran == Ran::Yes));
}

} // namespace sassafrasvane
