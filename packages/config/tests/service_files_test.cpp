#include <chervilbend/config/service_files.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <golden.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

using namespace chervilbend;
using namespace chervilbend::config;

/// Guards against invalid files that are accepted, and against fault messages that do not let an operator find the fault in the file.
class service_files_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_files_test);
    CPPUNIT_TEST(documentedExampleIsRead);
    CPPUNIT_TEST(allFaultsAreReported);
    CPPUNIT_TEST(documentsBeyondLimitsAreRejected);
    CPPUNIT_TEST(servicesMustNotShareModelsOrRoutes);
    CPPUNIT_TEST(withdrawalIsExplicit);
    CPPUNIT_TEST(corruptedFilesAreRejectedOrValid);
    CPPUNIT_TEST_SUITE_END();

    static std::string fileText(const std::string &path)
    {
        std::ifstream stream(path);
        CPPUNIT_ASSERT_MESSAGE(path, stream.good());
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    static std::string example()
    {
        const std::string page = fileText(std::string(TEST_DATA_DIR) + "/../../../../docs/service-files.md");
        const std::string fence = "```yaml\n";
        const std::size_t start = page.find(fence) + fence.size();
        return page.substr(start, page.find("```", start) - start);
    }

    static service_set read(const std::vector<std::string> &texts)
    {
        service_files files;
        for (std::size_t i = 0; i < texts.size(); ++i) {
            files.add('f' + std::to_string(i), texts[i]);
        }
        return files.finish();
    }

    static std::string faultLines(const service_set &set)
    {
        std::string lines;
        for (const fault &item : set.faults) {
            lines += toString(item) + '\n';
        }
        return lines;
    }

    static void assertFault(const std::vector<std::string> &texts, const std::string &expected)
    {
        const std::string lines = faultLines(read(texts));
        CPPUNIT_ASSERT_MESSAGE(lines + "lacks: " + expected, lines.find(expected) != std::string::npos);
    }

public:
    void documentedExampleIsRead()
    {
        const service_set set = read({example()});
        CPPUNIT_ASSERT_EQUAL(std::string(), faultLines(set));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, set.declarations.size());
        const service_declaration &tutor = set.declarations[0];
        CPPUNIT_ASSERT(tutor.models.at(0).weights == base::byte_count(std::int64_t{14} << 30));
        CPPUNIT_ASSERT_EQUAL(std::string("geometry"), tutor.models[0].adapters.at(1).name);
        CPPUNIT_ASSERT(!tutor.routes.at(1).repeatable && tutor.routes[0].repeatable);
        CPPUNIT_ASSERT(tutor.routes[0].deadline == base::milliseconds(2'000) && tutor.policy.deadline == base::milliseconds(120'000));
    }

    void allFaultsAreReported()
    {
        service_files files;
        for (const char *name : {"bad.chervilbend.yaml", "other.chervilbend.yaml"}) {
            files.add(name, fileText(std::string(TEST_DATA_DIR) + '/' + name));
        }
        assertGolden(std::string(TEST_DATA_DIR) + "/faults.golden", faultLines(files.finish()));
    }

    void documentsBeyondLimitsAreRejected()
    {
        assertFault({"a: &x [1]\nb: *x\n"}, "f0:1: anchors are not supported");
        assertFault({"service: !!binary aGk=\n"}, "f0:1: tags are not supported");
        assertFault({std::string(17, '[') + std::string(17, ']')}, "f0:1: nested deeper than 16 levels");
        assertFault({std::string(100'000, '[')}, "f0:1: ");
        assertFault({"a: " + std::string(300'000, 'x')}, "f0: larger than 256 KiB");
        std::string many = "a: [";
        for (int i = 0; i < 20'001; ++i) {
            many += "1,";
        }
        assertFault({many + "1]\n"}, "f0:1: more than 20000 values");
        assertFault({"service: a\n---\nservice: b\n"}, "f0: holds more than one YAML document");
        assertFault({std::string("service: a\n\0routes: []", 22)}, "f0: contains a NUL byte");
        assertFault({"? [a]\n: b\n"}, "f0:1: a key must be plain text");
        assertFault({""}, "f0: is empty");
        assertFault({"- a\n"}, "f0:1: is not a map of keys and values");
        assertFault({"routes:\n  - prefix: /a\n"}, "f0:1: service: is missing");
    }

    void servicesMustNotShareModelsOrRoutes()
    {
        const std::string model = "\nmodels:\n  - {name: m, version: \"1\", weights: 1 GiB, kvReserve: 1 GiB}\nroutes:\n  - prefix: /x\n";
        assertFault({"service: a" + model, "service: b" + model}, "f1:3: models[0].name: model \"m\" is already declared by service \"a\"");
        assertFault({"service: a" + model, "service: b" + model}, "f1:5: routes[0].prefix: route \"/x\" is already declared by service \"a\"");
    }

    void withdrawalIsExplicit()
    {
        assertFault({"service: a\n"}, "f0:1: declares neither models nor routes; to withdraw");
        assertFault({"service: a\nwithdrawn: true\nroutes:\n  - prefix: /a\n"}, "f0:2: withdrawn: a service that is withdrawn");
        CPPUNIT_ASSERT_EQUAL(std::string(), faultLines(read({"service: a\nwithdrawn: true\n"})));
    }

    /// A file with up to three corrupted bytes is either rejected with a fault that names the file, or gives one valid declaration.
    void corruptedFilesAreRejectedOrValid()
    {
        const std::string text = example();
        CPPUNIT_ASSERT(rc::check("damaged service file", [&] {
            std::string damaged = text;
            const auto count = *rc::gen::inRange(1, 4);
            for (int i = 0; i < count; ++i) {
                damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = *rc::gen::arbitrary<char>();
            }
            const service_set set = read({damaged});
            RC_ASSERT(!set.faults.empty() || set.declarations.size() == 1);
            for (const fault &item : set.faults) {
                RC_ASSERT(item.file == "f0" && !item.text.empty());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_files_test);
