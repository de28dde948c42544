#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/net/http_types.hpp>
#include <chervilbend/soak/attempt_ledger.hpp>
#include <chervilbend/soak/soak_options.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::soak
{

class node_rotation;

/// A client of the nodes: sends one request after the other on a connection that it keeps until it is closed, and repeats a refused one once, on a new
/// connection, as the platform's pages say. Some of these repetitions bear the id of the attempt that was refused, which the pages rule out.
class caller
{
public:
    /// The references must outlive the object. A caller that reads feeds sends nothing else.
    caller(const soak_options &options, const node_rotation &nodes, attempt_ledger &ledger, std::uint64_t seed, bool readsFeeds = false);

    /// Sends requests until @p end.
    boost::asio::awaitable<void> run(base::time_point end);

private:
    /// A connection to a node.
    struct open_connection;

    /// A request, over its attempts.
    struct caller_request {
        std::uint64_t number = 0;
        request_kind kind = request_kind::order;
        std::string body;
        /// Of its account; no value in a soak without accounts.
        std::optional<account_key> key;
        base::time_point deadline;
        /// The caller closes its connection at that time; it doesn't wait any longer.
        std::optional<base::time_point> leavesAt;
    };

    struct attempt_answer {
        int status = 0;
        base::milliseconds retryAfter{0};
    };

    caller_request drawRequest();
    request_kind drawKind();
    base::milliseconds timeoutOf(request_kind kind) const;
    boost::asio::awaitable<void> send(caller_request request);
    boost::asio::awaitable<attempt_answer> attempt(caller_request request, std::string id, std::shared_ptr<open_connection> connection);
    boost::asio::awaitable<std::shared_ptr<open_connection>> connect(std::uint64_t hash);
    /// The connection of the request before, if it is still open, or a new one; nullptr if none can be had.
    boost::asio::awaitable<std::shared_ptr<open_connection>> keptConnection();
    /// Header lines that say which account the request belongs to.
    std::string accountFields(const caller_request &request);
    static std::string targetOf(const caller_request &request);
    static std::string expectedBody(const caller_request &request, const std::string &id);
    void checkAnswer(const caller_request &request, const std::string &id, const net::http_response &answer);

    const soak_options &m_options;
    const node_rotation &m_nodes;
    attempt_ledger &m_ledger;
    fakes::seeded_random m_random;
    /// Separate from m_random, so that a seed gives the same requests with and without accounts.
    fakes::seeded_random m_accountRandom;
    std::shared_ptr<open_connection> m_connection;
    std::uint64_t m_hash;
    bool m_readsFeeds;
};

} // namespace chervilbend::soak
