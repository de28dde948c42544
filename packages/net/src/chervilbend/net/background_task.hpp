#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace chervilbend::net
{

/// Runs a task that does not return. When it fails with an exception, it is logged under @p name and started again after a second: Asio drops the exception of
/// a detached task, and the process would go on without the task.
void runInBackground(const boost::asio::any_io_executor &executor, std::string name, std::function<boost::asio::awaitable<void>()> task);

} // namespace chervilbend::net
