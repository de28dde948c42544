#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace
{

/// Names of test cases that are known to fail, separated by spaces, as `./check` takes them from KNOWN-RED.txt.
constexpr const char *knownFailuresVariable = "CHERVILBEND_KNOWN_FAILURES";

std::set<std::string> knownFailures()
{
    const char *const names = std::getenv(knownFailuresVariable);
    std::istringstream words(names ? names : "");
    std::set<std::string> result;
    for (std::string name; words >> name;) {
        result.insert(name);
    }
    return result;
}

void runCases(CppUnit::Test &test, const std::set<std::string> &skipped, CppUnit::TestResult &result)
{
    if (test.getChildTestCount() > 0) {
        for (int i = 0; i < test.getChildTestCount(); ++i) {
            runCases(*test.getChildTestAt(i), skipped, result);
        }
    } else if (skipped.contains(test.getName())) {
        std::cerr << "known failure, not run: " << test.getName() << '\n';
    } else {
        test.run(&result);
    }
}

} // namespace

/// Runs all registered CppUnit tests, or those under the CppUnit test path given as the only argument, but for known failures.
int main(int argc, char **argv)
{
    const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    CppUnit::Test &chosen = argc > 1 ? *all->findTest(argv[1]) : *all;
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::TextTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    runCases(chosen, knownFailures(), result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() ? EXIT_SUCCESS : EXIT_FAILURE;
}
