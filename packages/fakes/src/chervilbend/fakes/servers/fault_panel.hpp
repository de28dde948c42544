#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/json/object.hpp>

#include <functional>
#include <string>
#include <vector>

namespace chervilbend::fakes
{

/// The faults of a fake that POST /control changes at run time.
class fault_panel
{
public:
    /// The variables must outlive the panel.
    void addFlag(const std::string &name, bool &variable);
    /// A probability from 0 to 1.
    void addShare(const std::string &name, double &variable);
    /// A factor greater than 0.
    void addFactor(const std::string &name, double &variable);
    /// A time from 0 to one hour, in milliseconds.
    void addTime(const std::string &name, base::milliseconds &variable);
    /// Calls @p listener after each change.
    void onChange(std::function<void()> listener);

    /// Sets the named faults. Gives an empty text, or what is wrong; nothing is changed then.
    std::string apply(const boost::json::object &wanted);
    boost::json::object show() const;

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
