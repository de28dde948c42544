#pragma once

#include <chervilbend/node/operators/operator_view.hpp>
#include <chervilbend/node/operators/publish_sink.hpp>
#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::node::commands
{

/// "publish": checks a declaration and submits it to the log. The response confirms only the submission; "publishStatus" returns the
/// result. The call may be repeated with the same publishId.
///
/// Parameters: publishId, author, base (version in force that it replaces; 0 for a new service), declaration.
/// Result: publishId, service, state ("submitted", or "accepted" or "rejected" for a repeat of a known id), warnings.
class publish_method : public peers::rpc_method
{
public:
    /// Both must outlive the method.
    publish_method(const operator_view &view, publish_sink &sink);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    std::optional<state::publish_entry> readEntry(const Json::Value &parameters);
    bool checkRules(const config::service_declaration &declaration);
    bool checkBase(const state::publish_entry &entry);
    bool checkMemory(const config::service_declaration &declaration, Json::Value &warnings);

    const operator_view &m_view;
    publish_sink &m_sink;
};

} // namespace chervilbend::node::commands
