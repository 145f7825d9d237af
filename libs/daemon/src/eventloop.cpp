#include "daemon/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <pthread.h>

#include <thread>

namespace sassafrasvane
{

struct EventLoop::Implementation {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
    std::thread thread;
};

EventLoop::EventLoop(const std::string &name) : implementation_(std::make_unique<Implementation>())
{
    implementation_->thread = std::thread([this] { implementation_->context.run(); });
    pthread_setname_np(implementation_->thread.native_handle(), name.c_str());
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(std::function<void()> work)
{
    boost::asio::post(implementation_->context, std::move(work));
}

void EventLoop::at(TimePoint when, std::function<void()> work)
{
    const Duration left = std::max(when - BootClock::now(), Duration{0});
    const auto timer = std::make_shared<boost::asio::steady_timer>(implementation_->context, left);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code &error) {
        if (!error) {
            work();
        }
    });
}

void EventLoop::stop()
{
    implementation_->context.stop();
    if (implementation_->thread.joinable()) {
        implementation_->thread.join();
    }
}

boost::asio::io_context &EventLoop::context() noexcept
{
    return implementation_->context;
}

} // namespace sassafrasvane
