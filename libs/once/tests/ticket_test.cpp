#include "once/ticket.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000}};
const std::vector<std::string> oldKeys{"old-key"};
const std::vector<std::string> newKeys{"new-key"};
const std::vector<std::string> bothKeys{"new-key", "old-key"};

Ticket someTicket()
{
    return Ticket{{DaemonId{0x7f0000011b59}, Incarnation{42}, 0xfedcba9876543210}, 7, origin + 60s};
}

} // namespace

RC_BOOST_PROP(ticketSurvivesItsText,
              (std::uint64_t daemon, std::uint64_t incarnation, std::uint64_t nonce, std::int64_t expiresAt))
{
    const TicketCodec codec(newKeys);
    const Ticket ticket{
        {DaemonId{daemon}, Incarnation{incarnation}, nonce}, nonce ^ daemon, TimePoint(Duration(expiresAt))};
    RC_ASSERT(codec.decode(codec.encode(ticket)).value() == ticket);
}

RC_BOOST_PROP(anyChangedLetterIsRefused, ())
{
    const TicketCodec codec(newKeys);
    std::string text = codec.encode(someTicket());
    const std::size_t place = *rc::gen::inRange<std::size_t>(0, text.size());
    const char letter = *rc::gen::suchThat(rc::gen::arbitrary<char>(), [&](char c) { return c != text[place]; });
    text[place] = letter;
    RC_ASSERT(codec.decode(text).has_error());
}

BOOST_AUTO_TEST_CASE(keysChangeWithoutAStop)
{
    const std::string oldText = TicketCodec(oldKeys).encode(someTicket());
    const std::string newText = TicketCodec(bothKeys).encode(someTicket());
    BOOST_TEST(TicketCodec(bothKeys).decode(oldText).has_value());
    BOOST_TEST(TicketCodec(newKeys).decode(newText).has_value());
    BOOST_TEST((TicketCodec(newKeys).decode(oldText).error().errc() == Errc::NotAuthentic));
}

BOOST_AUTO_TEST_CASE(otherFormsAreToldFromForeignKeys)
{
    const TicketCodec codec(newKeys);
    const std::string text = codec.encode(someTicket());
    for (const std::string &wrong : {std::string(), std::string("t1"), text + "0", "t2" + text.substr(2)}) {
        BOOST_TEST((codec.decode(wrong).error().errc() == Errc::InvalidRequest));
    }
}

BOOST_AUTO_TEST_CASE(issuedTicketsDiffer)
{
    TicketIssuer issuer(someTicket().origin, 60s);
    std::set<Ticket> tickets;
    for (int i = 0; i < 100; ++i) {
        tickets.insert(issuer.issue(origin));
    }
    BOOST_TEST(tickets.size() == 100U);
    BOOST_TEST((tickets.begin()->expiresAt == origin + 60s));
}

} // namespace sassafrasvane
