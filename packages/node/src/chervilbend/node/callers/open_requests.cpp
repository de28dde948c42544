#include <chervilbend/node/callers/open_requests.hpp>

#include <chervilbend/net/http_exchange.hpp>

#include <iterator>
#include <sstream>
#include <utility>

namespace chervilbend::node
{

open_requests::registration::registration(open_requests &all, std::shared_ptr<net::http_exchange> exchange, std::string attempt)
    : m_all(all.m_entries)
    , m_position(m_all->insert(m_all->end(), {std::move(exchange), std::move(attempt), base::clock::now()}))
{
}

open_requests::registration::~registration()
{
    m_all->erase(m_position);
}

std::vector<std::string> open_requests::describe() const
{
    std::vector<std::string> lines;
    lines.reserve(m_entries->size());
    for (const entry &open : *m_entries) {
        const net::http_request &request = open.exchange->request();
        const auto account = request["X-Account"];
        std::ostringstream line;
        line << request.method_string() << ' ' << request.target() << (open.attempt.empty() ? "" : ", request ") << open.attempt << " from "
             << open.exchange->remoteAddress() << ", account " << (account.empty() ? "default" : account) << ", open for "
             << (base::clock::now() - open.since).count() << " ms" << (open.exchange->isStarted() ? ", response started" : ", no response yet");
        lines.push_back(line.str());
    }
    return lines;
}

} // namespace chervilbend::node
