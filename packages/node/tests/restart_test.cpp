#include "log_file.hpp"
#include "node_program.hpp"
#include "store_thread.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace chervilbend::node::test;
using chervilbend::fakes::key_encoding;
using chervilbend::fakes::metadata_store;

namespace
{

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/a/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"priority":1,)"
    R"("service":"desk","attempts":2}],"services":[{"name":"desk","healthPath":"/health","connectionLimit":9,"protocol":"h1","tls":false}],)"
    R"("limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
const std::string registration =
    R"({"service":"desk","address":"127.0.0.1:1","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1})";

/// The answer to a request, as far as it comes at once.
std::string answerTo(std::uint16_t port, std::string_view path)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    std::string answer;
    if (::connect(probe, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        const std::string request = std::string("GET ").append(path) + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        ::send(probe, request.data(), request.size(), MSG_NOSIGNAL);
        std::array<char, 4096> block{};
        for (ssize_t size = ::recv(probe, block.data(), block.size(), 0); size > 0; size = ::recv(probe, block.data(), block.size(), 0)) {
            answer.append(block.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(probe);
    return answer;
}

/// Whether the program's entry for the load balancer answers 200.
bool isReady(std::uint16_t port)
{
    return answerTo(port, "/api/readiness").starts_with("HTTP/1.1 200");
}

/// A gauge among the program's metrics; -1 if it doesn't say.
double gaugeOf(const node_program &program, const std::string &name)
{
    const std::string metrics = answerTo(program.metrics.port(), "/metrics");
    const std::string begin = "\n" + name + " ";
    const std::size_t found = metrics.find(begin);
    return found == std::string::npos ? -1 : std::stod(metrics.substr(found + begin.size()));
}

/// Three nodes beside a store.
struct restarted_cluster {
    restarted_cluster()
    {
        for (int node = 1; node <= 3; ++node) {
            programs.push_back(std::make_unique<node_program>());
            programs.back()->store = store.address();
            programs.back()->name = std::string("n").append(std::to_string(node));
            programs.back()->writeSettings();
            programs.back()->releasePorts();
        }
    }

    void start()
    {
        for (const auto &program : programs) {
            program->start(log.handle());
        }
    }

    void killAll()
    {
        for (const auto &program : programs) {
            program->kill();
        }
    }

    void assertReady(const std::string &situation)
    {
        for (const auto &program : programs) {
            CPPUNIT_ASSERT_MESSAGE(situation + ": " + program->name + " is not ready", eventually([&] { return isReady(program->ready.port()); }));
        }
    }

    /// Starts the nodes, kills them all at the same moment, and starts them again, beside operators' records with these keys.
    void assertReadyAfterRestart(const std::vector<std::string> &keys, std::size_t pageRecords, key_encoding encoding = key_encoding::rawBytes)
    {
        store.change([&](metadata_store &served) {
            served.setPageLimit({pageRecords});
            served.setKeyEncoding(encoding);
            served.putConfiguration(configuration);
            served.putServer("i-1", registration);
        });
        start();
        assertReady("first start");
        store.change([&](metadata_store &served) {
            for (const std::string &key : keys) {
                served.putOperatorRecord(key, "{}");
            }
        });
        killAll();
        start();
        assertReady(std::string("pages of ").append(std::to_string(pageRecords)) + ", after all were killed");
    }

    store_thread store;
    const log_file log;
    std::vector<std::unique_ptr<node_program>> programs;
};

} // namespace

/// Guards against nodes that never become ready again after all of them were killed (docs/incidents/unready-nodes.md).
class restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_test);
    CPPUNIT_TEST(keysWithAMeaningInAQueryDoNotHideTheConfiguration);
    CPPUNIT_TEST(manyPagesDoNotHideTheConfiguration);
    CPPUNIT_TEST(keysThatAreNoTextDoNotHideTheConfiguration);
    CPPUNIT_TEST(nodesAreReadyBeforeTheirServersAreBack);
    CPPUNIT_TEST(nodeIsNotReadyWithoutServersThatTheOthersStillUse);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The key after which a page begins was put into the query as it is: the store refused it, or returned the same page for ever.
    void keysWithAMeaningInAQueryDoNotHideTheConfiguration()
    {
        restarted_cluster cluster;
        cluster.assertReadyAfterRestart({"a02%41", "a02%zz", "a05&b=1", "a+b c", "a#b?c/d", "a\"\\"}, 1);
    }

    /// After 64 pages, the list was taken for a whole one.
    void manyPagesDoNotHideTheConfiguration()
    {
        restarted_cluster cluster;
        constexpr std::size_t records = 150;
        std::vector<std::string> keys;
        keys.reserve(records);
        for (std::size_t i = 0; i < records; ++i) {
            keys.push_back(std::string("a").append(std::to_string(1'000 + i)));
        }
        cluster.assertReadyAfterRestart(keys, 1);
    }

    /// One key that is not UTF-8 made the answer with the configuration undecodable as a whole.
    void keysThatAreNoTextDoNotHideTheConfiguration()
    {
        for (const key_encoding encoding : {key_encoding::rawBytes, key_encoding::singleSurrogates}) {
            restarted_cluster cluster;
            cluster.assertReadyAfterRestart({"", "a\xff\xfe", "b\x80", "c\x01\n", "conf\xc3", "d\xe9"}, 500, encoding);
        }
    }

    /// When all machines lose power at once, the servers' registrations lapse, and no node has seen one since its start.
    void nodesAreReadyBeforeTheirServersAreBack()
    {
        restarted_cluster cluster;
        cluster.store.change([](metadata_store &served) {
            served.putConfiguration(configuration);
            served.putServer("i-1", registration);
        });
        cluster.start();
        cluster.assertReady("first start");
        cluster.store.change([](metadata_store &served) { served.putServer("i-1", ""); });
        cluster.killAll();
        cluster.start();
        cluster.assertReady("no server is registered");
    }

    /// Registrations lapse while the store is down, and come back within 2 s of its return. The nodes that ran all the while use them until then, so a node
    /// that has just started must not draw the clients away from them, only to refuse them.
    void nodeIsNotReadyWithoutServersThatTheOthersStillUse()
    {
        restarted_cluster cluster;
        cluster.store.change([](metadata_store &served) {
            served.putConfiguration(configuration);
            served.putServer("i-1", registration);
        });
        cluster.start();
        cluster.assertReady("first start");
        // The holder is restarted, so that no other node can tell it what it knows.
        const auto holder = [&] {
            return std::find_if(
                cluster.programs.begin(), cluster.programs.end(), [](const auto &program) { return gaugeOf(*program, "chervilbend_command_lease_held") == 1; });
        };
        CPPUNIT_ASSERT_MESSAGE("no node holds the lease", eventually([&] { return holder() != cluster.programs.end(); }));
        std::iter_swap(holder(), cluster.programs.begin());
        cluster.store.change([](metadata_store &served) { served.setFault(chervilbend::fakes::store_fault::busy); });
        // Longer than an interval, so that a read has failed.
        constexpr double seconds = 2.5;
        for (const auto &program : cluster.programs) {
            CPPUNIT_ASSERT_MESSAGE(program->name + " sees no outage",
                                   eventually([&] { return gaugeOf(*program, "chervilbend_registrations_age_seconds") > seconds; }));
        }
        cluster.store.change([](metadata_store &served) { served.putServer("i-1", ""); });
        node_program &restarted = *cluster.programs.front();
        restarted.kill();
        restarted.start(cluster.log.handle());
        CPPUNIT_ASSERT(eventually([&] { return !answerTo(restarted.ready.port(), "/api/readiness").empty(); }));
        cluster.store.change([](metadata_store &served) { served.setFault(chervilbend::fakes::store_fault::none); });
        const auto isSoundOrOver = [&] {
            const double own = gaugeOf(restarted, "chervilbend_endpoints");
            const bool isReadyWithout = own == 0 && isReady(restarted.ready.port());
            const double others = gaugeOf(*cluster.programs.back(), "chervilbend_endpoints");
            const std::string seen = "ready with " + std::to_string(own) + " endpoints, another node uses " + std::to_string(others);
            CPPUNIT_ASSERT_MESSAGE(seen, !isReadyWithout || others == 0);
            return own > 0 || others == 0;
        };
        CPPUNIT_ASSERT(eventually(isSoundOrOver));
        cluster.store.change([](metadata_store &served) { served.putServer("i-1", registration); });
        cluster.assertReady("the server is back");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_test);
