#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/ctl/commands/command_output.hpp>
#include <chervilbend/ctl/commands/file_commands.hpp>
#include <chervilbend/ctl/publisher.hpp>
#include <chervilbend/ctl/rpc_json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>
#include <sstream>

using namespace chervilbend;
using namespace chervilbend::ctl;

namespace
{

/// Three nodes that share one log. The test sets their responses and which of them respond at all.
class fake_nodes : public node_client
{
public:
    std::optional<Json::Value> call(const net::address &node, const std::string &method, const Json::Value &parameters, base::milliseconds /*timeout*/) override
    {
        const int port = node.port;
        if (unresponsive.contains(port)) {
            return fail(base::error_kind::peerUnavailable, toString(node) + " did not answer");
        }
        if (method == "status") {
            return status();
        }
        if (method == "publish") {
            published.push_back(parameters);
            if (publishError) {
                return fail(*publishError);
            }
            Json::Value answer(Json::objectValue);
            answer["state"] = "submitted";
            return answer;
        }
        ++statusCalls[port];
        return publishStatusFor(port, parameters["publishId"].asString());
    }

    static Json::Value acceptedAnswer(bool inForce)
    {
        Json::Value answer(Json::objectValue);
        answer["state"] = "accepted";
        answer["version"] = 7;
        answer["inForceHere"] = inForce;
        return answer;
    }

    static Json::Value unknownAnswer()
    {
        Json::Value answer(Json::objectValue);
        answer["state"] = "unknown";
        return answer;
    }

    Json::Value status() const
    {
        Json::Value answer(Json::objectValue);
        for (int port = 1; port <= 3; ++port) {
            Json::Value node(Json::objectValue);
            node["node"] = 'n' + std::to_string(port);
            node["address"] = "127.0.0.1:" + std::to_string(port);
            node["state"] = port == 3 ? "suspect" : "alive";
            answer["nodes"].append(node);
        }
        if (inForce) {
            Json::Value service(Json::objectValue);
            service["service"] = inForce->service.value();
            service["version"] = 4;
            service["declaration"] = rpcJsonOf(*inForce);
            answer["services"].append(service);
        }
        return answer;
    }

