#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::fakes
{

class raw_connection;

/// How the store answers for a while.
enum class store_fault {
    none,
    /// Refuses all calls with 503.
    busy,
    /// Answers nothing.
    silent,
    /// Answers after half a second.
    slow,
    /// Carries out the appends, and answers only two of three of them.
    lossy,
};

/// Stand-in for the platform's metadata store: keyed topics and logs with one partition each, conditional appends, and held reads. Keeps all records.
class metadata_store
{
public:
    metadata_store(const boost::asio::any_io_executor &executor, std::uint16_t port, std::uint64_t seed);

    /// What the operator writes.
    void putConfiguration(const std::string &json);
    /// What a server writes. An empty entry removes it.
    void putServer(const std::string &id, const std::string &entry);
    void setFault(store_fault fault)
    {
        m_fault = fault;
    }

private:
    void put(const std::string &topic, const std::string &key, const std::string &value);
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<raw_connection> caller);
    boost::asio::awaitable<std::string> answer(std::string target, std::string body);
    boost::asio::awaitable<std::string> readLog(std::string target);
    std::string append(const std::string &target, const std::string &body);
    std::string readNewest(const std::string &target) const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    /// Records by topic, each with the length and text of its key before its value.
    std::map<std::string, std::vector<std::string>> m_topics;
    net::change_signal m_changed;
    store_fault m_fault = store_fault::none;
    seeded_random m_random;
};

} // namespace chervilbend::fakes
