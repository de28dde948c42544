#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/forwarded_request.hpp>
#include <chervilbend/node/callers/quota_charge.hpp>
#include <chervilbend/node/callers/request_relay.hpp>

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

constexpr std::size_t maxHelpers = 3;
constexpr base::milliseconds helperConnectTimeout{300};

const log4cxx::LoggerPtr &routeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("route");
    return logger;
}

} // namespace

bool forwarder::mayRelay(const forwarded_request &request, const forwarding_progress &progress) const
{
    const forwarding_plan &plan = request.plan;
    const bool hasAttemptLeft = plan.maxAttempts == 0 || progress.countedAttempts < plan.maxAttempts;
    return m_relay && m_relay->isNeeded() && !plan.isRelayed && plan.hasStrictStatus && (!progress.mayHaveRun || plan.facts.repeatable) && hasAttemptLeft
        && base::clock::now() < plan.facts.deadline;
}

asio::awaitable<bool> forwarder::forwardToHelpers(std::shared_ptr<forwarded_request> request, forwarding_progress &progress)
{
    std::set<net::address> tried;
    while (tried.size() < maxHelpers && mayRelay(*request, progress)) {
        const std::optional<net::address> helper = m_relay->chooseHelper(tried, request->plan.account.has_value());
        if (!helper) {
            progress.why = {base::error_kind::noEndpoint, "this node reaches no endpoint and knows no other node that could help"};
            break;
        }
        tried.insert(*helper);
        LOG4CXX_INFO(routeLog(),
                     base::log_event("relayed")
                         .with("request", request->plan.attemptId)
                         .with("pool", request->plan.facts.pool)
                         .with("helper", net::toString(*helper))
                         .with("attemptsUsed", progress.countedAttempts)
                         .text());
        attempt_result result = co_await attemptAtHelper(request, *helper, progress.countedAttempts);
        const bool isFinished = concludeAttempt(*request, std::move(result), net::toString(*helper), progress);
        if (isFinished) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<forwarder::attempt_result> forwarder::attemptAtHelper(std::shared_ptr<forwarded_request> request, net::address helper, int attemptsUsed)
{
    const forwarding_plan &plan = request->plan;
    request->startRelayedAttempt();
    if (plan.charge) {
        plan.charge->startAttempt();
    }
    net::http_send_options options;
    options.deadline = plan.facts.deadline;
    options.answerTimeout = plan.timeLeft();
    options.connectTimeout = std::min(helperConnectTimeout, options.answerTimeout);
    attempt_terms terms;
    terms.lastEvent = request->events.lastEvent();
    terms.attemptsUsed = attemptsUsed;
    const bool hasBegunHere = request->exchange->isStarted() && !request->softwareVersion.empty();
    terms.softwareVersion = hasBegunHere ? request->softwareVersion : plan.facts.softwareVersion;
    net::http_request message = m_relay->protocol().prepare(request->exchange->request(), plan, terms);
    const std::shared_ptr<net::http_client_stream> answer = co_await m_relay->client().open(helper, std::move(message), options);
    if (!answer) {
        co_return failedAttempt(m_relay->client());
    }
    // A variable, because g++ 12 destroys an aggregate that is a temporary argument of an awaited call twice.
    routing::dispatch noEndpoint;
    co_return co_await forwardResponse(request, m_relay->protocol(), std::move(noEndpoint), answer);
}

} // namespace chervilbend::node
