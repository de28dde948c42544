#pragma once

#include <chervilbend/fakes/platform/metadata_store.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <string>
#include <thread>

namespace chervilbend::node::test
{

/// Stand-in for the platform's store that serves programs while the test waits for them.
class store_thread
{
public:
    store_thread()
        : m_work(m_context.get_executor())
        , m_store(m_context.get_executor(), 0, 1)
        , m_thread([this] { m_context.run(); })
    {
    }

    ~store_thread()
    {
        m_context.stop();
        m_thread.join();
    }

    store_thread(const store_thread &) = delete;
    store_thread &operator=(const store_thread &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_store.port());
    }

    /// Changes the store in the thread that serves it, and waits until that is done.
    void change(const std::function<void(fakes::metadata_store &)> &action)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            action(m_store);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    fakes::metadata_store m_store;
    std::thread m_thread;
};

} // namespace chervilbend::node::test
