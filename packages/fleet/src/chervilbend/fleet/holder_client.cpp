#include <chervilbend/fleet/holder_client.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/engine_controller.hpp>
#include <chervilbend/fleet/exchange_json.hpp>
#include <chervilbend/fleet/exchange_methods.hpp>
#include <chervilbend/fleet/known_residency.hpp>
#include <chervilbend/fleet/prompt_evidence_json.hpp>
#include <chervilbend/fleet/rate_limit_exchange.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/fleet/usage_meter.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/change_signal.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/peers/rpc_caller.hpp>
#include <chervilbend/routing/cluster_knowledge.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// An overloaded holder is asked less often: a report whose answer comes too late has cost it the same.
constexpr int unansweredIntervalFactor = 2;
constexpr base::milliseconds exchangeTimeout{700};
/// A lost endpoint is reported after this time instead of the interval; losses that belong together arrive within a few milliseconds.
constexpr base::milliseconds lossCollectionTime{50};
/// Interval of attempts until the holder has answered for the first time, for which the node's readiness waits.
constexpr base::milliseconds firstAnswerInterval{50};
/// After this long without contact to the holder, the engines' registrations are more accurate than its last updates.
constexpr base::milliseconds updateLifetime{3'000};
/// Interval of attempts to request an item from the holder while a request waits for it.
constexpr base::milliseconds requestRetryInterval{60};
/// The holder answers a request for an item within maxLoadWait.
constexpr base::milliseconds requestTimeout = maxLoadWait + base::milliseconds(300);

const log4cxx::LoggerPtr &placeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("place");
    return logger;
}

} // namespace

holder_client::holder_client(base::node_id node,
                             command_lease &lease,
                             engine_controller &controller,
                             peers::rpc_caller &peers,
                             known_residency &residency,
                             usage_meter &usage,
                             store_relay &relay,
                             const routing::cluster_knowledge &knowledge,
                             rate_limit_exchange &rateLimits)
    : m_node(std::move(node))
    , m_lease(lease)
    , m_controller(controller)
    , m_peers(peers)
    , m_residency(residency)
    , m_usage(usage)
    , m_relay(relay)
    , m_prompts(*knowledge.promptParts)
    , m_leaving(*knowledge.leaving)
    , m_unreachable(*knowledge.unreachable)
    , m_unreachableReports(*knowledge.unreachableReports)
    , m_helpers(*knowledge.helpers)
    , m_rateLimits(rateLimits)
{
    m_prompts.onLoss([this] { m_lossSeen.notify(); });
}

void holder_client::onChange(std::function<void(const std::set<base::endpoint_id> &)> listener)
{
    m_listener = std::move(listener);
}

void holder_client::onNodes(std::function<void(int)> listener)
{
    m_nodesListener = std::move(listener);
}

void holder_client::onRank(std::function<void(int)> listener)
{
    m_rankListener = std::move(listener);
}

void holder_client::notifyNodes(const holder_response &answer) const
{
    if (m_nodesListener) {
        m_nodesListener(answer.nodes);
    }
    if (m_rankListener && answer.rank) {
        m_rankListener(*answer.rank);
    }
}

void holder_client::onFirstAnswer(std::function<void()> listener)
{
    m_firstAnswerListener = std::move(listener);
}

void holder_client::notify(const std::set<base::endpoint_id> &changed) const
{
    if (m_listener && !changed.empty()) {
        m_listener(changed);
    }
}

asio::awaitable<void> holder_client::run()
{
    m_answeredAt = base::clock::now();
    while (true) {
        const bool isHolderKnown = m_lease.holder().has_value();
        const bool isAnswered = co_await exchange();
        if (isAnswered) {
            handleAnswer();
        } else {
            handleSilence(isHolderKnown);
        }
        if (isAnswered != m_isReachable) {
            const std::optional<lease_record> holder = m_lease.holder();
            LOG4CXX_INFO(placeLog(),
                         base::log_event(isAnswered ? "holderReached" : "holderLost").with("holder", holder ? holder->holder.value() : std::string()).text());
            m_isReachable = isAnswered;
        }
        const base::milliseconds interval = m_firstAnswerListener ? std::min(m_interval, firstAnswerInterval) : m_interval;
        const bool isLossSeen = co_await m_lossSeen.wait(base::clock::now() + interval);
        if (isLossSeen) {
            co_await net::sleepFor(lossCollectionTime);
        }
    }
}

void holder_client::handleAnswer()
{
    m_answeredAt = base::clock::now();
    if (const auto listener = std::exchange(m_firstAnswerListener, nullptr)) {
        listener();
    }
}

void holder_client::handleSilence(bool isHolderKnown)
{
    m_interval = isHolderKnown ? std::min(m_interval * unansweredIntervalFactor, report_pacer::longestInterval) : report_pacer::shortestInterval;
    if (base::clock::now() - m_answeredAt > updateLifetime) {
        m_residency.discardUpdates();
    }
}

