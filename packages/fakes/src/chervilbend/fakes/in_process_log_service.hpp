#pragma once

#include <chervilbend/external/log_service.hpp>
#include <chervilbend/fakes/log_store.hpp>

#include <memory>

namespace chervilbend::fakes
{

/// Gives a node access to a log store that several nodes of a simulation share.
class in_process_log_service : public external::log_service
{
public:
    explicit in_process_log_service(std::shared_ptr<log_store> store);

    /// Disconnects this node from the log, or reconnects it. Wakes pending reads, which fail at once after a disconnection.
    void setReachable(bool reachable);

    boost::asio::awaitable<external::append_result> append(std::string payload) override;
    boost::asio::awaitable<std::optional<external::log_page>> read(base::log_offset after, base::milliseconds wait) override;

private:
    bool isAvailable() const;
    boost::asio::awaitable<void> waitForChange(base::time_point until);

    std::shared_ptr<log_store> m_store;
    bool m_reachable = true;
    /// Callbacks that wake pending reads. Kept separately from the store's listeners because reachability is per node.
    std::map<std::uint64_t, std::function<void()>> m_waiting;
};

} // namespace chervilbend::fakes
