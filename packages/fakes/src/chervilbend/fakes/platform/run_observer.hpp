#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/platform/answer_form.hpp>

#include <string>

namespace chervilbend::fakes
{

/// A request that a server has begun to work on.
struct served_run {
    std::string attempt;
    std::string target;
    std::string server;
    /// Values of the header field Chervilbend-Tenant, separated by commas; empty without the field.
    std::string account;
    answer_form form = answer_form::proper;
    base::time_point at = base::clock::now();
};

/// Is told what servers run.
class run_observer
{
public:
    virtual ~run_observer() = default;

    virtual void onRun(const served_run &run) = 0;
    /// A server has answered in another form than the proper one.
    virtual void onFaultyAnswer(answer_form form) = 0;
    /// Bytes that don't belong to it may come within the answer to the attempt.
    virtual void onSpoiltAnswer(const std::string &attempt) = 0;
    /// An attempt has come again on the connection on which it was refused.
    virtual void onRepeatOnConnection() = 0;
    /// A server has received a request with a caller's key. The attempt is empty for a request without one.
    virtual void onAuthorization(const std::string &attempt) = 0;
};

} // namespace chervilbend::fakes
