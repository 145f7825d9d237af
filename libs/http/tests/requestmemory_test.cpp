#include "http/requestmemory.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <numeric>
#include <vector>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

const TimePoint origin{100s};

/// A connection that waits for its client since a given time.
class FakeHolder final : public http::RequestHolder
{
public:
    explicit FakeHolder(std::shared_ptr<http::RequestMemory> memory) : memory_(std::move(memory)), lease(memory_)
    {
        memory_->add(*this);
    }
    ~FakeHolder() { memory_->remove(*this); }

    std::size_t heldBytes() const noexcept override { return lease.held(); }
    std::optional<TimePoint> waitingSince() const noexcept override { return since; }
    bool hasBeenServed() const noexcept override { return isServed; }
    void shed(http::ShedReason) override
    {
        isShed = true;
        lease = http::RequestLease();
        memory_->remove(*this);
    }

private:
    std::shared_ptr<http::RequestMemory> memory_;

public:
    http::RequestLease lease;
    std::optional<TimePoint> since = origin;
    bool isServed = false;
    bool isShed = false;
};

std::shared_ptr<http::RequestMemory> makeMemory(std::size_t bytes, std::size_t connections = 100)
{
    return std::make_shared<http::RequestMemory>(http::RequestMemoryLimits{bytes, connections});
}

std::vector<std::unique_ptr<FakeHolder>> makeHolders(const std::shared_ptr<http::RequestMemory> &memory,
                                                     std::size_t count)
{
    std::vector<std::unique_ptr<FakeHolder>> holders;
    for (std::size_t number = 0; number < count; ++number) {
        holders.push_back(std::make_unique<FakeHolder>(memory));
    }
    return holders;
}

} // namespace

// Guards against a crowd that starves the callers that come after it.
BOOST_AUTO_TEST_CASE(largestRequestThatWaitsLongestIsClosedForTheNewcomer)
{
    const std::shared_ptr<http::RequestMemory> memory = makeMemory(1'000'000);
    const std::vector<std::unique_ptr<FakeHolder>> holders = makeHolders(memory, 4);
    BOOST_REQUIRE(holders[0]->lease.resize(origin, 300'000));
    BOOST_REQUIRE(holders[1]->lease.resize(origin, 200'000));
    BOOST_REQUIRE(holders[2]->lease.resize(origin, 200'000));
    holders[0]->since = origin + 900ms;
    holders[2]->since = origin + 500ms;
    BOOST_TEST(holders[3]->lease.resize(origin + 1s, 200'000, holders[3].get()));
    BOOST_TEST(holders[1]->isShed);
    BOOST_TEST((!holders[0]->isShed && !holders[2]->isShed));
    BOOST_TEST(memory->counters().shedForMemory == 1U);
}

// Guards against closing clients that are served on time, and requests that a searcher may be running.
BOOST_AUTO_TEST_CASE(requestsInProgressAreNotClosed)
{
    const std::shared_ptr<http::RequestMemory> memory = makeMemory(1'000'000);
    const std::vector<std::unique_ptr<FakeHolder>> holders = makeHolders(memory, 3);
    BOOST_REQUIRE(holders[0]->lease.resize(origin, 400'000));
    BOOST_REQUIRE(holders[1]->lease.resize(origin, 350'000));
    holders[0]->since.reset();
    holders[1]->since = origin + 950ms;
    BOOST_TEST(!holders[2]->lease.resize(origin + 1s, 200'000, holders[2].get()));
    BOOST_TEST(memory->counters().refusals == 1U);
    BOOST_TEST(holders[2]->lease.held() == 0U);
    // The part that is kept for small requests.
    BOOST_TEST(holders[2]->lease.resize(origin + 1s, 30'000, holders[2].get()));
}

// Guards against closing all idle connections for requests that are being handled.
BOOST_AUTO_TEST_CASE(connectionsThatHoldLittleStayOpen)
{
    const std::shared_ptr<http::RequestMemory> memory = makeMemory(1'000'000);
    const std::vector<std::unique_ptr<FakeHolder>> holders = makeHolders(memory, 3);
    BOOST_REQUIRE(holders[0]->lease.resize(origin, 1'000));
    BOOST_REQUIRE(holders[1]->lease.resize(origin, 740'000));
    holders[1]->since.reset();
    BOOST_TEST(!holders[2]->lease.resize(origin + 9s, 200'000, holders[2].get()));
    BOOST_TEST(!holders[0]->isShed);
}

BOOST_AUTO_TEST_CASE(unservedConnectionsMakeRoomBeforeServedOnes)
{
    const std::shared_ptr<http::RequestMemory> memory = makeMemory(1'000'000, 3);
    const std::vector<std::unique_ptr<FakeHolder>> holders = makeHolders(memory, 3);
    holders[0]->isServed = true;
    holders[2]->since = origin + 100ms;
    BOOST_TEST(!memory->makeRoomForConnection(origin + 400ms));
    BOOST_TEST(memory->makeRoomForConnection(origin + 1s));
    BOOST_TEST(holders[1]->isShed);
}

RC_BOOST_PROP(sumOfLeasesIsWhatIsHeld, (const std::vector<std::uint32_t> &steps))
{
    constexpr std::size_t limit = 1'000'000;
    constexpr std::size_t holderCount = 8;
    const std::shared_ptr<http::RequestMemory> memory = makeMemory(limit);
    std::vector<http::RequestLease> handled;
    {
        const std::vector<std::unique_ptr<FakeHolder>> holders = makeHolders(memory, holderCount);
        std::size_t charged = 0;
        TimePoint now = origin;
        for (const std::uint32_t step : steps) {
            now += 37ms;
            FakeHolder &holder = *holders[step % holderCount];
            if (holder.isShed) {
                continue;
            }
            const std::size_t size = (step / 32) % 400'000;
            switch ((step / holderCount) % 4) {
            case 0:
                handled.push_back(holder.lease.split(size));
                break;
            case 1:
                holder.lease.charge(now, size, &holder);
                charged += size;
                break;
            default:
                (void)holder.lease.resize(now, size, &holder);
                break;
            }
            holder.since = step % 3 == 0 ? std::nullopt : std::optional<TimePoint>(now);
            std::size_t sum = 0;
            for (const std::unique_ptr<FakeHolder> &each : holders) {
                sum += each->lease.held();
            }
            for (const http::RequestLease &lease : handled) {
                sum += lease.held();
            }
            RC_ASSERT(memory->used() == sum);
            RC_ASSERT(memory->used() <= limit + charged);
        }
    }
    handled.clear();
    RC_ASSERT(memory->used() == 0U);
    RC_ASSERT(memory->connections() == 0U);
}
