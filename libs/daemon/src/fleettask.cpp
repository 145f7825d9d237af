#include "daemon/fleettask.h"

#include "base/random.h"
#include "daemon/eventloop.h"
#include "fleet/gossipcodec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <future>

namespace sassafrasvane
{

namespace
{

using boost::asio::ip::udp;

constexpr std::size_t receiveBufferSize = 2048;

udp::endpoint endpointOf(const Address &address)
{
    return {boost::asio::ip::address_v4(address.ip), address.port};
}

Membership makeMembership(const FleetIdentity &identity, TimePoint now)
{
    MemberRecord record;
    record.daemon = identity.daemon;
    record.incarnation = identity.incarnation;
    record.callers = identity.callers;
    record.failureDomain = identity.failureDomain;
    record.region = identity.region;
    return Membership::Builder().self(record).seed(mix(identity.daemon.value, identity.incarnation.value)).build(now);
}

} // namespace

struct FleetTask::Implementation {
    Implementation(const FleetIdentity &identity, GossipCodec codec, FleetHooks hooks)
        : hooks(std::move(hooks)), codec(std::move(codec)), membership(makeMembership(identity, BootClock::now()))
    {
    }

    EventLoop loop{"fleet"};
    udp::socket socket{loop.context()};
    std::array<char, receiveBufferSize> input{};
    udp::endpoint sender;
    FleetHooks hooks;
    GossipCodec codec;
    Membership membership;
    MembershipActions actions;
    /// Of the timer that counts; earlier ones that still fire are ignored.
    TimePoint wakeAt;

    void receive();
    void take(std::string_view bytes);
    void apply();
    void send(DaemonId to, const FleetMessage &message);
    void tick();
};

void FleetTask::Implementation::receive()
{
    socket.async_receive_from(
        boost::asio::buffer(input), sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                take({input.data(), size});
            }
            receive();
        });
}

void FleetTask::Implementation::take(std::string_view bytes)
{
    const Address from{sender.address().to_v4().to_uint(), sender.port()};
    const Result<FleetMessage> message = codec.decode(from, bytes);
    if (message.has_error()) {
        hooks.onError(message.error());
        return;
    }
    if (const GossipMessage *gossip = std::get_if<GossipMessage>(&message.value())) {
        const Result<void> taken = membership.handle(BootClock::now(), *gossip, actions);
        if (taken.has_error()) {
            hooks.onError(taken.error());
        }
        apply();
    }
}

void FleetTask::Implementation::apply()
{
    if (actions.ownIncarnation) {
        codec.setIncarnation(*actions.ownIncarnation);
    }
    for (const GossipSend &out : actions.sends) {
        send(out.to, out.message);
    }
    if (!actions.changes.empty()) {
        hooks.onMembers(membership.members());
    }
    if (actions.wakeAt && (wakeAt <= BootClock::now() || *actions.wakeAt < wakeAt)) {
        wakeAt = *actions.wakeAt;
        loop.at(wakeAt, [this, due = wakeAt] {
            if (due == wakeAt) {
                tick();
            }
        });
    }
    actions.clear();
}

void FleetTask::Implementation::send(DaemonId to, const FleetMessage &message)
{
    std::string bytes;
    const Result<void> encoded = codec.encode(to, message, bytes);
    if (encoded.has_error()) {
        hooks.onError(encoded.error());
        return;
    }
    boost::system::error_code error;
    socket.send_to(boost::asio::buffer(bytes), endpointOf(peerAddress(to)), 0, error);
    // A datagram that is lost here is one more that the network lost; the exchange allows for it.
}

void FleetTask::Implementation::tick()
{
    membership.onTimer(BootClock::now(), actions);
    apply();
}

FleetTask::FleetTask(std::unique_ptr<Implementation> implementation) : implementation_(std::move(implementation))
{
}

FleetTask::~FleetTask()
{
    stop();
}

Result<std::unique_ptr<FleetTask>> FleetTask::start(const FleetIdentity &identity, FleetHooks hooks)
{
    Result<GossipCodec> codec
        = GossipCodec::Builder().self(identity.daemon).incarnation(identity.incarnation).keys(identity.keys).build();
    if (codec.has_error()) {
        return codec.error();
    }
    auto implementation = std::make_unique<Implementation>(identity, std::move(codec.value()), std::move(hooks));
    const Address address = peerAddress(identity.daemon);
    boost::system::error_code error;
    implementation->socket.open(udp::v4(), error);
    if (!error) {
        implementation->socket.bind(endpointOf(address), error);
    }
    if (!error) {
        implementation->socket.non_blocking(true, error);
    }
    if (error) {
        return Error{Errc::Unavailable, Step::Gossip, address.toString(), error.message()};
    }
    Implementation *const raw = implementation.get();
    raw->loop.post([raw] {
        raw->receive();
        raw->tick();
    });
    return std::unique_ptr<FleetTask>(new FleetTask(std::move(implementation)));
}

void FleetTask::setPublished(std::shared_ptr<const VmList> vms)
{
    implementation_->loop.post([implementation = implementation_.get(), vms = std::move(vms)] {
        implementation->membership.setPublished(BootClock::now(), *vms, implementation->actions);
        implementation->apply();
    });
}

void FleetTask::leave()
{
    implementation_->loop.post([implementation = implementation_.get()] {
        implementation->membership.leave(BootClock::now(), implementation->actions);
        implementation->apply();
    });
}

void FleetTask::stop()
{
    if (implementation_ == nullptr) {
        return;
    }
    std::promise<void> departed;
    implementation_->loop.post([implementation = implementation_.get(), &departed] {
        implementation->membership.depart(BootClock::now(), implementation->actions);
        implementation->apply();
        departed.set_value();
    });
    departed.get_future().wait();
    implementation_->loop.stop();
    implementation_.reset();
}

} // namespace sassafrasvane
