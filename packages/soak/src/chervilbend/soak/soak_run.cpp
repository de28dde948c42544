#include <chervilbend/soak/soak_run.hpp>

#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <chrono>
#include <exception>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::soak
{

namespace
{

constexpr base::milliseconds startTimeout{20'000};
constexpr base::milliseconds pollInterval{100};
/// After the start of the nodes, so that they know each other.
constexpr base::milliseconds settlingTime{2'500};
/// After the last answer, in which requests that were called not run may still run.
constexpr base::milliseconds lateRunTime{2'500};
constexpr std::size_t maxPrintedBreaches = 12;
constexpr int feedSlots = 16;

struct planned_change {
    /// Share of the duration.
    double at;
    account_change change;
};

/// The halved limit lasts long enough that it binds in a soak of 20 s: it may take 3 s to propagate, and a window has 8 s. If a fault kills all nodes, the
/// last change comes just before the last such fault.
constexpr std::array<planned_change, 4> accountChanges{{
    {0.1, account_change::halveLimit},
    {0.25, account_change::addKey},
    {0.5, account_change::removeKey},
    {0.9, account_change::restoreLimit},
}};

std::vector<std::uint16_t> readyPorts(const soak_options &options)
{
    std::vector<std::uint16_t> ports;
    for (std::size_t node = 0; node < options.nodes; ++node) {
        ports.push_back(soak_ports(options).ready(node));
    }
    return ports;
}

} // namespace

soak_run::soak_run(soak_options options)
    : m_options(std::move(options))
    , m_store(m_context.get_executor(), soak_ports(m_options).store(), m_options.seed)
    , m_sharedStore(m_context, {asio::ip::address_v4::loopback(), soak_ports(m_options).sharedStore()})
    , m_nodes(m_options)
    , m_rotation(readyPorts(m_options), [this](std::size_t node, base::time_point at, bool isReady) { m_recovery.onAsked(node, at, isReady); })
    , m_schedule(scheduleFor(m_options))
    , m_contents(m_options.seed)
    , m_recovery(m_options.nodes)
    , m_obstacles(m_options.nodes)
{
    if (m_options.hasOddRecords) {
        m_store.setPageLimit(m_contents.pageLimit());
        m_store.setKeyEncoding(m_contents.keyEncoding());
    }
    const soak_ports ports(m_options);
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        m_storeRelays.push_back(std::make_unique<fakes::fault_relay>(m_context.get_executor(), ports.storeRelay(node), ports.store()));
    }
    for (std::size_t index = 0; index < m_options.servers; ++index) {
        // Every second one is behind a relay.
        const bool hasRelay = m_options.hasFaults && index % 2 == 1;
        fakes::application_server_options server;
        server.name = std::string(1, static_cast<char>('a' + index));
        server.service = "desk";
        server.port = ports.server(index);
        server.registeredPort = hasRelay ? ports.serverRelay(index) : server.port;
        server.faultyShare = m_options.faultyShare;
        server.forms = m_options.forms;
        m_serverRelays.push_back(hasRelay ? std::make_unique<fakes::fault_relay>(m_context.get_executor(), server.registeredPort, server.port) : nullptr);
        m_servers.push_back(
            std::make_unique<fakes::application_server>(m_context.get_executor(), m_store, m_ledger, std::move(server), m_options.seed * 1'000 + index));
        m_servers.back()->start();
    }
    for (std::size_t index = 0; index < m_options.feedServers; ++index) {
        fakes::application_server_options server;
        server.name = "feed" + std::to_string(index);
        server.service = "press";
        server.port = server.registeredPort = ports.server(m_options.servers + index);
        server.slots = feedSlots;
        server.feedsPause = true;
        server.faultyShare = m_options.faultyShare / 2;
        server.forms = m_options.forms;
        const std::uint64_t seed = m_options.seed * 1'000 + 200 + index;
        m_feedServers.push_back(std::make_unique<fakes::application_server>(m_context.get_executor(), m_store, m_ledger, std::move(server), seed));
        m_feedServers.back()->start();
    }
    writeConfiguration();
    m_nodes.writeSettings();
}

void soak_run::writeConfiguration()
{
    const std::string attempts = std::to_string(m_options.attempts);
    const std::string timeout = std::to_string(m_options.orderTimeout.count());
    const std::string visibility = m_options.hasAccounts ? R"(,"public":true)" : "";
    const std::string accounts = m_options.hasAccounts ? R"("tenants":)" + m_accounts.toJson() + ',' : "";
    m_store.putConfiguration(R"({"version":)" + std::to_string(++m_version)
                             + R"(,"routes":[)"
                               R"({"name":"order","host":"desk.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":)"
                             + timeout + R"(,"targetLatencyMs":150,"priority":1,"service":"desk","attempts":)" + attempts
                             + R"(},{"name":"stream","host":"desk.example","pathPrefix":"/streams/","kind":"streaming","canResume":false,"timeoutMs":6000,)"
                               R"("targetLatencyMs":400,"gapAimMs":150,"priority":1,"service":"desk","attempts":)"
                             + attempts + R"(},{"name":"status","host":"desk.example","pathPrefix":"/status/","kind":"safe","timeoutMs":)" + timeout
                             + R"(,"targetLatencyMs":150,"priority":2,"service":"desk","attempts":2)" + visibility
                             + R"(},{"name":"feed","host":"desk.example","pathPrefix":"/feeds/","kind":"streaming","canResume":true,"timeoutMs":12000,)"
                               R"("targetLatencyMs":400,"gapAimMs":200,"priority":1,"service":"press","attempts":2}],)"
                               R"("services":[{"name":"desk","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false},)"
                               R"({"name":"press","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false},)"
                               R"({"name":"other","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false}],)"
                             + accounts + R"("limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    if (m_options.hasAccounts) {
        for (const soak_accounts::account &one : m_accounts.accounts()) {
            m_ledger.quotas().setLimit(one.name, one.limit);
        }
    }
}

