#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/json/object.hpp>

#include <functional>
#include <string>
#include <vector>

namespace chervilbend::fakes
{

/// The faults of a fake that can be changed at run time with POST /control.
class fault_registry
{
public:
    /// The variables must outlive the registry.
    void addFlag(const std::string &name, bool &variable);
    /// Adds a probability from 0 to 1.
    void addShare(const std::string &name, double &variable);
    /// Adds a factor from 0.001 to 1,000.
    void addFactor(const std::string &name, double &variable);
    /// Adds a duration from 0 to 3,600,000 ms.
    void addTime(const std::string &name, base::milliseconds &variable);
    /// Calls @p listener after each change.
    void onChange(std::function<void()> listener);

    /// Sets the named faults. Returns an empty string, or an error message, in which case nothing is changed.
    std::string apply(const boost::json::object &requested);
    boost::json::object currentValues() const;

private:
    struct fault {
        std::string name;
        std::function<bool(const boost::json::value &)> isValid;
        std::function<void(const boost::json::value &)> set;
        std::function<boost::json::value()> get;
    };

    void addNumber(const std::string &name, double &variable, double low, double high);

    std::vector<fault> m_faults;
    std::function<void()> m_listener;
};

} // namespace chervilbend::fakes
