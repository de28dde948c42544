#include <chervilbend/fleet/exchange_methods.hpp>

#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/engine_controller.hpp>
#include <chervilbend/fleet/exchange_json.hpp>
#include <chervilbend/fleet/prompt_evidence_json.hpp>
#include <chervilbend/fleet/rate_limit_exchange.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/routing/cluster_knowledge.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{
/// Approximate sizes of one entry of an answer, in bytes.
constexpr std::size_t engineUpdateBytes = 190;
constexpr std::size_t registrationBytes = 160;
} // namespace

exchange_method::exchange_method(const command_lease &lease,
                                 engine_controller &controller,
                                 const store_relay &relay,
                                 const routing::cluster_knowledge &knowledge,
                                 rate_limit_exchange &rateLimits,
                                 double linkMegabits)
    : m_lease(lease)
    , m_controller(controller)
    , m_relay(relay)
    , m_prompts(*knowledge.promptParts)
    , m_leaving(*knowledge.leaving)
    , m_unreachableReports(*knowledge.unreachableReports)
    , m_helpers(*knowledge.helpers)
    , m_rateLimits(rateLimits)
    , m_budget(linkMegabits)
{
}

std::string exchange_method::name() const
{
    return exchangeMethodName;
}

std::optional<Json::Value> exchange_method::call(const Json::Value &parameters)
{
    const std::optional<node_report> report = readNodeReport(parameters);
    if (!report) {
        return fail(base::error_kind::badRequest, "invalid node report: a member is missing or has the wrong type");
    }
    if (!m_lease.isHolder()) {
        return fail(base::error_kind::peerUnavailable, "this node does not hold the command lease");
    }
    const bool isSameHolder = report->token == m_lease.token();
    const bool mayContainUpdates = !m_pacer.isOverloaded() && m_budget.hasRoom();
    holder_response answer = m_controller.report(*report);
    answer.reportInterval = m_pacer.interval();
    m_prompts.merge(report->prompts);
    answer.prompts = m_prompts.responseTo(report->prompts);
    answer.rateLimits = m_rateLimits.answer(report->rateLimits);
    for (const routing::endpoint_process &process : report->leaving) {
        m_leaving.note(process);
    }
    answer.leaving = m_leaving.recent();
    m_unreachableReports.noteReport(report->node, report->unreachable);
    answer.unreachable = m_unreachableReports.listFor(report->node);
    if (report->helper) {
        m_helpers.noteReport(report->node, *report->helper);
    }
    answer.helpers = m_helpers.chooseFor(report->node);
    const std::int64_t version = isSameHolder ? report->version : 0;
    answer.version = version;
    if (mayContainUpdates) {
        answer.version = m_controller.version();
        answer.updates = m_controller.updatesSince(version);
    }
    answer.store = m_relay.updatesSince(isSameHolder ? report->registrationsVersion : 0, mayContainUpdates);
    m_budget.take(answer.updates.size() * engineUpdateBytes + answer.store.registrations.size() * registrationBytes);
    count(answer, isSameHolder);
    return toJson(answer);
}

void exchange_method::count(const holder_response &answer, bool isSameHolder)
{
    ++m_counts.reports;
    m_counts.snapshots += !answer.updates.empty() && (!isSameHolder || answer.store.isSnapshot) ? 1 : 0;
    m_counts.engines += answer.updates.size();
    m_counts.registrations += answer.store.registrations.size();
}

exchange_counts exchange_method::takeCounts()
{
    return std::exchange(m_counts, {});
}

prompt_exchange_method::prompt_exchange_method(routing::prompt_part_tracker &prompts)
    : m_prompts(prompts)
{
}

std::string prompt_exchange_method::name() const
{
    return promptExchangeMethodName;
}

std::optional<Json::Value> prompt_exchange_method::call(const Json::Value &parameters)
{
    const std::optional<routing::prompt_evidence> remote = readPromptEvidence(parameters);
    if (!remote) {
        return fail(base::error_kind::badRequest, "invalid evidence: a member is missing or has the wrong type");
    }
    m_prompts.merge(*remote);
    return toJson(m_prompts.responseTo(*remote));
}

ensure_loaded_method::ensure_loaded_method(const command_lease &lease, engine_controller &controller)
    : m_lease(lease)
    , m_controller(controller)
{
}

std::string ensure_loaded_method::name() const
{
    return ensureLoadedMethodName;
}

asio::awaitable<void> ensure_loaded_method::prepare(Json::Value parameters)
{
    const std::optional<requested_item> item = readRequestedItem(parameters);
    if (item && m_lease.isHolder()) {
        co_await m_controller.ensureLoaded(*item, base::clock::now() + maxLoadWait);
    }
}

std::optional<Json::Value> ensure_loaded_method::call(const Json::Value &parameters)
{
    const std::optional<requested_item> item = readRequestedItem(parameters);
    if (!item) {
        return fail(base::error_kind::badRequest, "invalid item: service, model and adapter must be strings");
    }
    if (!m_lease.isHolder()) {
        return fail(base::error_kind::peerUnavailable, "this node does not hold the command lease");
    }
    Json::Value answer(Json::objectValue);
    answer["news"] = toJson(m_controller.holders(*item));
    return answer;
}

} // namespace chervilbend::fleet
