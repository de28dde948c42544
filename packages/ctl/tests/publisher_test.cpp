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

/// Three nodes in front of one log. The test decides what they know and which of them answer.
class fake_nodes : public node_client
{
public:
    std::optional<Json::Value> call(const net::address &node, const std::string &method, const Json::Value &parameters, base::milliseconds /*timeout*/) override
    {
        const int port = node.port;
        if (silent.contains(port)) {
            return fail(base::error_kind::peerUnavailable, toString(node) + " gives no answer");
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
        ++asked[port];
        return decide(port, parameters["publishId"].asString());
    }

    static Json::Value accepted(bool inForce)
    {
        Json::Value answer(Json::objectValue);
        answer["state"] = "accepted";
        answer["version"] = 7;
        answer["inForceHere"] = inForce;
        return answer;
    }

    static Json::Value unknown()
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
    std::set<int> silent;
    std::optional<base::reason> publishError;
    std::function<Json::Value(int port, const std::string &publishId)> decide = [](int, const std::string &) {
        return accepted(true);
    };
    std::vector<Json::Value> published;
    std::map<int, int> asked;
};

config::service_declaration tutor(const std::string &prefix)
{
    config::service_declaration declaration;
    declaration.service = base::service_id("tutor");
    declaration.routes.push_back({prefix, "GET", true, {}, base::work_class::normal, base::milliseconds(1'000)});
    return declaration;
}

} // namespace

/// Guards against an operator's program that guesses: "accepted" without proof, "rejected" when it is not decided, or a repeat that
/// publishes twice.
class publisher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publisher_test);
    CPPUNIT_TEST(acceptedAndInForceEverywhere);
    CPPUNIT_TEST(silentNodeIsNotCounted);
    CPPUNIT_TEST(rejectionNamesWhatDiffers);
    CPPUNIT_TEST(refusalByTheNodeIsFinal);
    CPPUNIT_TEST(undecidedIsNotKnownYet);
    CPPUNIT_TEST(lostAnswerIsFollowedUp);
    CPPUNIT_TEST(cutOffNodeDoesNotDecide);
    CPPUNIT_TEST(repeatHasTheSameId);
    CPPUNIT_TEST(sameDeclarationIsNotSent);
    CPPUNIT_TEST(unreachableNodeChangesNothing);
    CPPUNIT_TEST(exitCodeIsThatOfTheWorst);
    CPPUNIT_TEST_SUITE_END();

    /// CppUnit constructs the fixtures of all tests at the start; the source must be installed for one test only.
    std::optional<base::manual_time_source> m_time;
    fake_nodes m_nodes;
    publisher::options m_options{{"127.0.0.1", 1}, "ana", base::milliseconds(2'000), {}};

    publish_result publish(const config::service_declaration &declaration)
    {
        publisher work(m_nodes, m_options, [this](base::milliseconds duration) { m_time->advance(duration); });
        const auto results = work.publish(std::span(&declaration, 1));
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
        assertOutcome(publish(tutor("/a")), exit_code::done, "accepted as version 7, in force on 3 of 3 known nodes");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_nodes.published.size());
    }

    void silentNodeIsNotCounted()
    {
        m_nodes.silent = {3};
        m_nodes.decide = [](int port, const std::string &) {
            return fake_nodes::accepted(port == 1);
        };
        const publish_result result = publish(tutor("/a"));
        assertOutcome(result, exit_code::notInForceEverywhere, "in force on 1 of 3 known nodes\nnot known of: n2, n3");
        CPPUNIT_ASSERT(m_nodes.asked[2] > 5);
    }

    void rejectionNamesWhatDiffers()
    {
        m_nodes.inForce = tutor("/a");
        m_nodes.decide = [](int, const std::string &) {
            Json::Value answer(Json::objectValue);
            answer["state"] = "rejected";
            answer["why"] = "version 6 by ben was accepted first";
            answer["differs"].append("- route GET /c");
            return answer;
        };
        assertOutcome(publish(tutor("/b")), exit_code::rejected, "version 6 by ben was accepted first\nthis publish would change there:\n- route GET /c");
    }

    void refusalByTheNodeIsFinal()
    {
        m_nodes.publishError = base::reason{base::error_kind::configDoesNotFit, "sum of all copies: 41 GiB of 40 GiB\nno place"};
        assertOutcome(publish(tutor("/a")), exit_code::rejected, "nothing was changed:\nsum of all copies: 41 GiB of 40 GiB\nno place");
        CPPUNIT_ASSERT(m_nodes.asked.empty());
        m_nodes.publishError = base::reason{base::error_kind::logUnavailable, "the log does not answer"};
        assertOutcome(publish(tutor("/a")), exit_code::nodeUnavailable, "not sent; nothing was changed:\nthe log does not answer");
    }

    void undecidedIsNotKnownYet()
    {
        m_nodes.decide = [](int, const std::string &) {
            return fake_nodes::unknown();
        };
        const publish_result result = publish(tutor("/a"));
        assertOutcome(result, exit_code::undecided, "not known yet: no node has read the change from the log within 2000 ms; it may still be accepted");
        assertOutcome(result, exit_code::undecided, "--base tutor=0");
    }

    void lostAnswerIsFollowedUp()
    {
        m_nodes.publishError = base::reason{base::error_kind::peerUnavailable, "timed out"};
        assertOutcome(publish(tutor("/a")), exit_code::done, "accepted as version 7");
    }

    void cutOffNodeDoesNotDecide()
    {
        m_nodes.decide = [](int port, const std::string &) {
            return port == 2 ? fake_nodes::accepted(true) : fake_nodes::unknown();
        };
        assertOutcome(publish(tutor("/a")), exit_code::notInForceEverywhere, "in force on 1 of 3 known nodes");
    }

    void repeatHasTheSameId()
    {
        m_nodes.inForce = tutor("/a");
        publish(tutor("/b"));
        publish(tutor("/b"));
        CPPUNIT_ASSERT_EQUAL(m_nodes.published[0]["publishId"].asString(), m_nodes.published[1]["publishId"].asString());
        CPPUNIT_ASSERT_EQUAL(4, m_nodes.published[0]["base"].asInt());
        m_options.bases["tutor"] = 3;
        publish(tutor("/b"));
        CPPUNIT_ASSERT(m_nodes.published[0]["publishId"] != m_nodes.published[2]["publishId"]);
        CPPUNIT_ASSERT_EQUAL(3, m_nodes.published[2]["base"].asInt());
    }

    void sameDeclarationIsNotSent()
    {
        m_nodes.inForce = tutor("/a");
        assertOutcome(publish(tutor("/a")), exit_code::done, "nothing to do: version 4 is the same");
        config::service_declaration other;
        other.service = base::service_id("other");
        assertOutcome(publish(other), exit_code::done, "nothing to do: the service is not declared");
        CPPUNIT_ASSERT(m_nodes.published.empty());
    }

    void unreachableNodeChangesNothing()
    {
        m_nodes.silent = {1};
        publisher work(m_nodes, m_options, [](base::milliseconds) {});
        const config::service_declaration declaration = tutor("/a");
        CPPUNIT_ASSERT(!work.publish(std::span(&declaration, 1)));
        CPPUNIT_ASSERT(m_nodes.published.empty());
    }

    void exitCodeIsThatOfTheWorst()
    {
        std::ostringstream out;
        std::ostringstream errors;
        commands::command_output output(out, errors, true);
        const auto sleep = [this](base::milliseconds duration) {
            m_time->advance(duration);
        };
        m_nodes.decide = [first = std::string()](int, const std::string &publishId) mutable {
            first = first.empty() ? publishId : first;
            return first == publishId ? fake_nodes::unknown() : fake_nodes::accepted(true);
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
