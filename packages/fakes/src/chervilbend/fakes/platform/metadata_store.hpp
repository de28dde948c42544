#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/platform/call_rate.hpp>
#include <chervilbend/fakes/platform/key_json.hpp>
#include <chervilbend/fakes/platform/topic_records.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::fakes
{

class query_parameters;
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

/// Stand-in for the platform's metadata store: keyed topics and logs with one partition each, conditional appends, held reads and pages of newest records.
///
/// Calls without a topic, with a malformed escape in the query or with a number that can't be read get 400, as does a request that is no HTTP. Without
/// setRetention(), all records are retained.
class metadata_store
{
public:
    /// With port 0, the system chooses one.
    metadata_store(const boost::asio::any_io_executor &executor, std::uint16_t port, std::uint64_t seed);

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /// What the operator writes.
    void putConfiguration(const std::string &json);
    /// What the operator writes beside the configuration. An empty value drops the key.
    void putOperatorRecord(const std::string &key, const std::string &value);
    /// What a server writes. An empty entry removes it.
    void putServer(const std::string &id, const std::string &entry);
    void setFault(store_fault fault)
    {
        m_fault = fault;
    }
    void setPageLimit(page_limit limit)
    {
        m_pageLimit = limit;
    }
    void setKeyEncoding(key_encoding encoding)
    {
        m_keyEncoding = encoding;
    }
    /// Retains the last @p records records of each topic, and the newest record of each key.
    void setRetention(std::size_t records)
    {
        m_retention = records;
    }
    /// Refuses appends of longer records with 400.
    void setRecordLimit(std::size_t bytes)
    {
        m_recordLimit = bytes;
    }
    /// Refuses reads beyond the rate with 429; without a value, none.
    void setReadRate(std::optional<double> readsPerSecond);

    /// Calls of the path that have arrived, with those that were not answered.
    std::size_t calls(std::string_view path) const;
    /// Calls of the path that got the status, with those whose answer was lost.
    std::size_t calls(std::string_view path, int status) const;

private:
    struct store_answer {
        int status;
        std::string body;
    };

    struct call_counts {
        std::size_t arrived = 0;
        std::map<int, std::size_t> answered;
    };

    void put(const std::string &topic, const std::string &key, const std::string &value);
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<raw_connection> caller);
    boost::asio::awaitable<store_answer> answer(std::string path, std::string target, std::string body);
    boost::asio::awaitable<store_answer> readLog(std::string topic, query_parameters query);
    store_answer append(const std::string &topic, const query_parameters &query, const std::string &body);
    store_answer readNewest(const std::string &topic, const query_parameters &query) const;
    topic_records &findOrCreateTopic(const std::string &name);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, topic_records> m_topics;
    net::change_signal m_changed;
    store_fault m_fault = store_fault::none;
    page_limit m_pageLimit;
    key_encoding m_keyEncoding = key_encoding::rawBytes;
    std::size_t m_retention = std::numeric_limits<std::size_t>::max();
    std::size_t m_recordLimit = std::numeric_limits<std::size_t>::max();
    std::optional<call_rate> m_readRate;
    std::map<std::string, call_counts, std::less<>> m_calls;
    seeded_random m_random;
};

} // namespace chervilbend::fakes
