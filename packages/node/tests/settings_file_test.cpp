#include <chervilbend/node/settings/setting_flags.hpp>
#include <chervilbend/node/settings/settings_file.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace chervilbend::node;

/// Guards against a rotation of secrets that requires a restart, and against an outage caused by an invalid file during the rotation.
class settings_file_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_file_test);
    CPPUNIT_TEST(rotatesKeysWithoutRestart);
    CPPUNIT_TEST(flagsOverrideFile);
    CPPUNIT_TEST(reportsMissingFile);
    CPPUNIT_TEST(namesAnEmptyFile);
    CPPUNIT_TEST(waitsForAFileThatIsBeingWritten);
    CPPUNIT_TEST_SUITE_END();

    std::string m_directory;

    std::string path() const
    {
        return m_directory + "/settings.yaml";
    }

    void write(const std::string &keys) const
    {
        std::ofstream(path()) << "node: n1\nzone: a\nlisten: 127.0.0.1:1\npeerListen: 127.0.0.1:2\nlog: 127.0.0.1:3\nhosts: 127.0.0.1:4\n"
                              << "store: 127.0.0.1:5\nkeys: " << keys << '\n';
    }

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "settings_file_test.XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()));
        m_directory = pattern;
    }

    void tearDown() override
    {
        std::filesystem::remove_all(m_directory);
    }

    void rotatesKeysWithoutRestart()
    {
        const std::string first = "aaaaaaaaaaaaaaaa";
        const std::string second = "bbbbbbbbbbbbbbbb";
        write("[" + first + "]");
        settings_file file(path());
        CPPUNIT_ASSERT(file.load({}));
        CPPUNIT_ASSERT(!file.rereadKeys() && file.lastReason().text.empty());
        write("[" + first + ", " + second + "]");
        CPPUNIT_ASSERT(file.rereadKeys() == std::vector({first, second}));
        CPPUNIT_ASSERT(!file.rereadKeys() && file.lastReason().text.empty());
        write("[short]");
        CPPUNIT_ASSERT(!file.rereadKeys() && !file.lastReason().text.empty());
        std::filesystem::remove(path());
        CPPUNIT_ASSERT(!file.rereadKeys() && !file.lastReason().text.empty());
        write("[" + second + "]");
        CPPUNIT_ASSERT(file.rereadKeys() == std::vector({second}));
    }

    void flagsOverrideFile()
    {
        defineSettingFlags();
        CPPUNIT_ASSERT(givenSettingFlags().empty());
        CPPUNIT_ASSERT(!gflags::SetCommandLineOption("leaseTerm", "9 s").empty());
        CPPUNIT_ASSERT(gflags::SetCommandLineOption("keys", "secret").empty());
        const std::map<std::string, std::string> given = givenSettingFlags();
        CPPUNIT_ASSERT(given == (std::map<std::string, std::string>{{"leaseTerm", "9 s"}}));
        write("[aaaaaaaaaaaaaaaa]");
        CPPUNIT_ASSERT(settings_file(path()).load(given)->leaseTerm.count() == 9'000);
    }

    void namesAnEmptyFile()
    {
        std::ofstream(path()).flush();
        settings_file file(path());
        CPPUNIT_ASSERT(!file.load({}) && file.faults().at(0).text.ends_with(" is empty"));
    }

    /// Guards against a process that does not start because its settings are written at the same moment.
    void waitsForAFileThatIsBeingWritten()
    {
        std::ofstream(path()) << "node: n1\nzone: a\nlis";
        settings_file file(path());
        CPPUNIT_ASSERT(!file.load({}));
        std::thread writer([this] {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            write("[aaaaaaaaaaaaaaaa]");
        });
        const bool isLoaded = file.loadWhenComplete({}, [] { return false; }).has_value();
        writer.join();
        CPPUNIT_ASSERT(isLoaded);
        std::ofstream(path()) << "node: n1\n";
        CPPUNIT_ASSERT_MESSAGE("a file that stays invalid is reported", !file.loadWhenComplete({}, [] { return false; }));
    }

    void reportsMissingFile()
    {
        settings_file file(path());
        CPPUNIT_ASSERT(!file.load({}));
        CPPUNIT_ASSERT_EQUAL(path() + " cannot be read: No such file or directory", file.faults().at(0).text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_file_test);
