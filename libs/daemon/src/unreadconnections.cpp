#include "unreadconnections.h"

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <memory>

namespace sassafrasvane::detail
{

namespace
{

/// True while the connection that this thread serves counts as unread.
thread_local bool isCounted = false;

} // namespace

/// A pool of threads that counts its tasks, each of which serves a connection.
class UnreadConnections::Queue : public httplib::TaskQueue
{
public:
    Queue(UnreadConnections &unread, std::size_t threads) : unread_(unread), pool_(threads) { }

    void enqueue(std::function<void()> serve) override
    {
        ++unread_.count_;
        pool_.enqueue([this, serve = std::move(serve)] {
            isCounted = true;
            serve();
            // A connection that ended without a request.
            unread_.onRequestRead();
        });
    }

    void shutdown() override { pool_.shutdown(); }

private:
    UnreadConnections &unread_;
    httplib::ThreadPool pool_;
};

httplib::TaskQueue *UnreadConnections::createQueue(std::size_t threads)
{
    return std::make_unique<Queue>(*this, threads).release();
}

void UnreadConnections::onRequestRead() noexcept
{
    if (isCounted) {
        isCounted = false;
        --count_;
    }
}

void UnreadConnections::refuseNew() const noexcept
{
    // A program that lets no packet pass. Closing the socket would also reset the connections that wait on it.
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    ::setsockopt(listener_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

bool UnreadConnections::isEmpty() const noexcept
{
    pollfd listener{listener_, POLLIN, 0};
    const bool hasUnaccepted = ::poll(&listener, 1, 0) > 0 && (listener.revents & POLLIN) != 0;
    return !hasUnaccepted && count_ == 0;
}

} // namespace sassafrasvane::detail
