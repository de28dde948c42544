#pragma once

#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/fakes/servers/fake_server.hpp>

#include <map>
#include <string>

namespace chervilbend::fakes
{

/// A fake log service over HTTP with up to 64 streams. See docs/wire.md.
class log_server : public fake_server
{
public:
    explicit log_server(log_store_options options);

protected:
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) override;

private:
    struct stream {
        std::shared_ptr<log_store> store;
        std::unique_ptr<in_process_log_service> service;
    };

    stream &findOrCreateStream(const std::string &name);
    boost::asio::awaitable<void> append(std::shared_ptr<net::http_exchange> exchange, std::string name);
    boost::asio::awaitable<void> read(std::shared_ptr<net::http_exchange> exchange, std::string name, request_target target);

    log_store_options m_options;
    log_faults m_faults;
    std::map<std::string, stream> m_streams;
};

} // namespace chervilbend::fakes
