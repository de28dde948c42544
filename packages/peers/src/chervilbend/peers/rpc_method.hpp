#pragma once

#include <chervilbend/base/reason_holder.hpp>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <optional>
#include <string>

namespace chervilbend::peers
{

/// One JSON-RPC method of a node. Commands change state and answer without waiting; queries only read.
class rpc_method : public base::reason_holder
{
public:
    virtual ~rpc_method() = default;

    virtual std::string name() const = 0;

    /// Runs before call() and may suspend until call() can answer. Does nothing by default.
    virtual boost::asio::awaitable<void> prepare(Json::Value /*parameters*/)
    {
        co_return;
    }

    /// Answers one call with named parameters. Without a value, lastReason() becomes the JSON-RPC error.
    virtual std::optional<Json::Value> call(const Json::Value &parameters) = 0;
};

} // namespace chervilbend::peers