soak_run::verdict soak_run::run()
{
    asio::co_spawn(m_context, m_rotation.run(), asio::detached);
    asio::co_spawn(m_context, acceptForStore(), asio::detached);
    asio::co_spawn(m_context, play(), [this](const std::exception_ptr &failure) {
        if (failure) {
            m_failures.emplace_back("the soak itself failed");
        }
        m_context.stop();
    });
    m_context.run();
    printResult();
    if (!m_wasPlayed) {
        return verdict::notPlayed;
    }
    return m_failures.empty() && !m_ledger.hasBreachAt(m_options.judgedProgram) ? verdict::held : verdict::broken;
}

asio::awaitable<void> soak_run::play()
{
    std::cout << "ready" << std::endl;
    const bool isReady = co_await waitUntilReady();
    if (!isReady) {
        m_failures.emplace_back("the nodes are not ready after the start");
        co_return;
    }
    m_wasPlayed = true;
    co_await net::sleepFor(settlingTime);
    const base::time_point start = m_start = base::clock::now();
    // Only now, so that a build that doesn't get past them fails as it is judged, and not as one that could not be run.
    for (const further_record &record : m_options.hasOddRecords ? m_contents.initialRecords() : std::vector<further_record>()) {
        write(record, m_store);
    }
    asio::co_spawn(m_context, playRecordChanges(start + m_options.duration), asio::detached);
    asio::co_spawn(m_context, watchObstacles(), asio::detached);
    if (m_options.hasAccounts) {
        asio::co_spawn(m_context, playAccountChanges(start), asio::detached);
    }
    for (std::size_t i = 0; i < m_options.callers; ++i) {
        ++m_openCallers;
        const auto one = std::make_shared<caller>(m_options, m_rotation, m_ledger, m_options.seed * 1'000 + 500 + i);
        asio::co_spawn(m_context, runCaller(one, start + m_options.duration), asio::detached);
    }
    for (std::size_t i = 0; i < m_options.feedReaders; ++i) {
        ++m_openCallers;
        const auto one = std::make_shared<caller>(m_options, m_rotation, m_ledger, m_options.seed * 1'000 + 700 + i, true);
        asio::co_spawn(m_context, runCaller(one, start + m_options.duration), asio::detached);
    }
    co_await playSchedule(start);
    while (m_openCallers > 0 || m_openFaults > 0) {
        co_await net::sleepFor(pollInterval);
    }
    co_await net::sleepFor(lateRunTime);
    const base::time_point recoveryEnd = base::clock::now() + recovery_watch::recoveryBound;
    while (!m_rotation.areAllReady() && base::clock::now() < recoveryEnd) {
        co_await net::sleepFor(pollInterval);
    }
    judgeRecovery();
    co_await judgeVersions();
    for (const std::string &end : m_nodes.unexpectedEnds()) {
        m_failures.push_back("FAULT: ended by itself: " + end);
    }
    if ((m_ledger.served() - m_servedInOutages) * 4 < m_ledger.ended() - m_endedInOutages) {
        m_failures.emplace_back("less than a quarter of the attempts were served");
    }
}

void soak_run::judgeRecovery()
{
    const auto since = [this](base::time_point at) {
        return std::to_string(std::chrono::duration_cast<base::milliseconds>(at - m_start).count()) + " ms";
    };
    const std::string bound = std::to_string(recovery_watch::recoveryBound.count()) + " ms";
    std::set<std::size_t> nodes;
    for (const recovery_watch::late_node &late : m_recovery.lateNodes()) {
        m_failures.push_back("FAULT: " + nodeName(late.node) + " was not ready within " + bound + " after " + since(late.freeSince)
                             + ", when the last obstacle ended; all nodes were killed at " + since(late.killedAt));
        nodes.insert(late.node);
    }
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        if (!m_rotation.isReady(node)) {
            m_failures.push_back("FAULT: " + nodeName(node) + " is not ready at the end");
            nodes.insert(node);
        }
    }
    for (const std::size_t node : nodes) {
        for (const std::string &line : m_nodes.readinessLines(node)) {
            m_failures.push_back("  " + nodeName(node) + ": " + line);
        }
    }
}

asio::awaitable<void> soak_run::judgeVersions()
{
    // Seconds after the last change, within which it has to be in force everywhere.
    const std::string newest = std::to_string(m_version);
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        if (!m_rotation.isReady(node)) {
            continue;
        }
        const std::optional<std::string> answer = co_await versionOf(node);
        const std::string version = answer.value_or("unknown");
        if (version != newest) {
            std::string failure = "FAULT: " + nodeName(node);
            failure.append(" has version ").append(version).append(" of the configuration in force at the end; the store's is ").append(newest);
            m_failures.push_back(std::move(failure));
        }
    }
}

