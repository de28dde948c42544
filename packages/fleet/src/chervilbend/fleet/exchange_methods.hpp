#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/answer_budget.hpp>
#include <chervilbend/fleet/report_pacer.hpp>
#include <chervilbend/peers/rpc_method.hpp>

#include <cstddef>

namespace chervilbend::routing
{
class helper_nodes;
class leaving_endpoints;
class prompt_part_tracker;
class unreachable_reports;
struct cluster_knowledge;
} // namespace chervilbend::routing

namespace chervilbend::fleet
{

class command_lease;
class engine_controller;
class rate_limit_exchange;
class store_relay;
struct holder_response;

inline constexpr const char *exchangeMethodName = "engines.exchange";
inline constexpr const char *promptExchangeMethodName = "prompts.exchange";
inline constexpr const char *ensureLoadedMethodName = "engines.want";
/// The holder answers a request to load an item within this time, whether or not the item is loaded.
inline constexpr base::milliseconds maxLoadWait{1'500};

/// Reports that a holder has answered, and what the answers contained.
struct exchange_counts {
    int reports = 0;
    /// Answers that contained all engines or all registrations, because the node had none of this holder's.
    int snapshots = 0;
    std::size_t engines = 0;
    std::size_t registrations = 0;
};

/// Receives a node's report and answers with the updates since the last one. A node that does not hold the command lease refuses the call.
///
/// On a thin link, or while the event loop is late, the updates wait for a later exchange, except for changes of registrations that the node knows:
/// these are few, and a node must learn in time that an endpoint is draining. A node that waits for a full list of registrations reads the store
/// itself.
class exchange_method : public peers::rpc_method
{
public:
    /// @p linkMegabits is the rate of this host's link in Mbit/s.
    exchange_method(const command_lease &lease,
                    engine_controller &controller,
                    const store_relay &relay,
                    const routing::cluster_knowledge &knowledge,
                    rate_limit_exchange &rateLimits,
                    double linkMegabits);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

    /// To be called with each measurement of the event loop's lateness.
    void noteLoopLag(base::milliseconds lag)
    {
        m_pacer.measure(lag);
    }

    /// The reports that were answered since the last call.
    exchange_counts takeCounts();

private:
    void count(const holder_response &answer, bool isSameHolder);

    const command_lease &m_lease;
    engine_controller &m_controller;
    const store_relay &m_relay;
    routing::prompt_part_tracker &m_prompts;
    routing::leaving_endpoints &m_leaving;
    routing::unreachable_reports &m_unreachableReports;
    routing::helper_nodes &m_helpers;
    rate_limit_exchange &m_rateLimits;
    answer_budget m_budget;
    report_pacer m_pacer;
    exchange_counts m_counts;
};

/// Exchanges what two nodes have seen of the parts of prompts. Unlike a report, it needs no holder of the command lease: any node answers it, so that the
/// nodes go on sharing what they see while the store is unavailable.
class prompt_exchange_method : public peers::rpc_method
{
public:
    explicit prompt_exchange_method(routing::prompt_part_tracker &prompts);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    routing::prompt_part_tracker &m_prompts;
};

/// Has an item loaded and answers when it is, or after maxLoadWait.
class ensure_loaded_method : public peers::rpc_method
{
public:
    ensure_loaded_method(const command_lease &lease, engine_controller &controller);

    std::string name() const override;
    boost::asio::awaitable<void> prepare(Json::Value parameters) override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    const command_lease &m_lease;
    engine_controller &m_controller;
};

} // namespace chervilbend::fleet