asio::awaitable<bool> holder_client::exchange()
{
    const std::optional<lease_record> holder = m_lease.holder();
    if (!holder) {
        co_await exchangePrompts();
        co_return false;
    }
    node_report report;
    report.node = m_node;
    report.open = m_usage.open();
    report.used = m_usage.takeUsed();
    report.token = m_token;
    report.version = m_version;
    report.registrationsVersion = m_relay.appliedVersion(m_token);
    if (m_lease.isHolder()) {
        const holder_response answer = m_controller.report(report);
        notifyNodes(answer);
        applyLocalUpdates();
        m_prompts.merge(m_prompts.responseTo(m_prompts.takeNews()));
        m_rateLimits.exchangeLocally();
        m_unreachableReports.noteReport(m_node, m_unreachable.own());
        m_unreachable.setListed(m_unreachableReports.listFor(m_node), m_lease.token(), base::clock::now());
        m_helpers.setHelpers(m_helpers.chooseFor(m_node));
        m_interval = report_pacer::shortestInterval;
        co_return true;
    }
    const std::optional<net::address> address = net::parseAddress(holder->peerAddress);
    if (!address) {
        co_return false;
    }
    report.prompts = m_prompts.takeNews();
    report.rateLimits = m_rateLimits.takeReport();
    report.leaving = m_leaving.recent();
    report.unreachable = m_unreachable.own();
    report.helper = m_helpers.own();
    const Json::Value message = toJson(report);
    const read_time requestedAt = read_time::now();
    const std::optional<Json::Value> json = co_await m_peers.call(*address, exchangeMethodName, message, exchangeTimeout);
    const std::optional<holder_response> answer = json ? readHolderResponse(*json) : std::nullopt;
    if (!answer) {
        m_prompts.announceAgain(report.prompts.answered);
        m_rateLimits.noteUnanswered(report.rateLimits);
        co_return false;
    }
    m_prompts.merge(answer->prompts);
    m_rateLimits.apply(report.rateLimits, answer->rateLimits, requestedAt.steady);
    for (const routing::endpoint_process &process : answer->leaving) {
        m_leaving.note(process);
    }
    m_unreachable.setListed(answer->unreachable, answer->lease.token, requestedAt.steady);
    m_helpers.setHelpers(answer->helpers);
    if (answer->lease.token != m_token) {
        m_prompts.announceAgain();
    }
    m_lease.noteHolder(answer->lease, answer->offset, answer->age);
    m_relay.apply(answer->lease.token, answer->store, requestedAt);
    applyResponse(*answer);
    m_interval = std::clamp(answer->reportInterval, report_pacer::shortestInterval, report_pacer::longestInterval);
    co_return true;
}

asio::awaitable<void> holder_client::exchangePrompts()
{
    const std::optional<lease_record> last = m_lease.lastHolder();
    const std::optional<net::address> address = last && last->holder != m_node ? net::parseAddress(last->peerAddress) : std::nullopt;
    if (!address) {
        co_return;
    }
    const routing::prompt_evidence news = m_prompts.takeNews();
    if (news.lost.empty()) {
        // Without a suspicion the parts that have been answered can wait for a holder.
        m_prompts.announceAgain(news.answered);
        co_return;
    }
    const Json::Value message = toJson(news);
    const std::optional<Json::Value> json = co_await m_peers.call(*address, promptExchangeMethodName, message, exchangeTimeout);
    const std::optional<routing::prompt_evidence> answer = json ? readPromptEvidence(*json) : std::nullopt;
    if (answer) {
        m_prompts.merge(*answer);
    } else {
        m_prompts.announceAgain(news.answered);
    }
}

void holder_client::applyResponse(const holder_response &answer)
{
    m_token = answer.lease.token;
    m_version = answer.version;
    notifyNodes(answer);
    notify(m_residency.apply(answer.updates));
}

void holder_client::applyLocalUpdates()
{
    if (m_lease.isHolder()) {
        const std::int64_t since = m_token == m_lease.token() ? m_version : 0;
        m_token = m_lease.token();
        m_version = m_controller.version();
        notify(m_residency.apply(m_controller.updatesSince(since)));
    }
}

/// Others that need the item wait until the request for it ends, also when its task is cancelled because its caller has left.
class holder_client::pending_request
{
public:
    pending_request(std::shared_ptr<pending_map> all, const requested_item &item)
        : m_all(std::move(all))
        , m_item(item)
    {
        (*m_all)[item] = std::make_shared<net::change_signal>();
    }

    ~pending_request()
    {
        const std::shared_ptr<net::change_signal> signal = m_all->extract(m_item).mapped();
        signal->notify();
    }

    pending_request(const pending_request &) = delete;
    pending_request &operator=(const pending_request &) = delete;

private:
    std::shared_ptr<pending_map> m_all;
    requested_item m_item;
};

asio::awaitable<bool> holder_client::ensureLoaded(requested_item item, base::time_point until)
{
    while (!m_residency.isHeld(item) && base::clock::now() < until) {
        const auto pending = m_pendingRequests->find(item);
        if (pending != m_pendingRequests->end()) {
            const std::shared_ptr<net::change_signal> signal = pending->second;
            co_await signal->wait(until);
            continue;
        }
        {
            const pending_request request(m_pendingRequests, item);
            co_await requestItem(item, until);
        }
        if (!m_residency.isHeld(item)) {
            co_await net::sleepFor(std::min(requestRetryInterval, until - base::clock::now()));
        }
    }
    co_return m_residency.isHeld(item);
}

asio::awaitable<void> holder_client::requestItem(requested_item item, base::time_point until)
{
    const std::optional<lease_record> holder = m_lease.holder();
    if (!holder) {
        co_return;
    }
    if (m_lease.isHolder()) {
        co_await m_controller.ensureLoaded(item, std::min(until, base::clock::now() + maxLoadWait));
        applyLocalUpdates();
        co_return;
    }
    const std::optional<net::address> address = net::parseAddress(holder->peerAddress);
    if (!address) {
        co_return;
    }
    const Json::Value message = toJson(item);
    const std::optional<Json::Value> json = co_await m_peers.call(*address, ensureLoadedMethodName, message, requestTimeout);
    const std::optional<std::vector<engine_update>> updates = json ? readEngineUpdates((*json)["news"]) : std::nullopt;
    if (updates) {
        notify(m_residency.apply(*updates));
    }
}

} // namespace chervilbend::fleet
