#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>

namespace chervilbend::fleet
{

/// Lets several tasks that need up-to-date content of the store share its reads: each waits for a read that began after it asked.
class on_demand_read
{
public:
    /// @p function reads and returns whether it succeeded. The object must outlive the event loop's run.
    explicit on_demand_read(std::function<boost::asio::awaitable<bool>()> function);

    /// Waits for a read that begins after this call, until @p until at the latest. True if it has succeeded.
    boost::asio::awaitable<bool> read(base::time_point until);

private:
    void begin(const boost::asio::any_io_executor &executor);
    boost::asio::awaitable<void> perform();

    std::function<boost::asio::awaitable<bool>()> m_function;
    net::change_signal m_change;
    /// Numbers of reads.
    std::uint64_t m_begun = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_lastSucceeded = 0;
};

} // namespace chervilbend::fleet
