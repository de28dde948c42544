#pragma once

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace chervilbend::fleet
{

/// One record in the platform's store that tells which parts of prompts are refused.
class refused_parts_store
{
public:
    virtual ~refused_parts_store() = default;

    /// The last record; empty if none was written. No value if it can't be read.
    virtual boost::asio::awaitable<std::optional<std::string>> read() = 0;
    /// False if it is not certain that the record was written.
    virtual boost::asio::awaitable<bool> write(std::string record) = 0;
};

} // namespace chervilbend::fleet
