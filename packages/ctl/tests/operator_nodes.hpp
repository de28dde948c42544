#pragma once

#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/operators/commands/publish_method.hpp>
#include <chervilbend/node/operators/queries/day_method.hpp>
#include <chervilbend/node/operators/queries/diff_method.hpp>
#include <chervilbend/node/operators/queries/history_method.hpp>
#include <chervilbend/node/operators/queries/publish_status_method.hpp>
#include <chervilbend/node/operators/queries/status_method.hpp>
#include <chervilbend/node/operators/state_operator_view.hpp>
#include <chervilbend/node/reports/recent_days.hpp>
#include <chervilbend/peers/rpc_server.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// Operator interface of a node: replicated state, RPC methods and HTTP server. Records come from the log of the test.
class operator_node : public chervilbend::node::node_info, public chervilbend::node::publish_sink
{
public:
    using append_function = std::function<void(const chervilbend::state::entry &)>;

    operator_node(boost::asio::io_context &context, std::string name, const std::vector<std::unique_ptr<operator_node>> &all, append_function append)
        : m_name(std::move(name))
        , m_all(all)
        , m_append(std::move(append))
        , m_server(std::make_shared<chervilbend::membership::message_signer>(chervilbend::membership::signing_keys{"secret of the tests", ""}))
    {
        using namespace chervilbend::node;
        m_server.add(std::make_shared<commands::publish_method>(m_view, *this));
        m_server.add(std::make_shared<queries::publish_status_method>(m_view));
        m_server.add(std::make_shared<queries::status_method>(m_view));
        m_server.add(std::make_shared<queries::history_method>(m_view));
        m_server.add(std::make_shared<queries::diff_method>(m_view));
        m_server.add(std::make_shared<queries::day_method>(days));
        m_http = std::make_shared<chervilbend::net::http_server>(context.get_executor(), m_server);
        address = {"127.0.0.1", m_http->listen({"127.0.0.1", 0}).value()};
    }

    bool submit(chervilbend::state::entry entry) override // NOLINT(performance-unnecessary-value-param)
    {
        m_append(entry);
        return true;
    }

    chervilbend::base::node_id self() const override
    {
        return chervilbend::base::node_id(m_name);
    }

    chervilbend::node::log_status log() const override
    {
        return {!isDisconnected, chervilbend::base::milliseconds(12), m_state.appliedOffset()};
    }

    std::vector<chervilbend::node::known_node> nodes() const override
    {
        std::vector<chervilbend::node::known_node> known;
        for (const auto &node : m_all) {
            known.push_back({node->self(), toString(node->address), chervilbend::base::zone_id("a"), "alive", false});
        }
        return known;
    }

    void applyRecord(chervilbend::base::log_offset offset, const std::string &payload)
    {
        if (!isDisconnected) {
            m_state.apply(offset, payload);
            m_declarationCache.observe(payload);
        }
    }

    void close()
    {
        m_http->closeAll();
    }

    chervilbend::net::address address;
    chervilbend::node::recent_days days;
    std::atomic<bool> isDisconnected = false;

private:
    std::string m_name;
    const std::vector<std::unique_ptr<operator_node>> &m_all;
    append_function m_append;
    chervilbend::state::replicated_state m_state;
    chervilbend::node::declaration_cache m_declarationCache;
    chervilbend::node::state_operator_view m_view{m_state, m_declarationCache, *this};
    chervilbend::peers::rpc_server m_server;
    std::shared_ptr<chervilbend::net::http_server> m_http;
};

/// Two nodes that share an in-memory log and are served by a separate thread. Three endpoints of 40 GiB in zones a, b and c.
class operator_nodes
{
public:
    operator_nodes()
    {
        using namespace chervilbend;
        for (const char *name : {"n1", "n2"}) {
            nodes.push_back(std::make_unique<operator_node>(m_context, name, nodes, [this](const state::entry &entry) { append(entry); }));
        }
        state::lease_entry lease;
        lease.name = state::plannerLease();
        lease.holder = base::node_id("n1");
        lease.incarnation = base::incarnation(1);
        append(lease);
        for (const char *zone : {"a", "b", "c"}) {
            state::endpoint_entry endpoint;
            endpoint.endpoint = base::endpoint_id(std::string("engine-") + zone);
            endpoint.address = "127.0.0.1:9000";
            endpoint.zone = base::zone_id(zone);
            endpoint.memory = base::byte_count(std::int64_t{40} << 30);
            endpoint.checksFencing = true;
            endpoint.plannerToken = base::log_offset(1);
            append(endpoint);
        }
        m_thread = std::thread([this] {
            const auto guard = boost::asio::make_work_guard(m_context);
            m_context.run();
        });
    }

    ~operator_nodes()
    {
        m_context.stop();
        m_thread.join();
        for (const auto &node : nodes) {
            node->close();
        }
        m_context.restart();
        m_context.poll();
        // The nodes' servers use the context, which would otherwise be destroyed before them.
        nodes.clear();
    }

    std::vector<std::unique_ptr<operator_node>> nodes;

private:
    void append(const chervilbend::state::entry &entry)
    {
        ++m_head;
        const std::string payload = chervilbend::state::encodeRecord(std::span(&entry, 1));
        for (const auto &node : nodes) {
            node->applyRecord(chervilbend::base::log_offset(m_head), payload);
        }
    }

    boost::asio::io_context m_context;
    std::int64_t m_head = 0;
    std::thread m_thread;
};
