#include <chervilbend/fleet/configuration_read_method.hpp>

#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/configuration_read_json.hpp>

#include <utility>

namespace chervilbend::fleet
{

configuration_read_method::configuration_read_method(base::node_id node, const configuration_follower &configuration, double linkMegabits)
    : m_node(std::move(node))
    , m_configuration(configuration)
    , m_limiter(linkMegabits)
{
}

std::string configuration_read_method::name() const
{
    return configurationReadMethodName;
}

std::optional<Json::Value> configuration_read_method::call(const Json::Value &parameters)
{
    const std::optional<configuration_request> request = readConfigurationRequest(parameters);
    if (!request) {
        return fail(base::error_kind::badRequest, "invalid request for a configuration: a member is missing or has the wrong type");
    }
    if (!m_configuration.current() || !m_configuration.position()) {
        return fail(base::error_kind::peerUnavailable, "this node has no configuration, or does not know its position in the store");
    }
    remote_configuration answer;
    answer.version = m_configuration.current()->version;
    if (request->version && *request->version >= answer.version) {
        return fail(base::error_kind::peerUnavailable, "this node has no newer configuration");
    }
    if (m_configuration.record().size() > configuration_answer_limiter::maxBytes) {
        return fail(base::error_kind::overloaded, "the configuration is too large to be sent to other nodes");
    }
    if (!m_limiter.tryStart(request->node, m_configuration.record().size())) {
        return fail(base::error_kind::overloaded, "the configuration was sent to this node, or is being sent to another one");
    }
    answer.node = m_node;
    answer.record = m_configuration.record();
    answer.position = *m_configuration.position();
    answer.age = base::clock::now() - m_configuration.confirmedAt();
    return toJson(answer);
}

} // namespace chervilbend::fleet