asio::awaitable<std::optional<std::string>> soak_run::versionOf(std::size_t node)
{
    constexpr base::milliseconds answerTimeout{2'000};
    constexpr std::string_view metric = "\nchervilbend_configuration_version ";
    net::http_client client;
    net::http_send_options options;
    options.answerTimeout = answerTimeout;
    options.connectTimeout = answerTimeout;
    net::http_request request(net::http::verb::get, "/metrics", 11);
    // A variable, because g++ 12 destroys an aggregate that is a temporary argument of an awaited call twice.
    const net::address address{"127.0.0.1", soak_ports(m_options).metrics(node)};
    const std::optional<net::http_response> answer = co_await client.send(address, std::move(request), options);
    const std::size_t begin = answer ? answer->body().find(metric) : std::string::npos;
    if (begin == std::string::npos) {
        co_return std::nullopt;
    }
    const std::size_t value = begin + metric.size();
    co_return answer->body().substr(value, answer->body().find('\n', value) - value);
}

asio::awaitable<void> soak_run::acceptForStore()
{
    while (true) {
        auto [error, socket] = co_await m_sharedStore.async_accept(asio::as_tuple(asio::use_awaitable));
        boost::system::error_code closed;
        const std::uint16_t port = error ? 0 : socket.remote_endpoint(closed).port();
        // A connection without an owner is closed, and the node opens another one.
        if (const std::optional<std::size_t> node = error || closed ? std::nullopt : m_nodes.ownerOf(port)) {
            m_storeRelays[*node]->take(std::move(socket));
        }
    }
}

asio::awaitable<bool> soak_run::waitUntilReady()
{
    const base::time_point end = base::clock::now() + startTimeout;
    while (!m_rotation.areAllReady() && base::clock::now() < end) {
        co_await net::sleepFor(pollInterval);
    }
    co_return m_rotation.areAllReady();
}

asio::awaitable<void> soak_run::runCaller(std::shared_ptr<caller> one, base::time_point end)
{
    co_await one->run(end);
    --m_openCallers;
}

asio::awaitable<void> soak_run::playAccountChanges(base::time_point start)
{
    constexpr base::milliseconds leadOfLast{150};
    const std::optional<base::milliseconds> lastKill = lastKillOfAll(m_schedule);
    for (const planned_change &one : accountChanges) {
        base::milliseconds at(static_cast<std::int64_t>(one.at * static_cast<double>(m_options.duration.count())));
        if (lastKill && at > *lastKill - leadOfLast) {
            at = *lastKill - leadOfLast;
        }
        co_await net::sleepFor(start + at - base::clock::now());
        m_accounts.apply(one.change);
        writeConfiguration();
    }
}

void soak_run::printRecords() const
{
    if (!m_options.hasOddRecords) {
        return;
    }
    std::cout << "further records at first, and their changes in ms from the start of traffic:\n";
    for (const further_record &record : m_contents.initialRecords()) {
        std::cout << "  " << describe(record) << '\n';
    }
    for (const std::string &change : m_changes) {
        std::cout << "  " << change << '\n';
    }
}

void soak_run::printResult() const
{
    std::cout << "seed " << m_options.seed << ", " << m_options.nodes << " nodes, " << m_options.servers << " servers, " << m_options.callers
              << " callers, attempts " << m_options.attempts << ", order timeout " << m_options.orderTimeout.count() << " ms, "
              << m_options.duration.count() / 1'000 << " s\n"
              << (m_options.hasOddRecords ? m_contents.describeForm() : "") << "all nodes killed: " << m_recovery.kills() << " times\n"
              << m_ledger.summary();
    std::map<std::string, std::size_t> byRule;
    for (const breach &one : m_ledger.breaches()) {
        std::string name = one.rule;
        for (const std::string &program : one.programs) {
            name += program.empty() ? "" : " (" + program + ")";
        }
        ++byRule[name];
    }
    std::cout << "breaches:";
    for (const auto &[rule, count] : byRule) {
        std::cout << ' ' << rule << ':' << count;
    }
    std::cout << (byRule.empty() ? " none\n" : "\n");
    std::size_t printed = 0;
    for (const breach &one : m_ledger.breaches()) {
        if (printed++ < maxPrintedBreaches) {
            std::cout << one.rule << ": " << one.story << '\n';
        }
    }
    for (const std::string &failure : m_failures) {
        std::cout << failure << '\n';
    }
    if (!m_failures.empty() || !byRule.empty()) {
        std::cout << "schedule, in ms from the start of traffic:\n" << describe(m_schedule);
        printRecords();
    }
}

} // namespace chervilbend::soak
