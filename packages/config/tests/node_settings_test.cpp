#include <chervilbend/config/node_setting_table.hpp>
#include <chervilbend/config/node_settings_reader.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <golden.hpp>

using namespace chervilbend;
using namespace chervilbend::config;

/// Guards against nodes that start with settings that were not specified, and against a settings page that differs from the program.
class node_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_settings_test);
    CPPUNIT_TEST(readsFileAndOverrides);
    CPPUNIT_TEST(reportsAllFaults);
    CPPUNIT_TEST(metadataStoreReplacesServices);
    CPPUNIT_TEST(rereadsKeysOnly);
    CPPUNIT_TEST(defaultsAreInRange);
    CPPUNIT_TEST(pageMatchesTheTable);
    CPPUNIT_TEST_SUITE_END();

    static std::string minimal(const std::string &more = {})
    {
        return "node: n1\nzone: a\nlisten: 127.0.0.1:8080\npeerListen: '[::1]:8081'\nlog: 127.0.0.1:1\nhosts: 127.0.0.1:2\nstore: 127.0.0.1:3\n"
               "keys: [0123456789abcdef]\n"
            + more;
    }

    static std::string faultLines(const std::string &text, const std::map<std::string, std::string> &overrides = {})
    {
        node_settings_reader reader;
        reader.read("s", text, overrides);
        std::string lines;
        for (const fault &item : reader.faults()) {
            lines += toString(item) + '\n';
        }
        return lines;
    }

public:
    void readsFileAndOverrides()
    {
        node_settings_reader reader;
        const auto settings = reader.read("s", minimal("leaseTerm: 8 s\nbodyLimit: 1 MiB\nlogLevel: WARN\n"), {{"logLevel", "DEBUG"}});
        CPPUNIT_ASSERT_MESSAGE(reader.lastReason().text, settings);
        CPPUNIT_ASSERT(settings->leaseTerm == base::milliseconds(8'000) && settings->bodyLimit == base::byte_count(1 << 20));
        CPPUNIT_ASSERT_EQUAL(std::string("DEBUG"), settings->logLevel);
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8081"), settings->peerListen);
        CPPUNIT_ASSERT(printSettings(*settings).find("0123456789abcdef") == std::string::npos);
    }

    void reportsAllFaults()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("s:9: leaseTrem: unknown key \"leaseTrem\", did you mean \"leaseTerm\"?\n"
                                         "s:10: heartbeatInterval: \"2\" is not a time with a unit, such as 30 s or 250 ms\n"
                                         "s:11: connectionLimit: 0 is out of range, 1 to 1000000\n"
                                         "s:12: leaseTerm: 3 s is less than twice heartbeatInterval, 2 s\n"),
                             faultLines(minimal("leaseTrem: 3 s\nheartbeatInterval: 2\nconnectionLimit: 0\nleaseTerm: 3 s\n")));
        const std::string lines =
            faultLines("log: localhost:80\nkeys: [short, 0123456789abcdef]\nseed: [1]\n", {{"bodylimit", "1 MiB"}, {"idleTimeout", "1 d"}});
        for (const char *expected : {"s:1: log: \"localhost:80\" is not IP:PORT",
                                     "s:2: keys: a secret is shorter than 16 characters",
                                     "s:3: seed: is not a number",
                                     "command line: bodylimit: unknown key \"bodylimit\", did you mean \"bodyLimit\"?",
                                     "command line: idleTimeout: \"1 d\"",
                                     "s: node: is missing"}) {
            CPPUNIT_ASSERT_MESSAGE(lines + "lacks: " + expected, lines.find(expected) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("s:9: shutdownBound: 5 s is not more than balancerWait, 5 s\n"), faultLines(minimal("shutdownBound: 5 s\n")));
    }

    /// On the users' platform the metadata store replaces the log service, the list of hosts and the weight store, and there are no secrets.
    void metadataStoreReplacesServices()
    {
        node_settings_reader reader;
        const auto settings = reader.read("s",
                                          "node: n1\nzone: a\nlisten: 127.0.0.1:8080\npeerListen: 127.0.0.1:8081\nmetadataStore: 127.0.0.1:1\n"
                                          "readyListen: 127.0.0.1:8082\nretryShare: 0.2\nretryBurst: 52\nenginesCheckFencing: true\nloadOvershoot: 1.1\n");
        CPPUNIT_ASSERT_MESSAGE(reader.lastReason().text, settings);
        CPPUNIT_ASSERT(settings->enginesCheckFencing && settings->retryBurst == 52 && settings->retryShare == 0.2);
        CPPUNIT_ASSERT(faultLines("metadataStore: 127.0.0.1:1\nretryShare: 2\nenginesCheckFencing: perhaps\n").find("\"perhaps\" is neither true nor false")
                       != std::string::npos);
        CPPUNIT_ASSERT(faultLines("metadataStore: 127.0.0.1:1\n").find("keys: is missing") == std::string::npos);
    }

    /// A running node accepts new secrets even if another value in the file has become invalid, and keeps the old ones if the new ones
    /// are invalid.
    void rereadsKeysOnly()
    {
        node_settings_reader reader;
        const auto keys = reader.readKeys("s", "keys: [aaaaaaaaaaaaaaaa, bbbbbbbbbbbbbbbb]\nleaseTerm: 1\n");
        CPPUNIT_ASSERT(keys && keys->size() == 2 && keys->front() == "aaaaaaaaaaaaaaaa");
        CPPUNIT_ASSERT(!reader.readKeys("s", "keys: [short]\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("s:1: keys: a secret is shorter than 16 characters"), reader.lastReason().text);
        CPPUNIT_ASSERT(!reader.readKeys("s", "keys: ["));
        CPPUNIT_ASSERT(!reader.readKeys("s", "node: n1\n"));
        CPPUNIT_ASSERT(!reader.readKeys("s", "keys: [aaaaaaaaaaaaaaaa, aaaaaaaaaaaaaaaa]\n"));
    }

    void defaultsAreInRange()
    {
        node_settings settings;
        for (const node_setting &setting : nodeSettingTable()) {
            if (!setting.defaultText.empty()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(setting.name, std::string(), setting.set(settings, setting.defaultText));
                CPPUNIT_ASSERT_EQUAL(setting.defaultText, setting.show(settings));
            }
        }
    }

    void pageMatchesTheTable()
    {
        assertGolden(std::string(TEST_DATA_DIR) + "/../../../../docs/settings.md", settingsPage());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_settings_test);
