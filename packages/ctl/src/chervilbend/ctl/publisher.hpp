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

/// Publishes declarations and finds out what became of them.
class publisher : public base::reason_holder
{
public:
    using sleep_function = std::function<void(base::milliseconds)>;

    struct options {
        net::address node;
        std::string author;
        /// How long to wait for each service to be decided and in force on all known nodes.
        base::milliseconds wait{10'000};
        /// Versions that the files build on, by service; default: the version in force now.
        std::map<std::string, std::int64_t> bases;
    };

    publisher(node_client &caller, options settings, sleep_function sleep);

    /// Publishes the declarations that differ from what is in force. No value when the node's state cannot be read; nothing was sent then.
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
    void follow(publish_result &result);
    std::optional<Json::Value> askForDecision(const std::string &publishId, base::time_point deadline);
    void describeRejection(const Json::Value &status, publish_result &result) const;
    void countNodes(publish_result &result, base::time_point deadline);

    node_client &m_caller;
    options m_options;
    sleep_function m_sleep;
    Json::Value m_status;
    std::vector<peer> m_peers;
};

} // namespace chervilbend::ctl
