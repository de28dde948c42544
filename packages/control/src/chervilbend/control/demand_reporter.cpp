#include <chervilbend/control/demand_reporter.hpp>

#include <chervilbend/control/demand_codec.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/sleep.hpp>

#include <optional>
#include <utility>

namespace chervilbend::control
{

namespace
{

constexpr base::milliseconds reportInterval{2'000};
constexpr base::milliseconds responseTimeout{1'000};

} // namespace

/// Receives the aggregated demand of a child node.
class demand_reporter::demand_method : public peers::rpc_method
{
public:
    explicit demand_method(demand_reporter &owner)
        : m_owner(owner)
    {
    }

    std::string name() const override
    {
        return "demand";
    }

    std::optional<Json::Value> call(const Json::Value &parameters) override
    {
        std::optional<membership::demand_by_item> sum = decodeDemand(parameters, declaredModels(m_owner.m_state));
        if (!sum || !parameters["from"].isString()) {
            return fail(base::error_kind::badRequest, "the demand report is malformed or refers to other declarations");
        }
        if (!m_owner.m_tree.accept(base::node_id(parameters["from"].asString()), std::move(*sum))) {
            return fail(base::error_kind::badRequest, "the sender is not a child of this node");
        }
        return Json::Value(Json::objectValue);
    }

private:
    demand_reporter &m_owner;
};

demand_reporter::demand_reporter(const state::replicated_state &state,
                                 const membership::member_table &members,
                                 membership::demand_tree &tree,
                                 const demand_source &source,
                                 peers::rpc_caller &caller)
    : m_state(state)
    , m_members(members)
    , m_tree(tree)
    , m_source(source)
    , m_caller(caller)
{
}

std::shared_ptr<peers::rpc_method> demand_reporter::method()
{
    return std::make_shared<demand_method>(*this);
}

boost::asio::awaitable<void> demand_reporter::run()
{
    while (true) {
        co_await reportOnce();
        co_await net::sleepFor(reportInterval);
    }
}

boost::asio::awaitable<void> demand_reporter::reportOnce()
{
    std::vector<base::node_id> live;
    for (const membership::member &member : m_members.live()) {
        live.push_back(member.id);
    }
    const auto planner = m_state.leases().find(state::plannerLease());
    m_tree.setMembers(std::move(live), planner == m_state.leases().end() ? base::node_id() : planner->second.holder);
    m_tree.setLocalDemand(m_source.demand());
    const membership::member *parent = m_tree.parent() ? m_members.find(*m_tree.parent()) : nullptr;
    const std::optional<net::address> parentAddress = parent ? net::parseAddress(parent->address) : std::nullopt;
    if (!parentAddress) {
        co_return;
    }
    Json::Value message = encodeDemand(m_tree.sum(), declaredModels(m_state));
    message["from"] = m_members.self().id.value();
    // A lost report is not retried, since the next one replaces it.
    co_await m_caller.call(*parentAddress, "demand", std::move(message), responseTimeout);
}

} // namespace chervilbend::control
