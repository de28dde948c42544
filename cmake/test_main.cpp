#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

/// Runs all registered CppUnit tests, or those under the CppUnit test path given as the only argument.
int main(int argc, char **argv)
{
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    const std::string path = argc > 1 ? argv[1] : "";
    return runner.run(path, false, true, false) ? 0 : 1;
}
