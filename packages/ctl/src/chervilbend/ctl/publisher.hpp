#pragma once

#include <chervilbend/config/service_declaration.hpp>
#include <chervilbend/ctl/node_client.hpp>
#include <chervilbend/ctl/publish_result.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chervilbend::ctl
{

/// Publishes service declarations and waits for the results.
class publisher : public base::reason_holder
{
public:
    using sleep_function = std::function<void(base::milliseconds)>;

    struct options {
        net::address node;
        std::string author;
        /// Time to wait per service until the publish is decided and in force on all known nodes.
        base::milliseconds wait{10'000};
        /// Base versions of the files, by service; default: the version in force.
        std::map<std::string, std::int64_t> bases;
    };

    publisher(node_client &client, options settings, sleep_function sleep);

    /// Publishes the declarations that differ from those in force. Returns no value if the node's state cannot be read; nothing has been
    /// sent then.
    std::optional<std::vector<publish_result>> publish(std::span<const config::service_declaration> declarations);

private:
    struct peer {
        std::string name;
        net::address address;
    };

    bool readStatus();
    publish_result publishOne(const config::service_declaration &declaration);
    void describeChange(const config::service_declaration &declaration, publish_result &result) const;
    bool send(const config::service_declaration &declaration, publish_result &result);
    void trackPublish(publish_result &result);
    std::optional<Json::Value> waitForDecision(const std::string &publishId, base::time_point deadline);
    void describeRejection(const Json::Value &status, publish_result &result) const;
    void waitUntilInForce(publish_result &result, base::time_point deadline);

    node_client &m_client;
    options m_options;
    sleep_function m_sleep;
    Json::Value m_status;
    std::vector<peer> m_peers;
};

} // namespace chervilbend::ctl
