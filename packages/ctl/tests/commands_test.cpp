#include "operator_nodes.hpp"

#include <chervilbend/ctl/commands/command_output.hpp>
#include <chervilbend/ctl/commands/file_commands.hpp>
#include <chervilbend/ctl/commands/query_commands.hpp>
#include <chervilbend/ctl/signed_node_client.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace chervilbend;
using namespace chervilbend::ctl;

/// Guards against client and node interpreting the same messages differently: the commands run against the real RPC methods.
class commands_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commands_test);
    CPPUNIT_TEST(publishIsInForceOnAllNodes);
    CPPUNIT_TEST(conflictingPublishIsRejected);
    CPPUNIT_TEST(disconnectedNodeIsNotCounted);
    CPPUNIT_TEST(tooLargeModelsShowMemoryCalculation);
    CPPUNIT_TEST(queriesPrintTheStateOfTheNode);
    CPPUNIT_TEST(nodeErrorsAndUnreachableNodesDiffer);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<operator_nodes> m_nodes;
    std::unique_ptr<signed_node_client> m_client;
    std::string m_directory;
    std::ostringstream m_text;

    net::address node(std::size_t index) const
    {
        return m_nodes->nodes.at(index)->address;
    }

    void writeServiceFile(int copies, const std::string &weights = "10 GiB") const
    {
        std::ofstream(m_directory + "/tutor.chervilbend.yaml")
            << "service: tutor\nmodels:\n  - {name: writer, version: \"1\", weights: " << weights << ", kvReserve: 2 GiB, copies: " << copies << "}\n";
    }

    template<typename Command>
    exit_code run(Command command)
    {
        m_text.str({});
        commands::command_output output(m_text, m_text, false);
        return command(output);
    }

    exit_code publish(std::map<std::string, std::int64_t> bases = {}, base::milliseconds wait = base::milliseconds(10'000))
    {
        const publisher::options options{node(0), "ana", wait, std::move(bases)};
        const auto sleep = [](base::milliseconds duration) {
            std::this_thread::sleep_for(duration);
        };
        return run([&](commands::command_output &output) { return commands::runPublish(m_directory, *m_client, options, sleep, output); });
    }

    void assertText(const std::string &expected) const
    {
        CPPUNIT_ASSERT_MESSAGE(m_text.str() + "lacks: " + expected, m_text.str().find(expected) != std::string::npos);
    }

public:
    void setUp() override
    {
        m_nodes = std::make_unique<operator_nodes>();
        m_client = std::make_unique<signed_node_client>(membership::signing_keys{"secret of the tests", ""});
        std::string pattern = (std::filesystem::temp_directory_path() / "commands_test.XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()));
        m_directory = pattern;
        writeServiceFile(2);
    }

    void tearDown() override
    {
        std::filesystem::remove_all(m_directory);
        m_nodes.reset();
    }

    void publishIsInForceOnAllNodes()
    {
        CPPUNIT_ASSERT_MESSAGE(m_text.str(), publish() == exit_code::done);
        assertText("a new service\n    + model writer: copies 2");
        assertText("accepted as version 5, in force on 2 of 2 known nodes");
        CPPUNIT_ASSERT(publish() == exit_code::done);
        assertText("nothing to do: version 5 is the same");
    }

    void conflictingPublishIsRejected()
    {
        publish();
        writeServiceFile(3);
        publish();
        writeServiceFile(1);
        CPPUNIT_ASSERT(publish({{"tutor", 5}}) == exit_code::rejected);
        assertText("version 6 by ana was accepted first, this publish builds on 5");
        assertText("~ model writer: copies 3 -> 1");
    }

    void disconnectedNodeIsNotCounted()
    {
        m_nodes->nodes[1]->isDisconnected = true;
        CPPUNIT_ASSERT(publish({}, base::milliseconds(300)) == exit_code::notInForceEverywhere);
        assertText("in force on 1 of 2 known nodes\n  not known of: n2");
        m_nodes->nodes[0]->isDisconnected = true;
        writeServiceFile(3);
        CPPUNIT_ASSERT(publish({}, base::milliseconds(300)) == exit_code::undecided);
        assertText("it may still be accepted");
    }

    void tooLargeModelsShowMemoryCalculation()
    {
        writeServiceFile(3, "39 GiB");
        CPPUNIT_ASSERT(publish() == exit_code::rejected);
        assertText("writer@1: 3 x 41 GiB (weights 39 GiB + KV reserve 2 GiB + adapters 0 B): no place");
        assertText("sum of all copies: 123 GiB of 120 GiB");
    }

    void queriesPrintTheStateOfTheNode()
    {
        publish();
        writeServiceFile(3);
        publish();
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runStatus(node(1), *m_client, output); }) == exit_code::done);
        assertText("node n2 has folded the log up to 6; the log is reachable");
        assertText("  tutor  version 6 by ana  1 models, 0 routes\n");
        assertText("  engine-a  zone a  127.0.0.1:9000  0 B of 40 GiB reserved\n");
        assertText("  planner  n1  token 1\n");
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runHistory("tutor", node(1), *m_client, output); }) == exit_code::done);
        assertText("version 6 by ana on 5: accepted (publish ");
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runDiff("tutor", {}, {}, node(1), *m_client, output); }) == exit_code::done);
        assertText("from version 5 to version 6:\n  ~ model writer: copies 2 -> 3\n");
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runDiff("tutor", 0, 5, node(1), *m_client, output); }) == exit_code::done);
        assertText("from version 0 to version 5:\n  + model writer");
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runDay({}, node(0), *m_client, output); }) == exit_code::done);
        assertText("is not known: no node has reported any counts");
    }

    void nodeErrorsAndUnreachableNodesDiffer()
    {
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runHistory("nobody", node(0), *m_client, output); }) == exit_code::rejected);
        assertText("no publish of service \"nobody\" is known here");
        signed_node_client wrongKeyClient({"another secret", ""});
        CPPUNIT_ASSERT(run([&](auto &output) { return commands::runStatus(node(0), wrongKeyClient, output); }) == exit_code::nodeUnavailable);
        assertText("rejected the key");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(commands_test);
