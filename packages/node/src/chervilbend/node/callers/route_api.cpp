#include <chervilbend/node/callers/route_api.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/pool_name.hpp>
#include <chervilbend/fleet/request_codec.hpp>
#include <chervilbend/fleet/request_cost.hpp>
#include <chervilbend/fleet/request_urgency.hpp>
#include <chervilbend/fleet/stream_origins.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/handler_guard.hpp>
#include <chervilbend/node/callers/item_provider.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

/// For callers that send no deadline.
constexpr base::milliseconds defaultCallerTimeout{30'000};
/// A silent attempt may be given up after this many target latencies, clamped to the bounds below.
constexpr int silenceTimeoutFactor = 3;
/// The same in pauses between events that the route allows, as numerator and denominator: a stream with such pauses is on time, and one half is left for their
/// spread.
constexpr int silenceGapNumerator = 3;
constexpr int silenceGapDenominator = 2;
constexpr base::milliseconds minSilenceTimeout{400};
constexpr base::milliseconds maxSilenceTimeout{2'000};
/// Callers abandon a stream if its first event does not arrive within the longest of these: the minimum, and multiples of the route's target
/// latency and of its longest gap. The request may be queued for half of that time; the rest is left for the endpoint.
constexpr base::milliseconds minFirstEventTimeout{2'000};
constexpr int firstEventLatencyFactor = 4;
constexpr int firstEventGapFactor = 8;
/// Bounds on the time in which the origin of a stream is looked up: a time, and a divisor of what is left until the deadline.
constexpr base::milliseconds maxOriginLookup{1'000};
constexpr int originLookupShare = 4;

const log4cxx::LoggerPtr &routeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("route");
    return logger;
}

/// Hash of all prompt parts but the last, which requests may share; 0 if there are fewer than two parts.
std::uint64_t sharedPrefix(const fleet::caller_request &caller, std::string_view pool)
{
    if (caller.prompt.size() < 2) {
        return 0;
    }
    std::uint64_t hash = base::hash64(pool);
    for (std::size_t i = 0; i + 1 < caller.prompt.size(); ++i) {
        hash = base::hash64(caller.prompt[i].id, hash);
    }
    return hash;
}

/// Enters the prompt parts that other requests may share: all but the last, which belongs to the request or its session alone.
void setSharedParts(const fleet::caller_request &caller, forwarding_plan &plan)
{
    for (std::size_t i = 0; i + 1 < caller.prompt.size(); ++i) {
        const std::string &id = caller.prompt[i].id;
        plan.facts.promptParts.push_back(base::hash64(id));
        plan.sharedPromptParts.append(i == 0 ? "" : ",").append(id);
    }
}

std::string_view textOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Identifies what a request asks for, however often it is sent. A prompt is not part of the body.
std::uint64_t fingerprintOf(const net::http_request &request, const fleet::caller_request &caller)
{
    std::uint64_t fingerprint = base::hash64(request.body(), base::hash64(textOf(request.target())));
    fingerprint = base::hash64(caller.adapter, base::hash64(caller.model, fingerprint));
    for (const fleet::prompt_part &part : caller.prompt) {
        fingerprint = base::hash64(part.id, fingerprint);
    }
    return fingerprint;
}

} // namespace

route_api::route_api(const fleet::request_codec &codec,
                     forwarder &requestForwarder,
                     item_provider &itemProvider,
                     fleet::usage_meter &usage,
                     open_requests &open,
                     fleet::stream_origins &origins,
                     caller_metrics &metrics,
                     base::metric_registry &registry,
                     std::shared_ptr<routing::account_quotas> quotas)
    : m_codec(codec)
    , m_protocol(codec)
    , m_forwarder(requestForwarder)
    , m_itemProvider(itemProvider)
    , m_usage(usage)
    , m_open(open)
    , m_origins(origins)
    , m_metrics(metrics)
    , m_accountMetrics(registry)
    , m_quotaAdmission(std::move(quotas))
{
}

void route_api::setAuthentication(authentication_settings settings, std::function<base::time_point()> confirmedAt)
{
    m_authentication = caller_authentication(settings);
    m_confirmedAt = std::move(confirmedAt);
}

void route_api::setRoutes(std::shared_ptr<const fleet::route_table> routes)
{
    m_routes = std::move(routes);
}

void route_api::stopAt(base::time_point latestArrival, base::time_point latestEnd)
{
    m_latestArrival = std::min(latestArrival, latestEnd);
    m_latestEnd = latestEnd;
}

asio::awaitable<void> route_api::handle(std::shared_ptr<net::http_exchange> exchange)
{
    co_await handleGuarded(std::move(exchange), false);
}

asio::awaitable<void> route_api::handleRelayed(std::shared_ptr<net::http_exchange> exchange)
{
    co_await handleGuarded(std::move(exchange), true);
}

asio::awaitable<void> route_api::handleGuarded(std::shared_ptr<net::http_exchange> exchange, bool isRelayed)
{
    const std::string attempt = m_codec.attemptField(exchange->request()).value;
    const open_requests::registration registration(m_open, exchange, attempt);
    const std::optional<std::string> failure = co_await failureOf(serve(exchange, isRelayed), exchange, attempt);
    if (!failure) {
        co_return;
    }
    LOG4CXX_ERROR(routeLog(), base::log_event("handlerFailed").with("target", textOf(exchange->request().target())).with("why", *failure).text());
    if (!exchange->isStarted()) {
        const base::reason why{base::error_kind::endpointFailed, "the request failed with an internal error"};
        co_await exchange->respond(problemAnswer(why));
    }
}

asio::awaitable<void> route_api::refuse(std::shared_ptr<net::http_exchange> exchange, std::string attempt, base::error_kind kind, std::string text)
{
    const base::reason why{kind, std::move(text)};
    noteRefusal(exchange->request(), attempt, why, std::nullopt);
    co_await exchange->respond(problemAnswer(why));
}

asio::awaitable<void> route_api::refuseUnserved(std::shared_ptr<net::http_exchange> exchange, const forwarding_plan &plan)
{
    const base::reason why{base::error_kind::noEndpoint, "no endpoint holds " + plan.facts.pool};
    if (!m_forwarder.estimatesRetryAfter()) {
        co_await refuse(exchange, plan.attemptId, why.kind, why.text);
        co_return;
    }
    const std::optional<base::milliseconds> retryAfter = m_forwarder.retryAfterFor(plan.facts);
    noteRefusal(exchange->request(), plan.attemptId, why, retryAfter);
    net::http_response answer = problemAnswer(why);
    setRetryAfter(answer, retryAfter);
    co_await exchange->respond(std::move(answer));
}

void route_api::noteRefusal(const net::http_request &request, const std::string &attempt, const base::reason &why, std::optional<base::milliseconds> retryAfter)
{
    base::log_event event("refused");
    event.with("request", attempt).with("target", textOf(request.target())).with("version", m_routes ? m_routes->configuration().version : 0);
    if (retryAfter) {
        event.with("retryAfterMs", retryAfter->count());
    }
    LOG4CXX_INFO(routeLog(), event.with("why", why.text).text());
    m_metrics.onProblem(why.kind);
}

asio::awaitable<void> route_api::serve(std::shared_ptr<net::http_exchange> exchange, bool isRelayed)
{
    const net::http_request &request = exchange->request();
    if (!m_routes) {
        co_await refuse(exchange, std::string(), base::error_kind::noEndpoint, "no configuration has been loaded yet");
        co_return;
    }
    base::reason why;
    const std::optional<fleet::caller_request> caller = m_codec.read(request, why);
    if (!caller) {
        co_await refuse(exchange, std::string(), why.kind, why.text);
        co_return;
    }
    if (base::clock::now() >= m_latestArrival) {
        co_await refuse(exchange, caller->attempt, base::error_kind::shuttingDown, "this node stops now");
        co_return;
    }
    const std::shared_ptr<const fleet::route_table> routes = m_routes;
    const std::string_view target = textOf(request.target());
    const std::string_view host = textOf(request[http::field::host]);
    const fleet::route_rule *const route = routes->find(host.substr(0, host.find(':')), target.substr(0, target.find('?')));
    const base::service_id *const service = route ? fleet::chooseService(*route, caller->attempt) : nullptr;
    if (!service) {
        co_await refuse(exchange, caller->attempt, base::error_kind::unknownRoute, "no route matches this host and path");
        co_return;
    }
    const authentication identity = authenticate(*routes, *route, *caller, isRelayed);
    if (identity.refusal) {
        co_await refuse(exchange, caller->attempt, identity.refusal->kind, identity.refusal->text);
        co_return;
    }
    const auto rule = routes->configuration().services.find(*service);
    forwarding_plan plan = planFor(request, *caller, *route, identity, *service, rule == routes->configuration().services.end() ? nullptr : &rule->second);
    if (isRelayed) {
        plan.isRelayed = true;
        plan.maxAttempts = std::max(1, plan.maxAttempts - caller->attemptsUsed);
        plan.facts.softwareVersion = caller->softwareVersion;
    }
    if (!isRelayed && identity.rule && identity.rule->quota.isLimited()) {
        const bool isCharged = co_await charge(exchange, *caller, plan, *identity.rule);
        if (!isCharged) {
            co_return;
        }
    } else if (!isRelayed && identity.account) {
        m_accountMetrics.count(*identity.account, account_decision::admitted);
    }
    if (plan.resumable && caller->lastEvent && plan.facts.softwareVersion.empty()) {
        const bool isBound = co_await bindToOrigin(plan, *caller, why);
        if (!isBound) {
            co_await refuse(exchange, caller->attempt, why.kind, why.text);
            co_return;
        }
    }
    if (!caller->model.empty()) {
        const fleet::requested_item item{*service, caller->model, caller->adapter};
        plan.item = item;
        const fleet::usage_meter::registration usageRegistration(m_usage, item);
        const bool isAvailable = co_await m_itemProvider.waitUntilAvailable(item, std::min(plan.facts.deadline, plan.facts.latestDispatch));
        if (!isAvailable) {
            co_await refuseUnserved(exchange, plan);
            co_return;
        }
        co_await m_forwarder.forward(exchange, std::move(plan));
        co_return;
    }
    co_await m_forwarder.forward(exchange, std::move(plan));
}

authentication route_api::authenticate(const fleet::route_table &routes, const fleet::route_rule &route, const fleet::caller_request &caller, bool isRelayed)
{
    const base::milliseconds configurationAge = m_confirmedAt ? base::clock::now() - m_confirmedAt() : base::milliseconds(0);
    authentication identity = m_authentication.authenticate(routes, route, caller, isRelayed, configurationAge);
    if (identity.account && identity.refusal) {
        const bool isUnconfirmed = identity.refusal->kind == base::error_kind::configurationUnconfirmed;
        m_accountMetrics.count(*identity.account, isUnconfirmed ? account_decision::configurationUnconfirmed : account_decision::invalidKey);
    }
    return identity;
}

asio::awaitable<bool> route_api::charge(std::shared_ptr<net::http_exchange> exchange,
                                        const fleet::caller_request &caller,
                                        forwarding_plan &plan,
                                        const fleet::account_rule &account)
{
    const routing::account_quotas &quotas = *m_quotaAdmission.quotas();
    const double cost = fleet::costOf(caller, account.quota);
    std::shared_ptr<routing::quota_request> request = co_await m_quotaAdmission.charge(account.id, cost);
    const bool isAdmitted = request->decision == routing::quota_decision::admitted;
    m_accountMetrics.count(account.id, isAdmitted ? account_decision::admitted : account_decision::overQuota);
    if (isAdmitted) {
        plan.charge = std::make_shared<quota_charge>(m_quotaAdmission.quotas(), std::move(request));
        co_return true;
    }
    LOG4CXX_INFO(routeLog(),
                 base::log_event("overQuota")
                     .with("request", caller.attempt)
                     .with("account", account.id.value())
                     .with("cost", static_cast<std::int64_t>(cost))
                     .with("balance", static_cast<std::int64_t>(quotas.balance(account.id)))
                     .with("isolated", quotas.isIsolated())
                     .with("answerAgeMs", quotas.answerAge().count())
                     .with("retryAfterMs", request->retryAfter.count())
                     .text());
    const base::reason why{base::error_kind::quotaExceeded, "account " + account.id.value() + " has used its quota"};
    m_metrics.onProblem(why.kind);
    net::http_response answer = problemAnswer(why);
    setRetryAfter(answer, request->retryAfter);
    co_await exchange->respond(std::move(answer));
    co_return false;
}

asio::awaitable<bool> route_api::bindToOrigin(forwarding_plan &plan, const fleet::caller_request &caller, base::reason &why)
{
    const base::time_point now = base::clock::now();
    const base::time_point until = now + std::min(maxOriginLookup, (plan.facts.deadline - now) / originLookupShare);
    const std::optional<std::uint64_t> stream = caller.resumedAttempt.empty() ? std::nullopt : std::optional(plan.stream);
    const fleet::origin_lookup origin = co_await m_origins.find(plan.service, stream, until);
    LOG4CXX_INFO(routeLog(),
                 base::log_event("takenUp")
                     .with("request", caller.attempt)
                     .with("stream", caller.resumedAttempt)
                     .with("service", plan.service.value())
                     .with("lastEvent", *caller.lastEvent)
                     .with("software", origin.version.value())
                     .with("source", fleet::toString(origin.source))
                     .with("tookMs", (base::clock::now() - now).count())
                     .text());
    plan.facts.softwareVersion = origin.version;
    why = origin.why;
    co_return !origin.version.empty();
}

forwarding_plan route_api::planFor(const net::http_request &request,
                                   const fleet::caller_request &caller,
                                   const fleet::route_rule &route,
                                   const authentication &identity,
                                   const base::service_id &service,
                                   const fleet::service_rule *rule) const
{
    forwarding_plan plan;
    plan.protocol = &m_protocol;
    plan.hasStrictStatus = true;
    plan.attemptId = caller.attempt;
    plan.maxAttempts = route.attempts;
    const fleet::request_urgency urgency = fleet::urgencyOf(identity.rule, route);
    plan.urgency = urgency.level;
    plan.account = identity.account;
    plan.resumable = route.kind == fleet::route_kind::stream && route.resumable;
    plan.lastEvent = caller.lastEvent;
    plan.stream = base::hash64(caller.resumedAttempt.empty() ? caller.attempt : caller.resumedAttempt);
    plan.service = service;
    plan.tokensPerEvent = rule && rule->engine ? rule->engine->tokensPerEvent : 1;
    plan.facts.pool = fleet::poolName(service, caller.model, caller.adapter);
    plan.facts.retryGroup = service.value();
    plan.facts.account = identity.account.value_or(base::account_id());
    plan.facts.urgency = urgency.queueClass;
    plan.facts.deadline = std::min(base::clock::now() + std::min(caller.timeout.value_or(defaultCallerTimeout), route.timeout), m_latestEnd);
    if (route.kind == fleet::route_kind::stream) {
        const base::milliseconds firstEventTimeout =
            std::max({minFirstEventTimeout, route.targetLatency * firstEventLatencyFactor, route.longestGap * firstEventGapFactor});
        plan.facts.latestDispatch = base::clock::now() + firstEventTimeout / 2;
    }
    plan.facts.promptTokens = caller.promptTokens;
    plan.facts.maxTokens = caller.maxTokens;
    if (plan.resumable && caller.lastEvent) {
        const std::int64_t received = std::min(*caller.lastEvent, caller.maxTokens.count()) * plan.tokensPerEvent;
        plan.facts.receivedTokens = base::token_count(std::min(received, caller.maxTokens.count()));
    }
    plan.facts.prefixHash = sharedPrefix(caller, plan.facts.pool);
    setSharedParts(caller, plan);
    plan.facts.fingerprint = fingerprintOf(request, caller);
    plan.facts.repeatable = route.isRepeatable();
    if (plan.facts.repeatable) {
        const base::milliseconds longest = std::max(route.targetLatency * silenceTimeoutFactor, route.longestGap * silenceGapNumerator / silenceGapDenominator);
        plan.silenceTimeout = std::clamp(longest, minSilenceTimeout, maxSilenceTimeout);
    }
    return plan;
}

} // namespace chervilbend::node