    std::optional<config::service_declaration> inForce;
    std::set<int> unresponsive;
    std::optional<base::reason> publishError;
    std::function<Json::Value(int port, const std::string &publishId)> publishStatusFor = [](int, const std::string &) {
        return acceptedAnswer(true);
    };
    std::vector<Json::Value> published;
    std::map<int, int> statusCalls;
};

config::service_declaration tutorService(const std::string &prefix)
{
    config::service_declaration declaration;
    declaration.service = base::service_id("tutor");
    declaration.routes.push_back({prefix, "GET", true, {}, base::work_class::normal, base::milliseconds(1'000)});
    return declaration;
}

} // namespace

/// Guards against results without evidence: "accepted" before a node confirmed it, "rejected" while the publish is undecided, or a repeated
/// command that publishes twice.
class publisher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publisher_test);
    CPPUNIT_TEST(acceptedAndInForceEverywhere);
    CPPUNIT_TEST(unresponsiveNodeIsNotCounted);
    CPPUNIT_TEST(rejectionListsDifferences);
    CPPUNIT_TEST(rejectionByTheNodeIsFinal);
    CPPUNIT_TEST(publishWithoutDecisionIsUndecided);
    CPPUNIT_TEST(publishIsTrackedAfterLostAnswer);
    CPPUNIT_TEST(decisionIsReadFromAnyNode);
    CPPUNIT_TEST(repeatHasTheSameId);
    CPPUNIT_TEST(unchangedDeclarationIsNotSent);
    CPPUNIT_TEST(unreachableNodeChangesNothing);
    CPPUNIT_TEST(exitCodeIsTheMostSevere);
    CPPUNIT_TEST_SUITE_END();

    /// CppUnit constructs the fixtures of all tests at start-up, but a time source must be installed only while its test runs.
    std::optional<base::manual_time_source> m_time;
    fake_nodes m_nodes;
    publisher::options m_options{{"127.0.0.1", 1}, "ana", base::milliseconds(2'000), {}};

    publish_result publish(const config::service_declaration &declaration)
    {
        publisher servicePublisher(m_nodes, m_options, [this](base::milliseconds duration) { m_time->advance(duration); });
        const auto results = servicePublisher.publish(std::span(&declaration, 1));
        CPPUNIT_ASSERT(results && results->size() == 1);
        return results->front();
    }

    static void assertOutcome(const publish_result &result, exit_code code, const std::string &expected)
    {
        std::string lines;
        for (const std::string &line : result.outcome) {
            lines += line + '\n';
        }
        CPPUNIT_ASSERT_MESSAGE(lines + "lacks: " + expected, lines.find(expected) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lines, static_cast<int>(code), static_cast<int>(result.code));
    }

public:
    void setUp() override
    {
        m_time.emplace();
    }

    void tearDown() override
    {
        m_time.reset();
    }

    void acceptedAndInForceEverywhere()
    {
        assertOutcome(publish(tutorService("/a")), exit_code::done, "accepted as version 7, in force on 3 of 3 known nodes");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_nodes.published.size());
    }

    void unresponsiveNodeIsNotCounted()
    {
        m_nodes.unresponsive = {3};
        m_nodes.publishStatusFor = [](int port, const std::string &) {
            return fake_nodes::acceptedAnswer(port == 1);
        };
        const publish_result result = publish(tutorService("/a"));
        assertOutcome(result, exit_code::notInForceEverywhere, "in force on 1 of 3 known nodes\nnot known of: n2, n3");
        CPPUNIT_ASSERT(m_nodes.statusCalls[2] > 5);
    }

    void rejectionListsDifferences()
    {
        m_nodes.inForce = tutorService("/a");
        m_nodes.publishStatusFor = [](int, const std::string &) {
            Json::Value answer(Json::objectValue);
            answer["state"] = "rejected";
            answer["why"] = "version 6 by ben was accepted first";
            answer["differs"].append("- route GET /c");
            return answer;
        };
        assertOutcome(
            publish(tutorService("/b")), exit_code::rejected, "version 6 by ben was accepted first\nthis publish would change there:\n- route GET /c");
    }

    void rejectionByTheNodeIsFinal()
    {
        m_nodes.publishError = base::reason{base::error_kind::configDoesNotFit, "sum of all copies: 41 GiB of 40 GiB\nno place"};
        assertOutcome(publish(tutorService("/a")), exit_code::rejected, "nothing was changed:\nsum of all copies: 41 GiB of 40 GiB\nno place");
        CPPUNIT_ASSERT(m_nodes.statusCalls.empty());
        m_nodes.publishError = base::reason{base::error_kind::logUnavailable, "the log does not answer"};
        assertOutcome(publish(tutorService("/a")), exit_code::nodeUnavailable, "not sent; nothing was changed:\nthe log does not answer");
    }

    void publishWithoutDecisionIsUndecided()
    {
        m_nodes.publishStatusFor = [](int, const std::string &) {
            return fake_nodes::unknownAnswer();
        };
        const publish_result result = publish(tutorService("/a"));
        assertOutcome(result, exit_code::undecided, "not known yet: no node has read the change from the log within 2000 ms; it may still be accepted");
        assertOutcome(result, exit_code::undecided, "--base tutor=0");
    }

    void publishIsTrackedAfterLostAnswer()
    {
        m_nodes.publishError = base::reason{base::error_kind::peerUnavailable, "timed out"};
        assertOutcome(publish(tutorService("/a")), exit_code::done, "accepted as version 7");
    }

    void decisionIsReadFromAnyNode()
    {
        m_nodes.publishStatusFor = [](int port, const std::string &) {
            return port == 2 ? fake_nodes::acceptedAnswer(true) : fake_nodes::unknownAnswer();
        };
        assertOutcome(publish(tutorService("/a")), exit_code::notInForceEverywhere, "in force on 1 of 3 known nodes");
    }

    void repeatHasTheSameId()
    {
        m_nodes.inForce = tutorService("/a");
        publish(tutorService("/b"));
        publish(tutorService("/b"));
        CPPUNIT_ASSERT_EQUAL(m_nodes.published[0]["publishId"].asString(), m_nodes.published[1]["publishId"].asString());
        CPPUNIT_ASSERT_EQUAL(4, m_nodes.published[0]["base"].asInt());
        m_options.bases["tutor"] = 3;
        publish(tutorService("/b"));
        CPPUNIT_ASSERT(m_nodes.published[0]["publishId"] != m_nodes.published[2]["publishId"]);
        CPPUNIT_ASSERT_EQUAL(3, m_nodes.published[2]["base"].asInt());
    }

    void unchangedDeclarationIsNotSent()
    {
        m_nodes.inForce = tutorService("/a");
        assertOutcome(publish(tutorService("/a")), exit_code::done, "nothing to do: version 4 is the same");
        config::service_declaration other;
        other.service = base::service_id("other");
        assertOutcome(publish(other), exit_code::done, "nothing to do: the service is not declared");
        CPPUNIT_ASSERT(m_nodes.published.empty());
    }

    void unreachableNodeChangesNothing()
    {
        m_nodes.unresponsive = {1};
        publisher servicePublisher(m_nodes, m_options, [](base::milliseconds) {});
        const config::service_declaration declaration = tutorService("/a");
        CPPUNIT_ASSERT(!servicePublisher.publish(std::span(&declaration, 1)));
        CPPUNIT_ASSERT(m_nodes.published.empty());
    }

    void exitCodeIsTheMostSevere()
    {
        std::ostringstream out;
        std::ostringstream errors;
        commands::command_output output(out, errors, true);
        const auto sleep = [this](base::milliseconds duration) {
            m_time->advance(duration);
        };
        m_nodes.publishStatusFor = [first = std::string()](int, const std::string &publishId) mutable {
            first = first.empty() ? publishId : first;
            return first == publishId ? fake_nodes::unknownAnswer() : fake_nodes::acceptedAnswer(true);
        };
        const std::string directory = std::string(TEST_DATA_DIR) + "/services";
        CPPUNIT_ASSERT(commands::runPublish(directory, m_nodes, m_options, sleep, output) == exit_code::undecided);
        CPPUNIT_ASSERT(out.str().find("\"state\" : \"unknown\"") != std::string::npos);
        CPPUNIT_ASSERT(out.str().find("\"state\" : \"accepted\"") != std::string::npos);
        CPPUNIT_ASSERT(commands::runPublish(std::string(TEST_DATA_DIR) + "/nothing", m_nodes, m_options, sleep, output) == exit_code::invalidFiles);
        m_options.bases["nobody"] = 1;
        CPPUNIT_ASSERT(commands::runPublish(directory, m_nodes, m_options, sleep, output) == exit_code::usageError);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publisher_test);
