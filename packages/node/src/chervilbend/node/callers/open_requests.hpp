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

/// The requests and orders that are not finished, for the shutdown and its log.
class open_requests
{
    struct entry {
        std::shared_ptr<net::http_exchange> exchange;
        base::time_point since;
    };

public:
    /// Keeps one request in the list for its own lifetime.
    class registration
    {
    public:
        registration(open_requests &all, std::shared_ptr<net::http_exchange> exchange);
        ~registration();
        registration(const registration &) = delete;
        registration &operator=(const registration &) = delete;

        /// Since the request was registered.
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

    /// One line for each: method, path, caller, account and age.
    std::vector<std::string> describe() const;

private:
    /// Shared with the registrations: the event loop may destroy the last tasks after this object.
    std::shared_ptr<std::list<entry>> m_entries = std::make_shared<std::list<entry>>();
};

} // namespace chervilbend::node
