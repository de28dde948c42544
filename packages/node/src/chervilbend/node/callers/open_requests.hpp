#pragma once

#include <chervilbend/base/clock.hpp>

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::net
{
class http_exchange;
}

namespace chervilbend::node
{

/// List of unfinished requests and orders. A shutdown waits for these and logs the ones that it aborts.
class open_requests
{
    struct entry {
        std::shared_ptr<net::http_exchange> exchange;
        std::string attempt;
        base::time_point since;
    };

public:
    /// Keeps a request in the list for the lifetime of the registration.
    class registration
    {
    public:
        /// @p attempt names the request in log lines; empty if it has no id.
        registration(open_requests &all, std::shared_ptr<net::http_exchange> exchange, std::string attempt = {});
        ~registration();
        registration(const registration &) = delete;
        registration &operator=(const registration &) = delete;

        /// Time since the request was registered.
        base::milliseconds age() const
        {
            return base::clock::now() - m_position->since;
        }

    private:
        std::shared_ptr<std::list<entry>> m_all;
        std::list<entry>::iterator m_position;
    };

    std::size_t size() const
    {
        return m_entries->size();
    }

    /// One line per request: method, path, id, caller, account, age and state of the response.
    std::vector<std::string> describe() const;

private:
    /// Shared with the registrations, since the event loop may destroy the last tasks after this object.
    std::shared_ptr<std::list<entry>> m_entries = std::make_shared<std::list<entry>>();
};

} // namespace chervilbend::node
