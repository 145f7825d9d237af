#pragma once

#include "base/time.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

/// \file
/// The thread of a task.

namespace sassafrasvane
{

/// One thread that runs posted functions one after another. A task keeps its state on its loop and is talked to by
/// posting; nothing else touches that state.
///
/// \code
/// EventLoop loop("leaf");
/// loop.post([] { ... });
/// \endcode
class EventLoop
{
public:
    /// Starts the thread. \param name shown by the operating system, at most 15 characters.
    explicit EventLoop(const std::string &name);

    /// Stops the loop.
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs \p work on the loop's thread, after what was posted before. May be called from any thread.
    void post(std::function<void()> work);

    /// Runs \p work on the loop's thread at \p when or soon after. May be called from any thread.
    void at(TimePoint when, std::function<void()> work);

    /// Ends the thread; work that has not begun is dropped. Not to be called from the loop's thread.
    void stop();

    /// For sockets that belong to the loop.
    boost::asio::io_context &context() noexcept;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace sassafrasvane
